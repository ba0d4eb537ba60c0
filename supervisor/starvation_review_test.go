package supervisor

import (
	"context"
	"testing"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/internal/pipenet"
	"persimmonvalve/internal/wire"
	"persimmonvalve/messenger"
)

// slowStops is a worker that takes a time to answer stops.
type slowStops struct {
	*fakeWorker
	delay time.Duration
}

func (w slowStops) Stop(ctx context.Context, _ pv.WorkerID, _ pv.WorkerLease, _ pv.RunRef) error {
	select {
	case <-time.After(w.delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// newHarnessWithSlowStops returns a harness whose worker takes the time to answer stops.
// The supervisor has made no call yet.
func newHarnessWithSlowStops(t *testing.T, delay time.Duration) *harness {
	h := newHarness(t)
	h.supervisor.worker = slowStops{h.worker, delay}
	h.sendOrders(10, 1, 90_000, 0, true)
	time.Sleep(time.Second)
	return h
}

func (h *harness) orderStop(r pv.RunRef) {
	a := pv.WorkerLease{FencingToken: 10, End: 90 * time.Second}
	h.link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Orders{Orders: messenger.EncodeOrders("w", 1, a, 0, false, nil, []pv.RunRef{r})}})
}

// A stop that gets no answer holds up the starts of other runs: each attempt fails before
// a poll that began after the one before has returned.
func TestUnansweredStopHoldsUpNoStarts(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newHarnessWithSlowStops(t, time.Hour)
		defer h.stop()
		h.orderStop(pv.RunRef{Task: pv.TaskRef{Job: "cancelled"}, Attempt: 1})
		time.Sleep(time.Second)
		begin := time.Now()
		for time.Since(begin) < 10*time.Second {
			h.sendOrders(10, 1, 90_000, 0, false, testRun)
			time.Sleep(50 * time.Millisecond)
			h.worker.mu.Lock()
			started := len(h.worker.starts) > 0
			h.worker.mu.Unlock()
			if started {
				return
			}
		}
		t.Errorf("got no start of another run in %v of answered polls, want one", time.Since(begin))
	})
}

// A worker that answers each stop after 0.6 s confirms none, so the run is never reported
// as absent and its capacity stays reserved.
func TestSlowlyAnsweredStopIsConfirmed(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newHarnessWithSlowStops(t, 600*time.Millisecond)
		defer h.stop()
		h.orderStop(testRun)
		time.Sleep(10 * time.Second)
		if got := len(h.absentRuns()); got != 1 {
			t.Errorf("got %d runs reported absent after 10 s, want 1", got)
		}
	})
}
