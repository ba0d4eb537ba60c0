package scheduler

// This file defines the headroom that is kept free for urgent work.
//
// Without it a full cell evicts one batch task for every urgent task that
// comes, and urgent work waits for the eviction. So batch work that is above
// its guarantee doesn't take the last room that urgent plans are likely to
// need: as many tasks as a plan had at once lately, and some deviations more,
// but never more than its guarantee.

import (
	"math"
	"time"

	pv "persimmonvalve"
)

const (
	headroomMemory     = 3 * time.Minute // over which an urgent plan's tasks are averaged
	headroomDeviations = 2.5             // of a Poisson count
)

// demand follows how many tasks an urgent plan has at once.
type demand struct {
	size    pv.Resources
	mean    float64
	now     int // running or waiting
	running int
	limit   int // tasks that fit in the guarantee
}

// expected returns for how many tasks there should be room in all.
func (d *demand) expected() int {
	if d.mean <= 0 {
		return 0
	}
	return min(int(math.Ceil(d.mean+headroomDeviations*math.Sqrt(d.mean))), d.limit)
}

// headroom is the room kept free now.
type headroom struct {
	plans  map[string]*demand
	seenAt time.Time
}

// watchDemand updates the urgent plans' counts once a tick.
func (c *Core) watchDemand(now time.Time) {
	if c.room.plans == nil {
		c.room.plans = map[string]*demand{}
	}
	for _, d := range c.room.plans {
		d.now, d.running = 0, 0
	}
	for _, tasks := range c.active {
		for _, t := range tasks {
			if t.Spec.Class == pv.Urgent {
				d := c.demandOf(t.Spec)
				d.now++
				d.running++
			}
		}
	}
	for plan, q := range c.waiting {
		if d, ok := c.room.plans[plan]; ok && q.class == pv.Urgent {
			d.now += q.length()
		}
	}
	weight := 1 - math.Exp(-float64(now.Sub(c.room.seenAt))/float64(headroomMemory))
	c.room.seenAt = now
	for plan, d := range c.room.plans {
		d.mean += weight * (float64(d.now) - d.mean)
		d.limit = 0
		if a, ok := c.allowance(plan); ok {
			d.limit = count(a.Guaranteed, d.size)
		}
	}
}

func (c *Core) demandOf(spec pv.TaskSpec) *demand {
	d, ok := c.room.plans[spec.Plan]
	if !ok {
		d = &demand{}
		c.room.plans[spec.Plan] = d
	}
	d.size = c.placer.Reserve(spec)
	return d
}

// count returns how many tasks of a size fit in some room.
func count(room, size pv.Resources) int {
	least := int64(math.MaxInt32)
	for _, p := range [...][2]int64{
		{room.MilliCores, size.MilliCores},
		{room.MemoryMB, size.MemoryMB},
		{room.Accelerators, size.Accelerators},
		{room.Slots, size.Slots},
	} {
		if p[1] > 0 {
			least = min(least, max(p[0], 0)/p[1])
		}
	}
	return int(least)
}

// leavesRoom reports whether urgent plans keep their headroom when a task of
// some size starts on candidate i.
func (c *Core) leavesRoom(candidates []pv.Candidate, i int, size pv.Resources) bool {
	for _, d := range c.room.plans {
		missing := d.expected() - d.running
		for j := 0; j < len(candidates) && missing > 0; j++ {
			free := candidates[j].Free
			if j == i {
				free = free.Sub(size)
			}
			missing -= count(free, d.size)
		}
		if missing > 0 {
			return false
		}
	}
	return true
}
