package supervisor

import (
	"context"
	"testing"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/internal/pipenet"
)

// unknownStarts is a worker that gives an error for each start.
type unknownStarts struct{ *fakeWorker }

func (unknownStarts) Start(context.Context, pv.WorkerID, pv.WorkerLease, pv.RunOrder) (pv.StartAnswer, error) {
	return pv.StartUnknown, context.DeadlineExceeded
}

// The first report to a new leader omits the running runs, because they were listed to the
// former one shortly before: the new leader takes them for runs that haven't started, or
// that have ended with an earlier incarnation.
func TestFirstReportToNewLeaderListsRuns(t *testing.T) {
	for offset := range 10 {
		pipenet.Bubble(t, func(t *testing.T) {
			h := newHarness(t)
			defer h.stop()
			h.supervisor.worker = unknownStarts{h.worker}
			h.worker.runs.Running = []pv.RunStatus{{Run: testRun}}
			other := pv.RunRef{Task: pv.TaskRef{Job: "other"}, Attempt: 1}
			h.sendOrders(10, 1, 90_000, 0, true, testRun)
			time.Sleep(time.Second)
			h.sendOrders(10, 1, 90_000, 0, false, other)
			time.Sleep(time.Duration(offset) * 50 * time.Millisecond)
			h.sendOrders(20, 1, 90_000, 0, true, testRun, other)
			time.Sleep(time.Second)
			h.mu.Lock()
			defer h.mu.Unlock()
			for _, r := range h.reports {
				if r.FencingToken != 20 || !r.Polled {
					continue
				}
				if len(r.Runs.Running) != 1 {
					t.Errorf("offset %d: got %d runs in the first report under the new token, want 1", offset, len(r.Runs.Running))
				}
				return
			}
			t.Error("got no report under the new token, want one")
		})
	}
}
