package scheduler

// This file defines the headroom for urgent plans: capacity that tasks above
// their plan's guarantee must leave free.
//
// Without headroom, every urgent task that arrives in a full cell has to wait
// until a task of a plan above its guarantee has been evicted. The headroom of an
// urgent plan is sized in tasks:
//
//	min(ceil(mean + 2.5 * sqrt(mean)), tasks that fit in the guarantee)
//
// where mean is the moving average of its started and waiting tasks, and
// sqrt(mean) is the standard deviation of a Poisson distribution.

import (
	"math"
	"time"

	pv "persimmonvalve"
)

const (
	headroomTimeConstant = 3 * time.Minute // of the exponential moving average of a plan's tasks
	headroomStdDevs      = 2.5             // above the mean
)

// urgentDemand is the demand of one urgent plan, in tasks.
type urgentDemand struct {
	reserve      pv.Resources // of one task
	meanTasks    float64
	tasks        int // started or waiting
	startedTasks int
	maxTasks     int // tasks that fit in the guarantee
}

// targetTasks returns the number of tasks, started ones included, for which
// there should be capacity.
func (d *urgentDemand) targetTasks() int {
	if d.meanTasks <= 0 {
		return 0
	}
	return min(int(math.Ceil(d.meanTasks+headroomStdDevs*math.Sqrt(d.meanTasks))), d.maxTasks)
}

// headroom is the demand of all urgent plans, by plan name.
type headroom struct {
	plans     map[string]*urgentDemand
	updatedAt time.Time
}

// updateUrgentDemand recounts the tasks of the urgent plans and updates their
// moving averages; it is called once per tick.
func (c *Core) updateUrgentDemand(now time.Time) {
	if c.headroom.plans == nil {
		c.headroom.plans = map[string]*urgentDemand{}
	}
	for _, d := range c.headroom.plans {
		d.tasks, d.startedTasks = 0, 0
	}
	for _, tasks := range c.active {
		for _, t := range tasks {
			if t.Spec.Class == pv.ClassUrgent {
				d := c.urgentDemandOf(t.Spec)
				d.tasks++
				d.startedTasks++
			}
		}
	}
	for plan, q := range c.waiting {
		if d, ok := c.headroom.plans[plan]; ok && q.class == pv.ClassUrgent {
			d.tasks += q.length()
		}
	}
	weight := 1 - math.Exp(-float64(now.Sub(c.headroom.updatedAt))/float64(headroomTimeConstant))
	c.headroom.updatedAt = now
	for plan, d := range c.headroom.plans {
		d.meanTasks += weight * (float64(d.tasks) - d.meanTasks)
		d.maxTasks = 0
		if a, ok := c.allowance(plan); ok {
			d.maxTasks = fitCount(a.Guaranteed, d.reserve)
		}
	}
}

// urgentDemandOf returns the demand of an urgent plan, and creates it if there is
// none. It sets the reserve to that of the given task.
func (c *Core) urgentDemandOf(spec pv.TaskSpec) *urgentDemand {
	d, ok := c.headroom.plans[spec.Plan]
	if !ok {
		d = &urgentDemand{}
		c.headroom.plans[spec.Plan] = d
	}
	d.reserve = c.placer.Reserve(spec)
	return d
}

// fitCount returns how many tasks of the given size fit in free.
func fitCount(free, size pv.Resources) int {
	n := int64(math.MaxInt32)
	for _, dim := range [...][2]int64{
		{free.MilliCores, size.MilliCores},
		{free.MemoryMB, size.MemoryMB},
		{free.Accelerators, size.Accelerators},
		{free.Slots, size.Slots},
	} {
		if dim[1] > 0 {
			n = min(n, max(dim[0], 0)/dim[1])
		}
	}
	return int(n)
}

// leavesHeadroom reports whether every urgent plan still has its headroom on the
// candidates after a start that reserves reserve on candidate i.
func (c *Core) leavesHeadroom(candidates []pv.Candidate, i int, reserve pv.Resources) bool {
	for _, d := range c.headroom.plans {
		missing := d.targetTasks() - d.startedTasks
		for j := 0; j < len(candidates) && missing > 0; j++ {
			free := candidates[j].Free
			if j == i {
				free = free.Sub(reserve)
			}
			missing -= fitCount(free, d.reserve)
		}
		if missing > 0 {
			return false
		}
	}
	return true
}
