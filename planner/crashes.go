package planner

// This file defines how tasks that crash their workers are found and given up.
//
// When a worker has crashed, the runs that it accepted last are suspected, since a run
// that a later poll has listed didn't crash it on its start. A suspected task is started
// alone: on a worker without another unconfirmed start, which gets no further runs until
// the task has survived a probation. Then the suspicion ends. If the worker crashes
// instead, hardly anything else can be the cause, and the task's job fails.

import (
	"time"

	pv "persimmonvalve"
)

// Limits after which a task is given up, and the length of a probation.
const (
	maxStartCrashes      = 3                      // crashes on the start of a task
	maxStartCrashesAlone = 2                      // the same, the last time alone and with the worker's connections breaking at once
	probationDuration    = 250 * time.Millisecond // from the first to the last poll of a probation
	suspicionDuration    = time.Second            // from the first poll that lists a run until its task isn't suspected any more
)

// startsAlone reports whether the task is suspected, so that it has to be started alone.
// The tasks of a gang only work together.
func (t *task) startsAlone() bool {
	return (t.suspected || t.startCrashes > 0) && !t.step.spec.Gang
}

// mayStartAlone reports whether no start on the worker is unconfirmed.
func (w *worker) mayStartAlone() bool {
	for _, r := range w.runs {
		if !r.observed {
			return false
		}
	}
	return true
}

// suspectRecentStarts marks the runs that an incarnation of the worker had accepted when it
// stopped answering: those that no poll had listed, or all if there are none, and those of
// tasks that are suspected already.
func (w *worker) suspectRecentStarts(report Report) {
	for i, ref := range report.RecentStarts {
		r, ok := w.runs[ref]
		if !ok || r.incarnation != report.Worker.Incarnation {
			continue
		}
		r.observed = true
		if i < report.Unlisted || report.Unlisted == 0 || r.task.startCrashes > 0 {
			r.suspected, r.brokeOnStart = true, report.BrokeOnStart
		}
	}
}

// observeRun records that a poll lists a run: the worker has survived its start.
func (p *Planner) observeRun(now time.Time, r *run) {
	t := r.task
	r.observed, r.suspected, r.brokeOnStart = true, false, false
	if r.observedAt.IsZero() {
		r.observedAt = now
	}
	if r.worker.probation == r && now.Sub(r.observedAt) >= probationDuration {
		r.worker.probation = nil
		p.placementDue = true
	}
	if now.Sub(r.observedAt) >= suspicionDuration {
		p.endSuspicion(t)
	}
}

func (p *Planner) endSuspicion(t *task) {
	if t.startCrashes > 0 {
		p.markTaskDirty(t)
	}
	t.suspected, t.startCrashes = false, 0
}

// endCrashedRuns ends runs of a worker that has crashed, and counts the crash against
// those that may be its cause.
func (p *Planner) endCrashedRuns(now time.Time, w *worker, runs []*run, reason string) {
	p.blameForCrash(now, w.probation, runs)
	for _, r := range runs {
		p.finishRun(now, r, pv.EndVanished, "", reason)
	}
}

// blameForCrash counts a worker's crash against the runs that it may have been caused by:
// the one on probation if it was suspected, or else all that were suspected.
func (p *Planner) blameForCrash(now time.Time, probation *run, runs []*run) {
	alone := probation != nil && probation.suspected
	for _, r := range runs {
		t, j := r.task, r.task.step.job
		if !r.suspected || r.leaving || alone && r != probation || t.finished || j.state.Ended() {
			continue
		}
		t.startCrashes++
		p.markTaskDirty(t)
		p.addEvent(Event{Kind: "task suspected", Job: j.spec.ID, Run: r.ref(), Worker: r.worker.state.ID, Incarnation: r.incarnation})
		limit := maxStartCrashes
		if alone && r.brokeOnStart {
			limit = maxStartCrashesAlone
		}
		if t.startCrashes >= limit {
			p.endJob(now, j, pv.JobFailed, "crashesWorkers")
		}
	}
}

// runsBefore returns the worker's runs of incarnations before the given one.
func (w *worker) runsBefore(incarnation int64) []*run {
	var out []*run
	for _, r := range w.runs {
		if r.incarnation < incarnation {
			out = append(out, r)
		}
	}
	return out
}

// settleLapsedRuns counts the crash of a worker whose lease had lapsed, once a later
// incarnation has answered at its address.
func (p *Planner) settleLapsedRuns(now time.Time, w *worker) {
	lapsed := w.lapsedRuns
	w.lapsedRuns = nil
	p.blameForCrash(now, nil, lapsed)
}
