package scheduler

// This file defines how reports are compared with the ledger. An attempt has
// provably ended when its worker reports so, when a stop was acknowledged,
// when the worker came back as another incarnation, or when its lease has
// lapsed. Only then does the task wait again.

import (
	"errors"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/recorder"
)

func (c *Core) reconcile(now time.Time) []Call {
	c.endCancelled(now)
	var calls []Call
	for _, id := range c.order {
		w := c.workers[id]
		for _, t := range c.running(id) {
			calls = append(calls, c.reconcileTask(now, w, t)...)
		}
		calls = append(calls, c.stopStray(now, w)...)
	}
	return calls
}

// endCancelled ends cancelled tasks that wait, and marks those that run.
func (c *Core) endCancelled(now time.Time) {
	kept := c.cancels[:0]
	for _, id := range c.cancels {
		t, ok := c.ledger.Tasks[id]
		if !ok || t.Phase == recorder.Ended {
			continue
		}
		kept = append(kept, id)
		if t.Phase == recorder.Waiting {
			c.record(now, id, c.endRecord(t, pv.Cancelled, pv.ReasonCancel, t.Saved))
		} else {
			c.stateOf(t.AttemptID()).stopCause = pv.ReasonCancel
		}
	}
	c.cancels = kept
}

func (c *Core) reconcileTask(now time.Time, w *worker, t *recorder.Task) []Call {
	s := c.stateOf(t.AttemptID())
	switch {
	case c.pending[t.Spec.ID]:
		return nil
	case w.lapsed:
		c.requeue(now, t, s, pv.ReasonLapsed)
		return nil
	case w.fresh && w.incarnation != t.Incarnation:
		c.requeue(now, t, s, pv.ReasonWorkerReset)
		return nil
	case !w.leased(now):
		return nil
	}
	run, found := findRun(w.report.Runs, t.AttemptID())
	if !found {
		return c.startOrSeal(now, w, t, s)
	}
	s.progress = run.Progress
	s.saved = run.Saved
	if run.State != pv.RunRunning {
		c.attemptEnded(now, w, t, s, run)
		return nil
	}
	if s.stopCause != pv.NoReason && s.stopCall == 0 {
		return []Call{c.stopCall(now, w, t.AttemptID(), s)}
	}
	return nil
}

func findRun(runs []pv.Run, a pv.AttemptID) (pv.Run, bool) {
	for _, r := range runs {
		if r.AttemptID == a {
			return r, true
		}
	}
	return pv.Run{}, false
}

// startOrSeal sends the start command of a recorded attempt that the worker
// doesn't report, again if need be: it is a no-op for a worker that has it. An
// attempt that is to stop, or that the worker refused, is sealed by a stop.
func (c *Core) startOrSeal(now time.Time, w *worker, t *recorder.Task, s *state) []Call {
	if s.stopCall != 0 || s.startCall != 0 {
		return nil
	}
	if s.refused || s.stopCause != pv.NoReason {
		return []Call{c.stopCall(now, w, t.AttemptID(), s)}
	}
	if !s.startedAt.IsZero() && !w.reportAt.After(s.startedAt) {
		return nil // the report is older than the start
	}
	call := c.call(now, Call{Worker: w.info, Start: &pv.StartCommand{
		Lease:       c.leaseID(w),
		Incarnation: t.Incarnation,
		Attempt:     t.AttemptID(),
		Spec:        t.Spec,
		From:        t.Saved,
	}})
	s.startCall = call.ID
	c.Counters.StartCalls++
	return []Call{call}
}

func (c *Core) stopCall(now time.Time, w *worker, a pv.AttemptID, s *state) Call {
	call := c.call(now, Call{Worker: w.info, Stop: &pv.RunCommand{Lease: c.leaseID(w), Attempt: a}})
	s.stopCall = call.ID
	c.Counters.StopCalls++
	return call
}

// stopStray stops what a worker runs without a valid start.
func (c *Core) stopStray(now time.Time, w *worker) []Call {
	if !w.leased(now) {
		return nil
	}
	var calls []Call
	for _, r := range w.report.Runs {
		if r.State != pv.RunRunning || c.current(r.AttemptID, w.info.ID) {
			continue
		}
		s := c.stateOf(r.AttemptID)
		if s.stopCall == 0 && s.startedAt.Before(w.reportAt) {
			s.startedAt = now // ask again only after a newer report
			calls = append(calls, c.stopCall(now, w, r.AttemptID, s))
		}
	}
	return calls
}

func (c *Core) startAnswered(now time.Time, call Call, result CallResult) {
	s, ok := c.attempts[call.Start.Attempt]
	if !ok {
		return
	}
	s.startCall = 0
	switch {
	case result.Err == nil:
		s.startedAt = now
	case errors.Is(result.Err, pv.ErrRefused):
		s.refused = true
	}
}

func (c *Core) stopAnswered(now time.Time, call Call, result CallResult) {
	a := call.Stop.Attempt
	s, ok := c.attempts[a]
	if !ok {
		return
	}
	s.stopCall = 0
	w := c.workers[call.Worker.ID]
	if result.Err != nil {
		return
	}
	if !c.current(a, call.Worker.ID) {
		delete(c.attempts, a)
		return
	}
	t := c.ledger.Tasks[a.Task]
	s.progress = result.Run.Progress
	s.saved = result.Run.Saved
	c.attemptEnded(now, w, t, s, result.Run)
}

// attemptEnded records the end of an attempt that its worker says has ended.
func (c *Core) attemptEnded(now time.Time, w *worker, t *recorder.Task, s *state, run pv.Run) {
	switch run.State {
	case pv.RunFinished:
		c.finished(w, t)
		c.record(now, t.Spec.ID, c.endRecord(t, pv.Finished, pv.NoReason, run.Progress))
	case pv.RunFailed:
		c.attemptFailed(now, w, t, s)
	default:
		c.attemptStopped(now, t, s)
	}
}

func (c *Core) attemptStopped(now time.Time, t *recorder.Task, s *state) {
	if t.Cancelling {
		c.record(now, t.Spec.ID, c.endRecord(t, pv.Cancelled, pv.ReasonCancel, s.progress))
		return
	}
	cause := s.stopCause
	switch {
	case cause == pv.NoReason && s.refused && s.startedAt.IsZero():
		cause = pv.ReasonNeverBegan
	case cause == pv.NoReason:
		cause = pv.ReasonLapsed
	}
	c.requeue(now, t, s, cause)
}

func (c *Core) requeue(now time.Time, t *recorder.Task, s *state, cause pv.Reason) {
	saved := max(t.Saved, s.saved)
	if t.Cancelling {
		c.record(now, t.Spec.ID, c.endRecord(t, pv.Cancelled, pv.ReasonCancel, saved))
		return
	}
	c.record(now, t.Spec.ID, recorder.Record{Requeue: &recorder.Requeue{
		Attempt: t.AttemptID(),
		Cause:   cause,
		Saved:   saved,
		Lost:    max(0, s.progress-saved),
	}})
}

func (c *Core) endRecord(t *recorder.Task, outcome pv.Outcome, reason pv.Reason, ran time.Duration) recorder.Record {
	return recorder.Record{End: &recorder.End{
		Attempt: t.AttemptID(),
		Outcome: outcome,
		Reason:  reason,
		Ran:     ran,
	}}
}
