package entry

// This file defines submissions and cancellations. A task's home records the
// submission and the cell that it goes to; the cell accepts it by id; the home
// notes that it was handed over. Any entry that finds the second or third step
// missing does it, so a crash between them loses nothing.

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

const taskNamespace = "task"

func taskKey(id pv.TaskID) string { return homeKey(taskNamespace, string(id)) }

func (e *Entry) taskHome(id pv.TaskID) pv.StreamName {
	return e.settings.Layout.HomeOf(taskKey(id))
}

// submitTimeout bounds a submission's wait for the log.
const submitTimeout = 10 * time.Second

// SubmitTask implements apigen.Handler.
func (e *Entry) SubmitTask(ctx context.Context, req *apigen.Submission) (*apigen.Task, error) {
	if !e.begin() {
		return nil, refused(pv.ReasonShutdown, "this entry is stopping; another one takes the task")
	}
	defer e.callers.Done()
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	plan, allowance, failure := e.taskPlan(req.Plan)
	if failure == nil {
		failure = e.checkSize(plan, allowance)
	}
	if failure == nil {
		failure = e.admitSubmission(plan, started)
	}
	if failure != nil {
		e.account(&request{plan: plan}, pv.Refused, failure.Reason, started)
		return nil, failure
	}
	begin := e.newSubmission(req, plan, allowance, started)
	_, q, _, reason := propose[recorder.Request](ctx, e, e.taskHome(begin.Spec.ID), recorder.Record{Begin: begin})
	if reason != pv.NoReason {
		// The record may still land, and then the task runs.
		return nil, &Failure{Outcome: pv.Unknown, Reason: reason, RequestID: string(begin.Spec.ID), Text: "the submission may have been recorded; submit again with the same id"}
	}
	if q.Begin.BodyHash != begin.BodyHash {
		e.account(&request{plan: plan}, pv.Refused, pv.ReasonKeyReused, started)
		return nil, refused(pv.ReasonKeyReused, "task %q was submitted before with another plan or payload", begin.Spec.ID)
	}
	if !q.Handed && !q.Ended {
		q = e.driveSubmission(ctx, q)
	}
	return e.showTask(ctx, begin.Spec.ID, false)
}

func (e *Entry) taskPlan(name string) (pv.Plan, pv.Allowance, *Failure) {
	var config *pv.Configuration
	e.control.Do(func() { config = e.config.Configuration() })
	if config == nil {
		return pv.Plan{}, pv.Allowance{}, refused(pv.ReasonNoConfig, "this entry has no configuration yet")
	}
	plan, ok := config.PlanByName(name)
	if !ok || plan.TaskKind == "" {
		return pv.Plan{}, pv.Allowance{}, refused(pv.ReasonNoPlan, "no plan %q for tasks", name)
	}
	allowance, ok := config.AllowanceOf(name)
	if !ok {
		return plan, pv.Allowance{}, refused(pv.ReasonNoAllowance, "plan %q has no allowance", name)
	}
	return plan, allowance, nil
}

// checkSize refuses a task that can never run: larger than its plan's part of
// the allowance in every cell, or than every worker.
func (e *Entry) checkSize(plan pv.Plan, allowance pv.Allowance) *Failure {
	cells := e.settings.Layout.PlanCells(plan, allowance)
	part, _ := e.settings.Layout.Part(plan, allowance, cells[0])
	if !plan.Size.Fits(part.Ceiling) {
		return refused(pv.ReasonCeiling, "a task of plan %q needs %s, its allowance permits %s", plan.Name, plan.Size, part.Ceiling)
	}
	var fleet []pv.WorkerInfo
	e.control.Do(func() { fleet = e.fleet })
	for _, w := range fleet {
		if plan.Size.Fits(w.Capacity) {
			return nil
		}
	}
	if len(fleet) == 0 {
		return nil // not known yet; the cell waits for a worker that fits
	}
	return refused(pv.ReasonNeverFits, "a task of plan %q needs %s, and no worker has that", plan.Name, plan.Size)
}

// admitSubmission applies the plan's rate; a submission holds no place.
func (e *Entry) admitSubmission(plan pv.Plan, now time.Time) *Failure {
	reason := pv.NoReason
	e.control.Do(func() { reason = e.admission.Spend(now, plan.Name) })
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
		Kind:     recorder.BeginTask,
		Key:      taskKey(id),
		Token:    uuid.Must(uuid.NewV7()).String(),
		BodyHash: xxhash.Sum64String(plan.Name + "\x00" + payload),
		Plan:     plan.Name,
		Customer: plan.Customer,
		Cell:     e.chooseCell(now, plan, allowance),
		Spec: &pv.TaskSpec{
			ID: id, Plan: plan.Name, Customer: plan.Customer, Kind: plan.TaskKind, Class: plan.Class,
			Size: plan.Size, RunTime: plan.RunTime, Retries: plan.RetryLimit, Submitted: now, Payload: []byte(payload),
		},
	}
}

// cellSilence is how old a cell's summary may be to count as live.
const cellSilence = 8 * time.Second

// chooseCell draws two of the plan's live cells and takes the one with less
// waiting, so that entries with the same lagging summaries don't all choose
// the same cell.
func (e *Entry) chooseCell(now time.Time, plan pv.Plan, allowance pv.Allowance) (chosen pv.StreamName) {
	cells := e.settings.Layout.PlanCells(plan, allowance)
	chosen = cells[0]
	e.control.Do(func() {
		var live []pv.StreamName
		for _, c := range cells {
			if now.Sub(e.cells[c].heard) < cellSilence {
				live = append(live, c)
			}
		}
		if len(live) == 0 {
			return
		}
		a, b := live[e.random.IntN(len(live))], live[e.random.IntN(len(live))]
		chosen = a
		if e.fuller(a, b) {
			chosen = b
		}
	})
	return chosen
}

func (e *Entry) fuller(a, b pv.StreamName) bool {
	x, y := e.cells[a].held, e.cells[b].held
	if x.Waiting != y.Waiting {
		return x.Waiting > y.Waiting
	}
	return x.Load > y.Load
}

// driveSubmission brings a recorded submission to its cell and returns what
// the home knows afterwards.
func (e *Entry) driveSubmission(ctx context.Context, q recorder.Request) recorder.Request {
	spec := q.Begin.Spec
	if spec == nil {
		return q
	}
	home := e.taskHome(spec.ID)
	_, t, _, reason := propose[recorder.Task](ctx, e, q.Begin.Cell, recorder.Record{Accept: &recorder.Accept{Spec: *spec}})
	switch {
	case reason == pv.ReasonQueueFull:
		return e.refuseSubmission(ctx, home, q)
	case reason != pv.NoReason:
		return q // whoever sees it pending drives it again
	case t.Tombstone:
		return e.endSubmission(ctx, home, q, pv.Cancelled, pv.ReasonCancel)
	}
	_, newer, _, reason := propose[recorder.Request](ctx, e, home, recorder.Record{Handed: &recorder.Handed{Key: q.Begin.Key}})
	if reason != pv.NoReason {
		return q
	}
	return newer
}

// refuseSubmission ends a submission as not run. The cell first records a
// tombstone, so that no copy of the submission is accepted afterwards.
func (e *Entry) refuseSubmission(ctx context.Context, home pv.StreamName, q recorder.Request) recorder.Request {
	cancel := recorder.Record{Cancel: &recorder.Cancel{Task: q.Begin.Spec.ID}}
	_, t, _, reason := propose[recorder.Task](ctx, e, q.Begin.Cell, cancel)
	if reason != pv.NoReason || !t.Tombstone {
		return q
	}
	return e.endSubmission(ctx, home, q, pv.Refused, pv.ReasonQueueFull)
}

func (e *Entry) endSubmission(ctx context.Context, home pv.StreamName, q recorder.Request, outcome pv.Outcome, why pv.Reason) recorder.Request {
	_, newer, _, reason := propose[recorder.Request](ctx, e, home, recorder.Record{Answer: &recorder.Answer{
		Key: q.Begin.Key, Token: q.Begin.Token, Outcome: outcome, Reason: why,
	}})
	if reason != pv.NoReason {
		return q
	}
	return newer
}

// drivePending drives the submissions of a home that no cell has accepted.
func (e *Entry) drivePending(home pv.StreamName) {
	if !e.startDriving(string(home)) {
		return
	}
	defer e.stopDriving(string(home))
	ctx, cancel := context.WithTimeout(e.ctx, submitTimeout)
	defer cancel()
	begins, _, reason := view[[]recorder.Begin](ctx, e, home, agent.ViewPending, "", 0)
	if reason != pv.NoReason {
		return
	}
	for _, b := range begins {
		if b.Spec != nil && time.Since(b.Spec.Submitted) > e.settings.PendingAfter {
			e.driveSubmission(ctx, recorder.Request{Begin: b})
		}
	}
}

func (e *Entry) startDriving(name string) bool {
	e.drivingMu.Lock()
	defer e.drivingMu.Unlock()
	if e.driving[name] {
		return false
	}
	e.driving[name] = true
	return true
}

func (e *Entry) stopDriving(name string) {
	e.drivingMu.Lock()
	defer e.drivingMu.Unlock()
	delete(e.driving, name)
}

// CancelTask implements apigen.Handler.
func (e *Entry) CancelTask(ctx context.Context, params apigen.CancelTaskParams) (*apigen.Task, error) {
	if !e.begin() {
		return nil, refused(pv.ReasonShutdown, "this entry is stopping; another one cancels the task")
	}
	defer e.callers.Done()
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	id := pv.TaskID(params.ID)
	q, failure := e.submission(ctx, id)
	if failure != nil {
		return nil, failure
	}
	_, t, _, reason := propose[recorder.Task](ctx, e, q.Begin.Cell, recorder.Record{Cancel: &recorder.Cancel{Task: id}})
	if reason != pv.NoReason {
		return nil, unknown(reason, "the cancellation may have been recorded; cancel again")
	}
	if t.Tombstone {
		e.endSubmission(ctx, e.taskHome(id), q, pv.Cancelled, pv.ReasonCancel)
	}
	return e.showTask(ctx, id, false)
}

// submission returns what a task's home knows of it.
func (e *Entry) submission(ctx context.Context, id pv.TaskID) (recorder.Request, *Failure) {
	q, found, reason := view[recorder.Request](ctx, e, e.taskHome(id), agent.ViewKey, taskKey(id), 0)
	switch {
	case reason != pv.NoReason:
		return q, unknown(reason, "the home of task %q can't be asked now", id)
	case !found:
		return q, &Failure{Outcome: pv.Refused, Reason: pv.ReasonBadInput, Status: 404, Text: "no task " + string(id)}
	}
	return q, nil
}
