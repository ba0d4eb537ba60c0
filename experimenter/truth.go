package experimenter

// This file defines what the work of both sites really does, which only the
// fakes and the oracle know.

import (
	"time"

	pv "persimmonvalve"
	"persimmonvalve/standin"
)

// kind is the truth of one kind of task.
type kind struct {
	factor float64 // of the declared size that is really used
	time   float64 // of the declared run time that it really takes
	noise  float64 // what it adds to the slowdown of a quick service beside it
	crowd  float64 // what it adds to the slowdown of a batch task beside it
}

// truth implements standin.Truth for the harness.
type truth struct {
	kinds  map[string]kind
	loud   string // kind whose noise comes in waves
	waves  func(now time.Time) float64
	failed map[string]bool
}

var _ standin.Truth = (*truth)(nil)

// The kinds of work; both sites have the same shapes under other names.
const (
	kindService  = "lookupService"
	kindHeavy    = "simulation"
	kindNoisy    = "resonance"
	kindStanding = "watch"
	kindRush     = "express"
)

func newTruth(off float64) *truth {
	t := &truth{
		kinds: map[string]kind{
			kindService:  {factor: 1, time: 1, noise: 0.02, crowd: 0.02},
			kindHeavy:    {factor: 0.75, time: 1, noise: 0.04, crowd: 0.01},
			kindNoisy:    {factor: 0.9, time: 1, noise: 0.35, crowd: 0.08},
			kindStanding: {factor: 0.5, time: 1, noise: 0.01, crowd: 0.005},
			kindRush:     {factor: 0.8, time: 1, noise: 0.03, crowd: 0.01},
		},
		loud:  kindNoisy,
		waves: func(time.Time) float64 { return 1 },
	}
	if off != 1 {
		heavy, noisy := t.kinds[kindHeavy], t.kinds[kindNoisy]
		heavy.factor, heavy.time = 1/off, 1/off // declared ten times too large
		noisy.factor, noisy.time = 2, off/4     // declared too small
		t.kinds[kindHeavy], t.kinds[kindNoisy] = heavy, noisy
	}
	return t
}

// Use implements standin.Truth.
func (t *truth) Use(spec pv.TaskSpec) pv.Resources {
	used := spec.Size.Scale(int64(1000*t.kinds[spec.Kind].factor), 1000)
	used.Slots, used.Accelerators = spec.Size.Slots, spec.Size.Accelerators
	return used
}

// RunTime implements standin.Truth.
func (t *truth) RunTime(spec pv.TaskSpec) time.Duration {
	return time.Duration(float64(spec.RunTime) * t.kinds[spec.Kind].time)
}

// Cost implements standin.Truth.
func (t *truth) Cost(now time.Time, victim, neighbour string) float64 {
	k := t.kinds[neighbour]
	cost := k.crowd
	if victim == kindService {
		cost = k.noise
	}
	if neighbour == t.loud {
		cost *= t.waves(now)
	}
	return cost
}

// Fails implements standin.Truth.
func (t *truth) Fails(spec pv.TaskSpec) bool { return t.failed[spec.Kind] }
