package follower

// This file defines the core of the follower, which does no I/O. The state at an
// offset is a function of the stream alone, so that a state received from a peer
// is equivalent to one read from the log, and of two states the one with the
// higher offset is the newer.

import (
	"fmt"

	pv "persimmonvalve"
	"persimmonvalve/parser"
)

// Verdict states whether a record changed a list and, if not, why.
type Verdict string

// The verdicts.
const (
	Accepted   Verdict = "accepted"
	Conflict   Verdict = "another change came first" // amends another version than the current one
	Faulty     Verdict = "the list is faulty"        // or the change is of an unknown list
	NotAChange Verdict = "not a change"              // a checkpoint or a malformed record
)

// Result is a record with its offset and verdict.
type Result struct {
	Offset  pv.Offset
	Record  Record
	Verdict Verdict
	Faults  []parser.Fault
}

// Core follows the configuration stream. It isn't safe for concurrent use.
type Core struct {
	state       State
	synced      bool // state is complete up to state.Next
	config      *pv.Configuration
	bufferStart pv.Offset // while not synced: offset of buffer[0]
	buffer      []Record
	fed         bool // Feed has been called
}

// New returns a follower that hasn't read any records yet.
func New() *Core {
	return &Core{state: emptyState()}
}

// State returns the lists at the last record applied, and false while they are
// incomplete because records are missing.
func (c *Core) State() (State, bool) { return c.state, c.synced }

// Configuration returns the configuration in force, nil while there is none.
func (c *Core) Configuration() *pv.Configuration { return c.config }

// Next returns the offset of the next record to read.
func (c *Core) Next() pv.Offset {
	if !c.synced {
		return c.bufferStart + pv.Offset(len(c.buffer))
	}
	return c.state.Next
}

// Adopt replaces the state by a peer's if the peer's is newer or this state is
// incomplete, and reports whether it did. The configuration in force is replaced
// only by a newer one.
func (c *Core) Adopt(s State) bool {
	if !s.consistent() {
		return false
	}
	if c.synced && s.Next <= c.state.Next {
		return false
	}
	c.setState(s)
	return true
}

func (c *Core) setState(s State) {
	c.state = s
	c.synced = true
	c.buffer = nil
	c.updateConfig()
}

// Feed applies a batch of the stream and returns the results in offset order,
// including those replayed after a checkpoint.
func (c *Core) Feed(b pv.Batch) []Result {
	if !c.fed && b.First == 0 {
		c.synced = true // read from the first record on: none is missing
	}
	c.fed = true
	if b.First > c.Next() {
		c.startBuffering(b.First)
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

// startBuffering marks the state as incomplete, because records before first
// were removed before they were read. The configuration in force is kept: it may
// be outdated but is always valid to serve, until a checkpoint or peer state with a
// newer version replaces it.
func (c *Core) startBuffering(first pv.Offset) {
	c.synced = false
	c.bufferStart = first
	c.buffer = nil
}

func (c *Core) feedOne(offset pv.Offset, r Record) []Result {
	if c.synced {
		return []Result{c.apply(offset, r)}
	}
	c.buffer = append(c.buffer, r)
	checkpoint := r.Checkpoint
	if checkpoint == nil || checkpoint.Through+1 < c.bufferStart || checkpoint.Through >= offset ||
		checkpoint.State.Next != checkpoint.Through+1 || !checkpoint.State.consistent() {
		// Not a checkpoint, or one after which a change before bufferStart could be
		// missed, or one that claims to include its own offset, or one whose state
		// isn't that of any offset.
		return nil
	}
	start, buffered := c.bufferStart, c.buffer
	if c.config == nil || checkpoint.State.Version() >= c.config.Version {
		c.setState(checkpoint.State)
	} else {
		c.synced, c.state, c.buffer = true, checkpoint.State, nil
	}
	var results []Result
	for i := checkpoint.Through + 1; i <= offset; i++ {
		results = append(results, c.apply(i, buffered[i-start]))
	}
	return results
}

func (c *Core) apply(offset pv.Offset, r Record) Result {
	c.state.Next = offset + 1
	result := Result{Offset: offset, Record: r, Verdict: NotAChange}
	if r.Change == nil {
		return result
	}
	result.Verdict, result.Faults = c.applyChange(offset, r)
	return result
}

func (c *Core) applyChange(offset pv.Offset, r Record) (Verdict, []parser.Fault) {
	ch := r.Change
	if ch.List != pv.PlansList && ch.List != pv.AllowancesList {
		return Faulty, []parser.Fault{{Text: fmt.Sprintf("no such list: %q", ch.List)}}
	}
	list := c.state.listOf(ch.List)
	if ch.Amends != list.Version {
		return Conflict, nil
	}
	if faults := Check(c.state, ch.List, ch.Text); len(faults) > 0 {
		return Faulty, faults
	}
	*list = List{Version: offset, Author: ch.Author, Time: r.Time, Text: ch.Text}
	c.updateConfig()
	return Accepted, nil
}

// Check returns the faults that publishing text as the list of a kind would
// cause in a state. Allowances may be published before their plans, but not
// plans before their allowances.
func Check(s State, kind pv.ListKind, text string) []parser.Fault {
	plansText, allowancesText := s.Plans.Text, s.Allowances.Text
	if kind == pv.PlansList {
		plansText = text
	} else {
		allowancesText = text
	}
	plans, faults := parsePlans(plansText)
	allowances, moreFaults := parseAllowances(allowancesText)
	if faults = append(faults, moreFaults...); len(faults) > 0 {
		return faults
	}
	return parser.CheckPlansHaveAllowances(plans, allowances)
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

// updateConfig parses the lists of the state into the configuration in force,
// unless the configuration in force has this version or a newer one. Faults are
// ignored: applyChange has checked the lists that it applied, and the lists of
// checkpoints and peer states were checked by the process that applied them.
func (c *Core) updateConfig() {
	if c.state.Version() == NoVersion {
		return
	}
	if c.config != nil && c.state.Version() <= c.config.Version {
		return
	}
	plans, _ := parsePlans(c.state.Plans.Text)
	allowances, _ := parseAllowances(c.state.Allowances.Text)
	c.config = &pv.Configuration{Version: c.state.Version(), Plans: plans, Allowances: allowances}
}

// TakeCheckpoint returns a checkpoint of the state, and false while the state is
// incomplete.
func (c *Core) TakeCheckpoint() (Checkpoint, bool) {
	if !c.synced {
		return Checkpoint{}, false
	}
	return Checkpoint{Through: c.state.Next - 1, State: c.state}, true
}
