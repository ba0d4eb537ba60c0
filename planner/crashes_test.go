package planner

import (
	"testing"
	"time"

	pv "persimmonvalve"
)

// crashWorker reports that the worker's connections broke right after it had accepted the
// runs, and that its next incarnation has answered.
func (h *harness) crashWorker(id string, incarnation int64, recent ...pv.RunRef) {
	h.p.Report(h.now, Report{Worker: h.workerState(id, incarnation), Unanswered: true, RecentStarts: recent, BrokeOnStart: true})
	h.now = h.now.Add(3 * time.Second)
	h.clocks[pv.WorkerID(id)] = 0
	h.reportPoll(id, incarnation+1, PollResult{})
	h.tickAndCommit()
}

func (h *harness) checkState(job string, want pv.JobState) {
	h.t.Helper()
	if got, _ := h.p.State(pv.JobID(job)); got != want {
		h.t.Errorf("job %s: got %q, want %q", job, got, want)
	}
}

func running(runs ...pv.RunRef) PollResult {
	var out PollResult
	for _, r := range runs {
		out.Running = append(out.Running, pv.RunStatus{Run: r})
	}
	return out
}

// A task that crashes each worker that starts it was started again without end. It is
// given up after the second crash, which it caused alone, and the count survives a change
// of leader in between.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		h := newHarness(t)
		h.reportPoll("w", 1, PollResult{})
		h.submit("deadly", stepWithTasks(1))
		h.submit("other", stepWithTasks(1))
		h.tickAndCommit()
		if got := len(h.sendOrders("w")); got != 2 {
			t.Fatalf("got %d starts, want 2", got)
		}
		h.crashWorker("w", 1, runOf("deadly", 0, 0, 1), runOf("other", 0, 0, 1))
		if takeover {
			h = h.successor()
			h.reportPoll("w", 2, PollResult{})
			h.tickAndCommit()
		}
		for range 4 { // both are suspected and start one after the other
			for _, r := range h.sendOrders("w") {
				if r.Task.Job == "deadly" {
					h.crashWorker("w", h.p.worker(h.now, "w").state.Incarnation, r)
					continue
				}
				h.reportPoll("w", h.p.worker(h.now, "w").state.Incarnation, running(r))
				h.advance(300 * time.Millisecond)
				h.reportPoll("w", h.p.worker(h.now, "w").state.Incarnation, running(r))
				h.tickAndCommit()
			}
		}
		h.checkState("deadly", pv.JobFailed)
		h.checkState("other", pv.JobRunning)
	}
}

// A suspected task shared its worker with other starts, so that a second crash couldn't be
// told from one that they caused. It starts on a worker without unconfirmed starts, which
// gets no other run before two polls have listed it.
func TestSuspectedTaskStartsAlone(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.submit("suspect", stepWithTasks(1))
	h.tickAndCommit()
	h.sendOrders("w")
	h.crashWorker("w", 1, runOf("suspect", 0, 0, 1))
	h.submit("late", stepWithTasks(2))
	h.tickAndCommit()
	if got := h.sendOrders("w"); len(got) != 1 || got[0] != runOf("suspect", 0, 0, 2) {
		t.Fatalf("got starts %v, want the suspected task alone", got)
	}
	h.reportPoll("w", 2, running(runOf("suspect", 0, 0, 2)))
	h.advance(100 * time.Millisecond)
	if got := h.sendOrders("w"); len(got) != 0 {
		t.Errorf("got starts %v during the probation, want none", got)
	}
	h.advance(200 * time.Millisecond)
	h.reportPoll("w", 2, running(runOf("suspect", 0, 0, 2)))
	h.tickAndCommit()
	if got := len(h.sendOrders("w")); got != 2 {
		t.Errorf("got %d starts after the probation, want 2", got)
	}
}

// A task was blamed for the crash of a worker that a later poll had shown to survive its
// start, or that it had outlived by a partition or left as planned.
func TestRunsThatDidNotCrashTheirWorker(t *testing.T) {
	run := runOf("j", 0, 0, 1)
	ends := map[string]func(h *harness){
		"listed before the crash": func(h *harness) {
			h.reportPoll("w", 1, running(run))
			h.crashWorker("w", 1)
		},
		"worker answers again": func(h *harness) {
			h.p.Report(h.now, Report{Worker: h.workerState("w", 1), Unanswered: true, RecentStarts: []pv.RunRef{run}})
			h.reportPoll("w", 1, running(run))
			h.crashWorker("w", 1)
		},
		"worker answers after its lease": func(h *harness) {
			h.p.Report(h.now, Report{Worker: h.workerState("w", 1), Unanswered: true, RecentStarts: []pv.RunRef{run}})
			h.advance(8 * time.Second)
			h.reportPoll("w", 1, PollResult{})
			h.crashWorker("w", 1)
		},
		"worker drained": func(h *harness) {
			draining := h.workerState("w", 1)
			draining.Draining = true
			h.p.Report(h.now, Report{Worker: draining})
			h.crashWorker("w", 1, run)
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.reportPoll("w", 1, PollResult{})
			h.submit("j", stepWithTasks(1))
			h.tickAndCommit()
			h.sendOrders("w")
			end(h)
			if got := h.p.jobs["j"].steps[0].tasks[0].startCrashes; got != 0 {
				t.Errorf("got %d crashes blamed on the task, want none", got)
			}
		})
	}
}

// A worker that came back only after its lease had lapsed crashed too, but its tasks were
// started elsewhere without any count of it.
func TestCrashKnownAfterLapse(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.submit("j", stepWithTasks(1))
	h.tickAndCommit()
	h.sendOrders("w")
	run := runOf("j", 0, 0, 1)
	h.p.Report(h.now, Report{Worker: h.workerState("w", 1), Unanswered: true, RecentStarts: []pv.RunRef{run}})
	h.advance(8 * time.Second)
	h.clocks["w"] = 0
	h.reportPoll("w", 2, PollResult{})
	if got := h.p.jobs["j"].steps[0].tasks[0].startCrashes; got != 1 {
		t.Errorf("got %d crashes blamed on the task, want 1", got)
	}
}

// LOST: a standing task that had just started on a worker that was lost waited 3 s, after the
// lapse of the lease, for a worker that hadn't crashed lately, although another had room.
func TestSuspectedStandingTaskStartsInTime(t *testing.T) {
	const maxDownTime = 9 * time.Second // of a standing task for which there is room
	standing := func(count int) pv.Step {
		s := stepWithTasks(count)
		s.Standing = true
		return s
	}
	h := newHarness(t)
	h.pollEach("u")
	h.submit("a", standing(8))
	h.tickAndCommit()
	h.pollEach("u", "w")
	h.submit("b", standing(1))
	h.tickAndCommit()
	h.pollEach("u", "w")
	lostAt, lost := h.now, runOf("b", 0, 0, 1)
	if h.p.workers["w"].runs[lost] == nil {
		t.Fatalf("got no run %v on the worker to be lost, want it there", lost)
	}
	w := h.p.workers["w"]
	h.p.Report(h.now, Report{Worker: w.state, FencingToken: w.fencingToken, Unanswered: true, RecentStarts: []pv.RunRef{lost}, Unlisted: 1})
	h.pollEach("u", "v")
	h.p.workers["v"].crashedAt = h.now
	h.advanceUntil(func() bool { return len(h.p.workers["v"].runs) > 0 }, "u", "v")
	if got := h.now.Sub(lostAt); got > maxDownTime {
		t.Errorf("got the task started %v after the loss, want at most %v", got, maxDownTime)
	}
}
