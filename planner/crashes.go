package planner

// This file defines how tasks that crash their workers are found and given up.
//
// When a worker has crashed, each run that it had accepted within the last second may be the
// cause, most likely one that no poll has listed. The crash is counted against these likely
// runs, and the tasks of the others are suspected. A suspected task starts on a worker where
// no other one is on probation. A task with a counted crash starts alone: on a worker
// without another unconfirmed start, which gets no further runs until two polls have listed
// the task. If that worker crashes, hardly anything else can be the cause, and the task's
// job fails. A task whose run has lasted for a second isn't suspected any more.

import (
	"time"

	pv "persimmonvalve"
)

// Limits after which a task is given up, and the times for which it is suspected.
const (
	maxCrashesAtOnce  = 2                      // crashes counted against a task, the last one right after it had started alone, on another worker than before
	maxCrashesAlone   = 3                      // the same, the last one during its probation
	maxCrashes        = 5                      // crashes in which the task was a possible cause
	probationDuration = 250 * time.Millisecond // from the first to the last poll of a probation
	suspicionDuration = time.Second            // from the first poll that lists a run until its task isn't suspected any more
	recentCrash       = 10 * time.Second       // after a worker's crash, for which suspected tasks start on others
)

// maxSuspectWait is the longest wait of a suspected task for a worker that hasn't crashed lately.
// A standing task must run again within 9 s; the lapse of its former worker's lease takes up to
// 6.5 s of these.
const maxSuspectWait = 2 * time.Second

// isSuspected reports whether the task may not start beside another suspected one.
func (t *task) isSuspected() bool { return t.suspected || t.startCrashes > 0 }

// startsAlone reports whether the task has to start alone. The tasks of a gang only work
// together.
func (t *task) startsAlone() bool { return t.startCrashes > 0 && !t.step.spec.Gang }

// admits reports whether the worker may get the task, by what is known of crashes.
func (w *worker) admits(t *task) bool {
	if w.probation != nil && (w.probation.task.startsAlone() || t.isSuspected()) {
		return false
	}
	if t.startsAlone() {
		for _, r := range w.runs {
			if !r.observed {
				return false
			}
		}
	}
	return true
}

// steadyWorkers returns the workers that haven't crashed lately, or all if there are none. A
// suspected task starts on these if it can, so that no job fails because of a worker that
// crashes by itself.
func steadyWorkers(now time.Time, workers []*worker) []*worker {
	var out []*worker
	for _, w := range workers {
		if now.Sub(w.crashedAt) >= recentCrash {
			out = append(out, w)
		}
	}
	if len(out) == 0 {
		return workers
	}
	return out
}

// scoreForSuspect rates a worker for a suspected task: one on which little is lost if it
// crashes, but fast enough for a filler to start.
func (p *Planner) scoreForSuspect(w *worker, s *pv.Step) float64 {
	score := -w.reserved.DominantShare(w.state.Capacity)
	if s.Filler && p.fillerSpeed(w, s.Image, s.Size.MilliCores) < minStartSpeed {
		score -= 2 // more than the share of any worker
	}
	return score
}

// suspectRecentStarts marks the runs that an incarnation of the worker had accepted when it
// stopped answering. Counted are those that no poll had listed, or all if there are none,
// and those of tasks that are suspected already; but only the one that started alone, if it
// is among them.
func (w *worker) suspectRecentStarts(report Report) {
	var recent []*run
	startedAlone := false
	for i, ref := range report.RecentStarts {
		r, ok := w.runs[ref]
		if !ok || r.incarnation != report.Worker.Incarnation {
			continue
		}
		r.observed, r.suspected, r.brokeOnStart = true, true, report.BrokeOnStart
		r.counted = i < report.Unlisted || report.Unlisted == 0 || r.task.isSuspected()
		r.alone = r == w.probation && r.task.startsAlone()
		startedAlone = startedAlone || r.alone
		recent = append(recent, r)
	}
	if startedAlone {
		for _, r := range recent {
			r.counted, r.suspected = r.alone, r.alone
		}
	}
}

// observeRun records that a poll lists a run: the worker has survived its start.
func (p *Planner) observeRun(now time.Time, r *run) {
	t := r.task
	r.observed, r.suspected = true, false
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
	if t.crashes > 0 {
		p.markTaskDirty(t)
	}
	t.suspected, t.crashes, t.startCrashes = false, 0, 0
}

// endCrashedRuns ends the runs that were lost in a crash before w answered at the address,
// and counts the crash against those that are the likely cause.
func (p *Planner) endCrashedRuns(now time.Time, w *worker, runs []*run, reason string) {
	if !runs[0].leaving {
		w.crashedAt = now
	}
	p.countCrash(now, runs)
	for _, r := range runs {
		p.finishRun(now, r, pv.EndVanished, "", reason)
	}
}

// countCrash counts a worker's crash against the runs that are the likely cause, and
// suspects the tasks of the others that may be it.
func (p *Planner) countCrash(now time.Time, runs []*run) {
	for _, r := range runs {
		t, j := r.task, r.task.step.job
		if !r.suspected || r.leaving || t.finished || j.state.Ended() {
			continue
		}
		t.suspected = true
		t.crashes++
		p.markTaskDirty(t)
		if r.counted {
			t.startCrashes++
			p.addEvent(Event{Kind: "task suspected", Job: j.spec.ID, Run: r.ref(), Worker: r.worker.state.ID, Incarnation: r.incarnation})
		}
		if t.crashes >= maxCrashes || r.counted && t.startCrashes >= startCrashLimit(r) {
			p.endJob(now, j, pv.JobFailed, "crashesWorkers")
		}
		if r.counted {
			t.crashAddress = r.worker.state.Address
		}
	}
}

// startCrashLimit returns after how many crashes counted against a task its job fails, the
// last one being that of the given run.
func startCrashLimit(r *run) int {
	first, last := r.task.crashAddress, r.worker.state.Address
	switch {
	case r.alone && r.brokeOnStart && first != last && first.IsValid():
		return maxCrashesAtOnce
	case r.alone || r.task.step.spec.Gang:
		return maxCrashesAlone
	}
	return maxCrashes
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
	p.countCrash(now, lapsed)
}
