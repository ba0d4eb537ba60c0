package scheduler

// This file defines indices over the ledger. With them the cost of a tick is
// proportional to the tasks that run or start, not to those that wait.

import (
	"slices"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/recorder"
)

// queue holds the waiting tasks of one plan. Requeued tasks are started before
// accepted ones. Tasks that no longer wait are dropped when they reach the head of
// either list.
type queue struct {
	class    pv.Class
	requeued []pv.TaskID // requeued in this term, in the order of their records
	accepted []pv.TaskID // accepted in this term, or waiting when it began
}

// nextStartable returns the first waiting task that is neither cancelled nor
// skipped, among the first maxHeadScan tasks of each list.
func (q *queue) nextStartable(ledger *recorder.Ledger, skip func(pv.TaskID) bool) (*recorder.Task, bool) {
	q.trim(ledger)
	for _, list := range [...][]pv.TaskID{q.requeued, q.accepted} {
		for i, id := range list {
			if i >= maxHeadScan {
				break
			}
			t, ok := ledger.Tasks[id]
			if ok && t.Phase == recorder.Waiting && !t.Cancelling && !skip(id) {
				return t, true
			}
		}
	}
	return nil, false
}

// maxHeadScan is how many tasks at the head of a list are scanned.
const maxHeadScan = 16

// trim drops the tasks at the heads of both lists that no longer wait.
func (q *queue) trim(ledger *recorder.Ledger) {
	notWaiting := func(id pv.TaskID) bool {
		t, ok := ledger.Tasks[id]
		return !ok || t.Phase != recorder.Waiting
	}
	for len(q.requeued) > 0 && notWaiting(q.requeued[0]) {
		q.requeued = q.requeued[1:]
	}
	for len(q.accepted) > 0 && notWaiting(q.accepted[0]) {
		q.accepted = q.accepted[1:]
	}
}

// length is an upper bound: tasks that no longer wait count until they are
// dropped.
func (q *queue) length() int { return len(q.requeued) + len(q.accepted) }

// buildIndices builds the indices from the ledger when a term starts.
func (c *Core) buildIndices() {
	for _, t := range c.ledger.SortedTasks() {
		switch t.Phase {
		case recorder.Waiting:
			c.enqueue(t)
			c.updateSuspect(t)
		case recorder.Started:
			c.activate(t)
		}
		if t.Cancelling && t.Phase != recorder.Ended {
			c.cancelling = append(c.cancelling, t.Spec.ID)
		}
	}
}

// HandleLedgerEntry updates the indices after the ledger has applied a record.
func (c *Core) HandleLedgerEntry(e recorder.LedgerEntry) {
	if e.Verdict != recorder.Valid {
		return
	}
	r := e.Record
	switch {
	case r.Accept != nil:
		c.enqueue(c.ledger.Tasks[r.Accept.Spec.ID])
	case r.Start != nil:
		t := c.ledger.Tasks[r.Start.Attempt.Task]
		c.activate(t)
		c.updateSuspect(t)
	case r.Requeue != nil:
		c.deactivate(r.Requeue.Attempt)
		t := c.ledger.Tasks[r.Requeue.Attempt.Task]
		q := c.queueOf(t)
		q.requeued = append(q.requeued, t.Spec.ID)
		c.updateSuspect(t)
	case r.End != nil:
		c.deactivate(r.End.Attempt)
		delete(c.suspects, r.End.Attempt.Task)
	case r.Cancel != nil:
		c.cancelling = append(c.cancelling, r.Cancel.Task)
	}
}

// queueOf returns the queue of a task's plan, and creates it if there is none.
func (c *Core) queueOf(t *recorder.Task) *queue {
	q, ok := c.waiting[t.Spec.Plan]
	if !ok {
		q = &queue{class: t.Spec.Class}
		c.waiting[t.Spec.Plan] = q
	}
	return q
}

func (c *Core) enqueue(t *recorder.Task) {
	if t == nil || t.Phase != recorder.Waiting {
		return
	}
	q := c.queueOf(t)
	q.accepted = append(q.accepted, t.Spec.ID)
}

func (c *Core) activate(t *recorder.Task) {
	if t == nil || t.Phase != recorder.Started {
		return
	}
	tasks, ok := c.active[t.Worker]
	if !ok {
		tasks = map[pv.TaskID]*recorder.Task{}
		c.active[t.Worker] = tasks
	}
	tasks[t.Spec.ID] = t
}

func (c *Core) deactivate(a pv.AttemptID) {
	for id, tasks := range c.active {
		if _, ok := tasks[a.Task]; !ok {
			continue
		}
		delete(tasks, a.Task)
		if len(tasks) == 0 {
			delete(c.active, id)
		}
	}
	delete(c.attempts, a)
}

// startedTasks returns a worker's started tasks, sorted by ID.
func (c *Core) startedTasks(id pv.WorkerID) []*recorder.Task {
	tasks := make([]*recorder.Task, 0, len(c.active[id]))
	for _, t := range c.active[id] {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *recorder.Task) int {
		if a.Spec.ID < b.Spec.ID {
			return -1
		}
		return 1
	})
	return tasks
}

// startedOn reports whether a is the current attempt of a task that the ledger
// has as started on worker id.
func (c *Core) startedOn(a pv.AttemptID, id pv.WorkerID) bool {
	t, ok := c.ledger.Tasks[a.Task]
	return ok && t.Phase == recorder.Started && t.Attempt == a.Attempt && t.Worker == id
}

// Waiting returns the number of waiting tasks. Tasks that were cancelled or no
// longer wait count until they are dropped from their queue.
func (c *Core) Waiting() int {
	n := 0
	for _, q := range c.waiting {
		n += q.length()
	}
	return n
}

// Summary is a cell's load as published to the entry processes; it may be out of
// date.
type Summary struct {
	Cell     pv.StreamName `json:"cell"`
	Term     pv.Term       `json:"term"`
	Waiting  int           `json:"waiting"`
	Running  int           `json:"running"`
	Workers  int           `json:"workers"` // workers with a valid lease
	Capacity pv.Resources  `json:"capacity"`
	Used     pv.Resources  `json:"used"`
}

// Summary returns the cell's load. Capacity counts only workers with a valid
// lease.
func (c *Core) Summary(now time.Time) Summary {
	s := Summary{Cell: c.cell, Term: c.term, Waiting: c.Waiting()}
	for _, id := range c.workerIDs {
		w := c.workers[id]
		s.Running += len(c.active[id])
		s.Used = s.Used.Add(c.ledger.Reserved[id])
		if w.leased(now) {
			s.Workers++
			s.Capacity = s.Capacity.Add(w.info.Capacity)
		}
	}
	return s
}
