package sharer

import (
	"slices"
	"testing"

	pv "persimmonvalve"
)

func slots(n int64) pv.Resources { return pv.Resources{Slots: n} }

func TestOrder(t *testing.T) {
	newDemand := func(plan string, class pv.Class, guaranteed, used int64) Demand {
		return Demand{Plan: plan, Class: class, Allowance: pv.Allowance{Guaranteed: slots(guaranteed)}, Used: slots(used)}
	}
	tests := []struct {
		name    string
		demands []Demand
		want    []int
	}{
		{"below the guarantee before a flood of urgent work",
			[]Demand{newDemand("flood", pv.ClassUrgent, 0, 5), newDemand("batch", pv.ClassHeavy, 4, 1)}, []int{1, 0}},
		{"above the guarantee the more urgent first",
			[]Demand{newDemand("batch", pv.ClassHeavy, 1, 2), newDemand("quick", pv.ClassUrgent, 1, 9)}, []int{1, 0}},
		{"within a class the smaller share of the guarantee",
			[]Demand{newDemand("a", pv.ClassHeavy, 2, 6), newDemand("b", pv.ClassHeavy, 6, 6)}, []int{1, 0}},
	}
	for _, s := range tests {
		if got := Order(s.demands, slots(20)); !slices.Equal(got, s.want) {
			t.Errorf("%s: order: got %v, want %v", s.name, got, s.want)
		}
	}
}

// The parts of a ceiling sum to the ceiling, so that cells together don't
// exceed it.
func TestDivide(t *testing.T) {
	total := pv.Resources{MilliCores: 1001, MemoryMB: 7, Accelerators: 3, Slots: 10}
	for parts := 1; parts <= 12; parts++ {
		var sum pv.Resources
		for i := range parts {
			sum = sum.Add(Divide(total, parts, i))
		}
		if sum != total {
			t.Errorf("sum of %d parts: got %v, want %v", parts, sum, total)
		}
	}
}
