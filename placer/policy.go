package placer

// This file defines the placement policy: of the workers that hold the task's
// reservation it takes the one where the site's weighted cost grows least.

import (
	"time"

	pv "persimmonvalve"
)

// Policy is the learning placer. It isn't safe for concurrent use.
type Policy struct {
	weights pv.Weights
	usage   map[string]*usage
	costs   *costs
}

var (
	_ pv.Placer        = (*Policy)(nil)
	_ pv.CostEstimator = (*Policy)(nil)
)

// New returns a policy that has learned nothing yet.
func New(weights pv.Weights) *Policy {
	p := &Policy{usage: map[string]*usage{}, costs: newCosts()}
	p.SetWeights(weights)
	return p
}

// SetWeights replaces the site's weights; all zero means equal.
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

// Cost implements pv.CostEstimator.
func (p *Policy) Cost(victim, neighbour string) float64 { return p.costs.of(victim, neighbour) }

// Reserve implements pv.Placer. Slots and accelerators are whole units and
// count as declared.
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
	var least float64
	for i, c := range candidates {
		if !reserve.Fits(c.Free) {
			continue
		}
		if cost := p.cost(spec, reserve, c); !found || cost < least {
			best, least, found = i, cost, true
		}
	}
	return best, found
}

// packing is the weight of leaving little capacity unused beside the costs of
// disturbance; it decides between workers that disturb alike.
const packing = 0.05

// cost is the weighted slowdown that the task would add and suffer, and a
// small part for the room that it would leave.
func (p *Policy) cost(spec pv.TaskSpec, reserve pv.Resources, c pv.Candidate) float64 {
	cost := 0.0
	own := p.weight(spec.Class)
	for _, n := range c.Running {
		cost += p.weight(n.Class) * p.costs.of(n.Kind, spec.Kind)
		cost += own * p.costs.of(spec.Kind, n.Kind)
	}
	left := c.Free.Sub(reserve)
	return cost + packing*left.Share(c.Capacity)
}

func (p *Policy) weight(class pv.Class) float64 {
	if class == pv.Urgent {
		return p.weights.TailLatency + p.weights.Throughput
	}
	return p.weights.Throughput + p.weights.Evictions/2
}
