package entry

// This file defines the API calls that show tasks, workers, endpoints and cells.

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
	ctx, cancel := context.WithTimeout(ctx, streamCallTimeout)
	defer cancel()
	return e.showTask(ctx, pv.TaskID(params.ID), true)
}

// showTask returns a task's state from its home and its cell, and on request its
// history.
func (e *Entry) showTask(ctx context.Context, id pv.TaskID, withHistory bool) (*apigen.Task, error) {
	submission, failure := e.readSubmission(ctx, id)
	if failure != nil {
		return nil, failure
	}
	task := &apigen.Task{
		ID: string(id), Plan: submission.Begin.Plan, Customer: submission.Begin.Customer, State: "submitted",
		Cell: apigen.NewOptString(string(submission.Begin.Cell)), Changed: apigen.NewOptDateTime(submission.ChangedAt),
	}
	if submission.Ended {
		task.State = string(submission.Answer.Outcome)
		task.Reason = optString(string(submission.Answer.Reason))
	} else if cellTask, found, reason := readState[recorder.Task](ctx, e, submission.Begin.Cell, agent.ViewTask, string(id), 0); reason != pv.NoReason {
		return nil, unknown(reason, "the cell of task %q can't be asked now", id)
	} else if found {
		task = apiTask(&cellTask, submission.Begin.Cell)
	}
	if withHistory {
		e.addHistory(ctx, task, submission.Begin)
	}
	return task, nil
}

// addHistory adds the task's events from the streams of its home and its cell.
func (e *Entry) addHistory(ctx context.Context, task *apigen.Task, begin recorder.Begin) {
	events, gap, err := reporter.TaskHistory(ctx, e.log, pv.TaskID(task.ID), begin.Key, e.taskHome(pv.TaskID(task.ID)), begin.Cell)
	if err != nil {
		gap = "the log can't be read now: " + err.Error()
	}
	task.StoryGap = optString(gap)
	for _, ev := range events {
		task.Story = append(task.Story, apigen.Event{
			Time: ev.Time, Stream: string(ev.Stream), Offset: int64(ev.Offset), Event: ev.Kind, Text: ev.Text,
		})
	}
}

func optString(text string) apigen.OptString {
	if text == "" {
		return apigen.OptString{}
	}
	return apigen.NewOptString(text)
}

func apiTask(t *recorder.Task, cell pv.StreamName) *apigen.Task {
	state := string(t.Phase)
	switch {
	case t.Phase == recorder.Ended:
		state = string(t.Outcome)
	case t.Cancelling:
		state = "cancelling"
	}
	return &apigen.Task{
		ID: string(t.Spec.ID), Plan: t.Spec.Plan, Customer: t.Spec.Customer, State: state,
		Reason: optString(string(t.Reason)), Cell: apigen.NewOptString(string(cell)), Worker: optString(string(t.Worker)),
		Attempts: t.Attempt, Evictions: t.Evictions,
		Submitted: apigen.NewOptDateTime(t.Spec.SubmittedAt), Changed: apigen.NewOptDateTime(t.ChangedAt),
	}
}

// listTimeout bounds the wait for each cell when listing tasks, as a cell may
// have no holder.
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
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		tasks, _, reason := readState[[]*recorder.Task](callCtx, e, cell, agent.ViewTasks, string(filter), limit+1)
		cancel()
		if reason != pv.NoReason {
			page.Missing = append(page.Missing, string(cell))
		}
		for _, t := range tasks {
			page.Tasks = append(page.Tasks, *apiTask(t, cell))
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
	workers, err := e.fleetClient.Workers(ctx)
	if err != nil {
		return nil, unknown(pv.ReasonLogUnavailable, "the platform doesn't list its workers now: %v", err)
	}
	running := e.runningTasks(ctx)
	list := []apigen.Worker{}
	for _, w := range workers {
		item := apigen.Worker{
			ID: string(w.ID), Zone: w.Location.Zone, Rack: w.Location.Rack, Cell: string(e.settings.Layout.CellOf(w)),
			Capacity: w.Capacity.String(), Tasks: []string{},
		}
		var reserved pv.Resources
		for _, t := range running[w.ID] {
			reserved = reserved.Add(t.Reserve)
			item.Tasks = append(item.Tasks, string(t.Spec.ID))
		}
		item.Reserved = reserved.String()
		list = append(list, item)
	}
	return list, nil
}

// maxRunningTasksPerCell bounds the running tasks that are read from each cell.
const maxRunningTasksPerCell = 10000

// runningTasks returns the running tasks by worker, without those of cells that
// can't be read.
func (e *Entry) runningTasks(ctx context.Context) map[pv.WorkerID][]*recorder.Task {
	running := map[pv.WorkerID][]*recorder.Task{}
	for _, cell := range e.settings.Layout.CellStreams() {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		tasks, _, _ := readState[[]*recorder.Task](callCtx, e, cell, agent.ViewTasks, `{"state":"started"}`, maxRunningTasksPerCell)
		cancel()
		for _, t := range tasks {
			running[t.Worker] = append(running[t.Worker], t)
		}
	}
	return running
}

// GetEndpoints implements apigen.Handler.
func (e *Entry) GetEndpoints(context.Context) ([]apigen.Endpoint, error) {
	list := []apigen.Endpoint{}
	e.eventLoop.Do(func() {
		now := time.Now()
		for _, ep := range e.router.Endpoints() {
			state := apigen.EndpointStateOpen
			switch {
			case ep.Draining:
				state = apigen.EndpointStateLeaving
			case now.Before(ep.EjectedUntil):
				state = apigen.EndpointStateEjected
			case now.Sub(ep.LastMessageAt) > e.settings.Router.SuspicionTimeout:
				state = apigen.EndpointStateSilent
			}
			list = append(list, apigen.Endpoint{
				Name: ep.Member.Name, Service: ep.Member.Service, Zone: ep.Member.Location.Zone, Address: ep.Member.Address.String(),
				InProgress: max(ep.ReportedInProgress, ep.OwnInProgress), Slots: ep.Slots, LatencyMs: float64(ep.Latency) / float64(time.Millisecond), State: state,
			})
		}
	})
	return list, nil
}

// GetCells implements apigen.Handler.
func (e *Entry) GetCells(context.Context) ([]apigen.Cell, error) {
	list := []apigen.Cell{}
	e.eventLoop.Do(func() {
		now := time.Now()
		for _, stream := range e.streams {
			hold, _ := e.members.Holder(stream)
			item := apigen.Cell{Stream: string(stream), Term: int64(hold.Term), Holder: hold.Member, State: apigen.CellStateUnknown}
			if status := e.streamStatuses[stream]; status.held != nil && now.Sub(status.reportedAt) < maxStreamStatusAge {
				item.State = apigen.CellStateHeld
				item.Waiting, item.Running = status.held.Waiting, status.held.Running
			}
			list = append(list, item)
		}
	})
	return list, nil
}
