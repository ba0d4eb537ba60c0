package planner

import (
	"testing"
	"time"

	pv "persimmonvalve"
)

// A worker whose supervisor has reported a run absent, because the worker is silent, is
// assigned the same task again at once and for as long as it stays silent, each time with
// another attempt and another commit.
func TestAbsentRunIsNotAssignedAgainBeforePoll(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.sendOrders("w")
	h.advance(1300 * time.Millisecond) // the supervisor sends no starts 1.2 s after the last poll
	h.submit("j", stepWithTasks(1))
	assigned := 0
	for range 20 {
		h.tickAndCommit()
		for _, r := range h.sendOrders("w") {
			assigned++
			h.p.Report(h.now, Report{Worker: h.workerState("w", 1), FencingToken: h.p.worker(h.now, "w").fencingToken, Absent: []pv.RunRef{r}})
		}
	}
	if assigned > 1 {
		t.Errorf("got %d assignments to a worker that answered no poll meanwhile, want at most 1", assigned)
	}
}
