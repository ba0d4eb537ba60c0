package placer

// This file defines the placement policy: of the workers that the task's
// reservation fits on, it chooses the one with the lowest weighted cost.

import (
	"time"

	pv "persimmonvalve"
)

// Policy is a placer that learns from observations. It isn't safe for concurrent
// use.
type Policy struct {
	weights pv.Weights
	usage   map[string]*usage
	costs   *costs
}

var (
	_ pv.Placer                = (*Policy)(nil)
	_ pv.InterferenceEstimator = (*Policy)(nil)
)

// New returns a policy without observations.
func New(weights pv.Weights) *Policy {
	p := &Policy{usage: map[string]*usage{}, costs: newCosts()}
	p.SetWeights(weights)
	return p
}

// SetWeights replaces the site's weights. If all are zero, each is taken as 1.
func (p *Policy) SetWeights(w pv.Weights) {
	if w == (pv.Weights{}) {
		w = pv.Weights{TailLatency: 1, Throughput: 1, Evictions: 1}
	}
	p.weights = w
}

// Observe implements pv.Placer.
func (p *Policy) Observe(_ time.Time, o pv.Observation) {
	u, ok := p.usage[o.Kind]
	if !ok {
		u = newUsage()
		p.usage[o.Kind] = u
	}
	u.add(o.Declared, o.Used)
	p.costs.add(o.Kind, o.Slowdown, o.Neighbours)
}

// AddedSlowdown implements pv.InterferenceEstimator.
func (p *Policy) AddedSlowdown(victim, neighbour string) float64 {
	return p.costs.estimate(victim, neighbour)
}

// Reserve implements pv.Placer. Slots and accelerators are indivisible and are
// reserved as declared.
func (p *Policy) Reserve(spec pv.TaskSpec) pv.Resources {
	u, ok := p.usage[spec.Kind]
	if !ok {
		return spec.Size
	}
	return u.reserve(spec.Size)
}

// Place implements pv.Placer.
func (p *Policy) Place(spec pv.TaskSpec, reserve pv.Resources, candidates []pv.Candidate) (int, bool) {
	best, found := 0, false
	var lowestCost float64
	for i, c := range candidates {
		if !reserve.Fits(c.Free) {
			continue
		}
		if cost := p.cost(spec, reserve, c); !found || cost < lowestCost {
			best, lowestCost, found = i, cost, true
		}
	}
	return best, found
}

// packingWeight is the weight of the free capacity that would remain, relative to
// the slowdowns. It is small, so that it decides only between workers with
// similar slowdowns.
const packingWeight = 0.05

// cost returns the weighted slowdown that the task would cause and suffer, plus
// packingWeight times the share of capacity that would remain free.
func (p *Policy) cost(spec pv.TaskSpec, reserve pv.Resources, c pv.Candidate) float64 {
	cost := 0.0
	ownWeight := p.weight(spec.Class)
	for _, n := range c.Running {
		cost += p.weight(n.Class) * p.costs.estimate(n.Kind, spec.Kind)
		cost += ownWeight * p.costs.estimate(spec.Kind, n.Kind)
	}
	remaining := c.Free.Sub(reserve)
	return cost + packingWeight*remaining.DominantShare(c.Capacity)
}

// weight returns the weight that a slowdown of a task of the class has in the cost.
func (p *Policy) weight(class pv.Class) float64 {
	if class == pv.ClassUrgent {
		return p.weights.TailLatency + p.weights.Throughput
	}
	return p.weights.Throughput + p.weights.Evictions/2
}
