package planner

import (
	"slices"
	"testing"

	pv "persimmonvalve"
)

// A run that a worker lists as running, although the leader has taken it as ended, is
// never stopped: it was in full orders that crossed the report of its absence.
func TestListedRunThatHasEndedIsStopped(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.sendOrders("w")
	h.submit("j", stepWithTasks(1))
	h.tickAndCommit()
	h.sendOrders("w")
	h.p.Connect(h.now, "w")
	r := runOf("j", 0, 0, 1)
	if got := h.sendOrders("w"); !slices.Contains(got, r) {
		t.Fatalf("got starts %v in full orders, want %v among them", got, r)
	}
	h.p.Report(h.now, Report{Worker: h.workerState("w", 1), FencingToken: h.p.worker(h.now, "w").fencingToken, Absent: []pv.RunRef{r}})
	h.p.Cancel(h.now, "j")
	for range 5 {
		h.tickAndCommit()
		h.reportPoll("w", 1, PollResult{Running: []pv.RunStatus{{Run: r}}})
		if o, _ := h.p.Orders(h.now, "w", allPermissions); slices.Contains(o.Stops, r) {
			return
		}
	}
	t.Errorf("got no stop of %v, which runs after its job was cancelled, want one", r)
}
