package recorder

// This file defines how records about tasks change the state. A task waits, is
// started, waits again if its attempt is proven to have stopped, and ends once.

import (
	"slices"

	pv "persimmonvalve"
)

func (l *Ledger) applyAccept(r Record) Verdict {
	spec := r.Accept.Spec
	if _, exists := l.Tasks[spec.ID]; exists || spec.ID == "" {
		return VoidContradiction
	}
	l.Tasks[spec.ID] = &Task{Spec: spec, Phase: Waiting, AcceptedAt: r.Time, ChangedAt: r.Time}
	a := l.account(spec.Customer, spec.Plan)
	a.Submitted++
	a.Waiting++
	return Valid
}

// applyStart enforces a worker's capacity, whatever was checked before the
// proposal: a start is void if the sum of the reservations of the started attempts
// on its worker would exceed the capacity in the record.
func (l *Ledger) applyStart(r Record) Verdict {
	s := r.Start
	t, ok := l.Tasks[s.Attempt.Task]
	if !ok || t.Phase != Waiting || t.Cancelling || s.Attempt.Attempt != t.Attempt+1 {
		return VoidContradiction
	}
	if s.Reserve.Negative() {
		return VoidMalformed
	}
	reserved := l.Reserved[s.Worker].Add(s.Reserve)
	if !reserved.Fits(s.Capacity) {
		return VoidCapacity
	}
	l.Reserved[s.Worker] = reserved
	t.Phase = Started
	t.Attempt = s.Attempt.Attempt
	t.Worker = s.Worker
	t.Incarnation = s.Incarnation
	t.Reserve = s.Reserve
	t.ChangedAt = r.Time
	a := l.account(t.Spec.Customer, t.Spec.Plan)
	a.Waiting--
	a.Running++
	a.Attempts++
	return Valid
}

func (l *Ledger) applyRequeue(r Record) Verdict {
	q := r.Requeue
	t, ok := l.Tasks[q.Attempt.Task]
	if !ok || t.Phase != Started || t.Attempt != q.Attempt.Attempt {
		return VoidContradiction
	}
	switch {
	case q.EarlyLoss:
		t.EarlyLosses = append(t.EarlyLosses, WorkerLoss{Worker: t.Worker, Incarnation: t.Incarnation})
		t.EarlyLosses = slices.Clone(t.EarlyLosses[max(0, len(t.EarlyLosses)-maxEarlyLosses):])
	case q.Survived:
		t.EarlyLosses = nil
	}
	l.release(t)
	t.Phase = Waiting
	t.Checkpointed = max(t.Checkpointed, q.Checkpointed)
	t.LostProgress += q.LostProgress
	t.ChangedAt = r.Time
	a := l.account(t.Spec.Customer, t.Spec.Plan)
	a.Running--
	a.Waiting++
	a.LostProgress += q.LostProgress
	l.countRequeue(a, t, q.Reason)
	return Valid
}

func (l *Ledger) countRequeue(a *Account, t *Task, reason pv.Reason) {
	switch reason {
	case pv.ReasonTaskFailed:
		t.Failures++
		a.Retries[reason]++
	case pv.ReasonNeverStarted, pv.ReasonWorkerFault:
		a.Retries[reason]++
	default:
		t.Evictions++
		a.Evictions[reason]++
	}
}

func (l *Ledger) applyEnd(r Record) Verdict {
	e := r.End
	t, ok := l.Tasks[e.Attempt.Task]
	if !ok || t.Phase == Ended || t.Attempt != e.Attempt.Attempt {
		return VoidContradiction
	}
	if e.Outcome == pv.OutcomeRefused && t.Attempt > 0 {
		return VoidContradiction // refused means never run, but an attempt was started
	}
	a := l.account(t.Spec.Customer, t.Spec.Plan)
	if t.Phase == Started {
		l.release(t)
		a.Running--
	} else {
		a.Waiting--
	}
	t.Phase = Ended
	t.Outcome = e.Outcome
	t.Reason = e.Reason
	t.ChangedAt = r.Time
	a.countEnd(e.Outcome, e.Reason)
	return Valid
}

func (l *Ledger) applyCancel(r Record) Verdict {
	t, ok := l.Tasks[r.Cancel.Task]
	if !ok {
		l.Tasks[r.Cancel.Task] = &Task{
			Spec:      pv.TaskSpec{ID: r.Cancel.Task},
			Phase:     Ended,
			Outcome:   pv.OutcomeCancelled,
			Reason:    pv.ReasonCancelledByCaller,
			ChangedAt: r.Time,
			Tombstone: true,
		}
		return Valid
	}
	if t.Phase == Ended || t.Cancelling {
		return VoidContradiction
	}
	t.Cancelling = true
	t.ChangedAt = r.Time
	return Valid
}

func (l *Ledger) release(t *Task) {
	remaining := l.Reserved[t.Worker].Sub(t.Reserve)
	if remaining == (pv.Resources{}) {
		delete(l.Reserved, t.Worker)
	} else {
		l.Reserved[t.Worker] = remaining
	}
	t.Worker = ""
	t.Incarnation = ""
	t.Reserve = pv.Resources{}
}
