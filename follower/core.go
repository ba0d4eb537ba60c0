package follower

// This file defines the pure core of the follower. The state at an offset is a
// pure function of the stream, so a state that a peer passes on is as good as
// one that was read, and the one with the higher offset is the newer.

import (
	"fmt"

	pv "persimmonvalve"
	"persimmonvalve/parser"
)

// Verdict says what became of a change.
type Verdict string

// The verdicts.
const (
	Accepted Verdict = "accepted"
	Conflict Verdict = "another change came first"
	Faulty   Verdict = "the list is faulty"
	NoChange Verdict = "not a change"
)

// Result is the verdict on one record.
type Result struct {
	Offset  pv.Offset
	Record  Record
	Verdict Verdict
	Faults  []parser.Fault
}

// Core follows the configuration stream. It isn't safe for concurrent use.
type Core struct {
	state   State
	known   bool // the state is that of the stream at state.Next
	parsed  *pv.Configuration
	first   pv.Offset // while not known: offset of buffered[0]
	buffer  []Record
	started bool
}

// New returns a follower that has read nothing.
func New() *Core {
	return &Core{state: emptyState()}
}

// State returns the lists as far as the stream has been followed, false while
// they aren't known.
func (c *Core) State() (State, bool) { return c.state, c.known }

// Configuration returns the configuration in force, nil while there is none.
func (c *Core) Configuration() *pv.Configuration { return c.parsed }

// Next returns the offset from which to read on.
func (c *Core) Next() pv.Offset {
	if !c.known {
		return c.first + pv.Offset(len(c.buffer))
	}
	return c.state.Next
}

// Adopt takes over a peer's state if it is newer than the own one.
func (c *Core) Adopt(s State) bool {
	if c.known && s.Next <= c.state.Next {
		return false
	}
	c.become(s)
	return true
}

func (c *Core) become(s State) {
	c.state = s
	c.known = true
	c.buffer = nil
	c.reparse()
}

// Feed applies a batch of the stream.
func (c *Core) Feed(b pv.Batch) []Result {
	if !c.started && b.First == 0 {
		c.known = true // from the beginning, nothing is missing
	}
	c.started = true
	if b.First > c.Next() {
		c.rewind(b.First)
	}
	var results []Result
	for i, data := range b.Records {
		offset := b.First + pv.Offset(i)
		if offset < c.Next() {
			continue
		}
		results = append(results, c.feedOne(offset, decode(data))...)
	}
	return results
}

// rewind notes that records before first are gone unread. The configuration in
// force stays in force: it is old, but never wrong to serve, and the next
// checkpoint or peer brings the newer one.
func (c *Core) rewind(first pv.Offset) {
	c.known = false
	c.first = first
	c.buffer = nil
}

func (c *Core) feedOne(offset pv.Offset, r Record) []Result {
	if c.known {
		return []Result{c.apply(offset, r)}
	}
	c.buffer = append(c.buffer, r)
	p := r.Checkpoint
	if p == nil || p.Through+1 < c.first || p.Through >= offset {
		return nil // a change between could be missed
	}
	first, buffered := c.first, c.buffer
	if c.parsed == nil || p.State.Version() >= c.parsed.Version {
		c.become(p.State)
	} else {
		c.known, c.state, c.buffer = true, p.State, nil
	}
	var results []Result
	for i := p.Through + 1; i <= offset; i++ {
		results = append(results, c.apply(i, buffered[i-first]))
	}
	return results
}

func (c *Core) apply(offset pv.Offset, r Record) Result {
	c.state.Next = offset + 1
	result := Result{Offset: offset, Record: r, Verdict: NoChange}
	if r.Change == nil {
		return result
	}
	result.Verdict, result.Faults = c.change(offset, r)
	return result
}

func (c *Core) change(offset pv.Offset, r Record) (Verdict, []parser.Fault) {
	ch := r.Change
	if ch.List != pv.PlansList && ch.List != pv.AllowancesList {
		return Faulty, []parser.Fault{{Text: fmt.Sprintf("no such list: %q", ch.List)}}
	}
	list := c.state.list(ch.List)
	if ch.Amends != list.Version {
		return Conflict, nil
	}
	if faults := Check(c.state, ch.List, ch.Text); len(faults) > 0 {
		return Faulty, faults
	}
	*list = List{Version: offset, Author: ch.Author, Time: r.Time, Text: ch.Text}
	c.reparse()
	return Accepted, nil
}

// Check returns the faults that publishing text as a list would have in a
// state. Allowances may stand before their plans, plans not before their
// allowances.
func Check(s State, kind pv.ListKind, text string) []parser.Fault {
	plansText, allowancesText := s.Plans.Text, s.Allowances.Text
	if kind == pv.PlansList {
		plansText = text
	} else {
		allowancesText = text
	}
	plans, faults := parsePlans(plansText)
	allowances, more := parseAllowances(allowancesText)
	if faults = append(faults, more...); len(faults) > 0 {
		return faults
	}
	return parser.CheckTogether(plans, allowances)
}

func parsePlans(text string) (pv.Plans, []parser.Fault) {
	if text == "" {
		return pv.Plans{}, nil
	}
	return parser.ParsePlans([]byte(text))
}

func parseAllowances(text string) (pv.Allowances, []parser.Fault) {
	if text == "" {
		return pv.Allowances{}, nil
	}
	return parser.ParseAllowances([]byte(text))
}

// reparse builds the configuration in force. What is in the state was checked
// before it became part of it. An older version never replaces a newer one.
func (c *Core) reparse() {
	if c.state.Version() == NoVersion {
		return
	}
	if c.parsed != nil && c.state.Version() <= c.parsed.Version {
		return
	}
	plans, _ := parsePlans(c.state.Plans.Text)
	allowances, _ := parseAllowances(c.state.Allowances.Text)
	c.parsed = &pv.Configuration{Version: c.state.Version(), Plans: plans, Allowances: allowances}
}

// TakeCheckpoint returns a checkpoint of the state, false while not known.
func (c *Core) TakeCheckpoint() (Checkpoint, bool) {
	if !c.known {
		return Checkpoint{}, false
	}
	return Checkpoint{Through: c.state.Next - 1, State: c.state}, true
}
