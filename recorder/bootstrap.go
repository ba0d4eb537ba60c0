package recorder

// This file defines how a reader starts if the stream's first records are past
// the log's retention.
//
// A snapshot holds the state through an offset. Because the state at an offset
// depends only on the records up to it, a snapshot is correct regardless of who
// wrote it and when it was appended. It is usable only if all records after
// that offset can still be read; otherwise a change in between could be missed,
// which would bring back an older state. The reader therefore buffers the
// records from the oldest offset still in the log on, takes the first snapshot
// with oldestOffset <= Through+1 and Through below the snapshot's own offset,
// and replays the buffered records after Through.

import (
	"encoding/json"
	"maps"
	"slices"

	pv "persimmonvalve"
)

type bootstrap struct {
	oldestOffset pv.Offset
	records      []Record
}

// startBootstrap drops the state and starts to buffer records until a usable
// snapshot is read: records before oldestOffset were removed before they were
// read.
func (l *Ledger) startBootstrap(oldestOffset pv.Offset) {
	l.State = newState()
	l.next = oldestOffset
	l.pendingBootstrap = &bootstrap{oldestOffset: oldestOffset}
}

func (l *Ledger) feedBootstrap(offset pv.Offset, r Record) []LedgerEntry {
	b := l.pendingBootstrap
	b.records = append(b.records, r)
	l.next = offset + 1
	if r.Snapshot == nil || r.Snapshot.Through+1 < b.oldestOffset || r.Snapshot.Through >= offset {
		return nil
	}
	l.State = r.Snapshot.State.clone()
	l.pendingBootstrap = nil
	var entries []LedgerEntry
	for i := r.Snapshot.Through + 1; i <= offset; i++ {
		entries = append(entries, l.apply(i, b.records[i-b.oldestOffset]))
	}
	return entries
}

// TakeSnapshot returns a record body with the state through the last applied
// record.
func (l *Ledger) TakeSnapshot() *Snapshot {
	return &Snapshot{Through: l.next - 1, State: l.State.clone()}
}

// clone copies the state by encoding and decoding it, so that the copy equals
// the state that a reader of the snapshot decodes.
func (s State) clone() State {
	data, err := json.Marshal(s)
	if err != nil {
		panic(Error.New("ledger state can't be encoded: %v", err)) // can't happen: plain data
	}
	copied := newState()
	if err := json.Unmarshal(data, &copied); err != nil {
		panic(Error.New("ledger state can't be decoded: %v", err))
	}
	copied.dropNulls()
	return copied
}

// dropNulls replaces null maps by empty ones and removes null entries, which the state
// in a snapshot of another writer may have.
func (s *State) dropNulls() {
	s.Tasks, s.Requests, s.Accounts, s.Reserved = nonNil(s.Tasks), nonNil(s.Requests), nonNil(s.Accounts), nonNil(s.Reserved)
	maps.DeleteFunc(s.Tasks, func(_ pv.TaskID, t *Task) bool { return t == nil })
	maps.DeleteFunc(s.Requests, func(_ string, r *Request) bool { return r == nil })
	maps.DeleteFunc(s.Accounts, func(_ string, a *Account) bool { return a == nil })
	for _, a := range s.Accounts {
		a.Outcomes, a.Reasons, a.Evictions, a.Retries = nonNil(a.Outcomes), nonNil(a.Reasons), nonNil(a.Evictions), nonNil(a.Retries)
	}
}

func nonNil[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return m
}

// SortedTasks returns the tasks ordered by time of acceptance, then by id.
func (s *State) SortedTasks() []*Task {
	tasks := make([]*Task, 0, len(s.Tasks))
	for _, t := range s.Tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *Task) int {
		if c := a.AcceptedAt.Compare(b.AcceptedAt); c != 0 {
			return c
		}
		if a.Spec.ID < b.Spec.ID {
			return -1
		}
		return 1
	})
	return tasks
}
