package planner

import (
	"testing"
	"time"

	pv "persimmonvalve"
)

// On a mostly idle fleet, a job whose fillers can't run fast anywhere gets one of
// them started soon. The others wait for capacity and start at once when it appears.
func TestFillersWithoutCapacity(t *testing.T) {
	h := newHarness(t)
	poll := func(id string) {
		h.reportPoll(id, 1, PollResult{})
		h.sendOrders(id)
	}
	poll("w")
	batch := stepWithTasks(4)
	h.submit("s", batch)
	h.tickAndCommit()
	filler := stepWithTasks(6)
	filler.Filler = true
	filler.Size.MilliCores = 8000
	h.submit("f", filler)
	for range 15 {
		poll("w")
		h.advance(100 * time.Millisecond)
	}
	if got, want := len(h.p.workers["w"].runs), 4+1; got != want {
		t.Errorf("got %d runs on the worker without free capacity, want %d", got, want)
	}
	for _, id := range []string{"u", "v"} {
		poll(id)
	}
	h.advance(100 * time.Millisecond)
	if got, want := len(h.p.workers["u"].runs)+len(h.p.workers["v"].runs), 2; got != want {
		t.Errorf("got %d runs on two empty workers, want %d", got, want)
	}
}

// On a mostly reserved fleet, fillers that can't run fast anywhere wait.
func TestFillersOnBusyFleet(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.sendOrders("w")
	h.submit("s", stepWithTasks(8))
	h.tickAndCommit()
	filler := stepWithTasks(2)
	filler.Filler = true
	h.submit("f", filler)
	for range 40 {
		h.reportPoll("w", 1, PollResult{})
		h.sendOrders("w")
		h.advance(100 * time.Millisecond)
	}
	if got, want := len(h.p.workers["w"].runs), 8; got != want {
		t.Errorf("got %d runs on the full worker, want %d", got, want)
	}
}

// A job whose only run is on a silent worker counts as making no progress, even
// while the worker's lease lasts: another of its fillers starts within 3 s.
func TestFillerBesideSilentWorker(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.sendOrders("w")
	h.submit("s", stepWithTasks(4))
	h.tickAndCommit()
	h.sendOrders("w")
	filler := stepWithTasks(3)
	filler.Filler = true
	filler.Size.MilliCores = 8000
	h.reportPoll("v", 1, PollResult{})
	h.sendOrders("v")
	h.submit("f", filler)
	h.tickAndCommit()
	started := h.sendOrders("v")
	if len(started) != 1 {
		t.Fatalf("got starts %v on the empty worker, want one", started)
	}
	h.reportPoll("v", 1, PollResult{Running: []pv.RunStatus{{Run: started[0]}}})
	for range 28 {
		h.reportPoll("w", 1, PollResult{})
		h.sendOrders("w")
		h.advance(100 * time.Millisecond)
	}
	if got, want := len(h.p.workers["w"].runs), 4+1; got != want {
		t.Errorf("got %d runs on the worker that answers, want %d", got, want)
	}
}

// A new leader restores runs on a worker that hasn't reported yet. The fleet doesn't
// count as busy because of them: a filler starts on the worker that has reported.
func TestIdleFleetBesideUnknownWorkers(t *testing.T) {
	h := newHarness(t)
	for _, id := range []string{"v", "w"} {
		h.reportPoll(id, 1, PollResult{})
		h.sendOrders(id)
	}
	h.submit("s", stepWithTasks(16))
	h.tickAndCommit()
	h.sendOrders("v")
	h.sendOrders("w")
	next := h.successor()
	report := func() {
		var running []pv.RunStatus
		for r := range next.p.worker(next.now, "w").runs {
			running = append(running, pv.RunStatus{Run: r})
		}
		next.reportPoll("w", 1, PollResult{Running: running})
		next.sendOrders("w")
	}
	report()
	for len(next.p.worker(next.now, "w").runs) > 4 { // end runs until half of the worker is free
		for r := range next.p.worker(next.now, "w").runs {
			next.reportPoll("w", 1, PollResult{Ended: []pv.RunEnd{{Sequence: next.p.worker(next.now, "w").appliedEnd + 1, Run: r, Kind: pv.EndSucceeded}}, EndsAbove: next.p.worker(next.now, "w").appliedEnd})
			break
		}
		next.tickAndCommit()
	}
	filler := stepWithTasks(1)
	filler.Filler = true
	filler.Size.MilliCores = 8000
	next.submit("f", filler)
	for range 28 {
		report()
		next.advance(100 * time.Millisecond)
	}
	if got, want := len(next.p.workers["w"].runs), 4+1; got != want {
		t.Errorf("got %d runs on the worker that answers, want %d", got, want)
	}
}

// Of two workers on which a filler wouldn't be throttled, it goes to the one where
// it takes the smaller part of the serving task's slack headroom.
func TestFillerUsesLeastHeadroom(t *testing.T) {
	h := newHarness(t)
	serving := func(job, image, worker string) {
		h.reportPoll(worker, 1, PollResult{})
		h.sendOrders(worker)
		s := stepWithTasks(1)
		s.Size.MilliCores, s.Standing, s.Image, s.LatencyTarget = 5000, true, image, 100*time.Millisecond
		h.submit(job, s)
		h.tickAndCommit()
		h.sendOrders(worker)
	}
	serving("a", "tender", "v")
	serving("b", "tough", "w")
	h.p.interference.coefficients[pv.ImagePair{Filler: "f", Serving: "tender"}] = 0.3
	h.p.interference.coefficients[pv.ImagePair{Filler: "f", Serving: "tough"}] = 0.1
	filler := stepWithTasks(1)
	filler.Size.MilliCores, filler.Filler, filler.Image = 2000, true, "f"
	h.reportPoll("v", 1, PollResult{})
	h.reportPoll("w", 1, PollResult{})
	h.submit("f", filler)
	h.tickAndCommit()
	if got := h.p.workers["w"].runs[runOf("f", 0, 0, 1)]; got == nil {
		t.Errorf("got the filler on another worker, want it beside the serving task with the lower interference coefficient")
	}
}

// Swinging load: the load of serving tasks changes by half within seconds. Fillers that
// wait for capacity start only as far as they would still run at minStartSpeed when the
// headroom has fallen by two fifths: a few that finish in time serve
// their jobs better than many that are throttled.
func TestFillersUnderSwingingLoad(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.sendOrders("w")
	serving := stepWithTasks(1)
	serving.Standing, serving.Image, serving.LatencyTarget = true, "s", 100*time.Millisecond
	h.submit("s", serving)
	h.tickAndCommit()
	h.sendOrders("w")
	const headroom, headroomAfterSwing, coefficient = 1.0, 0.6, 0.25
	h.p.jobs["s"].steps[0].slackModel = slackModel{baselineSlack: pv.MinSlack + headroom, meanCores: map[string]float64{}}
	h.p.interference.coefficients[pv.ImagePair{Filler: "f", Serving: "s"}] = coefficient
	filler := stepWithTasks(8)
	filler.Size.MilliCores, filler.Filler, filler.Image = 1000, true, "f"
	h.submit("f", filler)
	for range 5 {
		h.reportPoll("w", 1, PollResult{})
		h.sendOrders("w")
		h.advance(100 * time.Millisecond)
	}
	started := len(h.p.workers["w"].runs) - 1
	if loss := float64(started) * coefficient; started == 0 || loss*minStartSpeed > headroomAfterSwing {
		t.Errorf("got %d fillers that take %.2f of the slack, want some that take at most %.2f at %.2f of their speed", started, loss, headroomAfterSwing, minStartSpeed)
	}
}

// standingFillers returns a step of standing fillers, of which five run at 0.8 of their full
// speed on an empty worker of the harness, and a sixth one would make all run at 0.67.
func standingFillers(count int) pv.Step {
	s := stepWithTasks(count)
	s.Filler, s.Standing, s.Size.MilliCores = true, true, 2000
	return s
}

// pollEach reports a poll of each worker that lists all of its runs as running, and takes the
// workers' orders.
func (h *harness) pollEach(ids ...string) {
	for _, id := range ids {
		var running []pv.RunStatus
		for r := range h.p.worker(h.now, pv.WorkerID(id)).runs {
			running = append(running, pv.RunStatus{Run: r})
		}
		h.reportPoll(id, 1, PollResult{Running: running})
		h.sendOrders(id)
	}
}

// advanceUntil advances the time, while the workers answer polls, until done reports true.
func (h *harness) advanceUntil(done func() bool, answering ...string) {
	h.t.Helper()
	for start := h.now; !done(); h.advance(100 * time.Millisecond) {
		if h.now.Sub(start) > 20*time.Second {
			h.t.Fatal("got no change within 20 s, want one")
		}
		h.pollEach(answering...)
	}
}

// maxStandingWait is the time within which a standing task has to start where it fits.
const maxStandingWait = 3 * time.Second

// LOST: standing fillers of a lost worker were never started again where they would be slow,
// for as long as others of their job ran.
func TestStandingFillersOfLostWorker(t *testing.T) {
	h := newHarness(t)
	h.pollEach("u", "v", "w")
	h.submit("f", standingFillers(15))
	h.tickAndCommit()
	h.pollEach("u", "v", "w")
	if got, want := len(h.p.workers["w"].runs), 5; got != want {
		t.Fatalf("got %d runs on the worker to be lost, want %d", got, want)
	}
	h.advanceUntil(func() bool { return len(h.p.workers["w"].runs) == 0 }, "u", "v")
	for end := h.now.Add(maxStandingWait); h.now.Before(end); h.advance(100 * time.Millisecond) {
		h.pollEach("u", "v")
	}
	if got, want := len(h.p.workers["u"].runs)+len(h.p.workers["v"].runs), 15; got != want {
		t.Errorf("got %d standing fillers on the two workers that are left, want all %d", got, want)
	}
}

// LOST: a standing filler waited on a fleet whose cores were reserved by serving tasks,
// although it reserves no cores and they may run for as long as it.
func TestStandingFillerOnBusyFleet(t *testing.T) {
	h := newHarness(t)
	h.pollEach("w")
	serving := stepWithTasks(8)
	serving.Standing, serving.LatencyTarget = true, 100*time.Millisecond
	h.submit("s", serving)
	h.tickAndCommit()
	h.submit("f", standingFillers(2))
	for end := h.now.Add(maxStandingWait); h.now.Before(end); h.advance(100 * time.Millisecond) {
		h.pollEach("w")
	}
	if got, want := len(h.p.workers["w"].runs), 8+2; got != want {
		t.Errorf("got %d runs on the worker without free cores, want %d", got, want)
	}
}

// LOST: a standing filler waited for as long as siblings before it in its step failed one
// after the other, since the pass over the step ended at one that had just begun to wait.
func TestStandingFillerBehindFailingSiblings(t *testing.T) {
	h := newHarness(t)
	h.pollEach("w")
	h.submit("s", stepWithTasks(8))
	h.tickAndCommit()
	h.pollEach("w")
	const siblings = 6
	h.submit("f", standingFillers(siblings+1))
	tasks := h.p.jobs["f"].steps[0].tasks
	h.advanceUntil(func() bool { return tasks[siblings].run != nil }, "w")
	fail := func(i int) {
		w := h.p.workers["w"]
		h.reportPoll("w", 1, PollResult{Ended: []pv.RunEnd{{Sequence: w.appliedEnd + 1, Run: tasks[i].run.ref(), Kind: pv.EndFailed}}, EndsAbove: w.appliedEnd})
		w.consecutiveFailures, w.quarantinedUntil = 0, time.Time{} // other runs succeed meanwhile
	}
	fail(siblings)
	start := h.now
	for i := 0; tasks[siblings].run == nil; {
		waited := h.now.Sub(start)
		if waited > maxStandingWait {
			t.Fatalf("got a standing filler that waits for more than %v, want it started", maxStandingWait)
		}
		if i < siblings && waited >= time.Duration(i)*(maxFillerWait-100*time.Millisecond) {
			fail(i) // before the one that failed last is started again
			i++
		}
		h.pollEach("w")
		h.advance(50 * time.Millisecond)
	}
}

// A batch filler waits for other runs of its job only if they end by themselves: not for a
// standing step of the same job.
func TestBatchFillerBesideStandingStep(t *testing.T) {
	h := newHarness(t)
	h.pollEach("w")
	h.submit("s", stepWithTasks(4))
	h.tickAndCommit()
	h.pollEach("w")
	standing, batch := stepWithTasks(1), stepWithTasks(2)
	standing.Standing, standing.Size.MilliCores = true, 100
	batch.Filler, batch.Size.MilliCores = true, 8000
	h.submit("f", standing, batch)
	for end := h.now.Add(maxStandingWait); h.now.Before(end); h.advance(100 * time.Millisecond) {
		h.pollEach("w")
	}
	if got, want := len(h.p.workers["w"].runs), 4+1+1; got != want {
		t.Errorf("got %d runs, want %d: one filler of the job, beside its standing task", got, want)
	}
}

// LOST: a filler of an idle service waited for as long as the workers of another service were
// busy.
func TestFillerOfIdleServiceBesideBusyOne(t *testing.T) {
	h := newHarness(t)
	serving := func(service, job string, count int) pv.Queue {
		queue := testQueue
		queue.Name, queue.Service = "queue of "+service, service
		s := stepWithTasks(count)
		s.Standing, s.LatencyTarget, s.Image = true, 100*time.Millisecond, "serving"
		h.submitTo(queue, job, s)
		return queue
	}
	for _, id := range []string{"u", "v", "w"} {
		h.services[pv.WorkerID(id)] = "busy"
	}
	h.services["x"] = "idle"
	h.pollEach("u", "v", "w", "x")
	serving("busy", "b", 23)
	idle := serving("idle", "i", 3)
	h.tickAndCommit()
	filler := stepWithTasks(1)
	filler.Filler, filler.Size.MilliCores = true, 8000
	h.submitTo(idle, "f", filler)
	for end := h.now.Add(maxStandingWait); h.now.Before(end); h.advance(100 * time.Millisecond) {
		h.pollEach("u", "v", "w", "x")
	}
	if got, want := len(h.p.workers["x"].runs), 3+1; got != want {
		t.Errorf("got %d runs on the worker of the mostly idle service, want %d", got, want)
	}
}
