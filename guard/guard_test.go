package guard

import (
	"sync"
	"sync/atomic"
	"testing"

	pv "persimmonvalve"
)

// With more concurrent requests than maxRequests, no more run at once than there
// are slots, no more than maxRequests are accepted, and the others are refused.
func TestSlotsAndConnections(t *testing.T) {
	const slots, maxRequests, callers = 3, 7, 50
	g := New(slots, maxRequests)
	var running, maxRunning, refused atomic.Int64
	allRefused := make(chan struct{})
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			release, reason := g.Acquire(nil)
			if reason == pv.ReasonEndpointFull {
				if refused.Add(1) == callers-maxRequests {
					close(allRefused)
				}
				return
			}
			n := running.Add(1)
			for m := maxRunning.Load(); n > m && !maxRunning.CompareAndSwap(m, n); m = maxRunning.Load() {
			}
			<-allRefused
			running.Add(-1)
			release()
		})
	}
	group.Wait()
	if got := maxRunning.Load(); got > slots {
		t.Errorf("running at once: got %d, want at most %d", got, slots)
	}
	if got, want := refused.Load(), int64(callers-maxRequests); got != want {
		t.Errorf("refused: got %d, want %d", got, want)
	}
}

func TestDrain(t *testing.T) {
	g := New(1, 1)
	release, _ := g.Acquire(nil)
	drained := g.Drain()
	if _, reason := g.Acquire(nil); reason != pv.ReasonEndpointDraining {
		t.Errorf("new request: got %q, want %s", reason, pv.ReasonEndpointDraining)
	}
	select {
	case <-drained:
		t.Error("drained while a request is in progress")
	default:
	}
	release()
	<-drained
}
