package scheduler

// This file defines who is to blame for a failed attempt. A worker that fails
// what others finish is quarantined and probed with growing pauses. A kind
// that fails on several workers is the task's fault.

import (
	"time"

	pv "persimmonvalve"
	"persimmonvalve/recorder"
)

const (
	// suspectAfter is how many failures in a row make a worker suspect.
	suspectAfter = 3
	// faultLimit bounds the attempts that are put down to workers.
	faultLimit = 12
	// maxBackoffShift bounds the growth of the pause between attempts.
	maxBackoffShift = 8
)

// kindHealth counts where attempts of one kind ended well and badly.
type kindHealth struct {
	finished map[pv.WorkerID]int
	failed   map[pv.WorkerID]int
}

func (c *Core) health(kind string) *kindHealth {
	h, ok := c.kinds[kind]
	if !ok {
		h = &kindHealth{finished: map[pv.WorkerID]int{}, failed: map[pv.WorkerID]int{}}
		c.kinds[kind] = h
	}
	return h
}

func (c *Core) finished(w *worker, t *recorder.Task) {
	c.health(t.Spec.Kind).finished[w.info.ID]++
	w.failures = 0
	w.pause = 0
	w.quarantine = time.Time{}
}

func (c *Core) attemptFailed(now time.Time, w *worker, t *recorder.Task, s *state) {
	if c.pending[t.Spec.ID] {
		return // counted when its record was proposed
	}
	h := c.health(t.Spec.Kind)
	h.failed[w.info.ID]++
	w.failures++
	atFault := w.failures >= suspectAfter && h.finishesElsewhere(w.info.ID)
	if atFault {
		c.quarantineWorker(now, w)
	}
	shift := min(t.Failures, maxBackoffShift)
	c.notUntil[t.Spec.ID] = now.Add(c.settings.RetryPause << shift)
	switch {
	case t.Cancelling:
		c.record(now, t.Spec.ID, c.endRecord(t, pv.Cancelled, pv.ReasonCancel, s.progress))
	case atFault && t.Attempt < faultLimit+t.Spec.Retries:
		c.requeue(now, t, s, pv.ReasonWorkerFault)
	case t.Failures >= t.Spec.Retries:
		c.record(now, t.Spec.ID, c.endRecord(t, pv.Failed, pv.ReasonTask, s.progress))
	default:
		c.requeue(now, t, s, pv.ReasonTask)
	}
}

// finishesElsewhere reports whether the kind does better on other workers.
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
	if now.Before(w.quarantine) {
		return
	}
	w.pause = min(max(2*w.pause, c.settings.Quarantine), c.settings.QuarantineUp)
	w.quarantine = now.Add(w.pause)
	c.Counters.Quarantined++
}

// open reports whether a worker takes starts now. After a quarantine it takes
// one task at a time until something has finished there.
func (c *Core) open(now time.Time, w *worker) bool {
	if !w.listed || !w.leased(now) || now.Before(w.quarantine) {
		return false
	}
	probing := w.pause > 0
	return !probing || (len(c.active[w.info.ID]) == 0 && c.promised[w.info.ID] == pv.Resources{})
}
