package recorder

// This file defines the ledger: it applies records in offset order and says of
// each whether it is valid. A record of a superseded term, a duplicate, or one
// that contradicts the state is void and changes nothing but the sequence
// number. A writer learns only from this verdict whether its record counts.

import (
	pv "persimmonvalve"
)

// Verdict says whether a record took effect, and if not, why.
type Verdict string

// The verdicts.
const (
	Valid         Verdict = "valid"
	VoidTerm      Verdict = "superseded term"
	VoidDuplicate Verdict = "duplicate"
	VoidState     Verdict = "contradicts the state"
	VoidCapacity  Verdict = "over the worker's capacity"
	VoidMalformed Verdict = "malformed"
)

// Entry is a record with its offset and verdict.
type Entry struct {
	Offset  pv.Offset
	Record  Record
	Verdict Verdict
}

// Ledger is the state of one stream at an offset. It isn't safe for concurrent
// use.
type Ledger struct {
	State
	next    pv.Offset
	waiting *bootstrap // set while older records are gone and no snapshot was found
}

// New returns the ledger of an empty stream.
func New() *Ledger {
	return &Ledger{State: newState()}
}

// Next returns the offset of the next record to apply.
func (l *Ledger) Next() pv.Offset { return l.next }

// Ready reports whether the state is known: false while a reader that began
// behind the horizon still waits for a snapshot.
func (l *Ledger) Ready() bool { return l.waiting == nil }

// HeldBy reports whether holder has the current, open term.
func (l *Ledger) HeldBy(holder pv.Incarnation) bool {
	return l.Ready() && l.Holder == holder && l.Term > 0 && !l.Closed
}

// Feed applies a batch and returns its entries in order, those replayed after
// a snapshot included.
func (l *Ledger) Feed(batch pv.Batch) []Entry {
	if batch.First > l.next {
		l.rewind(batch.First)
	}
	var entries []Entry
	for i, data := range batch.Records {
		offset := batch.First + pv.Offset(i)
		if offset < l.next {
			continue // read twice
		}
		entries = append(entries, l.feedOne(offset, data)...)
	}
	return entries
}

func (l *Ledger) feedOne(offset pv.Offset, data []byte) []Entry {
	record, err := Decode(data)
	if err != nil {
		record = Record{} // every reader finds the same bytes malformed
	}
	if l.waiting != nil {
		return l.feedWaiting(offset, record)
	}
	return []Entry{l.apply(offset, record)}
}

func (l *Ledger) apply(offset pv.Offset, r Record) Entry {
	l.next = offset + 1
	return Entry{Offset: offset, Record: r, Verdict: l.judge(r)}
}

func (l *Ledger) judge(r Record) Verdict {
	if r.Claim != nil {
		return l.applyClaim(r)
	}
	if r.Term != l.Term || r.Holder != l.Holder || l.Closed {
		return VoidTerm
	}
	if r.Seq <= l.Seq {
		return VoidDuplicate
	}
	// A void record uses up its number as well, so that a later copy of it,
	// in a state where it would be valid, stays void.
	l.Seq = r.Seq
	switch {
	case r.Renew != nil, r.Snapshot != nil:
		return Valid
	case r.HandOver != nil:
		l.Closed = true
		return Valid
	case r.Accept != nil:
		return l.applyAccept(r)
	case r.Start != nil:
		return l.applyStart(r)
	case r.Requeue != nil:
		return l.applyRequeue(r)
	case r.End != nil:
		return l.applyEnd(r)
	case r.Cancel != nil:
		return l.applyCancel(r)
	case r.Begin != nil:
		return l.applyBegin(r)
	case r.Answer != nil:
		return l.applyAnswer(r)
	case r.Handed != nil:
		return l.applyHanded(r)
	case r.Forget != nil:
		return l.applyForget(r)
	}
	return VoidMalformed
}

func (l *Ledger) applyClaim(r Record) Verdict {
	if r.Term != l.Term+1 {
		return VoidTerm
	}
	l.Term = r.Term
	l.Holder = r.Holder
	l.Claim = *r.Claim
	l.Closed = false
	l.Seq = 0
	return Valid
}
