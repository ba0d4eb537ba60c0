package announcer

// This file defines the table of members, fed from the membership stream. A
// member announces itself again well before the log's retention ends, so a new
// reader needs no snapshot: what it doesn't find is no longer there.

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

// Hold says which member holds a stream's term.
type Hold struct {
	Stream  pv.StreamName  `json:"stream"`
	Term    pv.Term        `json:"term"`
	Member  string         `json:"member"`
	Address string         `json:"address"`
	Holder  pv.Incarnation `json:"holder"`
}

// Leave says that a member takes no new work.
type Leave struct {
	Name        string         `json:"name"`
	Incarnation pv.Incarnation `json:"incarnation"`
}

// Record is one entry of the membership stream; one pointer is set.
type Record struct {
	Announce *pv.Member `json:"announce,omitempty"`
	Hold     *Hold      `json:"hold,omitempty"`
	Leave    *Leave     `json:"leave,omitempty"`
}

// Encode returns the bytes of a record.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	return data, Error.Wrap(err)
}

type entry struct {
	member pv.Member
	seen   time.Time
}

// Table is what the stream says of the members. It isn't safe for concurrent
// use.
type Table struct {
	next    pv.Offset
	expiry  time.Duration
	members map[string]entry
	left    map[pv.Incarnation]time.Time
	holds   map[pv.StreamName]Hold
}

// NewTable returns an empty table in which a member that doesn't announce
// itself for the expiry is gone.
func NewTable(expiry time.Duration) *Table {
	return &Table{
		expiry:  expiry,
		members: map[string]entry{},
		left:    map[pv.Incarnation]time.Time{},
		holds:   map[pv.StreamName]Hold{},
	}
}

// Next returns the offset from which to read on.
func (t *Table) Next() pv.Offset { return t.next }

// Feed applies a batch and reports whether anything changed.
func (t *Table) Feed(now time.Time, b pv.Batch) bool {
	changed := false
	for i, data := range b.Records {
		if b.First+pv.Offset(i) < t.next {
			continue
		}
		var r Record
		if err := json.Unmarshal(data, &r); err != nil {
			continue // void for every reader
		}
		changed = t.apply(now, r) || changed
	}
	t.next = max(t.next, b.First+pv.Offset(len(b.Records)))
	return t.expire(now) || changed
}

func (t *Table) apply(now time.Time, r Record) bool {
	switch {
	case r.Announce != nil:
		return t.announce(now, *r.Announce)
	case r.Leave != nil:
		t.left[r.Leave.Incarnation] = now
		if e, ok := t.members[r.Leave.Name]; ok && e.member.Incarnation == r.Leave.Incarnation {
			delete(t.members, r.Leave.Name)
			return true
		}
	case r.Hold != nil:
		return t.hold(*r.Hold)
	}
	return false
}

// announce takes a member in. One that has said that it leaves doesn't come
// back by a late copy of its announcement.
func (t *Table) announce(now time.Time, m pv.Member) bool {
	if _, left := t.left[m.Incarnation]; left {
		return false
	}
	e, known := t.members[m.Name]
	t.members[m.Name] = entry{member: m, seen: now}
	return !known || e.member != m
}

// hold takes in a newer term; a superseded holder's late record changes nothing.
func (t *Table) hold(h Hold) bool {
	if old, ok := t.holds[h.Stream]; ok && old.Term >= h.Term {
		return false
	}
	t.holds[h.Stream] = h
	return true
}

func (t *Table) expire(now time.Time) bool {
	changed := false
	for name, e := range t.members {
		if now.Sub(e.seen) > t.expiry {
			delete(t.members, name)
			changed = true
		}
	}
	for i, at := range t.left {
		if now.Sub(at) > 2*t.expiry {
			delete(t.left, i)
		}
	}
	return changed
}

// Members returns the members of a role in the order of their names; an empty
// role means all.
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

// Note takes in a holder that was heard of outside the stream, as on a session.
// A higher term is always the newer one.
func (t *Table) Note(h Hold) bool { return t.hold(h) }

// Holder returns who holds a stream, as far as is known.
func (t *Table) Holder(stream pv.StreamName) (Hold, bool) {
	h, ok := t.holds[stream]
	return h, ok
}

// Has reports whether this incarnation of a member is in the table.
func (t *Table) Has(name string, incarnation pv.Incarnation) bool {
	e, ok := t.members[name]
	return ok && e.member.Incarnation == incarnation
}
