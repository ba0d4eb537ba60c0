package experimenter

// This file defines the policies that are compared: the product's own, two
// baselines, and an oracle that reads sizes and interference from the ground
// truth.

import (
	"math/rand/v2"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/placer"
	"persimmonvalve/router"
)

// policy is a placer with a way to choose endpoints.
type policy struct {
	name         string
	noMitigation bool // no headroom, throttling or preemption; admission ignores the endpoints' slots
	newPlacer    func(*simulation) pv.Placer
	newChooser   func(*simulation) endpointChooser
}

// endpointChooser chooses an endpoint for a request, or returns the reason why
// there is none.
type endpointChooser func(now time.Time, tried map[string]bool, bytes int) (*router.Endpoint, pv.Reason)

func policies() []policy {
	return []policy{
		{name: "oracle", newPlacer: newOracle, newChooser: leastExpectedLatency},
		{name: "policy", newPlacer: func(sim *simulation) pv.Placer { return placer.New(sim.site.weights) }, newChooser: productRouter},
		{name: "firstFit", noMitigation: true, newPlacer: func(*simulation) pv.Placer { return firstFit{} }, newChooser: roundRobin},
		{name: "randomFit", noMitigation: true, newPlacer: func(sim *simulation) pv.Placer { return randomFit{sim.rng} }, newChooser: roundRobin},
	}
}

// productRouter returns the choice of the product's router.
func productRouter(sim *simulation) endpointChooser {
	return func(now time.Time, tried map[string]bool, bytes int) (*router.Endpoint, pv.Reason) {
		return sim.router.Select(now, router.Request{Service: serviceName, Bytes: bytes, Tried: tried})
	}
}

// roundRobin returns a choice that cycles through all endpoints and ignores which
// of them have been tried.
func roundRobin(sim *simulation) endpointChooser {
	next := 0
	return func(time.Time, map[string]bool, int) (*router.Endpoint, pv.Reason) {
		endpoints := sim.router.Endpoints()
		if len(endpoints) == 0 {
			return nil, pv.ReasonNoEndpoint
		}
		next++
		return endpoints[next%len(endpoints)], pv.NoReason
	}
}

// leastExpectedLatency returns the oracle's endpoint choice: the least expected
// latency by the endpoints' true slowdowns, queues and delays. In mean service
// times it is
// slowdown * (1 + max(0, busy slots + queued - slots + 1)) + delay / mean service time.
func leastExpectedLatency(sim *simulation) endpointChooser {
	return func(_ time.Time, tried map[string]bool, _ int) (*router.Endpoint, pv.Reason) {
		var best *router.Endpoint
		leastExpected := 0.0
		for _, e := range sim.router.Endpoints() {
			fe := sim.endpoints[e.Member.Name]
			if fe == nil || tried[e.Member.Name] {
				continue
			}
			expected := fe.slowdown*float64(1+max(0, fe.busySlots+len(fe.queue)-slotsPerEndpoint+1)) + fe.oneWayDelay.Seconds()/meanServiceTime.Seconds()
			if best == nil || expected < leastExpected {
				best, leastExpected = e, expected
			}
		}
		if best == nil {
			return nil, pv.ReasonNoEndpoint
		}
		return best, pv.NoReason
	}
}

// firstFit places a task on the first worker with enough free resources.
type firstFit struct{}

func (firstFit) Reserve(spec pv.TaskSpec) pv.Resources { return spec.Size }

func (firstFit) Observe(time.Time, pv.Observation) {}

func (firstFit) Place(_ pv.TaskSpec, reserve pv.Resources, candidates []pv.Candidate) (int, bool) {
	for i, c := range candidates {
		if reserve.Fits(c.Free) {
			return i, true
		}
	}
	return 0, false
}

// randomFit places a task on a random worker with enough free resources.
type randomFit struct{ rng *rand.Rand }

func (randomFit) Reserve(spec pv.TaskSpec) pv.Resources { return spec.Size }

func (randomFit) Observe(time.Time, pv.Observation) {}

func (r randomFit) Place(_ pv.TaskSpec, reserve pv.Resources, candidates []pv.Candidate) (int, bool) {
	var fitting []int
	for i, c := range candidates {
		if reserve.Fits(c.Free) {
			fitting = append(fitting, i)
		}
	}
	if len(fitting) == 0 {
		return 0, false
	}
	return fitting[r.rng.IntN(len(fitting))], true
}

// oracle reserves the resources that tasks really use, and places a task where the
// weighted sum of the true interference in both directions is least.
type oracle struct{ sim *simulation }

func newOracle(sim *simulation) pv.Placer { return oracle{sim} }

// AddedSlowdown implements pv.InterferenceEstimator.
func (o oracle) AddedSlowdown(victim, neighbour string) float64 {
	return o.sim.truth.AddedSlowdown(o.sim.now, victim, neighbour)
}

func (o oracle) Reserve(spec pv.TaskSpec) pv.Resources { return o.sim.truth.ActualUse(spec) }

func (oracle) Observe(time.Time, pv.Observation) {}

func (o oracle) Place(spec pv.TaskSpec, reserve pv.Resources, candidates []pv.Candidate) (int, bool) {
	best, found := 0, false
	leastCost := 0.0
	for i, c := range candidates {
		if !reserve.Fits(c.Free) {
			continue
		}
		cost := 0.0
		for _, n := range c.Running {
			cost += o.weight(n.Kind) * o.sim.truth.AddedSlowdown(o.sim.now, n.Kind, spec.Kind)
			cost += o.weight(spec.Kind) * o.sim.truth.AddedSlowdown(o.sim.now, spec.Kind, n.Kind)
		}
		if !found || cost < leastCost {
			best, leastCost, found = i, cost, true
		}
	}
	return best, found
}

// weight returns the weight of a slowdown of a task of the kind.
func (o oracle) weight(kind string) float64 {
	if kind == kindService {
		return o.sim.site.weights.TailLatency + o.sim.site.weights.Throughput
	}
	return o.sim.site.weights.Throughput + o.sim.site.weights.Evictions/2
}
