package planner

// This file defines how reports of workers change incarnations, leases and runs.

import (
	"cmp"
	"slices"
	"time"

	pv "persimmonvalve"
)

// PollResult is the part of a report that comes from a poll of the worker.
type PollResult struct {
	Clock time.Duration // reading of the worker's clock
	// FencedSince is an earlier reading by which the incarnation refused calls that were meant
	// for a former one; 0 if none is known.
	FencedSince time.Duration
	Running     []pv.RunStatus
	Ended       []pv.RunEnd // not acknowledged yet
	// EndsAbove is the number above which Ended contains every unacknowledged end.
	EndsAbove int64
	// EndsTruncated states that the worker may have more ends than it has listed.
	EndsTruncated bool
}

// Report is what a supervisor reports about its worker.
type Report struct {
	Worker       pv.WorkerState
	Deregistered bool
	FencingToken int64       // fencing token to which the report applies, see incarnationBits; 0 without one
	Absent       []pv.RunRef // not on the worker, and can't start there any more under FencingToken or an earlier one
	Poll         *PollResult // nil when the worker has not answered a poll under FencingToken
	Unanswered   bool        // the worker has stopped answering polls
	RecentStarts []pv.RunRef // if Unanswered: the runs that it had accepted shortly before
	Unlisted     int         // the first ones of RecentStarts, which no poll had listed
	BrokeOnStart bool        // if Unanswered: the worker's connections broke right after it had accepted one of them
	Former       bool        // another worker or incarnation has replaced this one since; only RecentStarts applies
}

// Connect records that a worker's supervisor is connected to this leader.
func (p *Planner) Connect(now time.Time, id pv.WorkerID) {
	w := p.worker(now, id)
	w.connected, w.fullOrdersDue = true, true
}

// Disconnect records that a worker's supervisor is no longer connected.
func (p *Planner) Disconnect(id pv.WorkerID) {
	if w, ok := p.workers[id]; ok {
		w.connected = false
	}
}

// Report applies the report of a supervisor.
func (p *Planner) Report(now time.Time, r Report) {
	if w, ok := p.workers[r.Worker.ID]; ok {
		w.suspectRecentStarts(r)
	}
	if r.Former {
		return
	}
	w := p.worker(now, r.Worker.ID)
	if r.Worker.Incarnation < w.state.Incarnation && w.stateKnown {
		return // of an earlier incarnation
	}
	if r.Deregistered && w.hasRunsAfter(r.Worker.Incarnation) {
		return // likewise; the present one hasn't reported to this leader yet
	}
	if r.Worker.Incarnation != w.state.Incarnation || !w.stateKnown {
		known := !w.stateKnown && w.knownToFormerLeader(r.Worker.Incarnation)
		w.startIncarnation(r.Worker.Incarnation, p.epoch)
		if !known {
			w.orphanDeadline = now.Add(p.settings.OrphanTimeout())
		}
		p.addEvent(Event{Kind: "worker begins", Worker: r.Worker.ID, Incarnation: r.Worker.Incarnation, FencingToken: w.fencingToken})
	}
	if r.Worker.Draining && !w.state.Draining {
		p.addEvent(Event{Kind: "worker leaves", Worker: r.Worker.ID, Incarnation: r.Worker.Incarnation})
	}
	w.lastReportAt = now
	w.connected = !r.Deregistered
	w.state = r.Worker
	if r.Deregistered && w.deregisteredAt.IsZero() {
		w.deregisteredAt = now
		p.addEvent(Event{Kind: "worker departed", Worker: r.Worker.ID, Incarnation: r.Worker.Incarnation})
	}
	if r.Unanswered || len(r.Absent) > 0 && r.Poll == nil {
		w.unanswering = true // the supervisor would report new runs as absent, again and again
	}
	if r.Worker.Draining || r.Deregistered {
		w.markLeaving()
	}
	if r.FencingToken != w.fencingToken {
		return // the supervisor has not received the token for this leader and incarnation yet
	}
	if r.Poll != nil {
		p.applyPoll(now, w, r.Poll)
	}
	for _, ref := range r.Absent {
		if absent, ok := w.runs[ref]; ok && absent.incarnation == w.state.Incarnation {
			p.finishRun(now, absent, pv.EndVanished, "", "neverStarted")
		}
	}
}

// Deregister applies a worker's deregistration from the directory. It has no effect
// on a later incarnation of the worker.
func (p *Planner) Deregister(now time.Time, d pv.Deregistration) {
	w, ok := p.workers[d.Worker]
	if !ok || !w.deregisteredAt.IsZero() || w.stateKnown && w.state.Incarnation != d.Incarnation {
		return
	}
	if w.hasRunsAfter(d.Incarnation) {
		return
	}
	w.deregisteredAt = now
	w.markLeaving()
	p.addEvent(Event{Kind: "worker departed", Worker: d.Worker, Incarnation: d.Incarnation, Reason: "leftInWriting"})
}

// hasRunsAfter reports whether the worker has runs of incarnations after the given one.
func (w *worker) hasRunsAfter(incarnation int64) bool {
	for _, r := range w.runs {
		if r.incarnation > incarnation {
			return true
		}
	}
	return false
}

// markLeaving marks the runs of a worker that leaves as planned: its end is no crash.
func (w *worker) markLeaving() {
	for _, r := range w.runs {
		r.leaving = true
	}
}

func (p *Planner) applyPoll(now time.Time, w *worker, poll *PollResult) {
	w.lease.read(now, poll, p.settings)
	w.unanswering = false
	w.heardAt = now
	p.resumeRenewal(w)
	w.lapsedRuns = slices.DeleteFunc(w.lapsedRuns, func(r *run) bool { return r.incarnation == w.state.Incarnation })
	if poll.EndsAbove > w.appliedEnd {
		// Earlier ends were reported to another leader only. Full orders make the
		// supervisor report all ends.
		w.fullOrdersDue = true
		return
	}
	for _, e := range poll.Ended {
		w.appliedEnd = max(w.appliedEnd, e.Sequence)
		if r, ok := w.runs[e.Run]; ok {
			r.observed = true
			p.finishRun(now, r, e.Kind, e.Checkpoint, "")
		}
	}
	wasSlow := w.speed.slow
	w.strayRuns = nil
	for _, s := range poll.Running {
		r, ok := w.runs[s.Run]
		if !ok {
			w.strayRuns = append(w.strayRuns, s.Run) // it was in orders that crossed the report of its end
			continue
		}
		p.applyStatus(now, r, s)
	}
	p.learnFromPoll(now, w, poll.Running)
	p.reportSpeed(w, wasSlow)
	// The worker has answered under the new token, so it refuses starts of earlier
	// incarnations and leaders. Runs of earlier incarnations that it didn't list have
	// ended; if it has listed all its ends, they were lost with their incarnation.
	if !w.formerRunsEnded && !poll.EndsTruncated {
		w.formerRunsEnded = true
		if former := w.runsBefore(w.state.Incarnation); len(former) > 0 {
			p.endCrashedRuns(now, w, former, "workerRestarted")
		}
		p.settleLapsedRuns(now, w)
	}
	if !w.fencingTokenConfirmed {
		w.fencingTokenConfirmed = true
		p.placementDue = true
		p.endReplacedWorkers(now, w)
	}
	p.stopRunsOverCapacity(w, poll)
	if p.inEvacuatedZone(w) {
		p.withdrawUnstartedRuns(w)
	}
}

// stopRunsOverCapacity stops the runs that haven't started as far as is known and don't fit
// beside the others any more, because the worker's capacity has shrunk: their starts may
// still be sent. A run of a former leader counts as started until a poll lists runs, since
// supervisors leave the list out of some reports.
func (p *Planner) stopRunsOverCapacity(w *worker, poll *PollResult) {
	if w.reserved.Fits(w.state.Capacity) {
		return
	}
	var reserved pv.Resources
	var unconfirmed []*run
	for _, r := range w.runs {
		restored := r.assignedAt.IsZero()
		if r.observed || r.stopping || restored && len(poll.Running) == 0 {
			reserved = reserved.Add(reservation(r.task.step.spec))
		} else {
			unconfirmed = append(unconfirmed, r)
		}
	}
	slices.SortFunc(unconfirmed, func(a, b *run) int { return a.assignedAt.Compare(b.assignedAt) })
	for _, r := range unconfirmed {
		if with := reserved.Add(reservation(r.task.step.spec)); with.Fits(w.state.Capacity) {
			reserved = with
		} else {
			p.stopRun(r, "capacityShrunk")
		}
	}
}

// endReplacedWorkers ends the runs of earlier workers at the address of w, which has
// just answered there: two live workers never share an address. Incarnations are
// start times, so a lower one is earlier.
func (p *Planner) endReplacedWorkers(now time.Time, w *worker) {
	if !w.state.Address.IsValid() {
		return
	}
	for _, o := range p.workers {
		if o == w || o.state.Address != w.state.Address {
			continue
		}
		replaced := o.runsBefore(w.state.Incarnation)
		o.unsentStops = append(o.unsentStops, replaced...)
		if len(replaced) > 0 {
			p.endCrashedRuns(now, w, replaced, "workerReplaced")
		}
		if o.crashedAt.After(w.crashedAt) {
			w.crashedAt = o.crashedAt
		}
		p.settleLapsedRuns(now, o)
	}
}

// applyStatus records the progress of a run. A listed run of an earlier incarnation
// was started late on the current one; it continues as a run of the current one.
func (p *Planner) applyStatus(now time.Time, r *run, s pv.RunStatus) {
	j := r.task.step.job
	if r.incarnation != r.worker.state.Incarnation {
		r.incarnation = r.worker.state.Incarnation
		p.markTaskDirty(r.task)
	}
	p.observeRun(now, r)
	r.progressPercent = s.ProgressPercent
	switch spec := r.task.step.spec; {
	case spec.Filler:
		r.pace.note(now, s.ProgressPercent, fraction(s.Measured, spec.Size.MilliCores)) // Measured is in millicores
		r.sampleFiller(now)
	case !spec.Standing:
		r.pace.note(now, s.ProgressPercent, 1) // it has its cores for itself
	}
	if s.Checkpoint != "" {
		r.task.checkpoint = s.Checkpoint
	}
	if j.state == pv.JobQueued {
		j.state = pv.JobRunning
		p.markStateDirty(j)
	}
}

// finishRun removes a run whose end is proved and applies the end to its task.
func (p *Planner) finishRun(now time.Time, r *run, kind pv.EndKind, checkpoint, reason string) {
	t, s, j := r.task, r.task.step, r.task.step.job
	if kind == pv.EndStopped {
		reason = cmp.Or(reason, r.stopReason, "supervisorStopped")
	}
	p.addEvent(Event{Kind: "run " + string(kind), Job: j.spec.ID, Run: r.ref(), Worker: r.worker.state.ID, Reason: reason, Incarnation: r.incarnation, ReportAge: now.Sub(r.worker.lease.readAt)})
	p.removeRun(r)
	p.markTaskDirty(t)
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
	if r.observed && j.state == pv.JobQueued {
		j.state = pv.JobRunning
		p.markStateDirty(j)
	}
	switch kind {
	case pv.EndSucceeded:
		r.worker.consecutiveFailures = 0
		s.fullSpeed.add(r.pace.wholeTask(now))
		p.endSuspicion(t)
		if !s.spec.Standing {
			p.finishTask(now, t)
		}
	case pv.EndFailed:
		p.failTask(now, r)
	}
}

func (p *Planner) finishTask(now time.Time, t *task) {
	s, j := t.step, t.step.job
	t.markFinished()
	if s.spec.Gang {
		for _, o := range s.tasks { // one finished task finishes its gang
			o.markFinished()
			p.markTaskDirty(o)
		}
	}
	if j.openTasks == 0 && !j.state.Ended() {
		p.endJob(now, j, pv.JobFinished, "")
	}
}

func (t *task) markFinished() {
	if t.finished {
		return
	}
	t.finished = true
	t.step.openTasks--
	t.step.job.openTasks--
}

// quarantineFailures is the number of consecutive failures after which a worker is considered
// faulty and quarantined. A failed run is one, and so are all failed runs of one attempt of a gang.
const quarantineFailures = 3

func (p *Planner) failTask(now time.Time, r *run) {
	t, s, j := r.task, r.task.step, r.task.step.job
	firstOfAttempt, firstOnWorker := true, true
	if s.spec.Gang {
		firstOfAttempt, firstOnWorker = s.gangFailures.add(now, r)
	} else {
		t.avoidWorker = r.worker.state.ID
	}
	if firstOnWorker {
		p.countWorkerFailure(now, r.worker)
	}
	if !firstOfAttempt || s.spec.Standing || j.state.Ended() {
		return
	}
	failures := 0
	if s.spec.Gang {
		failures = s.gangFailures.attempts
		p.markStateDirty(j)
	} else {
		t.failures++
		failures = t.failures
	}
	if failures >= max(1, j.queue.MaxAttempts) {
		p.endJob(now, j, pv.JobFailed, "attemptsExhausted")
	}
}

// countWorkerFailure counts a failure of a worker and quarantines it after quarantineFailures.
func (p *Planner) countWorkerFailure(now time.Time, w *worker) {
	w.consecutiveFailures++
	if w.consecutiveFailures >= quarantineFailures {
		w.quarantinedUntil = now.Add(p.settings.QuarantineDuration)
		w.consecutiveFailures = quarantineFailures - 1 // after the quarantine, one more failure starts another
		p.addEvent(Event{Kind: "worker quarantined", Worker: w.state.ID, Incarnation: w.state.Incarnation})
	}
}
