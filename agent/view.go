package agent

// This file defines the views: read-only queries by entries on a stream's state.

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/internal/wire"
	"persimmonvalve/recorder"
)

// Kinds of views, with their key and their JSON result.
const (
	ViewTask    = "task"    // key: task id; a recorder.Task
	ViewKey     = "key"     // key: idempotency key; a recorder.Request
	ViewTasks   = "tasks"   // key: a TaskFilter as JSON; up to Limit recorder.Task values, sorted by id
	ViewPending = "pending" // no key; the recorder.Begin values of submissions that no cell has accepted
)

// TaskFilter selects tasks. An empty field matches every task.
type TaskFilter struct {
	Customer string `json:"customer,omitempty"`
	Plan     string `json:"plan,omitempty"`
	State    string `json:"state,omitempty"` // waiting, started, or the outcome of an ended task
	After    string `json:"after,omitempty"` // only ids greater than this one
}

// maxPendingSubmissions bounds the submissions that one view returns and that
// Held.Waiting counts.
const maxPendingSubmissions = 100

func (a *Agent) handleView(v *wire.View, reply *wire.Frame) {
	held := false
	var state []byte
	found := false
	a.eventLoop.Do(func() {
		var s *stream
		if s, held = a.heldStream(time.Now(), v.Stream); held {
			state, found = viewState(s.holder.Ledger(), v)
		}
	})
	if !held {
		a.refuse(reply, pv.ReasonNoHolder)
		return
	}
	reply.Body = &wire.Frame_Viewed{Viewed: &wire.Viewed{Found: found, State: state}}
}

func viewState(l *recorder.Ledger, v *wire.View) ([]byte, bool) {
	switch v.Kind {
	case ViewTask:
		t, ok := l.Tasks[pv.TaskID(v.Key)]
		return mustEncode(t), ok
	case ViewKey:
		q, ok := l.Requests[v.Key]
		return mustEncode(q), ok
	case ViewPending:
		return mustEncode(pendingSubmissions(l, maxPendingSubmissions)), true
	case ViewTasks:
		var f TaskFilter
		if err := json.Unmarshal([]byte(v.Key), &f); err != nil {
			return nil, false
		}
		return mustEncode(filterTasks(l, f, int(v.Limit))), true
	}
	return nil, false
}

func mustEncode[T any](value T) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(Error.Wrap(err)) // can't happen: ledger state consists of plain data
	}
	return data
}

// recordState returns the JSON of the task or request that a record refers to, or
// nil.
func recordState(l *recorder.Ledger, r recorder.Record) []byte {
	switch {
	case r.Accept != nil:
		return mustEncode(l.Tasks[r.Accept.Spec.ID])
	case r.Cancel != nil:
		return mustEncode(l.Tasks[r.Cancel.Task])
	case r.Begin != nil:
		return mustEncode(l.Requests[r.Begin.Key])
	case r.Answer != nil:
		return mustEncode(l.Requests[r.Answer.Key])
	case r.Transferred != nil:
		return mustEncode(l.Requests[r.Transferred.Key])
	}
	return nil
}

func pendingSubmissions(l *recorder.Ledger, limit int) []recorder.Begin {
	var out []recorder.Begin
	for _, q := range l.Requests {
		if q.Begin.Kind == recorder.BeginTask && !q.Transferred && !q.Ended {
			out = append(out, q.Begin)
		}
	}
	slices.SortFunc(out, func(x, y recorder.Begin) int { return cmp.Compare(x.Key, y.Key) })
	return out[:min(len(out), limit)]
}

func filterTasks(l *recorder.Ledger, f TaskFilter, limit int) []*recorder.Task {
	var out []*recorder.Task
	for _, t := range l.Tasks {
		if f.matches(t) {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(x, y *recorder.Task) int { return cmp.Compare(x.Spec.ID, y.Spec.ID) })
	return out[:min(len(out), max(0, limit))]
}

func (f TaskFilter) matches(t *recorder.Task) bool {
	state := string(t.Phase)
	if t.Phase == recorder.Ended {
		state = string(t.Outcome)
	}
	return (f.Customer == "" || f.Customer == t.Spec.Customer) &&
		(f.Plan == "" || f.Plan == t.Spec.Plan) &&
		(f.State == "" || f.State == state) &&
		(f.After == "" || f.After < string(t.Spec.ID)) &&
		!t.Tombstone
}
