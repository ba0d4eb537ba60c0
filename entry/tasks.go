package entry

// This file defines submission and cancellation of tasks. A submission has three
// steps: the task's home records the submission and the chosen cell, the cell
// accepts the task by its id, and the home records the transfer. Any entry that
// finds the second or third step missing does it, so a crash between the steps
// loses no task.

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	pv "persimmonvalve"
	"persimmonvalve/agent"
	"persimmonvalve/internal/apigen"
	"persimmonvalve/recorder"
)

// taskNamespace separates the keys of tasks from those of requests in a home.
const taskNamespace = "task"

func taskKey(id pv.TaskID) string { return homeKey(taskNamespace, string(id)) }

func (e *Entry) taskHome(id pv.TaskID) pv.StreamName {
	return e.settings.Layout.HomeOf(taskKey(id))
}

// streamCallTimeout bounds the API calls on tasks and lists that read or append to
// streams, and each periodic transfer of a home's pending submissions.
const streamCallTimeout = 10 * time.Second

// SubmitTask implements apigen.Handler.
func (e *Entry) SubmitTask(ctx context.Context, req *apigen.Submission) (*apigen.Task, error) {
	if !e.beginCall() {
		return nil, refused(pv.ReasonShuttingDown, "this entry is stopping; another one takes the task")
	}
	defer e.calls.Done()
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, streamCallTimeout)
	defer cancel()
	plan, allowance, failure := e.taskPlan(req.Plan)
	if failure == nil {
		failure = e.checkSize(plan, allowance)
	}
	if failure == nil {
		failure = e.admitSubmission(plan, startedAt)
	}
	if failure != nil {
		e.accountRequest(&request{plan: plan}, pv.OutcomeRefused, failure.Reason, startedAt)
		return nil, failure
	}
	begin := e.newSubmission(req, plan, allowance, startedAt)
	_, submission, _, reason := propose[recorder.Request](ctx, e, e.taskHome(begin.Spec.ID), recorder.Record{Begin: begin})
	if reason != pv.NoReason {
		// The record may still be appended; then the task runs.
		return nil, &Failure{Outcome: pv.OutcomeUnknown, Reason: reason, RequestID: string(begin.Spec.ID), Text: "the submission may have been recorded; submit again with the same id"}
	}
	if submission.Begin.BodyHash != begin.BodyHash {
		e.accountRequest(&request{plan: plan}, pv.OutcomeRefused, pv.ReasonKeyReused, startedAt)
		return nil, refused(pv.ReasonKeyReused, "task %q was submitted before with another plan or payload", begin.Spec.ID)
	}
	if !submission.Transferred && !submission.Ended {
		submission = e.transferSubmission(ctx, submission)
	}
	return e.showTask(ctx, begin.Spec.ID, false)
}

func (e *Entry) taskPlan(name string) (pv.Plan, pv.Allowance, *Failure) {
	var config *pv.Configuration
	e.eventLoop.Do(func() { config = e.config.Configuration() })
	if config == nil {
		return pv.Plan{}, pv.Allowance{}, refused(pv.ReasonNoConfiguration, "this entry has no configuration yet")
	}
	plan, ok := config.PlanByName(name)
	if !ok || plan.TaskKind == "" {
		return pv.Plan{}, pv.Allowance{}, refused(pv.ReasonUnknownPlan, "no plan %q for tasks", name)
	}
	allowance, ok := config.AllowanceOf(name)
	if !ok {
		return plan, pv.Allowance{}, refused(pv.ReasonNoAllowance, "plan %q has no allowance", name)
	}
	return plan, allowance, nil
}

// checkSize refuses a task that can never run: one larger than the plan's part
// of the allowance in every cell (the first cell has the largest part), or
// larger than every worker.
func (e *Entry) checkSize(plan pv.Plan, allowance pv.Allowance) *Failure {
	cells := e.settings.Layout.PlanCells(plan, allowance)
	part, _ := e.settings.Layout.CellAllowance(plan, allowance, cells[0])
	if !plan.Size.Fits(part.Ceiling) {
		return refused(pv.ReasonCeilingReached, "a task of plan %q needs %s, its allowance permits %s", plan.Name, plan.Size, part.Ceiling)
	}
	var workers []pv.WorkerInfo
	e.eventLoop.Do(func() { workers = e.fleet })
	for _, w := range workers {
		if plan.Size.Fits(w.Capacity) {
			return nil
		}
	}
	if len(workers) == 0 {
		return nil // the workers aren't known yet; the cell waits for one that the task fits
	}
	return refused(pv.ReasonNeverFits, "a task of plan %q needs %s, and no worker has that", plan.Name, plan.Size)
}

// admitSubmission applies the plan's rate limit. A submission doesn't count against
// the concurrency limit.
func (e *Entry) admitSubmission(plan pv.Plan, now time.Time) *Failure {
	reason := pv.NoReason
	e.eventLoop.Do(func() { reason = e.admitter.ConsumeRate(now, plan.Name) })
	if reason != pv.NoReason {
		return refused(reason, "plan %q", plan.Name)
	}
	return nil
}

func (e *Entry) newSubmission(req *apigen.Submission, plan pv.Plan, allowance pv.Allowance, now time.Time) *recorder.Begin {
	id := pv.TaskID(req.ID.Value)
	if id == "" {
		id = pv.TaskID(uuid.Must(uuid.NewV7()).String())
	}
	payload := req.Payload.Value
	return &recorder.Begin{
		Kind:      recorder.BeginTask,
		Key:       taskKey(id),
		CallToken: uuid.Must(uuid.NewV7()).String(),
		BodyHash:  xxhash.Sum64String(plan.Name + "\x00" + payload),
		Plan:      plan.Name,
		Customer:  plan.Customer,
		Cell:      e.chooseCell(now, plan, allowance),
		Spec: &pv.TaskSpec{
			ID: id, Plan: plan.Name, Customer: plan.Customer, Kind: plan.TaskKind, Class: plan.Class,
			Size: plan.Size, RunTime: plan.RunTime, RetryLimit: plan.RetryLimit, SubmittedAt: now, Payload: []byte(payload),
		},
	}
}

// maxStreamStatusAge is the maximum age of a stream's status; a stream with an
// older one counts as having no holder.
const maxStreamStatusAge = 8 * time.Second

// chooseCell draws two of the plan's cells with a recent status and returns the
// one with fewer waiting tasks. The random draw keeps entries that have the same
// outdated statuses from all choosing the same cell.
func (e *Entry) chooseCell(now time.Time, plan pv.Plan, allowance pv.Allowance) (chosen pv.StreamName) {
	cells := e.settings.Layout.PlanCells(plan, allowance)
	chosen = cells[0]
	e.eventLoop.Do(func() {
		var live []pv.StreamName
		for _, c := range cells {
			if now.Sub(e.streamStatuses[c].reportedAt) < maxStreamStatusAge {
				live = append(live, c)
			}
		}
		if len(live) == 0 {
			return
		}
		a, b := live[e.random.IntN(len(live))], live[e.random.IntN(len(live))]
		chosen = a
		if e.moreLoaded(a, b) {
			chosen = b
		}
	})
	return chosen
}

// moreLoaded reports whether cell a has more waiting tasks than cell b, or as
// many and a higher load.
func (e *Entry) moreLoaded(a, b pv.StreamName) bool {
	x, y := e.streamStatuses[a].held, e.streamStatuses[b].held
	if x.Waiting != y.Waiting {
		return x.Waiting > y.Waiting
	}
	return x.Load > y.Load
}

// transferSubmission transfers a recorded submission to its cell and returns
// the submission's state in its home afterwards.
func (e *Entry) transferSubmission(ctx context.Context, submission recorder.Request) recorder.Request {
	spec := submission.Begin.Spec
	if spec == nil {
		return submission
	}
	home := e.taskHome(spec.ID)
	_, task, _, reason := propose[recorder.Task](ctx, e, submission.Begin.Cell, recorder.Record{Accept: &recorder.Accept{Spec: *spec}})
	switch {
	case reason == pv.ReasonQueueFull:
		return e.refuseSubmission(ctx, home, submission)
	case reason != pv.NoReason:
		return submission // still pending; an entry that sees it retries the transfer
	case task.Tombstone:
		return e.endSubmission(ctx, home, submission, pv.OutcomeCancelled, pv.ReasonCancelledByCaller)
	}
	_, updated, _, reason := propose[recorder.Request](ctx, e, home, recorder.Record{Transferred: &recorder.Transferred{Key: submission.Begin.Key}})
	if reason != pv.NoReason {
		return submission
	}
	return updated
}

// refuseSubmission ends a submission as refused. The cell records a tombstone
// first, so that it accepts no duplicate of the submission afterwards.
func (e *Entry) refuseSubmission(ctx context.Context, home pv.StreamName, submission recorder.Request) recorder.Request {
	cancel := recorder.Record{Cancel: &recorder.Cancel{Task: submission.Begin.Spec.ID}}
	_, task, _, reason := propose[recorder.Task](ctx, e, submission.Begin.Cell, cancel)
	if reason != pv.NoReason || !task.Tombstone {
		return submission
	}
	return e.endSubmission(ctx, home, submission, pv.OutcomeRefused, pv.ReasonQueueFull)
}

// endSubmission records the end of a submission in its home.
func (e *Entry) endSubmission(ctx context.Context, home pv.StreamName, submission recorder.Request, outcome pv.Outcome, endReason pv.Reason) recorder.Request {
	_, updated, _, reason := propose[recorder.Request](ctx, e, home, recorder.Record{Answer: &recorder.Answer{
		Key: submission.Begin.Key, CallToken: submission.Begin.CallToken, Outcome: outcome, Reason: endReason,
	}})
	if reason != pv.NoReason {
		return submission
	}
	return updated
}

// transferPending transfers the submissions of a home that no cell has
// accepted. At most one call per home runs at a time.
func (e *Entry) transferPending(home pv.StreamName) {
	if !e.beginTransfer(string(home)) {
		return
	}
	defer e.endTransfer(string(home))
	ctx, cancel := context.WithTimeout(e.ctx, streamCallTimeout)
	defer cancel()
	pending, _, reason := readState[[]recorder.Begin](ctx, e, home, agent.ViewPending, "", 0)
	if reason != pv.NoReason {
		return
	}
	for _, b := range pending {
		if b.Spec != nil && time.Since(b.Spec.SubmittedAt) > e.settings.TransferRetryAge {
			e.transferSubmission(ctx, recorder.Request{Begin: b})
		}
	}
}

func (e *Entry) beginTransfer(name string) bool {
	e.transfersMu.Lock()
	defer e.transfersMu.Unlock()
	if e.transfers[name] {
		return false
	}
	e.transfers[name] = true
	return true
}

func (e *Entry) endTransfer(name string) {
	e.transfersMu.Lock()
	defer e.transfersMu.Unlock()
	delete(e.transfers, name)
}

// CancelTask implements apigen.Handler.
func (e *Entry) CancelTask(ctx context.Context, params apigen.CancelTaskParams) (*apigen.Task, error) {
	if !e.beginCall() {
		return nil, refused(pv.ReasonShuttingDown, "this entry is stopping; another one cancels the task")
	}
	defer e.calls.Done()
	ctx, cancel := context.WithTimeout(ctx, streamCallTimeout)
	defer cancel()
	id := pv.TaskID(params.ID)
	submission, failure := e.readSubmission(ctx, id)
	if failure != nil {
		return nil, failure
	}
	_, task, _, reason := propose[recorder.Task](ctx, e, submission.Begin.Cell, recorder.Record{Cancel: &recorder.Cancel{Task: id}})
	if reason != pv.NoReason {
		return nil, unknown(reason, "the cancellation may have been recorded; cancel again")
	}
	if task.Tombstone {
		e.endSubmission(ctx, e.taskHome(id), submission, pv.OutcomeCancelled, pv.ReasonCancelledByCaller)
	}
	return e.showTask(ctx, id, false)
}

// readSubmission returns the state of a task's submission in its home.
func (e *Entry) readSubmission(ctx context.Context, id pv.TaskID) (recorder.Request, *Failure) {
	submission, found, reason := readState[recorder.Request](ctx, e, e.taskHome(id), agent.ViewKey, taskKey(id), 0)
	switch {
	case reason != pv.NoReason:
		return submission, unknown(reason, "the home of task %q can't be asked now", id)
	case !found:
		return submission, &Failure{Outcome: pv.OutcomeRefused, Reason: pv.ReasonBadInput, Status: 404, Text: "no task " + string(id)}
	}
	return submission, nil
}
