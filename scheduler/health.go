package scheduler

// This file defines how failed attempts are attributed to the worker or to the
// task. The worker is at fault if at least minQuarantineFailures consecutive
// attempts failed on it and, on the other workers, more attempts of the failed
// kind finished than failed. It is then quarantined; the quarantine doubles until
// a task finishes there. Every other failure is attributed to the task.

import (
	"time"

	pv "persimmonvalve"
	"persimmonvalve/recorder"
)

const (
	// minQuarantineFailures is the number of consecutive failures from which a
	// worker may be quarantined.
	minQuarantineFailures = 3
	// maxWorkerFaultAttempts limits requeues for worker faults: a failure is
	// attributed to a worker only if
	// attempt < maxWorkerFaultAttempts + the task's retry limit.
	maxWorkerFaultAttempts = 12
	// maxBackoffShift limits the retry delay to InitialBackoff << 8.
	maxBackoffShift = 8
)

// kindHealth counts the finished and failed attempts of one kind by worker.
type kindHealth struct {
	finished map[pv.WorkerID]int
	failed   map[pv.WorkerID]int
}

// healthOf returns the counts of a kind, and creates them if there are none.
func (c *Core) healthOf(kind string) *kindHealth {
	h, ok := c.kindHealth[kind]
	if !ok {
		h = &kindHealth{finished: map[pv.WorkerID]int{}, failed: map[pv.WorkerID]int{}}
		c.kindHealth[kind] = h
	}
	return h
}

func (c *Core) attemptFinished(w *worker, t *recorder.Task) {
	c.healthOf(t.Spec.Kind).finished[w.info.ID]++
	w.consecutiveFailures = 0
	w.quarantineDuration = 0
	w.quarantinedUntil = time.Time{}
}

func (c *Core) attemptFailed(now time.Time, w *worker, t *recorder.Task, s *attemptState) {
	if c.pending[t.Spec.ID] {
		return // the failure was counted when the pending record was proposed
	}
	h := c.healthOf(t.Spec.Kind)
	h.failed[w.info.ID]++
	w.consecutiveFailures++
	workerFault := w.consecutiveFailures >= minQuarantineFailures && h.finishesElsewhere(w.info.ID)
	if workerFault {
		c.quarantineWorker(now, w)
	}
	shift := min(t.Failures, maxBackoffShift)
	c.retryAt[t.Spec.ID] = now.Add(c.settings.InitialBackoff << shift)
	switch {
	case t.Cancelling:
		c.proposeRecord(now, t.Spec.ID, c.endRecord(t, pv.OutcomeCancelled, pv.ReasonCancelledByCaller, s.progress))
	case workerFault && t.Attempt < maxWorkerFaultAttempts+t.Spec.RetryLimit:
		c.requeue(now, t, s, pv.ReasonWorkerFault)
	case t.Failures >= t.Spec.RetryLimit:
		c.proposeRecord(now, t.Spec.ID, c.endRecord(t, pv.OutcomeFailed, pv.ReasonTaskFailed, s.progress))
	default:
		c.requeue(now, t, s, pv.ReasonTaskFailed)
	}
}

// finishesElsewhere reports whether more attempts of the kind finished than
// failed on the workers other than id.
func (h *kindHealth) finishesElsewhere(id pv.WorkerID) bool {
	finished, failed := 0, 0
	for w, n := range h.finished {
		if w != id {
			finished += n
		}
	}
	for w, n := range h.failed {
		if w != id {
			failed += n
		}
	}
	return finished > failed
}

func (c *Core) quarantineWorker(now time.Time, w *worker) {
	if now.Before(w.quarantinedUntil) {
		return
	}
	w.quarantineDuration = min(max(2*w.quarantineDuration, c.settings.InitialQuarantine), c.settings.MaxQuarantine)
	w.quarantinedUntil = now.Add(w.quarantineDuration)
	c.Counters.Quarantines++
}

// acceptsStarts reports whether tasks may be started on a worker now. After a
// quarantine it gets one task at a time until a task has finished there.
func (c *Core) acceptsStarts(now time.Time, w *worker) bool {
	if !w.listed || !w.leased(now) || now.Before(w.quarantinedUntil) {
		return false
	}
	probing := w.quarantineDuration > 0
	return !probing || (len(c.active[w.info.ID]) == 0 && c.proposedReserve[w.info.ID] == pv.Resources{})
}
