package recorder

// This file defines how begin and answer records make a key run at most once.
// The call whose token is in the valid begin is the only one that may run it.
// A begin that was refused, provably not run, may be begun again.

import (
	pv "persimmonvalve"
)

func (l *Ledger) applyBegin(r Record) Verdict {
	b := r.Begin
	if b.Key == "" || b.Token == "" {
		return VoidMalformed
	}
	if q, known := l.Requests[b.Key]; known && !q.retryable() {
		return VoidState
	}
	l.Requests[b.Key] = &Request{Begin: *b, Changed: r.Time}
	a := l.account(b.Customer, b.Plan)
	a.Submitted++
	l.countOpen(a, b.Kind, 1)
	return Valid
}

// retryable reports whether the key may be begun again: it ended and was
// provably not run.
func (q *Request) retryable() bool {
	return q.Ended && q.Answer.Outcome == pv.Refused
}

// countOpen counts an open request as running and a task that no cell has
// accepted yet as waiting.
func (l *Ledger) countOpen(a *Account, kind BeginKind, n int64) {
	if kind == BeginTask {
		a.Waiting += n
	} else {
		a.Running += n
	}
}

func (l *Ledger) applyAnswer(r Record) Verdict {
	w := r.Answer
	q, ok := l.Requests[w.Key]
	if !ok || q.Begin.Token != w.Token || q.Handed {
		return VoidState
	}
	// The truth may come late: a definite answer replaces "unknown".
	if q.Ended && (q.Answer.Outcome != pv.Unknown || w.Outcome == pv.Unknown) {
		return VoidState
	}
	a := l.account(q.Begin.Customer, q.Begin.Plan)
	if q.Ended {
		a.unend(q.Answer.Outcome, q.Answer.Reason)
	} else {
		l.countOpen(a, q.Begin.Kind, -1)
	}
	a.end(w.Outcome, w.Reason)
	q.Ended = true
	q.Answer = *w
	q.Changed = r.Time
	return Valid
}

// applyHanded moves a submitted task out of this stream's account: the cell
// that accepted it accounts for it from now on.
func (l *Ledger) applyHanded(r Record) Verdict {
	q, ok := l.Requests[r.Handed.Key]
	if !ok || q.Begin.Kind != BeginTask || q.Handed || q.Ended {
		return VoidState
	}
	q.Handed = true
	q.Begin.Spec = nil // the cell has it
	q.Changed = r.Time
	a := l.account(q.Begin.Customer, q.Begin.Plan)
	a.Submitted--
	l.countOpen(a, BeginTask, -1)
	return Valid
}

// applyForget drops what ended before a time. Sums in the accounts stay.
func (l *Ledger) applyForget(r Record) Verdict {
	for id, t := range l.Tasks {
		if t.Phase == Ended && t.Changed.Before(r.Forget.Before) {
			delete(l.Tasks, id)
		}
	}
	for key, q := range l.Requests {
		if (q.Ended || q.Handed) && q.Changed.Before(r.Forget.Before) {
			delete(l.Requests, key)
		}
	}
	return Valid
}
