package controller

// This file defines the commands for tasks and requests.

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/internal/apigen"
)

func optString(text string) apigen.OptString {
	if text == "" {
		return apigen.OptString{}
	}
	return apigen.NewOptString(text)
}

// Submit submits a task.
type Submit struct {
	Plan    string `arg:"positional,required" help:"plan of the task"`
	ID      string `arg:"--id" help:"task id that makes the submission idempotent: repeated calls submit one task"`
	Payload string `arg:"--payload" help:"data that is passed to the task"`
}

// Run implements Command.
func (s *Submit) Run(ctx context.Context, c *Controller) error {
	t, err := c.api.SubmitTask(ctx, &apigen.Submission{Plan: s.Plan, ID: optString(s.ID), Payload: optString(s.Payload)})
	if err != nil {
		return err
	}
	return c.printTasks([]apigen.Task{*t}, t)
}

// printTasks prints value as JSON if the options ask for it, otherwise the tasks as
// a table.
func (c *Controller) printTasks(tasks []apigen.Task, value any) error {
	return c.print(value, func(w io.Writer) {
		row(w, "ID", "CUSTOMER", "PLAN", "STATE", "REASON", "CELL", "WORKER", "ATTEMPTS", "EVICTIONS")
		for _, t := range tasks {
			row(w, t.ID, t.Customer, t.Plan, t.State, t.Reason.Value, t.Cell.Value, t.Worker.Value, t.Attempts, t.Evictions)
		}
	})
}

// Task prints a task with the history of its events.
type Task struct {
	ID string `arg:"positional,required" help:"id of the task"`
}

// Run implements Command.
func (t *Task) Run(ctx context.Context, c *Controller) error {
	shown, err := c.api.GetTask(ctx, apigen.GetTaskParams{ID: t.ID})
	if err != nil {
		return err
	}
	if err := c.printTasks([]apigen.Task{*shown}, shown); err != nil || c.options.JSON {
		return err
	}
	return c.print(nil, func(w io.Writer) {
		for _, e := range shown.Story {
			row(w, e.Time.Format(time.RFC3339Nano), e.Event, e.Text)
		}
		if gap := shown.StoryGap.Value; gap != "" {
			row(w, "gap:", gap)
		}
	})
}

// Tasks prints one page of tasks.
type Tasks struct {
	Customer string `arg:"--customer" help:"only the tasks of this customer"`
	Plan     string `arg:"--plan" help:"only the tasks of this plan"`
	State    string `arg:"--state" help:"only the tasks in this state"`
	After    string `arg:"--after" help:"only tasks with an id after this one, for the next page"`
	Limit    int    `arg:"--limit" default:"100" help:"maximum number of tasks" validate:"gte=1,lte=1000"`
}

// Run implements Command.
func (t *Tasks) Run(ctx context.Context, c *Controller) error {
	page, err := c.api.ListTasks(ctx, apigen.ListTasksParams{
		Customer: optString(t.Customer), Plan: optString(t.Plan), State: optString(t.State), After: optString(t.After), Limit: apigen.NewOptInt(t.Limit),
	})
	if err != nil {
		return err
	}
	if err := c.printTasks(page.Tasks, page); err != nil || c.options.JSON {
		return err
	}
	if page.Next.Set {
		fmt.Fprintf(c.errOut, "pvalvectl: more tasks follow; continue with --after %s\n", page.Next.Value)
	}
	for _, cell := range page.Missing {
		fmt.Fprintf(c.errOut, "pvalvectl: %s could not be queried; its tasks are missing\n", cell)
	}
	return nil
}

// Cancel cancels a task.
type Cancel struct {
	ID string `arg:"positional,required" help:"id of the task"`
}

// Run implements Command.
func (k *Cancel) Run(ctx context.Context, c *Controller) error {
	t, err := c.api.CancelTask(ctx, apigen.CancelTaskParams{ID: k.ID})
	if err != nil {
		return err
	}
	return c.printTasks([]apigen.Task{*t}, t)
}

// Watch polls a task and prints its state when it changes, until the task ends.
type Watch struct {
	ID    string        `arg:"positional,required" help:"id of the task"`
	Every time.Duration `arg:"--every" default:"500ms" help:"interval between polls" validate:"gt=0"`
}

// errorOfState returns nil for a finished task, otherwise an error with its state
// as the outcome, from which exitCode derives the exit code.
func errorOfState(t *apigen.Task) error {
	switch pv.Outcome(t.State) {
	case pv.OutcomeFinished:
		return nil
	default:
		return &apigen.ErrorStatusCode{Response: apigen.Error{Outcome: t.State, Reason: t.Reason.Value, Message: "task " + t.ID}}
	}
}

// hasEnded reports whether a task's state is an outcome.
func hasEnded(state string) bool {
	switch pv.Outcome(state) {
	case pv.OutcomeFinished, pv.OutcomeFailed, pv.OutcomeRefused, pv.OutcomeCancelled, pv.OutcomeUnknown:
		return true
	}
	return false
}

// Run implements Command.
func (k *Watch) Run(ctx context.Context, c *Controller) error {
	last := ""
	for {
		t, err := c.api.GetTask(ctx, apigen.GetTaskParams{ID: k.ID})
		if err != nil {
			return err
		}
		if line := fmt.Sprintf("%s %s attempt %d", t.State, t.Worker.Value, t.Attempts); line != last {
			last = line
			fmt.Fprintln(c.out, line)
		}
		if hasEnded(t.State) {
			return errorOfState(t)
		}
		select {
		case <-time.After(k.Every):
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		}
	}
}

// Request sends one request with the body from standard input.
type Request struct {
	Service string        `arg:"positional,required" help:"name of the service"`
	Plan    string        `arg:"--plan" help:"plan of the request; required if the service has several plans"`
	Key     string        `arg:"--key" help:"Idempotency-Key of the request; required if the plan is not idempotent"`
	Within  time.Duration `arg:"--within" help:"timeout of this request, if shorter than the deadline of its plan"`
}

// Run implements Command.
func (r *Request) Run(ctx context.Context, c *Controller) error {
	body, err := io.ReadAll(c.in)
	if err != nil {
		return Error.Wrap(err)
	}
	params := apigen.DoRequestParams{Service: r.Service, Plan: optString(r.Plan), IdempotencyKey: optString(r.Key)}
	if r.Within > 0 {
		params.PvalveTimeoutMs = apigen.NewOptInt64(max(r.Within.Milliseconds(), 1))
	}
	answer, err := c.api.DoRequest(ctx, apigen.DoRequestReq{Data: bytes.NewReader(body)}, params)
	if err != nil {
		return err
	}
	_, err = io.Copy(c.out, answer.Response)
	fmt.Fprintf(c.errOut, "outcome %s, attempts %d, request %s, endpoint status %d\n",
		answer.PvalveOutcome, answer.PvalveAttempts, answer.PvalveRequestID, answer.PvalveEndpointStatus)
	return Error.Wrap(err)
}
