package planner

// This file defines which waiting task starts next, and on which worker.
//
// Steps are ordered by the priority of their queue, then by lateness (those that can
// still meet their objective, those that are late, those whose completion is worth
// nothing any more), then by remaining work per gain (work.go). Tasks that fit on no
// worker are skipped, so that smaller ones can use the free capacity.

import (
	"cmp"
	"slices"
	"time"

	pv "persimmonvalve"
)

// noGainFactor is the multiple of the time from due to objective after which a job's
// completion is worth nothing to its submitter.
const noGainFactor = 3

// readyStep is a step with tasks to place.
type readyStep struct {
	step          *step
	latenessClass int     // 0: can meet its objective; 1: late; 2: completion is worth nothing
	workPerGain   float64 // core-seconds of remaining work per core-second of gain
	objective     time.Time
}

func (p *Planner) place(now time.Time) {
	p.passStartedAt = now
	p.avoided = p.slowWorkers(now)
	workers := p.schedulableWorkers(now)
	if len(workers) == 0 {
		return
	}
	unplaceable := map[requirements]bool{} // met by no worker in this pass
	slow := newSlowStarts(now, workers)
	for _, rs := range p.readySteps(now) {
		if rs.step.spec.Gang {
			p.placeGang(now, rs.step, workers)
			continue
		}
		if unplaceable[requirementsOf(rs.step)] {
			continue
		}
		for _, t := range rs.step.tasks {
			if t.waiting() && t.waitingSince.IsZero() {
				t.waitingSince = now
			}
		}
		slowEverywhere := false // an unsuspected filler of the step would be slow on its best worker
		for _, t := range rs.step.tasks {
			if !t.waiting() || slowEverywhere && !t.isSuspected() && !slow.allowed(t) {
				continue
			}
			w := p.chooseWorker(t, workers)
			if w != nil && rs.step.spec.Filler && p.fillerSpeed(w, rs.step.spec.Image, rs.step.spec.Size.MilliCores) < minStartSpeed {
				slowEverywhere = slowEverywhere || !t.isSuspected() // a suspected one has fewer workers to choose from
				if !slow.allowed(t) {
					continue
				}
			}
			if w == nil && t.isSuspected() {
				continue // other tasks may fit where a suspected one may not start
			}
			if w == nil {
				unplaceable[requirementsOf(rs.step)] = rs.step.spec.MaxPerWorker == 0 && t.avoidWorker == ""
				break
			}
			p.assign(now, t, w, t.attempt+1)
			slow.noteStart(t)
		}
	}
}

// requirements are the properties of a task, except MaxPerWorker and avoidWorker, that
// decide whether it fits a worker.
type requirements struct {
	size    pv.Resources
	label   string
	service string
	filler  bool
}

func requirementsOf(s *step) requirements {
	return requirements{s.spec.Size, s.spec.RequiredLabel, s.job.queue.Service, s.spec.Filler}
}

func (p *Planner) schedulableWorkers(now time.Time) []*worker {
	var out []*worker
	for _, w := range p.workers {
		if p.unavailability(now, w) == "" {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *worker) int { return cmp.Compare(a.state.ID, b.state.ID) })
	return out
}

// readySteps returns the ready steps with waiting tasks, in placement order.
func (p *Planner) readySteps(now time.Time) []readyStep {
	var out []readyStep
	for _, j := range p.active {
		for _, s := range j.steps {
			if s.ready(now) && s.hasWaitingTask() {
				out = append(out, p.rank(now, s))
			}
		}
	}
	slices.SortStableFunc(out, compareReady)
	return out
}

// rank returns the step with what decides its place in the order.
func (p *Planner) rank(now time.Time, s *step) readyStep {
	rs := readyStep{step: s, objective: s.objective(), workPerGain: p.workPerGain(s)}
	timeToObjective := rs.objective.Sub(s.due)
	switch {
	case s.spec.Standing:
	case now.After(s.due.Add(noGainFactor * timeToObjective)):
		rs.latenessClass = 2
	case now.Add(s.criticalPath).After(rs.objective):
		rs.latenessClass = 1
	}
	return rs
}

// compareReady is the placement order.
func compareReady(a, b readyStep) int {
	return cmp.Or(
		cmp.Compare(a.step.job.queue.Priority, b.step.job.queue.Priority),
		cmp.Compare(a.latenessClass, b.latenessClass),
		cmp.Compare(a.workPerGain, b.workPerGain),
		a.objective.Compare(b.objective),
		cmp.Compare(a.step.job.spec.ID, b.step.job.spec.ID),
	)
}

func (s *step) hasWaitingTask() bool {
	for _, t := range s.tasks {
		if t.waiting() {
			return true
		}
	}
	return false
}

// fits reports whether the task may run on the worker.
func (w *worker) fits(t *task) bool { return w.misfit(t) == "" }

// misfit returns why the task may not run on the worker, or an empty string if it may.
func (w *worker) misfit(t *task) string {
	s := t.step
	switch {
	case w.state.Service != s.job.queue.Service:
		return "otherService"
	case t.avoids(w.state.ID):
		return "failedThere"
	case !w.admits(t):
		return "unconfirmedStarts"
	case s.spec.RequiredLabel != "" && !slices.Contains(w.state.Labels, s.spec.RequiredLabel):
		return "noLabel"
	case !w.reserved.Add(reservation(s.spec)).Fits(w.state.Capacity):
		return "noRoom"
	}
	if s.spec.MaxPerWorker > 0 {
		n := 0
		for _, o := range s.tasks {
			if o.run != nil && o.run.worker == w {
				n++
			}
		}
		if n >= s.spec.MaxPerWorker {
			return "maxPerWorker"
		}
	}
	return ""
}

// avoids reports whether the task, or a member of its gang, failed last on the worker.
func (t *task) avoids(id pv.WorkerID) bool {
	return t.avoidWorker == id || slices.Contains(t.step.gangFailures.workers, id)
}

// mayReturn reports whether the task avoids workers and may start there again if it fits on no other.
func (t *task) mayReturn(now time.Time) bool {
	failures := &t.step.gangFailures
	return t.avoidWorker != "" || len(failures.workers) > 0 && now.Sub(failures.failedAt) >= minGangReturnTime
}

// score rates a worker that fits; the highest score wins.
//
// Fillers slow serving tasks on the same worker, so the two are kept apart: serving
// tasks are packed on few workers, batch tasks fill up these workers first, and
// fillers prefer workers without serving tasks.
func (p *Planner) score(w *worker, s *step) float64 {
	capacity := w.state.Capacity
	reservedShare := w.reserved.DominantShare(capacity)
	score := -failurePenalty * float64(w.consecutiveFailures)
	if p.avoided[w] > 0 {
		score -= slowPenalty
	}
	switch {
	case s.spec.Filler:
		score += p.fillerSpeed(w, s.spec.Image, s.spec.Size.MilliCores) - headroomPenalty*p.expectedThrottling(w, s.spec.Image, float64(s.spec.Size.MilliCores)/1000).headroomShare
	case s.spec.LatencyTarget > 0:
		score += reservedShare - fraction(w.fillerMilliCores, capacity.MilliCores)
		if w.servingRuns > 0 {
			score += servingWorkerBonus
		}
	default:
		score += reservedShare
		if w.servingRuns > 0 {
			score += servingWorkerBonus
		}
	}
	if s.spec.DataRack != "" && slices.Contains(w.state.Labels, s.spec.DataRack) {
		score += rackBonus
	}
	if s.spec.SameRack {
		for _, o := range s.tasks {
			if o.run != nil && o.run.worker.state.Location.Rack == w.state.Location.Rack {
				score += rackBonus
				break
			}
		}
	}
	return score
}

// Weights of the score; 1 is the score of a fully reserved worker.
const (
	rackBonus          = 3.0 // exceeds 2, the highest score without it: on other racks, work takes 1.5 times as long
	servingWorkerBonus = 1.0
	headroomPenalty    = 0.3 // for a filler that takes all slack headroom of the serving tasks
	failurePenalty     = 0.4 // per consecutive failed run on the worker
	slowPenalty        = 2.5 // exceeds the highest score without a rack, so that a slow worker is the last choice
)

func fraction(part, total int64) float64 { return float64(part) / float64(max(1, total)) }

// chooseWorker returns the fitting worker with the highest score, or nil. If
// none fits and the task may return to those that it avoids, it forgets them and tries again.
func (p *Planner) chooseWorker(t *task, workers []*worker) *worker {
	if t.isSuspected() && p.passStartedAt.Sub(t.waitingSince) < maxSuspectWait {
		workers = steadyWorkers(p.passStartedAt, workers)
	}
	var best *worker
	var bestScore float64
	noRackBonus := t.step.spec.Filler && t.step.spec.DataRack == "" && !t.step.spec.SameRack
	for _, w := range workers {
		if noRackBonus && !t.isSuspected() && best != nil && w.fillerCoreShare(t.step.spec.Size.MilliCores) <= bestScore {
			continue // a filler's score is at most its core share; skip the costlier estimate
		}
		if !w.fits(t) {
			continue
		}
		score := p.score(w, t.step)
		if t.isSuspected() {
			score = p.scoreForSuspect(w, t.step.spec)
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	if best == nil && t.mayReturn(p.passStartedAt) {
		t.avoidWorker, t.step.gangFailures.workers = "", nil // no other worker fits: retry where the task failed
		return p.chooseWorker(t, workers)
	}
	return best
}

func (p *Planner) assign(now time.Time, t *task, w *worker, attempt int) {
	t.attempt, t.waitingSince = attempt, time.Time{}
	r := &run{task: t, attempt: attempt, worker: w, incarnation: w.state.Incarnation, assignedAt: now}
	p.addRun(r)
	if t.isSuspected() && !t.step.spec.Gang {
		w.probation = r
	}
	p.newRuns = append(p.newRuns, r)
	p.markTaskDirty(t)
	p.addEvent(Event{Kind: "run assigned", Job: t.step.job.spec.ID, Run: r.ref(), Worker: w.state.ID, Incarnation: r.incarnation, FencingToken: w.fencingToken, ReportAge: now.Sub(w.lease.readAt), Reason: kindOf(t.step.spec)})
}

// kindOf returns the kind of a step for logs and metrics.
func kindOf(s *pv.Step) string {
	switch {
	case s.Filler:
		return "filler"
	case s.Standing:
		return "standing"
	case s.Gang:
		return "gang"
	}
	return "batch"
}
