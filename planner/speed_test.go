package planner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	pv "persimmonvalve"
)

// fleet is a harness with a serving task on each worker.
type fleet struct {
	*harness
	ids    []string
	random *rand.Rand
}

func newFleet(t *testing.T, workers int) *fleet {
	f := &fleet{harness: newHarness(t), random: rand.New(rand.NewPCG(1, 1))}
	for i := range workers {
		f.ids = append(f.ids, fmt.Sprintf("w%02d", i))
	}
	f.pollEach(f.ids...)
	f.submit("serving", servingStep(workers, "s"))
	f.tickAndCommit()
	f.pollEach(f.ids...)
	return f
}

// servingStep returns a step of serving tasks on a worker each.
func servingStep(count int, image string) pv.Step {
	return pv.Step{Count: count, Size: pv.Resources{MilliCores: 1000, MemoryMB: 10}, Standing: true, LatencyTarget: 150 * time.Millisecond, Image: image, MaxPerWorker: 1}
}

// serve lets time pass with polls in which each serving task shows the latency of its load, times
// the slowness of its worker, with a tenth of noise. The load swings.
func (f *fleet) serve(d time.Duration, slowness func(id string, image string) float64) {
	for end := f.now.Add(d); f.now.Before(end); f.advance(250 * time.Millisecond) {
		load := 50 + 20*f.random.Float64()
		for _, id := range f.ids {
			w := f.p.worker(f.now, pv.WorkerID(id))
			poll := PollResult{EndsAbove: w.appliedEnd}
			for ref, r := range w.runs {
				status := pv.RunStatus{Run: ref, ProgressPercent: 100}
				if r.task.step.spec.LatencyTarget > 0 {
					status.Measured = int64(load * slowness(id, r.task.step.spec.Image) * (0.9 + 0.2*f.random.Float64()))
				} else if status.ProgressPercent = int(100 * f.now.Sub(r.assignedAt).Seconds() / slowness(id, "") / batchTime.Seconds()); status.ProgressPercent >= 100 {
					poll.Ended = append(poll.Ended, pv.RunEnd{Sequence: w.appliedEnd + int64(len(poll.Ended)) + 1, Run: ref, Kind: pv.EndSucceeded})
					continue
				}
				poll.Running = append(poll.Running, status)
			}
			f.reportPoll(id, 1, poll)
			f.sendOrders(id)
		}
	}
}

// batchTime is how long a batch task takes on a worker that isn't slow.
const batchTime = 2 * time.Second

// avoidedIDs returns the workers that are avoided.
func (f *fleet) avoidedIDs() []string {
	var out []string
	for w := range f.p.slowWorkers(f.now) {
		out = append(out, string(w.state.ID))
	}
	slices.Sort(out)
	return out
}

// slowFirst returns a slowness of x for the first n workers.
func (f *fleet) slowFirst(n int, x float64) func(string, string) float64 {
	return func(id, _ string) float64 {
		if slices.Index(f.ids, id) < n {
			return x
		}
		return 1
	}
}

func even(string, string) float64 { return 1 }

// Some workers become four times slower, and well again. They, and no others, are avoided within
// three seconds, and used again soon after.
func TestSomeWorkersSlow(t *testing.T) {
	for name, slow := range map[string]int{"none": 0, "one": 1, "three in ten": 3} {
		f := newFleet(t, 10)
		f.serve(3*time.Second, even)
		f.serve(3*time.Second, f.slowFirst(slow, 4))
		if got, want := f.avoidedIDs(), f.ids[:slow]; !slices.Equal(got, want) {
			t.Errorf("%s: got %v avoided, want %v", name, got, want)
		}
		f.serve(5*time.Second, even)
		if got := f.avoidedIDs(); len(got) != 0 {
			t.Errorf("%s: got %v avoided after they were well again, want none", name, got)
		}
	}
}

// A load that slows all workers, or most of them, makes none of them one to avoid: there is no
// better place.
func TestMostWorkersSlow(t *testing.T) {
	for name, slow := range map[string]int{"all": 10, "eight in ten": 8} {
		f := newFleet(t, 10)
		f.serve(3*time.Second, even)
		for range 20 {
			f.serve(500*time.Millisecond, f.slowFirst(slow, 3))
			if got := f.avoidedIDs(); len(got) > len(f.ids)/2 {
				t.Errorf("%s: got %v avoided, want at most half", name, got)
			}
		}
	}
}

// One image is slow on one worker, where tasks of two others run as usual: the worker isn't slow.
func TestSlowForOneImageOnly(t *testing.T) {
	f := newFleet(t, 4)
	f.submit("second", servingStep(4, "u"))
	f.submit("third", servingStep(4, "v"))
	f.tickAndCommit()
	f.serve(3*time.Second, even)
	f.serve(5*time.Second, func(id, image string) float64 {
		if id == f.ids[0] && image == "u" {
			return 4
		}
		return 1
	})
	if got := f.avoidedIDs(); len(got) != 0 {
		t.Errorf("got %v avoided, want none", got)
	}
}

// The load of one step rises to eight times for good, on both of its workers, where nothing else
// shows that they are as fast as others: they aren't avoided for long.
func TestLoadOfOneStepRises(t *testing.T) {
	f := &fleet{harness: newHarness(t), ids: []string{"w0", "w1", "w2", "w3", "w4"}, random: rand.New(rand.NewPCG(1, 1))}
	f.pollEach(f.ids...)
	for image, count := range map[string]int{"a": 2, "b": 3} {
		step := servingStep(count, image)
		step.Size.MilliCores = 5000 // one fits on a worker
		f.submit(image, step)
	}
	f.tickAndCommit()
	f.serve(3*time.Second, even)
	f.serve(2*slownessMemory, func(_, image string) float64 {
		if image == "a" {
			return 8
		}
		return 1
	})
	if got := f.avoidedIDs(); len(got) != 0 {
		t.Errorf("got %v avoided, want none", got)
	}
}

// Single measurements of twice the latency, as serving tasks show every few seconds, make no
// worker slow.
func TestOutliersAreNoSlowWorker(t *testing.T) {
	f := newFleet(t, 10)
	for i := range 40 {
		f.serve(250*time.Millisecond, func(id, _ string) float64 {
			if id == f.ids[0] && i%8 == 0 {
				return 2
			}
			return 1
		})
		if got := f.avoidedIDs(); len(got) != 0 {
			t.Fatalf("got %v avoided, want none", got)
		}
	}
}

// Batch tasks on workers that become slow are moved, and new ones start there last.
func TestBatchWorkBesideSlowWorkers(t *testing.T) {
	f := newFleet(t, 4)
	f.serve(3*time.Second, even)
	slow := f.slowFirst(1, 6)
	step := stepWithTasks(16)
	step.Size.MilliCores, step.Estimate = 1500, batchTime
	f.submit("j", step)
	f.tickAndCommit()
	before := len(f.p.workers["w00"].runs)
	f.serve(4*time.Second, slow)
	moved := 0
	for _, e := range f.p.Events() {
		if e.Kind == "batch moves" {
			if e.Worker != "w00" {
				t.Errorf("got a move from %s, want them from w00 alone", e.Worker)
			}
			moved++
		}
	}
	if before <= 1 || moved == 0 {
		t.Errorf("got %d moves of %d runs on the slow worker, want some", moved, before-1)
	}
	step.Count = 3
	f.submit("k", step)
	f.tickAndCommit()
	for _, task := range f.p.jobs["k"].steps[0].tasks {
		if r := task.run; r != nil && r.worker.state.ID == "w00" {
			t.Errorf("got task %v on the slow worker, want it elsewhere", task.ref())
		}
	}
}

// More batch tasks run on a slow worker than others have room for: as many as fit are moved at
// once, the others go on.
func TestSlowWorkerAndLittleRoomElsewhere(t *testing.T) {
	f := newFleet(t, 3)
	f.serve(2*time.Second, even)
	step := stepWithTasks(12)
	step.Size.MilliCores, step.Estimate = 1500, batchTime
	f.submit("j", step)
	f.tickAndCommit()
	running := len(f.p.workers["w00"].runs) - 1
	standing := stepWithTasks(2)
	standing.Size.MilliCores, standing.Standing, standing.MaxPerWorker = 5000, true, 1
	f.submit("s", standing)
	moves := 0
	for range 20 {
		f.serve(250*time.Millisecond, f.slowFirst(1, 8))
		for _, e := range f.p.Events() {
			if e.Kind == "batch moves" {
				moves++
			}
		}
		if moves > 0 {
			break
		}
	}
	const want = 2 // one for each other worker
	if running <= want || moves != want {
		t.Errorf("got %d of %d tasks moved, want %d", moves, running, want)
	}
}

// Only a slow worker has room: the task starts there.
func TestSlowWorkerIsUsedIfOthersAreFull(t *testing.T) {
	f := newFleet(t, 3)
	f.serve(2*time.Second, even)
	full := stepWithTasks(2)
	full.Size.MilliCores, full.Standing, full.MaxPerWorker = 7000, true, 1
	f.serve(3*time.Second, f.slowFirst(1, 4))
	f.submit("full", full)
	f.tickAndCommit()
	f.submit("j", stepWithTasks(1))
	f.tickAndCommit()
	if r := f.p.jobs["j"].steps[0].tasks[0].run; r == nil || r.worker.state.ID != "w00" {
		t.Errorf("got run %+v, want one on the slow worker", r)
	}
}

// The submitter's estimate is off by three on all workers: fillers are compared with each other.
func TestWrongEstimateIsNoSlowWorker(t *testing.T) {
	h := newHarness(t)
	h.pollEach("a", "b")
	h.submit("j", fillerStep(6))
	h.tickAndCommit()
	for range 10 {
		h.pollFillers("a", 1, 6*time.Second)
		h.pollFillers("b", 1, 6*time.Second)
		h.advance(500 * time.Millisecond)
	}
	if got := h.p.slowWorkers(h.now); len(got) != 0 {
		t.Errorf("got %d workers avoided, want none", len(got))
	}
}

// A new leader learns the speed of the workers from its own polls within three seconds.
func TestSlowWorkersAsLeaderChanges(t *testing.T) {
	f := newFleet(t, 10)
	f.serve(2*time.Second, f.slowFirst(3, 4))
	next := &fleet{harness: f.successor(), ids: f.ids, random: f.random}
	next.serve(3*time.Second, f.slowFirst(3, 4))
	if got, want := next.avoidedIDs(), f.ids[:3]; !slices.Equal(got, want) {
		t.Errorf("got %v avoided, want %v", got, want)
	}
}

// What is known of a worker is forgotten when nothing is heard of its speed, and with its
// incarnation.
func TestSlownessIsForgotten(t *testing.T) {
	f := newFleet(t, 4)
	f.serve(2*time.Second, even)
	f.serve(3*time.Second, f.slowFirst(1, 4))
	if got := f.avoidedIDs(); len(got) != 1 {
		t.Fatalf("got %v avoided, want one", got)
	}
	if got := f.p.slowWorkers(f.now.Add(slownessMemory + time.Second)); len(got) != 0 {
		t.Errorf("got %d workers avoided after %v without a sample, want none", len(got), slownessMemory)
	}
	f.reportPoll(f.ids[0], 2, PollResult{})
	if got := f.avoidedIDs(); len(got) != 0 {
		t.Errorf("got %v avoided after a restart, want none", got)
	}
}
