package announcer

// This file defines the membership table, which is built from the membership
// stream. Members repeat their announcement well within the log's retention, so
// a new reader needs no snapshot: a member without an announcement in the log no
// longer exists.

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/zeebo/errs"

	pv "persimmonvalve"
)

// Error is the class of this package's errors.
var Error = errs.Class("membership")

// Stream is the name of the membership stream.
const Stream pv.StreamName = "membership"

// StreamHolder records that a member holds a term of a stream.
type StreamHolder struct {
	Stream      pv.StreamName  `json:"stream"`
	Term        pv.Term        `json:"term"`
	Member      string         `json:"member"`
	Address     string         `json:"address"`
	Incarnation pv.Incarnation `json:"holder"`
}

// Deregistration records that a member has deregistered and takes no new work.
type Deregistration struct {
	Name        string         `json:"name"`
	Incarnation pv.Incarnation `json:"incarnation"`
}

// Record is one record of the membership stream. Exactly one pointer is set.
type Record struct {
	Announce       *pv.Member      `json:"announce,omitempty"`
	StreamHolder   *StreamHolder   `json:"hold,omitempty"`
	Deregistration *Deregistration `json:"leave,omitempty"`
}

// Encode returns the JSON encoding of a record.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	return data, Error.Wrap(err)
}

type memberState struct {
	member      pv.Member
	announcedAt time.Time
}

// Table holds the members and the holders of streams as read from the membership
// stream. It isn't safe for concurrent use.
type Table struct {
	next           pv.Offset
	maxAge         time.Duration
	members        map[string]memberState
	deregisteredAt map[pv.Incarnation]time.Time
	holders        map[pv.StreamName]StreamHolder
}

// NewTable returns an empty table. A member expires if it isn't announced again
// within maxAge.
func NewTable(maxAge time.Duration) *Table {
	return &Table{
		maxAge:         maxAge,
		members:        map[string]memberState{},
		deregisteredAt: map[pv.Incarnation]time.Time{},
		holders:        map[pv.StreamName]StreamHolder{},
	}
}

// Next returns the offset of the next record to read.
func (t *Table) Next() pv.Offset { return t.next }

// Apply applies a batch of records, ignores those applied before, expires members,
// and reports whether the table changed.
func (t *Table) Apply(now time.Time, b pv.Batch) bool {
	changed := false
	for i, data := range b.Records {
		if b.First+pv.Offset(i) < t.next {
			continue
		}
		var r Record
		if err := json.Unmarshal(data, &r); err != nil {
			continue // every reader ignores a record that can't be decoded
		}
		changed = t.applyRecord(now, r) || changed
	}
	t.next = max(t.next, b.First+pv.Offset(len(b.Records)))
	return t.expire(now) || changed
}

func (t *Table) applyRecord(now time.Time, r Record) bool {
	switch {
	case r.Announce != nil:
		return t.addMember(now, *r.Announce)
	case r.Deregistration != nil:
		t.deregisteredAt[r.Deregistration.Incarnation] = now
		if e, ok := t.members[r.Deregistration.Name]; ok && e.member.Incarnation == r.Deregistration.Incarnation {
			delete(t.members, r.Deregistration.Name)
			return true
		}
	case r.StreamHolder != nil:
		return t.setHolder(*r.StreamHolder)
	}
	return false
}

// addMember adds or refreshes a member. A late copy of an announcement doesn't
// bring back an incarnation that has deregistered.
func (t *Table) addMember(now time.Time, m pv.Member) bool {
	if _, deregistered := t.deregisteredAt[m.Incarnation]; deregistered {
		return false
	}
	e, known := t.members[m.Name]
	t.members[m.Name] = memberState{member: m, announcedAt: now}
	return !known || e.member != m
}

// setHolder sets the holder of a stream if its term is higher than that of the
// known holder, and reports whether it did. A late record of a superseded holder
// has a lower term and is ignored.
func (t *Table) setHolder(h StreamHolder) bool {
	if old, ok := t.holders[h.Stream]; ok && old.Term >= h.Term {
		return false
	}
	t.holders[h.Stream] = h
	return true
}

// expire removes members whose last announcement is older than maxAge. It
// retains deregistrations for twice maxAge, so that a late copy of an
// announcement doesn't bring a member back.
func (t *Table) expire(now time.Time) bool {
	changed := false
	for name, e := range t.members {
		if now.Sub(e.announcedAt) > t.maxAge {
			delete(t.members, name)
			changed = true
		}
	}
	for incarnation, at := range t.deregisteredAt {
		if now.Sub(at) > 2*t.maxAge {
			delete(t.deregisteredAt, incarnation)
		}
	}
	return changed
}

// Members returns the members of a role, ordered by name. An empty role selects
// all members.
func (t *Table) Members(role string) []pv.Member {
	var out []pv.Member
	for _, e := range t.members {
		if role == "" || e.member.Role == role {
			out = append(out, e.member)
		}
	}
	slices.SortFunc(out, func(a, b pv.Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// RecordHolder sets the holder of a stream if its term is higher than that of the
// known holder, and reports whether it did. It is used for holders that are
// reported outside the membership stream, as by a session.
func (t *Table) RecordHolder(h StreamHolder) bool { return t.setHolder(h) }

// Holder returns the known holder of a stream with the highest term.
func (t *Table) Holder(stream pv.StreamName) (StreamHolder, bool) {
	h, ok := t.holders[stream]
	return h, ok
}

// Contains reports whether the table contains this incarnation of a member.
func (t *Table) Contains(name string, incarnation pv.Incarnation) bool {
	e, ok := t.members[name]
	return ok && e.member.Incarnation == incarnation
}
