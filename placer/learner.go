package placer

// This file defines what is learned from reports. Everything starts at the
// declaration, which counts as a few observations, and moves with the load.

import (
	"math"

	pv "persimmonvalve"
)

const (
	// priorWeight is how many observations the declaration counts for.
	priorWeight = 2
	// memoryOf bounds the weight of what was seen, so that estimates move.
	memoryOf = 100
	// spread is how many deviations above the mean a reservation lies.
	spread = 2.0
	// learnRate is the step of the pair costs upwards. Noise comes in waves, and
	// a kind that was loud minutes ago is likely to be so again: estimates rise
	// at once and fall slowly.
	learnRate  = 0.15
	forgetRate = 0.01
	// ratio bounds, as declarations are off by up to ten times.
	leastRatio = 0.05
	mostRatio  = 12.0
)

// average is a mean and variance whose old observations fade.
type average struct {
	seen                   float64 // observations in all
	weight, mean, variance float64
}

func (a *average) add(x float64) {
	a.seen++
	a.weight = min(a.weight+1, memoryOf)
	step := 1 / a.weight
	delta := x - a.mean
	a.mean += step * delta
	a.variance = (1 - step) * (a.variance + step*delta*delta)
}

func (a *average) high() float64 {
	return a.mean + spread*math.Sqrt(a.variance)
}

// ratio blends what was seen with the declaration, which is 1. The declaration
// takes no part in the deviation: that would stay in it long after.
func (a *average) ratio() float64 {
	return (priorWeight + a.seen*a.high()) / (priorWeight + a.seen)
}

// usage is what a kind uses in proportion to what it declares.
type usage struct {
	cores, memory average
}

func newUsage() *usage { return &usage{} }

func (u *usage) add(declared, used pv.Resources) {
	if declared.MilliCores > 0 {
		u.cores.add(float64(used.MilliCores) / float64(declared.MilliCores))
	}
	if declared.MemoryMB > 0 {
		u.memory.add(float64(used.MemoryMB) / float64(declared.MemoryMB))
	}
}

// steps is how finely reservations are rounded; a finer one would make room
// for a whole task less by the last trace of an old estimate.
const steps = 50

func scaled(n int64, ratio float64) int64 {
	rounded := math.Round(min(max(ratio, leastRatio), mostRatio)*steps) / steps
	return int64(math.Ceil(float64(n) * rounded))
}

func (u *usage) reserve(declared pv.Resources) pv.Resources {
	r := declared
	r.MilliCores = scaled(declared.MilliCores, u.cores.ratio())
	r.MemoryMB = scaled(declared.MemoryMB, u.memory.ratio())
	return r
}

type pair struct{ victim, neighbour string }

// costs are the estimated slowdowns that one task of a kind adds to another.
type costs struct {
	pairs map[pair]float64
	mean  average // of all victims and neighbours: what an unseen pair is taken for
}

func newCosts() *costs {
	return &costs{pairs: map[pair]float64{}}
}

func (c *costs) of(victim, neighbour string) float64 {
	if v, ok := c.pairs[pair{victim, neighbour}]; ok {
		return v
	}
	return c.mean.mean
}

// add moves the costs of the pairs behind one measured slowdown towards it, by
// the normalised least mean squares rule: the error is shared evenly.
func (c *costs) add(victim string, slowdown float64, neighbours []pv.Neighbour) {
	if len(neighbours) == 0 {
		return
	}
	expected := 0.0
	for _, n := range neighbours {
		expected += c.of(victim, n.Kind)
	}
	miss := (slowdown - 1) - expected
	rate := learnRate
	if miss < 0 {
		rate = forgetRate
	}
	step := rate * miss / float64(len(neighbours))
	for _, n := range neighbours {
		p := pair{victim, n.Kind}
		c.pairs[p] = max(0, c.of(victim, n.Kind)+step)
	}
	c.mean.add(max(0, (slowdown-1)/float64(len(neighbours))))
}
