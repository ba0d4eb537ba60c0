package scheduler

// This file defines how tasks that crash their workers are found and ended. An attempt
// whose worker was lost shortly after its start is an early loss, which the ledger keeps
// with the task. It counts once the worker reports another incarnation, which proves that
// the worker was restarted. A task with early losses starts alone: on a worker on which no
// other attempt is new, which then gets no other starts until the attempt has survived. So
// a crash that another task caused is hardly counted against it more than once.

import (
	"maps"
	"slices"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/recorder"
)

const (
	// maxCrashes is the number of counted early losses in a row that end a task.
	maxCrashes = 3
	// An attempt has survived its start if its worker still reports it this many lease
	// renewal intervals later.
	survivalIntervals = 2
	// maxSoloWait is how long a task with early losses waits for a worker on which no
	// other attempt is new.
	maxSoloWait = 30 * time.Second
)

func (c *Core) survivalTime() time.Duration {
	return survivalIntervals * c.settings.LeaseRenewalInterval
}

// observeAttempt notes a report of the incarnation on which an attempt was started.
func (c *Core) observeAttempt(w *worker, t *recorder.Task, s *attemptState, listed bool, run pv.AttemptStatus) {
	if !w.reportCurrent || w.incarnation != t.Incarnation {
		return
	}
	s.workerSeenAt = w.reportReceivedAt
	if listed && run.State == pv.AttemptRunning {
		s.listed = true
	}
}

// survived reports whether an attempt has run for the survival time. Of an attempt that a
// predecessor started only the progress tells.
func (c *Core) survived(t *recorder.Task, s *attemptState) bool {
	if !s.listed {
		return false
	}
	return s.progress-t.Checkpointed >= c.survivalTime() ||
		!s.startSentAt.IsZero() && s.workerSeenAt.Sub(s.startSentAt) >= c.survivalTime()
}

// lostEarly reports whether an attempt that was lost with its worker may have crashed it:
// a start was sent, and the worker wasn't seen for the survival time after it. The loss of
// a worker that the platform no longer lists is planned.
func (c *Core) lostEarly(w *worker, t *recorder.Task, s *attemptState) bool {
	return w.listed && !s.startSentAt.IsZero() && !c.survived(t, s) &&
		s.workerSeenAt.Sub(s.startSentAt) < c.survivalTime()
}

// crashCount returns the early losses of a task whose worker was restarted since.
func (c *Core) crashCount(t *recorder.Task) int {
	n := 0
	for _, l := range t.EarlyLosses {
		if w, ok := c.workers[l.Worker]; ok && w.incarnation != "" && w.incarnation != l.Incarnation {
			n++
		}
	}
	return n
}

// updateSuspect notes whether a task that a record has changed is one with early losses
// that waits.
func (c *Core) updateSuspect(t *recorder.Task) {
	if t == nil || t.Phase != recorder.Waiting || len(t.EarlyLosses) == 0 {
		if t != nil {
			delete(c.suspects, t.Spec.ID)
		}
		return
	}
	c.suspects[t.Spec.ID] = time.Time{}
}

// endCrashing ends the waiting tasks that have crashed too many workers.
func (c *Core) endCrashing(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.suspects)) {
		t, ok := c.ledger.Tasks[id]
		if !ok || t.Phase != recorder.Waiting {
			delete(c.suspects, id)
			continue
		}
		if c.suspects[id].IsZero() {
			c.suspects[id] = now
		}
		if c.crashCount(t) >= maxCrashes && !t.Cancelling {
			c.proposeRecord(now, id, c.endRecord(t, pv.OutcomeFailed, pv.ReasonCrashesWorkers, t.Checkpointed))
		}
	}
}

// mayStart reports whether a waiting task may be considered for a start now.
func (c *Core) mayStart(now time.Time, id pv.TaskID) bool {
	if c.pending[id] || now.Before(c.retryAt[id]) {
		return false
	}
	if _, suspect := c.suspects[id]; !suspect {
		return true
	}
	t := c.ledger.Tasks[id]
	return c.crashCount(t) < maxCrashes && len(c.admitting(now, t, c.candidates(now))) > 0
}

// admitting returns the candidates that may get a task, by what is known of crashes. A task
// with early losses avoids the workers of these if it fits on another.
func (c *Core) admitting(now time.Time, t *recorder.Task, candidates []pv.Candidate) []pv.Candidate {
	since, suspect := c.suspects[t.Spec.ID]
	patient := suspect && (since.IsZero() || now.Sub(since) < maxSoloWait)
	var out, others []pv.Candidate
	for _, candidate := range candidates {
		id := candidate.Worker
		if c.proposedSuspects[id] > 0 || c.hasNewAttempt(id, true) {
			continue
		}
		if patient && (c.proposedReserve[id] != pv.Resources{} || c.hasNewAttempt(id, false)) {
			continue
		}
		out = append(out, candidate)
		lostHere := slices.ContainsFunc(t.EarlyLosses, func(l recorder.WorkerLoss) bool { return l.Worker == id })
		if suspect && !lostHere && c.placer.Reserve(t.Spec).Fits(candidate.Free) {
			others = append(others, candidate)
		}
	}
	if suspect && len(others) > 0 {
		return others
	}
	return out
}

// hasNewAttempt reports whether an attempt on a worker, or one of a task with early
// losses, hasn't survived yet.
func (c *Core) hasNewAttempt(id pv.WorkerID, suspectsOnly bool) bool {
	for _, t := range c.active[id] {
		if suspectsOnly && len(t.EarlyLosses) == 0 {
			continue
		}
		if s, ok := c.attempts[t.AttemptID()]; !ok || !c.survived(t, s) {
			return true
		}
	}
	return false
}
