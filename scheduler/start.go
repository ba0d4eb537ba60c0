package scheduler

// This file defines which waiting tasks start in a tick and where.

import (
	"slices"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/holder"
	"persimmonvalve/recorder"
	"persimmonvalve/sharer"
)

// start proposes starts in the sharer's order, one for each plan in turn, so
// that a plan with many waiting tasks can't take a whole tick.
func (c *Core) start(now time.Time) {
	if len(c.waiting) == 0 {
		return
	}
	demands := c.demands()
	order := sharer.Order(demands, c.capacity())
	left := c.settings.StartsPer
	for left > 0 {
		started := 0
		for _, i := range order {
			if left > 0 && c.startOne(now, &demands[i]) {
				started++
				left--
			}
		}
		if started == 0 {
			return
		}
	}
}

// demands returns what each plan with waiting work uses here.
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
			continue // the plan was withdrawn; its tasks wait for a new one
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

func (c *Core) capacity() pv.Resources {
	var sum pv.Resources
	for _, w := range c.workers {
		if w.listed {
			sum = sum.Add(w.info.Capacity)
		}
	}
	return sum
}

func (c *Core) startOne(now time.Time, d *sharer.Demand) bool {
	q, ok := c.waiting[d.Plan]
	if !ok {
		return false
	}
	t, ok := q.head(c.ledger, func(id pv.TaskID) bool {
		return c.pending[id] || now.Before(c.notUntil[id])
	})
	if !ok {
		return false
	}
	reserve := c.placer.Reserve(t.Spec)
	if !sharer.WithinCeiling(*d, reserve) {
		return false
	}
	candidates := c.candidates(now)
	i, ok := c.placer.Place(t.Spec, reserve, candidates)
	if !ok {
		return false
	}
	if c.keepsHeadroom(*d, reserve) && !c.leavesRoom(candidates, i, reserve) {
		return false
	}
	if !c.proposeStart(now, t, reserve, c.workers[candidates[i].Worker]) {
		return false
	}
	d.Used = d.Used.Add(reserve)
	return true
}

// keepsHeadroom reports whether a start has to leave room for urgent work: all
// work does that goes above its own guarantee, whatever its class.
func (c *Core) keepsHeadroom(d sharer.Demand, reserve pv.Resources) bool {
	return !c.settings.Passive && !d.Used.Add(reserve).Fits(d.Allowance.Guaranteed)
}

// candidates returns the workers that take starts, with what is left of each
// after valid starts and those on their way.
func (c *Core) candidates(now time.Time) []pv.Candidate {
	var out []pv.Candidate
	for _, id := range c.order {
		w := c.workers[id]
		if !c.open(now, w) {
			continue
		}
		out = append(out, pv.Candidate{
			Worker:   id,
			Place:    w.info.Place,
			Capacity: w.info.Capacity,
			Free:     w.info.Capacity.Sub(c.ledger.Used[id]).Sub(c.promised[id]),
			Running:  c.recorded(id),
		})
	}
	return out
}

// recorded returns the neighbours that valid starts put on a worker.
func (c *Core) recorded(id pv.WorkerID) []pv.Neighbour {
	var out []pv.Neighbour
	for _, t := range c.running(id) {
		out = append(out, pv.Neighbour{Kind: t.Spec.Kind, Class: t.Spec.Class, Reserve: t.Reserve})
	}
	return out
}

func (c *Core) proposeStart(now time.Time, t *recorder.Task, reserve pv.Resources, w *worker) bool {
	id := w.info.ID
	record := recorder.Record{Start: &recorder.Start{
		Attempt:     pv.AttemptID{Task: t.Spec.ID, Attempt: t.Attempt + 1},
		Worker:      id,
		Incarnation: w.incarnation,
		Reserve:     reserve,
		Capacity:    w.info.Capacity,
		From:        t.Saved,
	}}
	done := func(holder.Result) {
		delete(c.pending, t.Spec.ID)
		c.promised[id] = c.promised[id].Sub(reserve)
	}
	if !c.propose(now, record, done) {
		return false
	}
	c.pending[t.Spec.ID] = true
	c.promised[id] = c.promised[id].Add(reserve)
	delete(c.notUntil, t.Spec.ID)
	c.Counters.Starts++
	return true
}
