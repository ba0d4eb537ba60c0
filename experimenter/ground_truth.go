package experimenter

// This file defines the ground truth of the work: real sizes, run times and
// interference. Only the fakes and the oracle read it.

import (
	"time"

	pv "persimmonvalve"
	"persimmonvalve/standin"
)

// kindTruth is the ground truth of one kind of task.
type kindTruth struct {
	useFactor           float64 // cores and memory in use / declared cores and memory
	runTimeFactor       float64 // undisturbed run time / declared run time
	serviceInterference float64 // added to the slowdown of a service task on the same worker
	batchInterference   float64 // added to the slowdown of any other task on the same worker
}

// groundTruth implements standin.GroundTruth for the simulation.
type groundTruth struct {
	kinds                   map[string]kindTruth
	noisyKind               string                      // kind whose interference varies with time
	noisyInterferenceFactor func(now time.Time) float64 // factor on the interference of noisyKind
	failingKinds            map[string]bool             // kinds whose tasks fail on every worker
}

var _ standin.GroundTruth = (*groundTruth)(nil)

// Kinds of tasks. They are the same on both simulated sites, although the sites
// themselves name them differently.
const (
	kindService  = "lookupService"
	kindHeavy    = "simulation"
	kindNoisy    = "resonance"
	kindStanding = "watch"
	kindUrgent   = "express"
)

func newGroundTruth(declarationError float64) *groundTruth {
	t := &groundTruth{
		kinds: map[string]kindTruth{
			kindService:  {useFactor: 1, runTimeFactor: 1, serviceInterference: 0.02, batchInterference: 0.02},
			kindHeavy:    {useFactor: 0.75, runTimeFactor: 1, serviceInterference: 0.04, batchInterference: 0.01},
			kindNoisy:    {useFactor: 0.9, runTimeFactor: 1, serviceInterference: 0.35, batchInterference: 0.08},
			kindStanding: {useFactor: 0.5, runTimeFactor: 1, serviceInterference: 0.01, batchInterference: 0.005},
			kindUrgent:   {useFactor: 0.8, runTimeFactor: 1, serviceInterference: 0.03, batchInterference: 0.01},
		},
		noisyKind:               kindNoisy,
		noisyInterferenceFactor: func(time.Time) float64 { return 1 },
	}
	if declarationError != 1 {
		heavy, noisy := t.kinds[kindHeavy], t.kinds[kindNoisy]
		heavy.useFactor, heavy.runTimeFactor = 1/declarationError, 1/declarationError // declared too large by the factor declarationError
		noisy.useFactor, noisy.runTimeFactor = 2, declarationError/4                  // declared too small: half the size, 4/declarationError of the run time
		t.kinds[kindHeavy], t.kinds[kindNoisy] = heavy, noisy
	}
	return t
}

// ActualUse implements standin.GroundTruth.
func (t *groundTruth) ActualUse(spec pv.TaskSpec) pv.Resources {
	used := spec.Size.Scale(int64(1000*t.kinds[spec.Kind].useFactor), 1000)
	used.Slots, used.Accelerators = spec.Size.Slots, spec.Size.Accelerators
	return used
}

// ActualRunTime implements standin.GroundTruth.
func (t *groundTruth) ActualRunTime(spec pv.TaskSpec) time.Duration {
	return time.Duration(float64(spec.RunTime) * t.kinds[spec.Kind].runTimeFactor)
}

// AddedSlowdown implements standin.GroundTruth.
func (t *groundTruth) AddedSlowdown(now time.Time, victim, neighbour string) float64 {
	k := t.kinds[neighbour]
	slowdown := k.batchInterference
	if victim == kindService {
		slowdown = k.serviceInterference
	}
	if neighbour == t.noisyKind {
		slowdown *= t.noisyInterferenceFactor(now)
	}
	return slowdown
}

// AlwaysFails implements standin.GroundTruth.
func (t *groundTruth) AlwaysFails(spec pv.TaskSpec) bool { return t.failingKinds[spec.Kind] }
