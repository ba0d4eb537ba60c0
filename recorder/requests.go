package recorder

// This file defines how begin and answer records ensure that the work of an
// idempotency key runs at most once: only the call whose token is in the valid
// begin record may run it. The work of a key with the outcome "refused" was
// provably not run, so the key may be registered again.

import (
	pv "persimmonvalve"
)

func (l *Ledger) applyBegin(r Record) Verdict {
	b := r.Begin
	if b.Key == "" || b.CallToken == "" {
		return VoidMalformed
	}
	if q, exists := l.Requests[b.Key]; exists && !q.retryable() {
		return VoidContradiction
	}
	l.Requests[b.Key] = &Request{Begin: *b, ChangedAt: r.Time}
	a := l.account(b.Customer, b.Plan)
	a.Submitted++
	l.addOpen(a, b.Kind, 1)
	return Valid
}

// retryable reports whether the key may be registered again: it ended, and its
// work was provably not run.
func (q *Request) retryable() bool {
	return q.Ended && q.Answer.Outcome == pv.OutcomeRefused
}

// addOpen adds n to the open requests, which count as running, or to the tasks
// that no cell has accepted yet, which count as waiting.
func (l *Ledger) addOpen(a *Account, kind BeginKind, n int64) {
	if kind == BeginTask {
		a.Waiting += n
	} else {
		a.Running += n
	}
}

func (l *Ledger) applyAnswer(r Record) Verdict {
	answer := r.Answer
	q, ok := l.Requests[answer.Key]
	if !ok || q.Begin.CallToken != answer.CallToken || q.Transferred {
		return VoidContradiction
	}
	// The definite outcome may arrive late; it replaces "unknown".
	if q.Ended && (q.Answer.Outcome != pv.OutcomeUnknown || answer.Outcome == pv.OutcomeUnknown) {
		return VoidContradiction
	}
	a := l.account(q.Begin.Customer, q.Begin.Plan)
	if q.Ended {
		a.uncountEnd(q.Answer.Outcome, q.Answer.Reason)
	} else {
		l.addOpen(a, q.Begin.Kind, -1)
	}
	a.countEnd(answer.Outcome, answer.Reason)
	q.Ended = true
	q.Answer = *answer
	q.ChangedAt = r.Time
	return Valid
}

// applyTransferred removes a submitted task from this stream's account: from now on
// it counts in the account of the cell that accepted it.
func (l *Ledger) applyTransferred(r Record) Verdict {
	q, ok := l.Requests[r.Transferred.Key]
	if !ok || q.Begin.Kind != BeginTask || q.Transferred || q.Ended {
		return VoidContradiction
	}
	q.Transferred = true
	q.Begin.Spec = nil // stored by the cell from now on
	q.ChangedAt = r.Time
	a := l.account(q.Begin.Customer, q.Begin.Plan)
	a.Submitted--
	l.addOpen(a, BeginTask, -1)
	return Valid
}

// applyForget removes tasks that ended, and keys that ended or were transferred,
// before a time. The sums in the accounts stay.
func (l *Ledger) applyForget(r Record) Verdict {
	for id, t := range l.Tasks {
		if t.Phase == Ended && t.ChangedAt.Before(r.Forget.Before) {
			delete(l.Tasks, id)
		}
	}
	for key, q := range l.Requests {
		if (q.Ended || q.Transferred) && q.ChangedAt.Before(r.Forget.Before) {
			delete(l.Requests, key)
		}
	}
	return Valid
}
