package recorder

// This file defines how a reader starts whose first records are gone.
//
// A snapshot is the state through an offset, and so true whoever wrote it and
// however late it came into the log. It is usable only if every record after
// that offset can still be read; otherwise a change between could be missed
// and an older version would come back. So the reader keeps the records from
// the horizon on, takes the first snapshot that reaches back to the horizon,
// and replays what came after the snapshot's offset.

import (
	"encoding/json"
	"slices"

	pv "persimmonvalve"
)

type bootstrap struct {
	first   pv.Offset
	records []Record
}

// rewind drops the state and waits for a snapshot: records before first are
// gone unread.
func (l *Ledger) rewind(first pv.Offset) {
	l.State = newState()
	l.next = first
	l.waiting = &bootstrap{first: first}
}

func (l *Ledger) feedWaiting(offset pv.Offset, r Record) []Entry {
	w := l.waiting
	w.records = append(w.records, r)
	l.next = offset + 1
	if r.Snapshot == nil || r.Snapshot.Through+1 < w.first || r.Snapshot.Through >= offset {
		return nil
	}
	l.State = r.Snapshot.State.clone()
	l.waiting = nil
	var entries []Entry
	for i := r.Snapshot.Through + 1; i <= offset; i++ {
		entries = append(entries, l.apply(i, w.records[i-w.first]))
	}
	return entries
}

// TakeSnapshot returns a record body with the state through the last applied
// record.
func (l *Ledger) TakeSnapshot() *Snapshot {
	return &Snapshot{Through: l.next - 1, State: l.State.clone()}
}

// clone copies the state by its encoding, which is also what a reader of the
// snapshot gets.
func (s State) clone() State {
	data, err := json.Marshal(s)
	if err != nil {
		panic(Error.New("state can't be encoded: %v", err)) // plain data always can
	}
	copied := newState()
	if err := json.Unmarshal(data, &copied); err != nil {
		panic(Error.New("state can't be decoded: %v", err))
	}
	return copied
}

// SortedTasks returns the tasks in the order of their acceptance, then id.
func (s *State) SortedTasks() []*Task {
	tasks := make([]*Task, 0, len(s.Tasks))
	for _, t := range s.Tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *Task) int {
		if c := a.Accepted.Compare(b.Accepted); c != 0 {
			return c
		}
		if a.Spec.ID < b.Spec.ID {
			return -1
		}
		return 1
	})
	return tasks
}
