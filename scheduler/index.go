package scheduler

// This file defines the indices over the ledger that keep a tick's cost in
// proportion to what runs and starts, not to what waits.

import (
	"slices"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/recorder"
)

// queue holds the waiting tasks of one plan in order. Tasks that no longer
// wait are dropped when they come to the head.
type queue struct {
	class pv.Class
	front []pv.TaskID // tasks that wait again, last evicted last
	back  []pv.TaskID
}

func (q *queue) head(ledger *recorder.Ledger, skip func(pv.TaskID) bool) (*recorder.Task, bool) {
	q.trim(ledger)
	for _, list := range [...][]pv.TaskID{q.front, q.back} {
		for i, id := range list {
			if i >= headLook {
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

// headLook is how many tasks of a plan are looked at for one that may start.
const headLook = 16

func (q *queue) trim(ledger *recorder.Ledger) {
	gone := func(id pv.TaskID) bool {
		t, ok := ledger.Tasks[id]
		return !ok || t.Phase != recorder.Waiting
	}
	for len(q.front) > 0 && gone(q.front[0]) {
		q.front = q.front[1:]
	}
	for len(q.back) > 0 && gone(q.back[0]) {
		q.back = q.back[1:]
	}
}

func (q *queue) length() int { return len(q.front) + len(q.back) }

// index builds the indices from the ledger at the start of a term.
func (c *Core) index() {
	for _, t := range c.ledger.SortedTasks() {
		switch t.Phase {
		case recorder.Waiting:
			c.enqueue(t)
		case recorder.Started:
			c.activate(t)
		}
		if t.Cancelling && t.Phase != recorder.Ended {
			c.cancels = append(c.cancels, t.Spec.ID)
		}
	}
}

// Note takes in one entry that the ledger has applied.
func (c *Core) Note(e recorder.Entry) {
	if e.Verdict != recorder.Valid {
		return
	}
	r := e.Record
	switch {
	case r.Accept != nil:
		c.enqueue(c.ledger.Tasks[r.Accept.Spec.ID])
	case r.Start != nil:
		c.activate(c.ledger.Tasks[r.Start.Attempt.Task])
	case r.Requeue != nil:
		c.deactivate(r.Requeue.Attempt)
		t := c.ledger.Tasks[r.Requeue.Attempt.Task]
		q := c.queueOf(t)
		q.front = append(q.front, t.Spec.ID)
	case r.End != nil:
		c.deactivate(r.End.Attempt)
	case r.Cancel != nil:
		c.cancels = append(c.cancels, r.Cancel.Task)
	}
}

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
	q.back = append(q.back, t.Spec.ID)
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

// running returns a worker's started tasks in a fixed order.
func (c *Core) running(id pv.WorkerID) []*recorder.Task {
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

// current reports whether the ledger has this attempt as started there.
func (c *Core) current(a pv.AttemptID, id pv.WorkerID) bool {
	t, ok := c.ledger.Tasks[a.Task]
	return ok && t.Phase == recorder.Started && t.Attempt == a.Attempt && t.Worker == id
}

// Waiting returns how many tasks wait, tasks that were cancelled included.
func (c *Core) Waiting() int {
	n := 0
	for _, q := range c.waiting {
		n += q.length()
	}
	return n
}

// Summary is what a cell says of itself to entries; it lags.
type Summary struct {
	Cell     pv.StreamName `json:"cell"`
	Term     pv.Term       `json:"term"`
	Waiting  int           `json:"waiting"`
	Running  int           `json:"running"`
	Workers  int           `json:"workers"` // leased now
	Capacity pv.Resources  `json:"capacity"`
	Used     pv.Resources  `json:"used"`
}

// Summary sums the cell up.
func (c *Core) Summary(now time.Time) Summary {
	s := Summary{Cell: c.cell, Term: c.term, Waiting: c.Waiting()}
	for _, id := range c.order {
		w := c.workers[id]
		s.Running += len(c.active[id])
		s.Used = s.Used.Add(c.ledger.Used[id])
		if w.leased(now) {
			s.Workers++
			s.Capacity = s.Capacity.Add(w.info.Capacity)
		}
	}
	return s
}
