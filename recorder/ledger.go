package recorder

// This file defines the ledger: it applies records in offset order and returns
// a verdict for each. A record that doesn't take effect is void: it changes
// nothing but the sequence number, which it advances if it is of the current term
// and not a duplicate. A writer can rely only on the verdict, not on the
// acknowledgement.

import (
	pv "persimmonvalve"
)

// Verdict is Valid if a record took effect, else the reason why it is void.
type Verdict string

// The verdicts.
const (
	Valid             Verdict = "valid"
	VoidSuperseded    Verdict = "superseded term"            // of another term or holder, or after the handover
	VoidDuplicate     Verdict = "duplicate"                  // the sequence number is not above that of an earlier record of the term
	VoidContradiction Verdict = "contradicts the state"      // for example the start of a task that isn't waiting
	VoidCapacity      Verdict = "over the worker's capacity" // the start doesn't fit beside the resources already reserved
	VoidMalformed     Verdict = "malformed"                  // no known content, or invalid values
)

// LedgerEntry is a record with its offset and verdict.
type LedgerEntry struct {
	Offset  pv.Offset
	Record  Record
	Verdict Verdict
}

// Ledger is the state of one stream at an offset. It isn't safe for concurrent
// use.
type Ledger struct {
	State
	next             pv.Offset
	pendingBootstrap *bootstrap // set while a usable snapshot is needed and none was read
}

// New returns the ledger of an empty stream.
func New() *Ledger {
	return &Ledger{State: newState()}
}

// Next returns the offset of the next record to apply.
func (l *Ledger) Next() pv.Offset { return l.next }

// Ready reports whether the state is known. It is false from the time when the
// reader finds that records were removed from the log before it read them, until
// it reads a usable snapshot.
func (l *Ledger) Ready() bool { return l.pendingBootstrap == nil }

// HeldBy reports whether holder holds the current term and hasn't handed it
// over.
func (l *Ledger) HeldBy(holder pv.Incarnation) bool {
	return l.Ready() && l.Holder == holder && l.Term > 0 && !l.HandedOver
}

// Feed applies a batch and returns its entries in offset order, including those
// replayed after a snapshot.
func (l *Ledger) Feed(batch pv.Batch) []LedgerEntry {
	if batch.First > l.next {
		l.startBootstrap(batch.First)
	}
	var entries []LedgerEntry
	for i, data := range batch.Records {
		offset := batch.First + pv.Offset(i)
		if offset < l.next {
			continue // already applied
		}
		entries = append(entries, l.feedOne(offset, data)...)
	}
	return entries
}

func (l *Ledger) feedOne(offset pv.Offset, data []byte) []LedgerEntry {
	record, err := Decode(data)
	if err != nil {
		record = Record{} // void for every reader: its term and sequence number are 0
	}
	if l.pendingBootstrap != nil {
		return l.feedBootstrap(offset, record)
	}
	return []LedgerEntry{l.apply(offset, record)}
}

func (l *Ledger) apply(offset pv.Offset, r Record) LedgerEntry {
	l.next = offset + 1
	return LedgerEntry{Offset: offset, Record: r, Verdict: l.applyRecord(r)}
}

func (l *Ledger) applyRecord(r Record) Verdict {
	if r.Claim != nil {
		return l.applyClaim(r)
	}
	if r.Term != l.Term || r.Holder != l.Holder || l.HandedOver {
		return VoidSuperseded
	}
	if r.Seq <= l.Seq {
		return VoidDuplicate
	}
	// Void records advance the sequence number as well. Otherwise a later copy
	// could become valid once the state has changed.
	l.Seq = r.Seq
	switch {
	case r.Renew != nil, r.Snapshot != nil:
		return Valid
	case r.Handover != nil:
		l.HandedOver = true
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
	case r.Transferred != nil:
		return l.applyTransferred(r)
	case r.Forget != nil:
		return l.applyForget(r)
	}
	return VoidMalformed
}

func (l *Ledger) applyClaim(r Record) Verdict {
	if r.Term != l.Term+1 {
		return VoidSuperseded
	}
	l.Term = r.Term
	l.Holder = r.Holder
	l.Claim = *r.Claim
	l.HandedOver = false
	l.Seq = 0
	return Valid
}
