package planner

import (
	"testing"
	"time"

	pv "persimmonvalve"
)

// A worker restarted, an order for its former incarnation was carried out by the new one, and
// the run's end waited behind as many ends as the worker lists at a time. The first poll counted
// as proof that the run was lost with the former incarnation, and the task, which was done, ran
// again.
func TestFormerRunBehindTruncatedEnds(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.sendOrders("w")
	h.submit("j", stepWithTasks(1))
	h.tickAndCommit()
	h.sendOrders("w")
	other := pv.RunEnd{Sequence: 1, Run: runOf("other", 0, 0, 1), Kind: pv.EndSucceeded}
	h.reportPoll("w", 2, PollResult{Ended: []pv.RunEnd{other}, EndsTruncated: true})
	h.advance(100 * time.Millisecond)
	if got := len(h.p.workers["w"].runs); got != 1 {
		t.Fatalf("got %d runs while ends are truncated, want 1", got)
	}
	h.reportPoll("w", 2, PollResult{EndsAbove: 1, Ended: []pv.RunEnd{{Sequence: 2, Run: runOf("j", 0, 0, 1), Kind: pv.EndSucceeded}}})
	h.advance(100 * time.Millisecond)
	if state, _ := h.p.State("j"); state != pv.JobFinished {
		t.Errorf("got the job %s after its task's end, want %s", state, pv.JobFinished)
	}
	for _, e := range h.p.Events() {
		if e.Kind == "run "+string(pv.EndVanished) {
			t.Errorf("got %v ended as %s, want no such end", e.Run, pv.EndVanished)
		}
	}
}

// Once all ends are listed, a run of the former incarnation that isn't among them is lost.
func TestFormerRunNotAmongAllEnds(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.sendOrders("w")
	h.submit("j", stepWithTasks(1))
	h.tickAndCommit()
	h.sendOrders("w")
	h.reportPoll("w", 2, PollResult{EndsTruncated: true})
	h.reportPoll("w", 2, PollResult{})
	h.advance(100 * time.Millisecond)
	if _, ok := h.p.workers["w"].runs[runOf("j", 0, 0, 2)]; !ok {
		t.Errorf("got runs %v, want the task's second attempt", h.p.workers["w"].runs)
	}
}
