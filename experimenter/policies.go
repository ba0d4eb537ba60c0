package experimenter

// This file defines the policies that are compared: the product's own, three
// baselines, and an oracle that knows true sizes and costs.

import (
	"math/rand/v2"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/placer"
	"persimmonvalve/router"
)

// policy is one way to decide.
type policy struct {
	name    string
	passive bool // no mitigation
	placer  func(*world) pv.Placer
	route   func(*world) chooser
}

// chooser chooses an endpoint for a request.
type chooser func(now time.Time, tried map[string]bool, bytes int) (*router.Endpoint, pv.Reason)

func policies() []policy {
	return []policy{
		{name: "oracle", placer: newOracle, route: leastExpected},
		{name: "policy", placer: func(w *world) pv.Placer { return placer.New(w.site.weights) }, route: ownRouter},
		{name: "firstFit", passive: true, placer: func(*world) pv.Placer { return firstFit{} }, route: roundRobin},
		{name: "randomFit", passive: true, placer: func(w *world) pv.Placer { return randomFit{w.random} }, route: roundRobin},
	}
}

func ownRouter(w *world) chooser {
	return func(now time.Time, tried map[string]bool, bytes int) (*router.Endpoint, pv.Reason) {
		return w.routing.Choose(now, router.Request{Service: serviceName, Bytes: bytes, Tried: tried})
	}
}

func roundRobin(w *world) chooser {
	next := 0
	return func(time.Time, map[string]bool, int) (*router.Endpoint, pv.Reason) {
		endpoints := w.routing.Endpoints()
		if len(endpoints) == 0 {
			return nil, pv.ReasonNoEndpoint
		}
		next++
		return endpoints[next%len(endpoints)], pv.NoReason
	}
}

// leastExpected knows every endpoint's true slowdown and queue.
func leastExpected(w *world) chooser {
	return func(_ time.Time, tried map[string]bool, _ int) (*router.Endpoint, pv.Reason) {
		var best *router.Endpoint
		least := 0.0
		for _, e := range w.routing.Endpoints() {
			s := w.servers[e.Member.Name]
			if s == nil || tried[e.Member.Name] {
				continue
			}
			expected := s.slowdown*float64(1+max(0, s.busy+len(s.queue)-endpointSlots+1)) + s.delay.Seconds()/meanService.Seconds()
			if best == nil || expected < least {
				best, least = e, expected
			}
		}
		if best == nil {
			return nil, pv.ReasonNoEndpoint
		}
		return best, pv.NoReason
	}
}

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

type randomFit struct{ random *rand.Rand }

func (randomFit) Reserve(spec pv.TaskSpec) pv.Resources { return spec.Size }

func (randomFit) Observe(time.Time, pv.Observation) {}

func (r randomFit) Place(_ pv.TaskSpec, reserve pv.Resources, candidates []pv.Candidate) (int, bool) {
	var fits []int
	for i, c := range candidates {
		if reserve.Fits(c.Free) {
			fits = append(fits, i)
		}
	}
	if len(fits) == 0 {
		return 0, false
	}
	return fits[r.random.IntN(len(fits))], true
}

// oracle places by true sizes and costs.
type oracle struct{ w *world }

func newOracle(w *world) pv.Placer { return oracle{w} }

func (o oracle) Cost(victim, neighbour string) float64 {
	return o.w.truth.Cost(o.w.now, victim, neighbour)
}

func (o oracle) Reserve(spec pv.TaskSpec) pv.Resources { return o.w.truth.Use(spec) }

func (oracle) Observe(time.Time, pv.Observation) {}

func (o oracle) Place(spec pv.TaskSpec, reserve pv.Resources, candidates []pv.Candidate) (int, bool) {
	best, found := 0, false
	least := 0.0
	for i, c := range candidates {
		if !reserve.Fits(c.Free) {
			continue
		}
		cost := 0.0
		for _, n := range c.Running {
			cost += o.weight(n.Kind) * o.w.truth.Cost(o.w.now, n.Kind, spec.Kind)
			cost += o.weight(spec.Kind) * o.w.truth.Cost(o.w.now, spec.Kind, n.Kind)
		}
		if !found || cost < least {
			best, least, found = i, cost, true
		}
	}
	return best, found
}

func (o oracle) weight(kind string) float64 {
	if kind == kindService {
		return o.w.site.weights.TailLatency + o.w.site.weights.Throughput
	}
	return o.w.site.weights.Throughput + o.w.site.weights.Evictions/2
}
