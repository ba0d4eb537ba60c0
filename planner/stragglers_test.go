package planner

import (
	"slices"
	"testing"
	"time"

	pv "persimmonvalve"
)

// fillerStep returns a step of fillers with checkpoints that take 2 s each by their estimate.
func fillerStep(count int) pv.Step {
	return pv.Step{Count: count, Size: pv.Resources{MilliCores: 2000, MemoryMB: 10}, Estimate: 2 * time.Second, Filler: true, Checkpointable: true, Image: "f"}
}

// pollFillers reports a poll of a worker on which each filler has a speed, a fraction of full
// speed, and the progress that it has made in a task of the given length since it was assigned.
func (h *harness) pollFillers(id string, speed float64, whole time.Duration) {
	var running []pv.RunStatus
	for ref, r := range h.p.worker(h.now, pv.WorkerID(id)).runs {
		percent := min(99, int(100*speed*float64(h.now.Sub(r.assignedAt))/float64(whole)))
		running = append(running, pv.RunStatus{Run: ref, ProgressPercent: percent, Measured: int64(speed * float64(r.task.step.spec.Size.MilliCores))})
	}
	h.reportPoll(id, 1, PollResult{Running: running})
	h.sendOrders(id)
}

// movesOf lets time pass, with polls of worker a, which runs the fillers at a speed, and of b,
// which runs nothing, and returns the runs that are moved.
func (h *harness) movesOf(d time.Duration, speed float64, whole time.Duration) []pv.RunRef {
	var moved []pv.RunRef
	for end := h.now.Add(d); h.now.Before(end); h.advance(200 * time.Millisecond) {
		h.pollFillers("a", speed, whole)
		h.pollEach("b")
		for _, e := range h.p.Events() {
			if e.Kind == "filler moves" {
				moved = append(moved, e.Run)
			}
		}
	}
	return moved
}

// newFillerHarness returns a harness with fillers on worker a, which b joins afterwards.
func newFillerHarness(t *testing.T, step pv.Step) *harness {
	h := newHarness(t)
	h.pollEach("a")
	h.submit("j", step)
	h.tickAndCommit()
	h.pollEach("a")
	if got := len(h.p.workers["a"].runs); got != step.Count {
		t.Fatalf("got %d fillers on the first worker, want %d", got, step.Count)
	}
	h.pollEach("b")
	return h
}

// Fillers that stand still beside busy serving tasks are moved to a worker where they are fast.
func TestStandingStillFillersMove(t *testing.T) {
	h := newFillerHarness(t, fillerStep(3))
	if got := h.movesOf(3*time.Second, 0, 2*time.Second); len(got) != 3 {
		t.Errorf("got moves %v, want all 3 fillers moved", got)
	}
}

// Fillers that make progress, or are nearly done, stay: a move would cost more than it saves.
func TestFillersThatWouldGainLittleStay(t *testing.T) {
	for name, c := range map[string]struct{ speed float64 }{"full speed": {1}, "three quarters": {0.75}} {
		h := newFillerHarness(t, fillerStep(3))
		if got := h.movesOf(2*time.Second, c.speed, 2*time.Second); len(got) != 0 {
			t.Errorf("%s: got moves %v, want none", name, got)
		}
	}
	h := newFillerHarness(t, fillerStep(3))
	h.p.settings.StopTime, h.p.settings.RestoreTime = 8*time.Second, 8*time.Second
	if got := h.movesOf(3*time.Second, 0, 2*time.Second); len(got) != 0 {
		t.Errorf("costly moves: got %v, want none", got)
	}
}

// The submitter's estimate is off by three: fillers that make steady progress at full speed
// aren't slow, although they run for longer than they should.
func TestWrongEstimateIsNoStraggler(t *testing.T) {
	h := newFillerHarness(t, fillerStep(3))
	if got := h.movesOf(5*time.Second, 1, 6*time.Second); len(got) != 0 {
		t.Errorf("got moves %v, want none", got)
	}
}

// All workers are slow: no filler is moved to one where it would be as slow.
func TestAllWorkersSlow(t *testing.T) {
	h := newFillerHarness(t, fillerStep(3))
	full := stepWithTasks(8)
	full.Standing = true
	h.submit("s", full, full)
	h.advance(100 * time.Millisecond)
	if free := h.p.workers["b"].state.Capacity.MilliCores - h.p.workers["b"].reserved.MilliCores; free > 0 {
		t.Fatalf("got %d free millicores on the other worker, want none", free)
	}
	if got := h.movesOf(3*time.Second, 0, 2*time.Second); len(got) != 0 {
		t.Errorf("got moves %v, want none", got)
	}
}

// Fillers without checkpoints, standing ones and gangs aren't moved.
func TestWorkThatCannotBeSavedStays(t *testing.T) {
	for name, change := range map[string]func(*pv.Step){
		"no checkpoints": func(s *pv.Step) { s.Checkpointable = false },
		"standing":       func(s *pv.Step) { s.Standing = true },
		"gang":           func(s *pv.Step) { s.Gang = true },
	} {
		step := fillerStep(3)
		change(&step)
		h := newFillerHarness(t, step)
		if got := h.movesOf(3*time.Second, 0, 2*time.Second); len(got) != 0 {
			t.Errorf("%s: got moves %v, want none", name, got)
		}
	}
}

// A filler stands still wherever it runs, while the load of the serving tasks there swings: it is
// moved more than once.
func TestStragglerMovesAgain(t *testing.T) {
	h := newFillerHarness(t, fillerStep(1))
	moves := 0
	for end := h.now.Add(10 * time.Second); h.now.Before(end); h.advance(200 * time.Millisecond) {
		for _, id := range []string{"a", "b"} {
			w := h.p.workers[pv.WorkerID(id)]
			var poll PollResult
			for ref, r := range w.runs {
				if r.stopping {
					poll.Ended = append(poll.Ended, pv.RunEnd{Sequence: w.appliedEnd + 1, Run: ref, Kind: pv.EndStopped, Checkpoint: "c"})
					poll.EndsAbove = w.appliedEnd
					moves++
				} else {
					poll.Running = append(poll.Running, pv.RunStatus{Run: ref})
				}
			}
			h.reportPoll(id, 1, poll)
			h.sendOrders(id)
		}
	}
	if moves < 2 {
		t.Errorf("got %d moves, want 2 or more", moves)
	}
}

// A new leader moves stragglers of its predecessor: it learns the pace of the runs from the next
// polls.
func TestStragglersAsLeaderChanges(t *testing.T) {
	h := newFillerHarness(t, fillerStep(1))
	next := h.successor()
	next.pollFillers("a", 0, 2*time.Second)
	next.pollEach("b")
	got := next.movesOf(3*time.Second, 0, 2*time.Second)
	if want := []pv.RunRef{runOf("j", 0, 0, 1)}; !slices.Equal(got, want) {
		t.Errorf("got moves %v, want %v", got, want)
	}
}

// The remaining work follows from the progress and the cores that a run was given.
func TestRemainingWork(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	j := newJob(pv.Job{ID: "j", Steps: []pv.Step{fillerStep(2)}}, nil, testQueue, start)
	r := &run{task: j.steps[0].tasks[0]}
	r.pace.note(start, 10, 0.5)
	if got, want := r.remaining(), 1800*time.Millisecond; got != want {
		t.Errorf("by the estimate: got %v, want %v", got, want)
	}
	j.steps[0].fullSpeed.add(4 * time.Second)
	if got, want := r.remaining(), 3600*time.Millisecond; got != want {
		t.Errorf("by another task: got %v, want %v", got, want)
	}
	r.pace.note(start.Add(4*time.Second), 50, 0.5) // 40% with 2 s at full speed
	if got, want := r.remaining(), 2500*time.Millisecond; got != want {
		t.Errorf("by its progress: got %v, want %v", got, want)
	}
	if got, want := r.pace.wholeTask(start.Add(9*time.Second)), 5*time.Second; got != want {
		t.Errorf("whole task: got %v, want %v", got, want)
	}
}
