package placer

// This file defines the estimates that are learned from observations: usage per
// kind and slowdown per pair of kinds. Usage starts at the declaration, which
// counts as a few observations.

import (
	"math"

	pv "persimmonvalve"
)

const (
	// priorObservations is the number of observations that the declaration
	// counts for.
	priorObservations = 2
	// maxAverageWeight limits the weight of past observations, in observations,
	// so that averages follow changes.
	maxAverageWeight = 100
	// reservationDeviations is the number of standard deviations above the mean
	// at which a reservation lies.
	reservationDeviations = 2.0
	// Fractions of the error by which one observation raises or lowers the pair
	// costs. Interference recurs: a kind that interfered minutes ago will probably
	// do so again. Estimates therefore rise quickly and fall slowly.
	costRiseRate = 0.15
	costFallRate = 0.01
	// Limits of the ratio of use to declaration: declarations are wrong by up
	// to a factor of ten, which lies within the limits in both directions.
	minRatio = 0.05
	maxRatio = 12.0
)

// movingAverage is a mean and variance in which older observations lose weight.
type movingAverage struct {
	observations           float64 // total number of observations
	weight, mean, variance float64
}

func (a *movingAverage) add(x float64) {
	a.observations++
	a.weight = min(a.weight+1, maxAverageWeight)
	step := 1 / a.weight
	delta := x - a.mean
	a.mean += step * delta
	a.variance = (1 - step) * (a.variance + step*delta*delta)
}

func (a *movingAverage) upperEstimate() float64 {
	return a.mean + reservationDeviations*math.Sqrt(a.variance)
}

// ratio averages the upper estimate and the declaration, which is 1, weighted by
// number of observations. The declaration doesn't enter the variance, where it
// would have a long-lasting effect.
func (a *movingAverage) ratio() float64 {
	return (priorObservations + a.observations*a.upperEstimate()) / (priorObservations + a.observations)
}

// usage is the ratio of a kind's use to its declaration.
type usage struct {
	cores, memory movingAverage
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

// ratioSteps is the number of rounding steps per unit of ratio. Rounding removes
// the small remaining influence of an outdated estimate; with finer steps, it could
// raise a reservation so far that one task fewer fits on a worker.
const ratioSteps = 50

func scaleByRatio(n int64, ratio float64) int64 {
	roundedRatio := math.Round(min(max(ratio, minRatio), maxRatio)*ratioSteps) / ratioSteps
	return int64(math.Ceil(float64(n) * roundedRatio))
}

func (u *usage) reserve(declared pv.Resources) pv.Resources {
	r := declared
	r.MilliCores = scaleByRatio(declared.MilliCores, u.cores.ratio())
	r.MemoryMB = scaleByRatio(declared.MemoryMB, u.memory.ratio())
	return r
}

type kindPair struct{ victim, neighbour string }

// costs are the estimated slowdowns that one task of a kind (the neighbour) adds
// to a task of another kind (the victim).
type costs struct {
	pairs map[kindPair]float64
	mean  movingAverage // over all pairs: the estimate for a pair without observations
}

func newCosts() *costs {
	return &costs{pairs: map[kindPair]float64{}}
}

func (c *costs) estimate(victim, neighbour string) float64 {
	if v, ok := c.pairs[kindPair{victim, neighbour}]; ok {
		return v
	}
	return c.mean.mean
}

// add adjusts the costs of the victim's pairs to one measured slowdown by the
// normalised least mean squares rule: the error is divided evenly among the
// neighbours.
func (c *costs) add(victim string, slowdown float64, neighbours []pv.Neighbour) {
	if len(neighbours) == 0 {
		return
	}
	expected := 0.0
	for _, n := range neighbours {
		expected += c.estimate(victim, n.Kind)
	}
	residual := (slowdown - 1) - expected
	rate := costRiseRate
	if residual < 0 {
		rate = costFallRate
	}
	step := rate * residual / float64(len(neighbours))
	for _, n := range neighbours {
		p := kindPair{victim, n.Kind}
		c.pairs[p] = max(0, c.estimate(victim, n.Kind)+step)
	}
	c.mean.add(max(0, (slowdown-1)/float64(len(neighbours))))
}
