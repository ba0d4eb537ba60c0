package sharer

// This file defines the order in which plans are served, the check of a plan's
// ceiling, and the division of resources.
//
// Plans below their guaranteed share come before all others regardless of
// class, so that a flood of urgent work takes no plan's guarantee away. Among
// the plans that have reached their guarantee, the more urgent class comes
// first. Otherwise the plan with the smallest dominant share relative to its
// guarantee comes first: weighted max-min fairness over several resources.

import (
	"cmp"
	"slices"

	pv "persimmonvalve"
)

// Demand is one plan's waiting work and current use.
type Demand struct {
	Plan      string
	Class     pv.Class
	Allowance pv.Allowance // guarantee and ceiling that apply to the capacity passed to Order
	Used      pv.Resources
	Waiting   int // number of waiting tasks
}

// Order returns the indices of demands in the order in which they are served.
// The capacity is shared by all plans.
func Order(demands []Demand, capacity pv.Resources) []int {
	keys := make([]sortKey, len(demands))
	for i, d := range demands {
		keys[i] = sortKeyOf(d, capacity)
	}
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int {
		return keys[i].compare(keys[j], demands[i].Plan, demands[j].Plan)
	})
	return order
}

type sortKey struct {
	guaranteeMet  bool // uses at least its guaranteed share
	classIndex    int
	weightedShare float64
}

func sortKeyOf(d Demand, capacity pv.Resources) sortKey {
	guaranteed := d.Allowance.Guaranteed.DominantShare(capacity)
	used := d.Used.DominantShare(capacity)
	weight := max(guaranteed, minWeight)
	return sortKey{
		guaranteeMet:  used >= guaranteed,
		classIndex:    indexOfClass(d.Class),
		weightedShare: used / weight,
	}
}

// minWeight is the weight of a plan without a guarantee, as a share of the
// capacity.
const minWeight = 0.001

func indexOfClass(c pv.Class) int {
	return slices.Index(pv.Classes[:], c)
}

func (k sortKey) compare(otherKey sortKey, planName, otherPlanName string) int {
	if k.guaranteeMet != otherKey.guaranteeMet {
		if otherKey.guaranteeMet {
			return -1
		}
		return 1
	}
	if k.guaranteeMet {
		if c := cmp.Compare(k.classIndex, otherKey.classIndex); c != 0 {
			return c
		}
	}
	if c := cmp.Compare(k.weightedShare, otherKey.weightedShare); c != 0 {
		return c
	}
	return cmp.Compare(planName, otherPlanName)
}

// WithinCeiling reports whether the plan stays within its ceiling if it uses
// size in addition.
func WithinCeiling(d Demand, size pv.Resources) bool {
	return d.Used.Add(size).Fits(d.Allowance.Ceiling)
}

// Divide divides total into parts (at least 1) and returns the part with the
// index, counted from 0. The parts sum to total exactly, so that the parts of a
// ceiling never exceed it.
func Divide(total pv.Resources, parts, index int) pv.Resources {
	return pv.Resources{
		MilliCores:   divide(total.MilliCores, parts, index),
		MemoryMB:     divide(total.MemoryMB, parts, index),
		Accelerators: divide(total.Accelerators, parts, index),
		Slots:        divide(total.Slots, parts, index),
	}
}

func divide(total int64, parts, index int) int64 {
	n := total / int64(parts)
	if int64(index) < total%int64(parts) {
		n++
	}
	return n
}
