package scheduler

// This file defines which waiting tasks start in a tick and on which workers.

import (
	"slices"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/holder"
	"persimmonvalve/recorder"
	"persimmonvalve/sharer"
)

// proposeStarts proposes up to MaxStartsPerTick starts. It goes through the plans
// in the sharer's order, one start for each at a time, so that a plan with many
// waiting tasks can't use up a tick.
func (c *Core) proposeStarts(now time.Time) {
	if len(c.waiting) == 0 {
		return
	}
	demands := c.demands()
	order := sharer.Order(demands, c.capacity())
	remaining := c.settings.MaxStartsPerTick
	for remaining > 0 {
		started := 0
		for _, i := range order {
			if remaining > 0 && c.startNext(now, &demands[i]) {
				started++
				remaining--
			}
		}
		if started == 0 {
			return
		}
	}
}

// demands returns the demand of each plan with waiting tasks, sorted by plan.
// Used includes started tasks and proposed starts.
func (c *Core) demands() []sharer.Demand {
	used := map[string]pv.Resources{}
	for _, tasks := range c.active {
		for _, t := range tasks {
			used[t.Spec.Plan] = used[t.Spec.Plan].Add(t.Reserve)
		}
	}
	for id := range c.pending {
		t, ok := c.ledger.Tasks[id]
		if ok && t.Phase == recorder.Waiting {
			used[t.Spec.Plan] = used[t.Spec.Plan].Add(c.placer.Reserve(t.Spec))
		}
	}
	demands := make([]sharer.Demand, 0, len(c.waiting))
	for plan, q := range c.waiting {
		q.trim(c.ledger)
		if q.length() == 0 {
			delete(c.waiting, plan)
			continue
		}
		allowance, ok := c.allowance(plan)
		if !ok {
			continue // the plan was withdrawn; its tasks wait until it has an allowance again
		}
		demands = append(demands, sharer.Demand{
			Plan: plan, Class: q.class, Allowance: allowance, Used: used[plan], Waiting: q.length(),
		})
	}
	slices.SortFunc(demands, func(a, b sharer.Demand) int {
		if a.Plan < b.Plan {
			return -1
		}
		return 1
	})
	return demands
}

func (c *Core) allowance(plan string) (pv.Allowance, bool) {
	if c.escrow == nil {
		return pv.Allowance{}, false
	}
	return c.escrow(plan)
}

// capacity returns the total capacity of the listed workers.
func (c *Core) capacity() pv.Resources {
	var sum pv.Resources
	for _, w := range c.workers {
		if w.listed {
			sum = sum.Add(w.info.Capacity)
		}
	}
	return sum
}

// startNext proposes a start of the plan's next task and reports whether it did.
func (c *Core) startNext(now time.Time, d *sharer.Demand) bool {
	q, ok := c.waiting[d.Plan]
	if !ok {
		return false
	}
	t, ok := q.nextStartable(c.ledger, func(id pv.TaskID) bool {
		return !c.mayStart(now, id)
	})
	if !ok {
		return false
	}
	reserve := c.placer.Reserve(t.Spec)
	if !sharer.WithinCeiling(*d, reserve) {
		return false
	}
	candidates := c.candidates(now)
	admitting := c.admitting(now, t, candidates)
	i, ok := c.placer.Place(t.Spec, reserve, admitting)
	if !ok {
		return false
	}
	chosen := admitting[i].Worker
	i = slices.IndexFunc(candidates, func(candidate pv.Candidate) bool { return candidate.Worker == chosen })
	if c.mustLeaveHeadroom(*d, reserve) && !c.leavesHeadroom(candidates, i, reserve) {
		return false
	}
	if !c.proposeStart(now, t, reserve, c.workers[chosen]) {
		return false
	}
	d.Used = d.Used.Add(reserve)
	return true
}

// mustLeaveHeadroom reports whether a start must leave the urgent plans'
// headroom free: it must if it takes its plan above the plan's guarantee,
// whatever the plan's class.
func (c *Core) mustLeaveHeadroom(d sharer.Demand, reserve pv.Resources) bool {
	return !c.settings.DisableMitigation && !d.Used.Add(reserve).Fits(d.Allowance.Guaranteed)
}

// candidates returns the workers that accept starts. Free is a worker's capacity
// less the reserves of its started tasks and of proposed starts.
func (c *Core) candidates(now time.Time) []pv.Candidate {
	var out []pv.Candidate
	for _, id := range c.workerIDs {
		w := c.workers[id]
		if !c.acceptsStarts(now, w) {
			continue
		}
		out = append(out, pv.Candidate{
			Worker:   id,
			Location: w.info.Location,
			Capacity: w.info.Capacity,
			Free:     w.info.Capacity.Sub(c.ledger.Reserved[id]).Sub(c.proposedReserve[id]),
			Running:  c.startedNeighbours(id),
		})
	}
	return out
}

// startedNeighbours returns the tasks that the ledger has as started on a worker.
func (c *Core) startedNeighbours(id pv.WorkerID) []pv.Neighbour {
	var out []pv.Neighbour
	for _, t := range c.startedTasks(id) {
		out = append(out, pv.Neighbour{Kind: t.Spec.Kind, Class: t.Spec.Class, Reserve: t.Reserve})
	}
	return out
}

// proposeStart proposes a start and counts its reserve as used until the record
// is resolved. It reports whether the record was queued.
func (c *Core) proposeStart(now time.Time, t *recorder.Task, reserve pv.Resources, w *worker) bool {
	id := w.info.ID
	record := recorder.Record{Start: &recorder.Start{
		Attempt:     pv.AttemptID{Task: t.Spec.ID, Attempt: t.Attempt + 1},
		Worker:      id,
		Incarnation: w.incarnation,
		Reserve:     reserve,
		Capacity:    w.info.Capacity,
		ResumeFrom:  t.Checkpointed,
	}}
	_, suspect := c.suspects[t.Spec.ID]
	done := func(holder.Result) {
		delete(c.pending, t.Spec.ID)
		if suspect {
			c.proposedSuspects[id]--
		}
		c.proposedReserve[id] = c.proposedReserve[id].Sub(reserve)
	}
	if !c.propose(now, record, done) {
		return false
	}
	c.pending[t.Spec.ID] = true
	if suspect {
		c.proposedSuspects[id]++
	}
	c.proposedReserve[id] = c.proposedReserve[id].Add(reserve)
	delete(c.retryAt, t.Spec.ID)
	c.Counters.Starts++
	return true
}
