package scheduler

// This file defines the mitigation of interference and the preemption for plans
// below their guarantee.
//
// When urgent tasks are slowed down, one non-urgent task on the same worker is
// throttled. If all of them are throttled and that hasn't helped within
// throttleTrialPeriod, one is checkpointed and evicted. Each action on a worker
// needs new reports that agree, and the thresholds have hysteresis. Evictions are
// rate-limited. A task is evicted for interference only if its remaining run time
// is long compared with the work that may be lost; see worthEvicting.

import (
	"time"

	"golang.org/x/time/rate"

	pv "persimmonvalve"
	"persimmonvalve/recorder"
	"persimmonvalve/sharer"
)

const (
	// By the worst slowdown of an urgent task (run time / undisturbed run time), a
	// report shows interference above mitigateSlowdown and is normal below
	// releaseSlowdown.
	mitigateSlowdown = 1.5
	releaseSlowdown  = 1.15
	throttledShare   = float64(throttleNumerator) / throttleDenominator // of full speed
	// Measurements lag behind actions, so an action needs minAgreeingReports reports
	// of interference without a normal one in between. A release needs twice as
	// many normal ones.
	minAgreeingReports = 2
	// Mean interval and burst of a cell's evictions, except those that free capacity
	// for urgent plans.
	evictionInterval = 5 * time.Second
	evictionBurst    = 4
	// See worthEvicting.
	minRemainingToLostRatio = 3
	// How long a plan must be below its guarantee before it may preempt.
	preemptionDelay       = time.Second
	urgentPreemptionDelay = 100 * time.Millisecond
	// Mean interval and burst of a cell's evictions that free capacity for urgent
	// plans.
	urgentEvictionInterval = 500 * time.Millisecond
	urgentEvictionBurst    = 16
	fullSpeed              = 1.0
	// A throttled task may be evicted after throttleTrialPeriod.
	throttleTrialPeriod = 10 * time.Second
)

// Numerator and denominator of throttledShare, as integers for Resources.Scale.
const (
	throttleNumerator   = 1
	throttleDenominator = 2
)

// mitigation is the state of mitigation and preemption for the cell.
type mitigation struct {
	interferenceReports  map[pv.WorkerID]int       // reports of interference since the last normal one or action
	normalReports        map[pv.WorkerID]int       // normal reports since the last one of interference
	evaluatedReportAt    map[pv.WorkerID]time.Time // reportRequestedAt of the report last evaluated
	evictionBudget       *rate.Limiter
	urgentEvictionBudget *rate.Limiter        // of evictions that free capacity for urgent plans
	starvedSince         map[string]time.Time // by plan below its guarantee; reset after a preemption
}

// mitigate evaluates new reports and returns throttle calls. If writable is true,
// it also marks tasks to evict.
func (c *Core) mitigate(now time.Time, writable bool) []Call {
	if c.mitigation.interferenceReports == nil {
		c.mitigation = mitigation{
			interferenceReports:  map[pv.WorkerID]int{},
			normalReports:        map[pv.WorkerID]int{},
			evaluatedReportAt:    map[pv.WorkerID]time.Time{},
			evictionBudget:       rate.NewLimiter(rate.Every(evictionInterval), evictionBurst),
			urgentEvictionBudget: rate.NewLimiter(rate.Every(urgentEvictionInterval), urgentEvictionBurst),
			starvedSince:         map[string]time.Time{},
		}
	}
	var calls []Call
	for _, id := range c.workerIDs {
		w := c.workers[id]
		if w.leased(now) && c.mitigation.evaluatedReportAt[id] != w.reportRequestedAt {
			c.mitigation.evaluatedReportAt[id] = w.reportRequestedAt
			calls = append(calls, c.mitigateWorker(now, w, writable)...)
		}
	}
	if writable {
		c.preempt(now)
	}
	return calls
}

// mitigateWorker evaluates one new report of a worker.
func (c *Core) mitigateWorker(now time.Time, w *worker, writable bool) []Call {
	id := w.info.ID
	worst := c.worstSlowdown(w)
	switch {
	case worst > mitigateSlowdown:
		c.mitigation.interferenceReports[id]++
		c.mitigation.normalReports[id] = 0
	case worst < releaseSlowdown:
		c.mitigation.normalReports[id]++
		c.mitigation.interferenceReports[id] = 0
	default: // hysteresis between the thresholds
		return nil
	}
	if c.mitigation.interferenceReports[id] >= minAgreeingReports {
		c.mitigation.interferenceReports[id] = 0
		return c.reduceInterference(now, w, writable)
	}
	if c.mitigation.normalReports[id] >= 2*minAgreeingReports {
		return c.releaseThrottle(now, w)
	}
	return nil
}

// worstSlowdown returns the largest reported slowdown of an urgent task.
func (c *Core) worstSlowdown(w *worker) float64 {
	worst := 0.0
	for _, r := range w.report.Runs {
		t, ok := c.ledger.Tasks[r.Task]
		if ok && r.State == pv.AttemptRunning && t.Spec.Class == pv.ClassUrgent {
			worst = max(worst, r.Slowdown)
		}
	}
	return worst
}

// reduceInterference throttles the unthrottled non-urgent task with the highest
// interference. If all are throttled, it evicts the one with the highest
// interference among those throttled for throttleTrialPeriod and worth evicting.
func (c *Core) reduceInterference(now time.Time, w *worker, writable bool) []Call {
	var toThrottle, toEvict *recorder.Task
	interference := func(t *recorder.Task) float64 { return c.interference(w, t) }
	for _, t := range c.startedTasks(w.info.ID) {
		if t.Spec.Class == pv.ClassUrgent || c.pending[t.Spec.ID] {
			continue
		}
		s := c.stateOf(t.AttemptID())
		switch {
		case s.stopReason != pv.NoReason:
			return nil // a stop on this worker is already under way
		case !s.throttled && (toThrottle == nil || interference(t) > interference(toThrottle)):
			toThrottle = t
		case s.throttled && now.Sub(s.throttledAt) >= throttleTrialPeriod && c.worthEvicting(t, s) && (toEvict == nil || interference(t) > interference(toEvict)):
			toEvict = t
		}
	}
	if toThrottle != nil {
		return []Call{c.throttle(now, w, toThrottle, throttledShare)}
	}
	if toEvict != nil && writable && c.mitigation.evictionBudget.AllowN(now, 1) {
		c.stateOf(toEvict.AttemptID()).stopReason = pv.ReasonInterference
	}
	return nil
}

// interference returns the estimated slowdown that a task adds to the urgent
// tasks on its worker, summed over them. If the placer is no
// InterferenceEstimator, the task's share of the worker's capacity stands in for
// it.
func (c *Core) interference(w *worker, t *recorder.Task) float64 {
	estimator, ok := c.placer.(pv.InterferenceEstimator)
	if !ok {
		return t.Reserve.DominantShare(w.info.Capacity)
	}
	sum := 0.0
	for _, r := range w.report.Runs {
		slowed, ok := c.ledger.Tasks[r.Task]
		if ok && slowed.Spec.Class == pv.ClassUrgent && r.State == pv.AttemptRunning {
			sum += estimator.AddedSlowdown(slowed.Spec.Kind, t.Spec.Kind)
		}
	}
	return sum
}

// worthEvicting reports whether
//
//	remaining run time > minRemainingToLostRatio * (progress - checkpointed)
//
// or there is nothing to lose. A stop checkpoints first, so progress - checkpointed is
// the work that is lost if that checkpoint fails.
func (c *Core) worthEvicting(t *recorder.Task, s *attemptState) bool {
	lostProgress := s.progress - s.checkpointed
	remaining := t.Spec.RunTime - s.progress
	return lostProgress <= 0 || remaining > minRemainingToLostRatio*lostProgress
}

// throttle limits a task to a share of full speed.
func (c *Core) throttle(now time.Time, w *worker, t *recorder.Task, share float64) Call {
	s := c.stateOf(t.AttemptID())
	s.throttled = share < fullSpeed
	s.throttledAt = now
	c.Counters.ThrottleCalls++
	return c.registerCall(now, Call{Worker: w.info, Throttle: &pv.RunCommand{
		Lease: c.leaseID(w), Attempt: t.AttemptID(), SpeedFraction: share,
	}})
}

// releaseThrottle releases the throttle of one task.
func (c *Core) releaseThrottle(now time.Time, w *worker) []Call {
	c.mitigation.normalReports[w.info.ID] = minAgreeingReports // the next release needs minAgreeingReports more normal reports
	for _, t := range c.startedTasks(w.info.ID) {
		if c.stateOf(t.AttemptID()).throttled {
			return []Call{c.throttle(now, w, t, fullSpeed)}
		}
	}
	return nil
}

// preempt frees capacity for plans with waiting tasks that have been below
// their guarantee for the preemption delay: for each it stops one task of a plan
// that is above its own guarantee.
func (c *Core) preempt(now time.Time) {
	if len(c.waiting) == 0 {
		return
	}
	capacity := c.capacity()
	for _, d := range c.demands() {
		if d.Used.DominantShare(capacity) >= d.Allowance.Guaranteed.DominantShare(capacity) {
			delete(c.mitigation.starvedSince, d.Plan)
			continue
		}
		since, ok := c.mitigation.starvedSince[d.Plan]
		if !ok {
			c.mitigation.starvedSince[d.Plan] = now
			continue
		}
		delay := preemptionDelay
		if d.Class == pv.ClassUrgent {
			delay = urgentPreemptionDelay
		}
		if now.Sub(since) >= delay && c.preemptFor(now, d) {
			c.mitigation.starvedSince[d.Plan] = now
		}
	}
}

// preemptFor marks a victim for the plan's next startable task without early losses and
// reports whether there was one within the eviction budget.
func (c *Core) preemptFor(now time.Time, d sharer.Demand) bool {
	t, ok := c.waiting[d.Plan].nextStartable(c.ledger, func(id pv.TaskID) bool {
		_, suspect := c.suspects[id]
		return suspect || c.pending[id] || now.Before(c.retryAt[id])
	})
	if !ok {
		return false
	}
	need := c.placer.Reserve(t.Spec)
	if !d.Used.Add(need).Fits(d.Allowance.Guaranteed) {
		return false // the plan would exceed its guarantee
	}
	victim := c.victim(now, d, need)
	budget := c.mitigation.evictionBudget
	if d.Class == pv.ClassUrgent {
		budget = c.mitigation.urgentEvictionBudget
	}
	if victim == nil || !budget.AllowN(now, 1) {
		return false
	}
	c.stateOf(victim.AttemptID()).stopReason = pv.ReasonPreempted
	return true
}

// victim returns the cheapest task whose stop frees enough capacity on its
// worker, and nil if there is none or a worker has the capacity already.
func (c *Core) victim(now time.Time, d sharer.Demand, need pv.Resources) *recorder.Task {
	above := c.plansAboveGuarantee()
	var best *recorder.Task
	for _, id := range c.workerIDs {
		w := c.workers[id]
		if !c.acceptsStarts(now, w) {
			continue
		}
		free := w.info.Capacity.Sub(c.ledger.Reserved[id]).Sub(c.proposedReserve[id])
		if need.Fits(free) {
			return nil // the task fits without a preemption and starts in a later tick
		}
		for _, t := range c.startedTasks(id) {
			if t.Spec.Plan == d.Plan || !above[t.Spec.Plan] || c.pending[t.Spec.ID] {
				continue
			}
			s := c.stateOf(t.AttemptID())
			if s.stopReason == pv.NoReason && need.Fits(free.Add(t.Reserve)) && c.cheaperVictim(t, best) {
				best = t
			}
		}
	}
	return best
}

// plansAboveGuarantee returns which plans with started tasks are above their
// guarantee; a plan without an allowance always is.
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
		above[plan] = !ok || u.DominantShare(capacity) > allowance.Guaranteed.DominantShare(capacity)
	}
	return above
}

// cheaperVictim reports whether t is less urgent than other, or as urgent with
// less progress since its last checkpoint.
func (c *Core) cheaperVictim(t, other *recorder.Task) bool {
	if other == nil {
		return true
	}
	a, b := classRank(t.Spec.Class), classRank(other.Spec.Class)
	if a != b {
		return a > b
	}
	s, o := c.stateOf(t.AttemptID()), c.stateOf(other.AttemptID())
	return s.progress-s.checkpointed < o.progress-o.checkpointed
}

// classRank returns the index of a class in pv.Classes, the most urgent first.
func classRank(class pv.Class) int {
	for i, c := range pv.Classes {
		if c == class {
			return i
		}
	}
	return len(pv.Classes)
}
