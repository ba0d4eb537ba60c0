package planner

import (
	"net/netip"
	"testing"
	"time"

	pv "persimmonvalve"
)

// crashBeside reports that the worker stopped answering after it had accepted unlisted,
// and listed shortly before, and that its next incarnation has answered.
func (h *harness) crashBeside(incarnation int64, unlisted, listed pv.RunRef) {
	h.p.Report(h.now, Report{Worker: h.workerState("w", incarnation), Unanswered: true, RecentStarts: []pv.RunRef{unlisted, listed}, Unlisted: 1})
	h.now = h.now.Add(3 * time.Second)
	h.clocks["w"] = 0
	h.reportPoll("w", incarnation+1, PollResult{})
	h.tickAndCommit()
}

// A task that crashes its workers 0.3 s after its start is started a sixth time: its first
// crash is counted only against a run that no poll had listed, and a later one counts
// towards the fifth.
func TestTaskThatCrashesWorkersLaterIsNotStartedSixTimes(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.submit("deadly", stepWithTasks(1))
	h.tickAndCommit()
	starts := 0
	for incarnation := int64(1); incarnation < 10; incarnation++ {
		var deadly pv.RunRef
		for _, r := range h.sendOrders("w") {
			if r.Task.Job == "deadly" {
				deadly = r
				starts++
			}
		}
		if deadly.Attempt == 0 {
			break
		}
		h.reportPoll("w", incarnation, running(deadly))
		h.advance(300 * time.Millisecond)
		h.reportPoll("w", incarnation, running(deadly))
		if incarnation > 1 {
			h.crashWorker("w", incarnation, deadly)
			continue
		}
		h.submit("other", stepWithTasks(1))
		h.tickAndCommit()
		other := h.sendOrders("w")
		if len(other) != 1 {
			t.Fatalf("got starts %v, want the other job's", other)
		}
		h.p.Cancel(h.now, "other")
		h.crashBeside(incarnation, other[0], deadly)
	}
	if starts > 5 {
		t.Errorf("got %d starts of a task that crashed each worker, want at most 5", starts)
	}
}

// A job is failed after two crashes of one worker, the first of them before a change of
// leader: the successor doesn't know on which worker the task was when that crashed.
func TestCrashesOfOneWorkerBesideTakeover(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		h := newHarness(t)
		address := netip.MustParseAddrPort("10.0.0.1:80")
		h.address = address
		h.reportPoll("w", 1, PollResult{})
		h.submit("j", stepWithTasks(1))
		h.tickAndCommit()
		h.crashWorker("w", 1, h.sendOrders("w")...)
		if takeover {
			h = h.successor()
			h.address = address
		}
		h.reportPoll("w", 2, PollResult{})
		h.sendOrders("w")
		h.p.Report(h.now, Report{Worker: h.workerState("w", 2), FencingToken: h.p.workers["w"].fencingToken, Absent: []pv.RunRef{runOf("j", 0, 0, 2)}})
		h.reportPoll("w", 2, PollResult{})
		h.advance(4 * time.Second)
		h.reportPoll("w", 2, PollResult{})
		h.advance(200 * time.Millisecond)
		started := h.sendOrders("w")
		if len(started) != 1 {
			t.Fatalf("takeover %v: got starts %v, want one", takeover, started)
		}
		h.crashWorker("w", 2, started...)
		if got, _ := h.p.State("j"); got == pv.JobFailed {
			t.Errorf("takeover %v: got %q after two crashes of one worker, want another state", takeover, got)
		}
	}
}

// A suspected filler never starts, and neither do the tasks of its step after it: it is
// offered only the worker with the smallest reserved share, where other fillers have taken
// the cores, and not the one where it would be fast.
func TestSuspectedFillerStartsOnFastWorker(t *testing.T) {
	for _, suspected := range []bool{false, true} {
		h := newHarness(t)
		poll := func(ids ...string) {
			for _, id := range ids {
				h.reportPoll(id, 1, PollResult{})
				h.sendOrders(id)
			}
		}
		poll("v")
		filler := stepWithTasks(5)
		filler.Filler = true
		h.submit("batch", stepWithTasks(4))
		h.submit("fillers", filler)
		h.tickAndCommit()
		large := stepWithTasks(1)
		large.Size.MilliCores = 7000
		poll("v", "w")
		h.submit("large", large)
		h.tickAndCommit()
		if got, want := len(h.p.workers["v"].runs), 4+5; got != want || len(h.p.workers["w"].runs) != 1 {
			t.Fatalf("got %d and %d runs on the workers, want %d and 1", got, len(h.p.workers["w"].runs), want)
		}
		filler.Count = 1
		h.submit("f", filler)
		h.p.jobs["f"].steps[0].tasks[0].suspected = suspected
		for range 100 {
			poll("v", "w")
			h.advance(100 * time.Millisecond)
		}
		if got := h.p.jobs["f"].openRuns; got != 1 {
			t.Errorf("suspected %v: got %d fillers started within 10 s, want 1", suspected, got)
		}
	}
}
