package controller

// This file defines the commands about tasks and requests.

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/internal/apigen"
)

func given(text string) apigen.OptString {
	if text == "" {
		return apigen.OptString{}
	}
	return apigen.NewOptString(text)
}

// Submit submits a task.
type Submit struct {
	Plan    string `arg:"positional,required" help:"the task's plan"`
	ID      string `arg:"--id" help:"submits the task once, however often it is called"`
	Payload string `arg:"--payload" help:"passed on to the task"`
}

// Run implements Command.
func (s *Submit) Run(ctx context.Context, c *Controller) error {
	t, err := c.api.SubmitTask(ctx, &apigen.Submission{Plan: s.Plan, ID: given(s.ID), Payload: given(s.Payload)})
	if err != nil {
		return err
	}
	return c.printTasks([]apigen.Task{*t}, t)
}

func (c *Controller) printTasks(tasks []apigen.Task, value any) error {
	return c.print(value, func(w io.Writer) {
		row(w, "ID", "CUSTOMER", "PLAN", "STATE", "REASON", "CELL", "WORKER", "ATTEMPTS", "EVICTIONS")
		for _, t := range tasks {
			row(w, t.ID, t.Customer, t.Plan, t.State, t.Reason.Value, t.Cell.Value, t.Worker.Value, t.Attempts, t.Evictions)
		}
	})
}

// Task prints a task with its story.
type Task struct {
	ID string `arg:"positional,required" help:"the task's id"`
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

// Tasks lists tasks.
type Tasks struct {
	Customer string `arg:"--customer" help:"only this customer's"`
	Plan     string `arg:"--plan" help:"only this plan's"`
	State    string `arg:"--state" help:"only in this state"`
	After    string `arg:"--after" help:"only ids after this one"`
	Limit    int    `arg:"--limit" default:"100" help:"at most so many" validate:"gte=1,lte=1000"`
}

// Run implements Command.
func (t *Tasks) Run(ctx context.Context, c *Controller) error {
	page, err := c.api.ListTasks(ctx, apigen.ListTasksParams{
		Customer: given(t.Customer), Plan: given(t.Plan), State: given(t.State), After: given(t.After), Limit: apigen.NewOptInt(t.Limit),
	})
	if err != nil {
		return err
	}
	if err := c.printTasks(page.Tasks, page); err != nil || c.options.JSON {
		return err
	}
	if page.Next.Set {
		fmt.Fprintf(c.errOut, "pvalvectl: there are more; --after %s\n", page.Next.Value)
	}
	for _, cell := range page.Missing {
		fmt.Fprintf(c.errOut, "pvalvectl: %s could not be asked; its tasks are missing\n", cell)
	}
	return nil
}

// Cancel cancels a task.
type Cancel struct {
	ID string `arg:"positional,required" help:"the task's id"`
}

// Run implements Command.
func (k *Cancel) Run(ctx context.Context, c *Controller) error {
	t, err := c.api.CancelTask(ctx, apigen.CancelTaskParams{ID: k.ID})
	if err != nil {
		return err
	}
	return c.printTasks([]apigen.Task{*t}, t)
}

// Watch prints a task's states until it ends.
type Watch struct {
	ID    string        `arg:"positional,required" help:"the task's id"`
	Every time.Duration `arg:"--every" default:"500ms" help:"between looks" validate:"gt=0"`
}

// taskFailed tells the exit code of a task that didn't finish.
func taskFailed(t *apigen.Task) error {
	switch pv.Outcome(t.State) {
	case pv.Finished:
		return nil
	default:
		return &apigen.ErrorStatusCode{Response: apigen.Error{Outcome: t.State, Reason: t.Reason.Value, Message: "task " + t.ID}}
	}
}

func ended(state string) bool {
	switch pv.Outcome(state) {
	case pv.Finished, pv.Failed, pv.Refused, pv.Cancelled, pv.Unknown:
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
		if ended(t.State) {
			return taskFailed(t)
		}
		select {
		case <-time.After(k.Every):
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		}
	}
}

// Request sends one request.
type Request struct {
	Service string        `arg:"positional,required" help:"the service"`
	Plan    string        `arg:"--plan" help:"needed where the service has several plans"`
	Key     string        `arg:"--key" help:"Idempotency-Key; needed where the plan isn't idempotent"`
	Within  time.Duration `arg:"--within" help:"shortens the plan's deadline"`
}

// Run implements Command.
func (r *Request) Run(ctx context.Context, c *Controller) error {
	body, err := io.ReadAll(c.in)
	if err != nil {
		return Error.Wrap(err)
	}
	params := apigen.DoRequestParams{Service: r.Service, Plan: given(r.Plan), IdempotencyKey: given(r.Key)}
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
