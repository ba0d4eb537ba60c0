package entry

// This file defines what callers see of tasks, workers, endpoints and cells.

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/agent"
	"persimmonvalve/internal/apigen"
	"persimmonvalve/recorder"
	"persimmonvalve/reporter"
)

// GetTask implements apigen.Handler.
func (e *Entry) GetTask(ctx context.Context, params apigen.GetTaskParams) (*apigen.Task, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	return e.showTask(ctx, pv.TaskID(params.ID), true)
}

// showTask returns a task as home and cell know it, with its story if asked.
func (e *Entry) showTask(ctx context.Context, id pv.TaskID, story bool) (*apigen.Task, error) {
	q, failure := e.submission(ctx, id)
	if failure != nil {
		return nil, failure
	}
	shown := &apigen.Task{
		ID: string(id), Plan: q.Begin.Plan, Customer: q.Begin.Customer, State: "submitted",
		Cell: apigen.NewOptString(string(q.Begin.Cell)), Changed: apigen.NewOptDateTime(q.Changed),
	}
	if q.Ended {
		shown.State = string(q.Answer.Outcome)
		shown.Reason = optional(string(q.Answer.Reason))
	} else if t, found, reason := view[recorder.Task](ctx, e, q.Begin.Cell, agent.ViewTask, string(id), 0); reason != pv.NoReason {
		return nil, unknown(reason, "the cell of task %q can't be asked now", id)
	} else if found {
		shown = taskOf(&t, q.Begin.Cell)
	}
	if story {
		e.tell(ctx, shown, q.Begin)
	}
	return shown, nil
}

// tell adds the task's story, read from both streams.
func (e *Entry) tell(ctx context.Context, shown *apigen.Task, b recorder.Begin) {
	events, gap, err := reporter.Story(ctx, e.log, pv.TaskID(shown.ID), b.Key, e.taskHome(pv.TaskID(shown.ID)), b.Cell)
	if err != nil {
		gap = "the log can't be read now: " + err.Error()
	}
	shown.StoryGap = optional(gap)
	for _, ev := range events {
		shown.Story = append(shown.Story, apigen.Event{
			Time: ev.Time, Stream: string(ev.Stream), Offset: int64(ev.Offset), Event: ev.Event, Text: ev.Text,
		})
	}
}

func optional(text string) apigen.OptString {
	if text == "" {
		return apigen.OptString{}
	}
	return apigen.NewOptString(text)
}

func taskOf(t *recorder.Task, cell pv.StreamName) *apigen.Task {
	state := string(t.Phase)
	switch {
	case t.Phase == recorder.Ended:
		state = string(t.Outcome)
	case t.Cancelling:
		state = "cancelling"
	}
	return &apigen.Task{
		ID: string(t.Spec.ID), Plan: t.Spec.Plan, Customer: t.Spec.Customer, State: state,
		Reason: optional(string(t.Reason)), Cell: apigen.NewOptString(string(cell)), Worker: optional(string(t.Worker)),
		Attempts: t.Attempt, Evictions: t.Evictions,
		Submitted: apigen.NewOptDateTime(t.Spec.Submitted), Changed: apigen.NewOptDateTime(t.Changed),
	}
}

// listTimeout bounds how long a list waits for a cell that has no holder.
const listTimeout = 2 * time.Second

// ListTasks implements apigen.Handler.
func (e *Entry) ListTasks(ctx context.Context, params apigen.ListTasksParams) (*apigen.TaskPage, error) {
	limit := params.Limit.Or(100)
	filter, err := json.Marshal(agent.TaskFilter{
		Customer: params.Customer.Value, Plan: params.Plan.Value, State: params.State.Value, After: params.After.Value,
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	page := &apigen.TaskPage{Tasks: []apigen.Task{}}
	for _, cell := range e.settings.Layout.CellStreams() {
		bounded, cancel := context.WithTimeout(ctx, listTimeout)
		tasks, _, reason := view[[]*recorder.Task](bounded, e, cell, agent.ViewTasks, string(filter), limit+1)
		cancel()
		if reason != pv.NoReason {
			page.Missing = append(page.Missing, string(cell))
		}
		for _, t := range tasks {
			page.Tasks = append(page.Tasks, *taskOf(t, cell))
		}
	}
	slices.SortFunc(page.Tasks, func(a, b apigen.Task) int { return cmp.Compare(a.ID, b.ID) })
	if len(page.Tasks) > limit {
		page.Tasks = page.Tasks[:limit]
		page.Next = apigen.NewOptString(page.Tasks[limit-1].ID)
	}
	return page, nil
}

// GetWorkers implements apigen.Handler.
func (e *Entry) GetWorkers(ctx context.Context) ([]apigen.Worker, error) {
	fleet, err := e.platform.Workers(ctx)
	if err != nil {
		return nil, unknown(pv.ReasonLogDown, "the platform doesn't list its workers now: %v", err)
	}
	running := e.runningTasks(ctx)
	out := []apigen.Worker{}
	for _, w := range fleet {
		shown := apigen.Worker{
			ID: string(w.ID), Zone: w.Place.Zone, Rack: w.Place.Rack, Cell: string(e.settings.Layout.CellOf(w)),
			Capacity: w.Capacity.String(), Tasks: []string{},
		}
		var sum pv.Resources
		for _, t := range running[w.ID] {
			sum = sum.Add(t.Reserve)
			shown.Tasks = append(shown.Tasks, string(t.Spec.ID))
		}
		shown.Reserved = sum.String()
		out = append(out, shown)
	}
	return out, nil
}

// maxListed bounds how many running tasks of a cell are looked at.
const maxListed = 10000

func (e *Entry) runningTasks(ctx context.Context) map[pv.WorkerID][]*recorder.Task {
	running := map[pv.WorkerID][]*recorder.Task{}
	for _, cell := range e.settings.Layout.CellStreams() {
		bounded, cancel := context.WithTimeout(ctx, listTimeout)
		tasks, _, _ := view[[]*recorder.Task](bounded, e, cell, agent.ViewTasks, `{"state":"started"}`, maxListed)
		cancel()
		for _, t := range tasks {
			running[t.Worker] = append(running[t.Worker], t)
		}
	}
	return running
}

// GetEndpoints implements apigen.Handler.
func (e *Entry) GetEndpoints(context.Context) ([]apigen.Endpoint, error) {
	out := []apigen.Endpoint{}
	e.control.Do(func() {
		now := time.Now()
		for _, ep := range e.routing.Endpoints() {
			state := apigen.EndpointStateOpen
			switch {
			case ep.Leaving:
				state = apigen.EndpointStateLeaving
			case now.Before(ep.Ejected):
				state = apigen.EndpointStateEjected
			case now.Sub(ep.Heard) > e.settings.Routing.Silence:
				state = apigen.EndpointStateSilent
			}
			out = append(out, apigen.Endpoint{
				Name: ep.Member.Name, Service: ep.Member.Service, Zone: ep.Member.Place.Zone, Address: ep.Member.Address.String(),
				InProgress: max(ep.Reported, ep.Own), Slots: ep.Slots, LatencyMs: float64(ep.Latency) / float64(time.Millisecond), State: state,
			})
		}
	})
	return out, nil
}

// GetCells implements apigen.Handler.
func (e *Entry) GetCells(context.Context) ([]apigen.Cell, error) {
	out := []apigen.Cell{}
	e.control.Do(func() {
		now := time.Now()
		for _, stream := range e.streams {
			h, _ := e.members.Holder(stream)
			shown := apigen.Cell{Stream: string(stream), Term: int64(h.Term), Holder: h.Member, State: apigen.CellStateUnknown}
			if s := e.cells[stream]; s.held != nil && now.Sub(s.heard) < cellSilence {
				shown.State = apigen.CellStateHeld
				shown.Waiting, shown.Running = s.held.Waiting, s.held.Running
			}
			out = append(out, shown)
		}
	})
	return out, nil
}
