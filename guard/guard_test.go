package guard

import (
	"sync"
	"sync/atomic"
	"testing"

	pv "persimmonvalve"
)

// However many come at once, no more run than there are slots, no more are
// held than connections, and the rest is refused.
func TestSlotsAndConnections(t *testing.T) {
	const slots, connections, callers = 3, 7, 50
	g := New(slots, connections)
	var running, most, refused atomic.Int64
	release := make(chan struct{})
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			leave, reason := g.Enter(nil)
			if reason == pv.ReasonEndpointFul {
				if refused.Add(1) == callers-connections {
					close(release)
				}
				return
			}
			n := running.Add(1)
			for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
			}
			<-release
			running.Add(-1)
			leave()
		})
	}
	group.Wait()
	if got := most.Load(); got > slots {
		t.Errorf("ran at once: got %d, want at most %d", got, slots)
	}
	if got, want := refused.Load(), int64(callers-connections); got != want {
		t.Errorf("refused: got %d, want %d", got, want)
	}
}

func TestLeave(t *testing.T) {
	g := New(1, 1)
	leave, _ := g.Enter(nil)
	idle := g.Leave()
	if _, reason := g.Enter(nil); reason != pv.ReasonLeaving {
		t.Errorf("new request: got %q, want %s", reason, pv.ReasonLeaving)
	}
	select {
	case <-idle:
		t.Error("idle while a request is in progress")
	default:
	}
	leave()
	<-idle
}
