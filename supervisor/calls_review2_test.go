package supervisor

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/internal/pipenet"
)

// silentWorker answers polls until it falls silent, and gives no answer to starts.
type silentWorker struct {
	*fakeWorker
	silent atomic.Bool
}

func (w *silentWorker) Poll(ctx context.Context, id pv.WorkerID, l pv.WorkerLease, acknowledged int64, wait time.Duration) (pv.WorkerRuns, error) {
	if w.silent.Load() {
		<-ctx.Done()
		return pv.WorkerRuns{}, ctx.Err()
	}
	return w.fakeWorker.Poll(ctx, id, l, acknowledged, wait)
}

func (w *silentWorker) Start(ctx context.Context, _ pv.WorkerID, _ pv.WorkerLease, _ pv.RunOrder) (pv.StartAnswer, error) {
	<-ctx.Done()
	return pv.StartUnknown, ctx.Err()
}

// A run is reported as absent while a call that starts it is in progress, which the worker
// may still carry out: its last poll result became too old meanwhile. The leader's orders
// tell no reading of the worker's clock, as those of an earlier version.
func TestRunIsNotReportedAbsentDuringItsStart(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		w := &silentWorker{fakeWorker: h.worker}
		h.supervisor.worker = w
		h.sendOrders(10, 1, 90_000, 0, true)
		time.Sleep(time.Second)
		w.silent.Store(true)
		time.Sleep(1200 * time.Millisecond) // the last poll result is 0.7 to 1.2 s old
		h.sendOrders(10, 1, 90_000, 0, false, testRun)
		for range 40 {
			time.Sleep(20 * time.Millisecond)
			inProgress := 0
			h.supervisor.eventLoop.Do(func() { inProgress = len(h.supervisor.callsInProgress[kindStart]) })
			if got := len(h.absentRuns()); got > 0 && inProgress > 0 {
				t.Fatalf("got the run reported absent with %d starts of it in progress, want none", inProgress)
			}
		}
	})
}

// The context of a run's starts was kept for as long as the supervisor, for each run that
// has ended.
func TestContextOfStartsEndsWithRun(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		h.sendOrders(10, 1, 90_000, 0, true)
		time.Sleep(time.Second)
		h.sendOrders(10, 1, 90_000, 0, false, testRun)
		var startCtx context.Context
		h.supervisor.eventLoop.Do(func() { startCtx = h.supervisor.runs[testRun].startCtx })
		h.worker.mu.Lock()
		h.worker.runs.Ended = []pv.RunEnd{{Sequence: 1, Run: testRun, Kind: pv.EndSucceeded}}
		h.worker.mu.Unlock()
		time.Sleep(2 * time.Second)
		kept := 0
		h.supervisor.eventLoop.Do(func() { kept = len(h.supervisor.runs) })
		if kept != 0 || startCtx.Err() == nil {
			t.Errorf("got %d runs kept and context error %v after the run's end, want none and %v", kept, startCtx.Err(), context.Canceled)
		}
	})
}
