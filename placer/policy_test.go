package placer

import (
	"testing"
	"time"

	pv "persimmonvalve"
)

func observe(p *Policy, n int, o pv.Observation) {
	for range n {
		p.Observe(time.Time{}, o)
	}
}

// Reservations follow the observed use of a kind, both below and above its
// declaration.
func TestReserveFollowsUse(t *testing.T) {
	declared := pv.Resources{MilliCores: 4000, MemoryMB: 8000, Slots: 1}
	for _, factorTenths := range []int64{1, 10, 80} {
		p := New(pv.Weights{})
		observe(p, 300, pv.Observation{Kind: "k", Declared: declared, Used: declared.Scale(factorTenths, 10), Slowdown: 1})
		got := p.Reserve(pv.TaskSpec{Kind: "k", Size: declared})
		used := declared.Scale(factorTenths, 10)
		// The declaration counts for 2 of the 302 observations.
		if got.MilliCores < used.MilliCores*99/100 || got.MilliCores > used.MilliCores*12/10+200 {
			t.Errorf("used %d tenths: got %v, want within a fifth above %v", factorTenths, got, used)
		}
		if got.Slots != 1 {
			t.Errorf("slots: got %d, want 1 as declared", got.Slots)
		}
	}
}

// A task of a kind that slows an urgent kind down is placed on another worker if
// one is available.
func TestInterferingKindAvoidsUrgentNeighbour(t *testing.T) {
	p := New(pv.Weights{TailLatency: 1, Throughput: 1, Evictions: 1})
	urgentNeighbour, heavyNeighbour := pv.Neighbour{Kind: "quick", Class: pv.ClassUrgent}, pv.Neighbour{Kind: "calm", Class: pv.ClassHeavy}
	observe(p, 100, pv.Observation{Kind: "quick", Slowdown: 2, Neighbours: []pv.Neighbour{{Kind: "loud"}}})
	observe(p, 100, pv.Observation{Kind: "calm", Slowdown: 1.01, Neighbours: []pv.Neighbour{{Kind: "loud"}}})
	capacity := pv.Resources{MilliCores: 8000, Slots: 4}
	candidates := []pv.Candidate{
		{Worker: "beside quick", Capacity: capacity, Free: capacity, Running: []pv.Neighbour{urgentNeighbour}},
		{Worker: "beside calm", Capacity: capacity, Free: capacity, Running: []pv.Neighbour{heavyNeighbour}},
	}
	size := pv.Resources{MilliCores: 1000, Slots: 1}
	i, ok := p.Place(pv.TaskSpec{Kind: "loud", Class: pv.ClassHeavy, Size: size}, size, candidates)
	if !ok || i != 1 {
		t.Errorf("got worker %d, %v, want 1, the one without urgent work", i, ok)
	}
	if _, ok := p.Place(pv.TaskSpec{Kind: "loud"}, pv.Resources{MilliCores: 9000}, candidates); ok {
		t.Error("a task larger than every worker: got a worker, want none")
	}
}
