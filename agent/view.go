package agent

// This file defines what entries may see of a stream's state.

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/internal/wire"
	"persimmonvalve/recorder"
)

// The kinds of views.
const (
	ViewTask    = "task"    // key: task id; a recorder.Task
	ViewKey     = "key"     // key: request key; a recorder.Request
	ViewTasks   = "tasks"   // key: a TaskFilter; recorder.Tasks in the order of their ids
	ViewPending = "pending" // submissions that no cell has accepted; recorder.Begins
)

// TaskFilter selects tasks; empty fields select all.
type TaskFilter struct {
	Customer string `json:"customer,omitempty"`
	Plan     string `json:"plan,omitempty"`
	State    string `json:"state,omitempty"` // a phase or an outcome
	After    string `json:"after,omitempty"` // only ids after this one
}

// pendingLimit bounds how many pending submissions are handed out at once.
const pendingLimit = 100

func (a *Agent) view(v *wire.View, reply *wire.Frame) {
	held := false
	var state []byte
	found := false
	a.control.Do(func() {
		var s *stream
		if s, held = a.find(time.Now(), v.Stream); held {
			state, found = viewOf(s.core.Ledger(), v)
		}
	})
	if !held {
		a.refuse(reply, pv.ReasonNoHolder)
		return
	}
	reply.Body = &wire.Frame_Viewed{Viewed: &wire.Viewed{Found: found, State: state}}
}

func viewOf(l *recorder.Ledger, v *wire.View) ([]byte, bool) {
	switch v.Kind {
	case ViewTask:
		t, ok := l.Tasks[pv.TaskID(v.Key)]
		return encode(t), ok
	case ViewKey:
		q, ok := l.Requests[v.Key]
		return encode(q), ok
	case ViewPending:
		return encode(pendingOf(l, pendingLimit)), true
	case ViewTasks:
		var f TaskFilter
		if err := json.Unmarshal([]byte(v.Key), &f); err != nil {
			return nil, false
		}
		return encode(tasksOf(l, f, int(v.Limit))), true
	}
	return nil, false
}

func encode[T any](value T) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(Error.Wrap(err)) // ledger state is plain data
	}
	return data
}

// stateOf returns the task or key that a record is about.
func stateOf(l *recorder.Ledger, r recorder.Record) []byte {
	switch {
	case r.Accept != nil:
		return encode(l.Tasks[r.Accept.Spec.ID])
	case r.Cancel != nil:
		return encode(l.Tasks[r.Cancel.Task])
	case r.Begin != nil:
		return encode(l.Requests[r.Begin.Key])
	case r.Answer != nil:
		return encode(l.Requests[r.Answer.Key])
	case r.Handed != nil:
		return encode(l.Requests[r.Handed.Key])
	}
	return nil
}

func pendingOf(l *recorder.Ledger, limit int) []recorder.Begin {
	var out []recorder.Begin
	for _, q := range l.Requests {
		if q.Begin.Kind == recorder.BeginTask && !q.Handed && !q.Ended {
			out = append(out, q.Begin)
		}
	}
	slices.SortFunc(out, func(x, y recorder.Begin) int { return cmp.Compare(x.Key, y.Key) })
	return out[:min(len(out), limit)]
}

func tasksOf(l *recorder.Ledger, f TaskFilter, limit int) []*recorder.Task {
	var out []*recorder.Task
	for _, t := range l.Tasks {
		if f.matches(t) {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(x, y *recorder.Task) int { return cmp.Compare(x.Spec.ID, y.Spec.ID) })
	return out[:min(len(out), limit)]
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
