package sharer

// This file defines the order in which plans are served and what each may
// still take.
//
// A plan below its guaranteed share goes before all plans that are above
// theirs, whatever the class, so that a flood of urgent work costs nobody its
// guarantee. Among plans on the same side of their guarantee the more urgent
// class goes first, and within a class the plan with the smallest dominant
// share relative to its guarantee: weighted max-min over several resources.

import (
	"cmp"
	"slices"

	pv "persimmonvalve"
)

// Demand is one plan's waiting work and present use.
type Demand struct {
	Plan      string
	Class     pv.Class
	Allowance pv.Allowance // guarantee and ceiling that apply here
	Used      pv.Resources
	Waiting   int
}

// Order returns the indices of demands in the order in which they are served.
// Capacity is what all plans share here.
func Order(demands []Demand, capacity pv.Resources) []int {
	keys := make([]key, len(demands))
	for i, d := range demands {
		keys[i] = keyOf(d, capacity)
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

type key struct {
	above bool // uses its guarantee up
	class int
	share float64
}

func keyOf(d Demand, capacity pv.Resources) key {
	guaranteed := d.Allowance.Guaranteed.Share(capacity)
	used := d.Used.Share(capacity)
	weight := max(guaranteed, minWeight)
	return key{
		above: used >= guaranteed,
		class: classRank(d.Class),
		share: used / weight,
	}
}

// minWeight is the weight of a plan without a guarantee.
const minWeight = 0.001

func classRank(c pv.Class) int {
	return slices.Index(pv.Classes[:], c)
}

func (k key) compare(o key, plan, other string) int {
	if k.above != o.above {
		if o.above {
			return -1
		}
		return 1
	}
	if k.above {
		if c := cmp.Compare(k.class, o.class); c != 0 {
			return c
		}
	}
	if c := cmp.Compare(k.share, o.share); c != 0 {
		return c
	}
	return cmp.Compare(plan, other)
}

// WithinCeiling reports whether the plan may take size in addition.
func WithinCeiling(d Demand, size pv.Resources) bool {
	return d.Used.Add(size).Fits(d.Allowance.Ceiling)
}

// Divide returns part index of whole divided into parts, so that the parts sum
// to the whole exactly and no part of a ceiling is given out twice.
func Divide(whole pv.Resources, parts, index int) pv.Resources {
	return pv.Resources{
		MilliCores:   divide(whole.MilliCores, parts, index),
		MemoryMB:     divide(whole.MemoryMB, parts, index),
		Accelerators: divide(whole.Accelerators, parts, index),
		Slots:        divide(whole.Slots, parts, index),
	}
}

func divide(whole int64, parts, index int) int64 {
	n := whole / int64(parts)
	if int64(index) < whole%int64(parts) {
		n++
	}
	return n
}
