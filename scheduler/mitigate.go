package scheduler

// This file defines what is done about noise and about plans that don't get
// their guarantee. In order: throttle, then checkpoint and move, then (for a
// guarantee) preempt. One act for each worker and measurement lag, with
// hysteresis; evictions have a budget and must pay back the work that they
// lose.

import (
	"time"

	"golang.org/x/time/rate"

	pv "persimmonvalve"
	"persimmonvalve/recorder"
	"persimmonvalve/sharer"
)

const (
	noisyAbove    = 1.5 // slowdown of urgent work that calls for an act
	calmBelow     = 1.15
	throttleTo    = float64(throttleNumerator) / throttleDenominator
	lagReports    = 2               // reports that must agree before an act
	evictEvery    = 5 * time.Second // mean pause between evictions of a cell
	evictBurst    = 4
	payBack       = 3 // useful run time ahead against work lost
	preemptWait   = time.Second
	urgentWait    = 100 * time.Millisecond // the same for urgent work
	urgentEvery   = 500 * time.Millisecond // mean pause between evictions for urgent work
	urgentBurst   = 16
	fullSpeed     = 1.0
	throttleTrial = 10 * time.Second // a throttle that doesn't help by then leads to a move
)

// The share of full speed to which a task is throttled.
const (
	throttleNumerator   = 1
	throttleDenominator = 2
)

// mitigation is the state of noise handling for the cell.
type mitigation struct {
	noisy   map[pv.WorkerID]int // reports in a row with slowed urgent work
	calm    map[pv.WorkerID]int
	seen    map[pv.WorkerID]time.Time // report last looked at
	budget  *rate.Limiter
	urgent  *rate.Limiter        // evictions for urgent work
	starved map[string]time.Time // plans below their guarantee that found no room
}

func (c *Core) mitigate(now time.Time, writable bool) []Call {
	if c.wave.noisy == nil {
		c.wave = mitigation{
			noisy:   map[pv.WorkerID]int{},
			calm:    map[pv.WorkerID]int{},
			seen:    map[pv.WorkerID]time.Time{},
			budget:  rate.NewLimiter(rate.Every(evictEvery), evictBurst),
			urgent:  rate.NewLimiter(rate.Every(urgentEvery), urgentBurst),
			starved: map[string]time.Time{},
		}
	}
	var calls []Call
	for _, id := range c.order {
		w := c.workers[id]
		if w.leased(now) && c.wave.seen[id] != w.reportAt {
			c.wave.seen[id] = w.reportAt
			calls = append(calls, c.quieten(now, w, writable)...)
		}
	}
	if writable {
		c.preempt(now)
	}
	return calls
}

// quieten looks at one new report of a worker.
func (c *Core) quieten(now time.Time, w *worker, writable bool) []Call {
	id := w.info.ID
	worst := c.worstSlowdown(w)
	switch {
	case worst > noisyAbove:
		c.wave.noisy[id]++
		c.wave.calm[id] = 0
	case worst < calmBelow:
		c.wave.calm[id]++
		c.wave.noisy[id] = 0
	default: // between the thresholds nothing changes
		return nil
	}
	if c.wave.noisy[id] >= lagReports {
		c.wave.noisy[id] = 0
		return c.actOnNoise(now, w, writable)
	}
	if c.wave.calm[id] >= 2*lagReports {
		return c.release(now, w)
	}
	return nil
}

func (c *Core) worstSlowdown(w *worker) float64 {
	worst := 0.0
	for _, r := range w.report.Runs {
		t, ok := c.ledger.Tasks[r.Task]
		if ok && r.State == pv.RunRunning && t.Spec.Class == pv.Urgent {
			worst = max(worst, r.Slowdown)
		}
	}
	return worst
}

// actOnNoise throttles the batch task that is taken to disturb most and isn't
// throttled yet; if all are and it didn't help, it moves one.
func (c *Core) actOnNoise(now time.Time, w *worker, writable bool) []Call {
	var loudest, moved *recorder.Task
	noise := func(t *recorder.Task) float64 { return c.noise(w, t) }
	for _, t := range c.running(w.info.ID) {
		if t.Spec.Class == pv.Urgent || c.pending[t.Spec.ID] {
			continue
		}
		s := c.stateOf(t.AttemptID())
		switch {
		case s.stopCause != pv.NoReason:
			return nil // one act at a time
		case !s.throttled && (loudest == nil || noise(t) > noise(loudest)):
			loudest = t
		case s.throttled && now.Sub(s.throttledAt) >= throttleTrial && c.paysBack(t, s) && (moved == nil || noise(t) > noise(moved)):
			moved = t
		}
	}
	if loudest != nil {
		return []Call{c.throttle(now, w, loudest, throttleTo)}
	}
	if moved != nil && writable && c.wave.budget.AllowN(now, 1) {
		c.stateOf(moved.AttemptID()).stopCause = pv.ReasonNoise
	}
	return nil
}

// noise is what a task costs the urgent work beside it; its size, where the
// placer doesn't know.
func (c *Core) noise(w *worker, t *recorder.Task) float64 {
	estimator, ok := c.placer.(pv.CostEstimator)
	if !ok {
		return t.Reserve.Share(w.info.Capacity)
	}
	sum := 0.0
	for _, r := range w.report.Runs {
		victim, ok := c.ledger.Tasks[r.Task]
		if ok && victim.Spec.Class == pv.Urgent && r.State == pv.RunRunning {
			sum += estimator.Cost(victim.Spec.Kind, t.Spec.Kind)
		}
	}
	return sum
}

// paysBack reports whether moving a task leaves more useful run time ahead
// than it loses. A stop checkpoints first, so what is lost is what a failed
// checkpoint would lose.
func (c *Core) paysBack(t *recorder.Task, s *state) bool {
	lost := s.progress - s.saved
	ahead := t.Spec.RunTime - s.progress
	return lost <= 0 || ahead > payBack*lost
}

func (c *Core) throttle(now time.Time, w *worker, t *recorder.Task, share float64) Call {
	s := c.stateOf(t.AttemptID())
	s.throttled = share < fullSpeed
	s.throttledAt = now
	c.Counters.Throttles++
	return c.call(now, Call{Worker: w.info, Throttle: &pv.RunCommand{
		Lease: c.leaseID(w), Attempt: t.AttemptID(), Throttle: share,
	}})
}

// release gives one throttled task its full speed back.
func (c *Core) release(now time.Time, w *worker) []Call {
	c.wave.calm[w.info.ID] = lagReports // the next one after another lag
	for _, t := range c.running(w.info.ID) {
		if c.stateOf(t.AttemptID()).throttled {
			return []Call{c.throttle(now, w, t, fullSpeed)}
		}
	}
	return nil
}

// preempt makes room for a plan that has waited below its guarantee: it stops
// the least urgent task of a plan above its own guarantee on a worker where
// that suffices.
func (c *Core) preempt(now time.Time) {
	if len(c.waiting) == 0 {
		return
	}
	capacity := c.capacity()
	for _, d := range c.demands() {
		if d.Used.Share(capacity) >= d.Allowance.Guaranteed.Share(capacity) {
			delete(c.wave.starved, d.Plan)
			continue
		}
		since, ok := c.wave.starved[d.Plan]
		if !ok {
			c.wave.starved[d.Plan] = now
			continue
		}
		wait := preemptWait
		if d.Class == pv.Urgent {
			wait = urgentWait
		}
		if now.Sub(since) >= wait && c.preemptFor(now, d) {
			c.wave.starved[d.Plan] = now
		}
	}
}

func (c *Core) preemptFor(now time.Time, d sharer.Demand) bool {
	t, ok := c.waiting[d.Plan].head(c.ledger, func(id pv.TaskID) bool {
		return c.pending[id] || now.Before(c.notUntil[id])
	})
	if !ok {
		return false
	}
	need := c.placer.Reserve(t.Spec)
	if !d.Used.Add(need).Fits(d.Allowance.Guaranteed) {
		return false // it would go above its guarantee
	}
	victim := c.victim(now, d, need)
	budget := c.wave.budget
	if d.Class == pv.Urgent {
		budget = c.wave.urgent
	}
	if victim == nil || !budget.AllowN(now, 1) {
		return false
	}
	c.stateOf(victim.AttemptID()).stopCause = pv.ReasonPreempted
	return true
}

// victim returns the task whose stop makes room at the least cost.
func (c *Core) victim(now time.Time, d sharer.Demand, need pv.Resources) *recorder.Task {
	above := c.plansAboveGuarantee()
	var best *recorder.Task
	for _, id := range c.order {
		w := c.workers[id]
		if !c.open(now, w) {
			continue
		}
		free := w.info.Capacity.Sub(c.ledger.Used[id]).Sub(c.promised[id])
		if need.Fits(free) {
			return nil // it fits already; the next tick starts it
		}
		for _, t := range c.running(id) {
			if t.Spec.Plan == d.Plan || !above[t.Spec.Plan] || c.pending[t.Spec.ID] {
				continue
			}
			s := c.stateOf(t.AttemptID())
			if s.stopCause == pv.NoReason && need.Fits(free.Add(t.Reserve)) && c.cheaper(t, best) {
				best = t
			}
		}
	}
	return best
}

func (c *Core) plansAboveGuarantee() map[string]bool {
	used := map[string]pv.Resources{}
	for _, tasks := range c.active {
		for _, t := range tasks {
			used[t.Spec.Plan] = used[t.Spec.Plan].Add(t.Reserve)
		}
	}
	above := map[string]bool{}
	capacity := c.capacity()
	for plan, u := range used {
		allowance, ok := c.allowance(plan)
		above[plan] = !ok || u.Share(capacity) > allowance.Guaranteed.Share(capacity)
	}
	return above
}

// cheaper prefers the less urgent task, then the one with less work at risk.
func (c *Core) cheaper(t, than *recorder.Task) bool {
	if than == nil {
		return true
	}
	a, b := rank(t.Spec.Class), rank(than.Spec.Class)
	if a != b {
		return a > b
	}
	s, o := c.stateOf(t.AttemptID()), c.stateOf(than.AttemptID())
	return s.progress-s.saved < o.progress-o.saved
}

func rank(class pv.Class) int {
	for i, c := range pv.Classes {
		if c == class {
			return i
		}
	}
	return len(pv.Classes)
}
