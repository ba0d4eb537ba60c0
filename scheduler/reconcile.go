package scheduler

// This file defines how the workers' reports are reconciled with the ledger. An
// attempt has provably ended when its worker reports its end or acknowledges a
// stop, when the worker reports another incarnation, or when the worker's lease
// has lapsed. Only then is the task requeued.

import (
	"errors"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/recorder"
)

// reconcile proposes records for attempts that have ended and returns start and
// stop calls.
func (c *Core) reconcile(now time.Time) []Call {
	c.endCancelled(now)
	c.endCrashing(now)
	var calls []Call
	for _, id := range c.workerIDs {
		w := c.workers[id]
		for _, t := range c.startedTasks(id) {
			calls = append(calls, c.reconcileTask(now, w, t)...)
		}
		calls = append(calls, c.stopUnrecordedRuns(now, w)...)
	}
	return calls
}

// endCancelled ends cancelled tasks that wait and marks started ones to be
// stopped.
func (c *Core) endCancelled(now time.Time) {
	remaining := c.cancelling[:0]
	for _, id := range c.cancelling {
		t, ok := c.ledger.Tasks[id]
		if !ok || t.Phase == recorder.Ended {
			continue
		}
		remaining = append(remaining, id)
		if t.Phase == recorder.Waiting {
			c.proposeRecord(now, id, c.endRecord(t, pv.OutcomeCancelled, pv.ReasonCancelledByCaller, t.Checkpointed))
		} else {
			c.stateOf(t.AttemptID()).stopReason = pv.ReasonCancelledByCaller
		}
	}
	c.cancelling = remaining
}

func (c *Core) reconcileTask(now time.Time, w *worker, t *recorder.Task) []Call {
	s := c.stateOf(t.AttemptID())
	run, found := findRun(w.report.Runs, t.AttemptID())
	c.observeAttempt(w, t, s, found, run)
	switch {
	case c.pending[t.Spec.ID]:
		return nil
	case w.lapsed:
		c.requeueLost(now, w, t, s, pv.ReasonLeaseLapsed)
		return nil
	case w.reportCurrent && w.incarnation != t.Incarnation:
		c.requeueLost(now, w, t, s, pv.ReasonWorkerRestarted)
		return nil
	case !w.leased(now):
		return nil
	}
	if !found {
		return c.startOrStop(now, w, t, s)
	}
	s.progress = run.Progress
	s.checkpointed = run.Checkpointed
	if run.State != pv.AttemptRunning {
		c.attemptEnded(now, w, t, s, run)
		return nil
	}
	if s.stopReason != pv.NoReason && s.stopCallID == 0 {
		return []Call{c.newStopCall(now, w, t.AttemptID(), s)}
	}
	return nil
}

func findRun(runs []pv.AttemptStatus, a pv.AttemptID) (pv.AttemptStatus, bool) {
	for _, r := range runs {
		if r.AttemptID == a {
			return r, true
		}
	}
	return pv.AttemptStatus{}, false
}

// startOrStop handles a recorded attempt that isn't in the worker's report. It
// returns a start call, which later ticks repeat until a report shows the attempt;
// starting a running attempt again is a no-op. If the attempt must stop, or the
// worker refused its start, it returns a stop call instead, also while a start has no
// answer: after a stop the worker refuses every later start of the attempt.
func (c *Core) startOrStop(now time.Time, w *worker, t *recorder.Task, s *attemptState) []Call {
	if s.stopCallID != 0 {
		return nil
	}
	if s.startRefused || s.stopReason != pv.NoReason {
		return []Call{c.newStopCall(now, w, t.AttemptID(), s)}
	}
	if s.startCallID != 0 {
		return nil
	}
	if !s.lastCommandAt.IsZero() && !w.reportRequestedAt.After(s.lastCommandAt) {
		return nil // the report was requested before the start was acknowledged
	}
	call := c.registerCall(now, Call{Worker: w.info, Start: &pv.StartCommand{
		Lease:       c.leaseID(w),
		Incarnation: t.Incarnation,
		Attempt:     t.AttemptID(),
		Spec:        t.Spec,
		ResumeFrom:  t.Checkpointed,
	}})
	s.startCallID = call.ID
	s.startSentAt = now
	c.Counters.StartCalls++
	return []Call{call}
}

// newStopCall returns a call that stops an attempt and makes the worker refuse every
// later start of it.
func (c *Core) newStopCall(now time.Time, w *worker, a pv.AttemptID, s *attemptState) Call {
	call := c.registerCall(now, Call{Worker: w.info, Stop: &pv.RunCommand{Lease: c.leaseID(w), Attempt: a}})
	s.stopCallID = call.ID
	c.Counters.StopCalls++
	return call
}

// stopUnrecordedRuns stops the runs on a worker for which the ledger has no
// valid start.
func (c *Core) stopUnrecordedRuns(now time.Time, w *worker) []Call {
	if !w.leased(now) {
		return nil
	}
	var calls []Call
	for _, r := range w.report.Runs {
		if r.State != pv.AttemptRunning || c.startedOn(r.AttemptID, w.info.ID) {
			continue
		}
		s := c.stateOf(r.AttemptID)
		if s.stopCallID == 0 && s.lastCommandAt.Before(w.reportRequestedAt) {
			s.lastCommandAt = now // repeat the stop only after a newer report
			calls = append(calls, c.newStopCall(now, w, r.AttemptID, s))
		}
	}
	return calls
}

func (c *Core) handleStartResult(now time.Time, call Call, result CallResult) {
	s, ok := c.attempts[call.Start.Attempt]
	if !ok {
		return
	}
	s.startCallID = 0
	switch {
	case result.Err == nil:
		s.lastCommandAt = now
	case errors.Is(result.Err, pv.ErrRefused):
		s.startRefused = true
	}
}

func (c *Core) handleStopResult(now time.Time, call Call, result CallResult) {
	a := call.Stop.Attempt
	s, ok := c.attempts[a]
	if !ok {
		return
	}
	s.stopCallID = 0
	w := c.workers[call.Worker.ID]
	if result.Err != nil {
		return
	}
	if !c.startedOn(a, call.Worker.ID) {
		delete(c.attempts, a)
		return
	}
	t := c.ledger.Tasks[a.Task]
	s.progress = result.Run.Progress
	s.checkpointed = result.Run.Checkpointed
	c.attemptEnded(now, w, t, s, result.Run)
}

// attemptEnded proposes the record for an attempt that its worker reported as
// ended.
func (c *Core) attemptEnded(now time.Time, w *worker, t *recorder.Task, s *attemptState, run pv.AttemptStatus) {
	switch run.State {
	case pv.AttemptFinished:
		c.attemptFinished(w, t)
		c.proposeRecord(now, t.Spec.ID, c.endRecord(t, pv.OutcomeFinished, pv.NoReason, run.Progress))
	case pv.AttemptFailed:
		c.attemptFailed(now, w, t, s)
	default:
		c.attemptStopped(now, t, s)
	}
}

// attemptStopped requeues the task of a stopped attempt, or ends it if it was
// cancelled. Without a stop reason, an attempt whose start was refused and never
// acknowledged counts as never started, any other as stopped by a lapsed lease.
func (c *Core) attemptStopped(now time.Time, t *recorder.Task, s *attemptState) {
	if t.Cancelling {
		c.proposeRecord(now, t.Spec.ID, c.endRecord(t, pv.OutcomeCancelled, pv.ReasonCancelledByCaller, s.progress))
		return
	}
	reason := s.stopReason
	switch {
	case reason == pv.NoReason && s.startRefused && s.lastCommandAt.IsZero():
		reason = pv.ReasonNeverStarted
	case reason == pv.NoReason:
		reason = pv.ReasonLeaseLapsed
	}
	c.requeue(now, t, s, reason)
}

// requeueLost proposes that a task whose attempt was lost with its worker waits again.
// The delay after an early loss gives the worker time to report its restart.
func (c *Core) requeueLost(now time.Time, w *worker, t *recorder.Task, s *attemptState, reason pv.Reason) {
	early := c.lostEarly(w, t, s)
	if early {
		c.retryAt[t.Spec.ID] = now.Add(c.settings.InitialBackoff << min(len(t.EarlyLosses), maxBackoffShift))
	}
	c.proposeRequeue(now, t, s, reason, early)
}

// requeue proposes that a task whose attempt has ended on its worker waits again.
func (c *Core) requeue(now time.Time, t *recorder.Task, s *attemptState, reason pv.Reason) {
	c.proposeRequeue(now, t, s, reason, false)
}

// proposeRequeue proposes that a task waits again, or ends it if it was cancelled.
func (c *Core) proposeRequeue(now time.Time, t *recorder.Task, s *attemptState, reason pv.Reason, earlyLoss bool) {
	checkpointed := max(t.Checkpointed, s.checkpointed)
	if t.Cancelling {
		c.proposeRecord(now, t.Spec.ID, c.endRecord(t, pv.OutcomeCancelled, pv.ReasonCancelledByCaller, checkpointed))
		return
	}
	c.proposeRecord(now, t.Spec.ID, recorder.Record{Requeue: &recorder.Requeue{
		Attempt:      t.AttemptID(),
		Reason:       reason,
		Checkpointed: checkpointed,
		LostProgress: max(0, s.progress-checkpointed),
		EarlyLoss:    earlyLoss,
		Survived:     c.survived(t, s),
	}})
}

func (c *Core) endRecord(t *recorder.Task, outcome pv.Outcome, reason pv.Reason, progress time.Duration) recorder.Record {
	return recorder.Record{End: &recorder.End{
		Attempt:  t.AttemptID(),
		Outcome:  outcome,
		Reason:   reason,
		Progress: progress,
	}}
}
