package planner

import (
	"testing"
	"time"

	pv "persimmonvalve"
)

// On a mostly idle fleet, a job whose fillers find no good place has one of them
// running soon; the others wait for room, and all start at once where there is.
func TestFillersWithoutRoom(t *testing.T) {
	b := newBench(t)
	look := func(id string) {
		b.report(id, 1, PollResult{})
		b.starts(id)
	}
	look("w")
	half := tasks(4)
	b.submit("s", half)
	b.settle()
	filler := tasks(6)
	filler.Filler = true
	filler.Size.MilliCores = 8000
	b.submit("f", filler)
	for range 15 {
		look("w")
		b.pass(100 * time.Millisecond)
	}
	if got, want := len(b.p.workers["w"].runs), 4+1; got != want {
		t.Errorf("got %d runs on the worker without room, want %d", got, want)
	}
	for _, id := range []string{"u", "v"} {
		look(id)
	}
	b.pass(100 * time.Millisecond)
	if got, want := len(b.p.workers["u"].runs)+len(b.p.workers["v"].runs), 2; got != want {
		t.Errorf("got %d runs on two empty workers, want %d", got, want)
	}
}

// On a fleet that is mostly reserved, fillers without a good place wait.
func TestFillersOnBusyFleet(t *testing.T) {
	b := newBench(t)
	b.report("w", 1, PollResult{})
	b.starts("w")
	b.submit("s", tasks(8))
	b.settle()
	filler := tasks(2)
	filler.Filler = true
	b.submit("f", filler)
	for range 40 {
		b.report("w", 1, PollResult{})
		b.starts("w")
		b.pass(100 * time.Millisecond)
	}
	if got, want := len(b.p.workers["w"].runs), 8; got != want {
		t.Errorf("got %d runs on the full worker, want %d", got, want)
	}
}

// A job whose only run is on a worker that fell silent counts as standing still,
// however long its lease is: another filler of it starts within 3 s.
func TestFillerBesideSilentWorker(t *testing.T) {
	b := newBench(t)
	b.report("w", 1, PollResult{})
	b.starts("w")
	b.submit("s", tasks(4))
	b.settle()
	b.starts("w")
	filler := tasks(3)
	filler.Filler = true
	filler.Size.MilliCores = 8000
	b.report("v", 1, PollResult{})
	b.starts("v")
	b.submit("f", filler)
	b.settle()
	begun := b.starts("v")
	if len(begun) != 1 {
		t.Fatalf("got starts %v on the empty worker, want one", begun)
	}
	b.report("v", 1, PollResult{Running: []pv.RunStatus{{Run: begun[0]}}})
	for range 28 {
		b.report("w", 1, PollResult{})
		b.starts("w")
		b.pass(100 * time.Millisecond)
	}
	if got, want := len(b.p.workers["w"].runs), 4+1; got != want {
		t.Errorf("got %d runs on the worker that answers, want %d", got, want)
	}
}

// Runs that a new leader knows of on workers that it hasn't heard of don't make
// the fleet look busy: a filler starts on what is there.
func TestIdleFleetBesideUnknownWorkers(t *testing.T) {
	b := newBench(t)
	for _, id := range []string{"v", "w"} {
		b.report(id, 1, PollResult{})
		b.starts(id)
	}
	b.submit("s", tasks(16))
	b.settle()
	b.starts("v")
	b.starts("w")
	n := b.successor()
	report := func() {
		var running []pv.RunStatus
		for r := range n.p.worker(n.now, "w").runs {
			running = append(running, pv.RunStatus{Run: r})
		}
		n.report("w", 1, PollResult{Running: running})
		n.starts("w")
	}
	report()
	for len(n.p.worker(n.now, "w").runs) > 4 { // some end, so that half of it is free
		for r := range n.p.worker(n.now, "w").runs {
			n.report("w", 1, PollResult{Ended: []pv.RunEnd{{Number: n.p.worker(n.now, "w").endSeen + 1, Run: r, Kind: pv.EndDone}}, EndsAfter: n.p.worker(n.now, "w").endSeen})
			break
		}
		n.settle()
	}
	filler := tasks(1)
	filler.Filler = true
	filler.Size.MilliCores = 8000
	n.submit("f", filler)
	for range 28 {
		report()
		n.pass(100 * time.Millisecond)
	}
	if got, want := len(n.p.workers["w"].runs), 4+1; got != want {
		t.Errorf("got %d runs on the worker that answers, want %d", got, want)
	}
}

// Of two workers on which it would keep its pace, a filler goes to the one where
// it takes less of what the serving task leaves.
func TestFillerTakesLeastRoom(t *testing.T) {
	b := newBench(t)
	serving := func(job, image, worker string) {
		b.report(worker, 1, PollResult{})
		b.starts(worker)
		s := tasks(1)
		s.Size.MilliCores, s.Standing, s.Image, s.LatencyTarget = 5000, true, image, 100*time.Millisecond
		b.submit(job, s)
		b.settle()
		b.starts(worker)
	}
	serving("a", "tender", "v")
	serving("b", "tough", "w")
	b.p.interference.press[pv.ImagePair{Filler: "f", Serving: "tender"}] = 0.3
	b.p.interference.press[pv.ImagePair{Filler: "f", Serving: "tough"}] = 0.1
	filler := tasks(1)
	filler.Size.MilliCores, filler.Filler, filler.Image = 2000, true, "f"
	b.report("v", 1, PollResult{})
	b.report("w", 1, PollResult{})
	b.submit("f", filler)
	b.settle()
	if got := b.p.workers["w"].runs[runOf("f", 0, 0, 1)]; got == nil {
		t.Errorf("got the filler elsewhere than beside the task that it disturbs less")
	}
}
