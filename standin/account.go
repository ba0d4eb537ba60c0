package standin

// This file defines the account of all that a site's workers ran, which tells
// what must never happen.

import (
	"fmt"
	"sync"
	"time"

	pv "persimmonvalve"
)

// Account counts what the runners of a site do. It is safe for concurrent use.
type Account struct {
	mu        sync.Mutex
	faults    []string
	running   map[pv.TaskRef]int
	done      map[pv.TaskRef]bool // an end that was taken note of
	begun     map[pv.JobID]bool
	cancelled map[pv.JobID]time.Time
	starts    int
	order     func(pv.TaskRef) []pv.TaskRef // tasks that must be done first; may be nil
	ended     map[pv.TaskRef]bool           // done at a worker, noted or not
}

// NewAccount returns an empty account.
func NewAccount(order func(pv.TaskRef) []pv.TaskRef) *Account {
	return &Account{
		running: map[pv.TaskRef]int{}, done: map[pv.TaskRef]bool{}, begun: map[pv.JobID]bool{},
		cancelled: map[pv.JobID]time.Time{}, order: order, ended: map[pv.TaskRef]bool{},
	}
}

func (a *Account) fault(format string, args ...any) {
	a.faults = append(a.faults, fmt.Sprintf(format, args...))
}

// Faults returns what went wrong.
func (a *Account) Faults() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.faults
}

// Done reports whether a run of the task ended as done.
func (a *Account) Done(t pv.TaskRef) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended[t]
}

// Begun reports whether a task of the job ever began.
func (a *Account) Begun(id pv.JobID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.begun[id]
}

// Starts returns how many runs began.
func (a *Account) Starts() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.starts
}

// Running returns how many runs of a job are under way.
func (a *Account) Running(id pv.JobID) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for t, c := range a.running {
		if t.Job == id {
			n += c
		}
	}
	return n
}

// Cancelled tells that a job's cancellation was acknowledged.
func (a *Account) Cancelled(id pv.JobID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.cancelled[id]; !ok {
		a.cancelled[id] = time.Now()
	}
}

// cancelBound is how long after an acknowledged cancellation tasks may start.
const cancelBound = 3 * time.Second

func (a *Account) start(r pv.RunRef, ordered time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.starts++
	a.begun[r.Task.Job] = true
	if a.running[r.Task] > 0 {
		a.fault("%v attempt %d starts beside another run", r.Task, r.Attempt)
	}
	if a.done[r.Task] {
		a.fault("%v attempt %d starts after it was done", r.Task, r.Attempt)
	}
	if at, ok := a.cancelled[r.Task.Job]; ok && ordered.Sub(at) > cancelBound {
		a.fault("%v attempt %d starts %v after its job was cancelled", r.Task, r.Attempt, ordered.Sub(at))
	}
	if a.order != nil {
		for _, before := range a.order(r.Task) {
			if !a.ended[before] {
				a.fault("%v starts before %v is done", r.Task, before)
			}
		}
	}
	a.running[r.Task]++
}

func (a *Account) end(r pv.RunRef, kind pv.EndKind) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running[r.Task]--
	if kind == pv.EndDone {
		a.ended[r.Task] = true
	}
}

func (a *Account) noted(e pv.RunEnd) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e.Kind == pv.EndDone {
		a.done[e.Run.Task] = true
	}
}
