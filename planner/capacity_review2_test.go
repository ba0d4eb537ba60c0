package planner

import (
	"testing"
	"time"
)

// A new leader stops runs that have long been running: the first report of a supervisor may
// omit the list of its running runs, and the worker's capacity had shrunk before.
func TestNewLeaderKeepsRunsOfShrunkenWorker(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.submit("j", stepWithTasks(8))
	h.tickAndCommit()
	started := h.sendOrders("w")
	h.reportPoll("w", 1, running(started...))
	h.tickAndCommit()
	h = h.successor()
	shrunken := h.workerState("w", 1)
	shrunken.Capacity.MilliCores = 4000
	h.p.Report(h.now, Report{Worker: shrunken})
	for _, poll := range []PollResult{{}, running(started...)} {
		h.clocks["w"] += 500 * time.Millisecond
		poll.Clock = h.clocks["w"]
		h.p.Report(h.now, Report{Worker: shrunken, FencingToken: h.p.workers["w"].fencingToken, Poll: &poll})
		h.tickAndCommit()
	}
	for _, r := range h.p.workers["w"].runs {
		if r.stopping {
			t.Errorf("run %v: got a stop for %s, want none of a running run", r.ref(), r.stopReason)
		}
	}
}
