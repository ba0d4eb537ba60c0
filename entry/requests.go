package entry

// This file defines the path of a request: plan, admission, tries at endpoints
// and the answer. A quick idempotent request touches no log.

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	pv "persimmonvalve"
	"persimmonvalve/accountant"
	"persimmonvalve/admitter"
	"persimmonvalve/internal/apigen"
	"persimmonvalve/internal/wire"
	"persimmonvalve/retrier"
	"persimmonvalve/router"
)

// request is one caller's request on its way.
type request struct {
	id       string
	key      string // Idempotency-Key
	plan     pv.Plan
	body     []byte
	deadline time.Time
	tries    int
	retries  map[pv.Reason]int
}

// answer is a whole answer of an endpoint.
type answer struct {
	status int
	body   []byte
}

// DoRequest implements apigen.Handler.
func (e *Entry) DoRequest(ctx context.Context, req apigen.DoRequestReq, params apigen.DoRequestParams) (*apigen.DoRequestOKHeaders, error) {
	if !e.begin() {
		return nil, refused(pv.ReasonShutdown, "this entry is stopping; another one takes the request")
	}
	defer e.callers.Done()
	started := time.Now()
	r, failure := e.newRequest(req, params, started)
	if failure != nil {
		e.account(r, pv.Refused, failure.Reason, started)
		return nil, failure
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	a, failure := e.admitted(ctx, r, started)
	if failure != nil {
		failure.RequestID, failure.Attempts = r.id, r.tries
		return nil, failure
	}
	return &apigen.DoRequestOKHeaders{
		PvalveOutcome:        string(pv.Finished),
		PvalveAttempts:       r.tries,
		PvalveRequestID:      r.id,
		PvalveEndpointStatus: a.status,
		Response:             apigen.DoRequestOK{Data: bytes.NewReader(a.body)},
	}, nil
}

// newRequest finds the plan and checks the input. The request is returned even
// when it is refused, for the account.
func (e *Entry) newRequest(req apigen.DoRequestReq, params apigen.DoRequestParams, now time.Time) (*request, *Failure) {
	r := &request{id: uuid.Must(uuid.NewV7()).String(), retries: map[pv.Reason]int{}}
	plan, failure := e.planOf(params.Service, params.Plan.Value)
	if failure != nil {
		return r, failure
	}
	r.plan = plan
	body, err := io.ReadAll(io.LimitReader(req.Data, plan.MaxBodyBytes+1))
	if err != nil {
		return r, refused(pv.ReasonBadInput, "the body can't be read: %v", err)
	}
	if int64(len(body)) > plan.MaxBodyBytes {
		return r, refused(pv.ReasonTooLarge, "plan %q allows bodies of %d bytes", plan.Name, plan.MaxBodyBytes)
	}
	r.body = body
	r.key = params.IdempotencyKey.Value
	if !plan.Idempotent && r.key == "" {
		return r, refused(pv.ReasonNoKey, "plan %q isn't idempotent: send an Idempotency-Key", plan.Name)
	}
	timeout := plan.Deadline
	if ms, ok := params.PvalveTimeoutMs.Get(); ok {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	r.deadline = now.Add(timeout)
	return r, nil
}

// planOf returns the plan of a service; its name is needed only where there
// are several.
func (e *Entry) planOf(service, name string) (pv.Plan, *Failure) {
	var config *pv.Configuration
	e.control.Do(func() { config = e.config.Configuration() })
	if config == nil {
		return pv.Plan{}, refused(pv.ReasonNoConfig, "this entry has no configuration yet")
	}
	var found []pv.Plan
	for _, p := range config.Plans.Plans {
		if p.Service == service && (name == "" || p.Name == name) {
			found = append(found, p)
		}
	}
	switch {
	case len(found) == 0:
		return pv.Plan{}, refused(pv.ReasonNoPlan, "no plan %q for service %q", name, service)
	case len(found) > 1:
		return pv.Plan{}, refused(pv.ReasonNoPlan, "service %q has %d plans: name one", service, len(found))
	}
	if _, ok := config.AllowanceOf(found[0].Name); !ok {
		return pv.Plan{}, refused(pv.ReasonNoAllowance, "plan %q has no allowance", found[0].Name)
	}
	return found[0], nil
}

// admitted takes the request through admission and runs it.
func (e *Entry) admitted(ctx context.Context, r *request, started time.Time) (answer, *Failure) {
	if reason := e.admit(ctx, r); reason != pv.NoReason {
		e.account(r, pv.Refused, reason, started)
		return answer{}, refused(reason, "plan %q", r.plan.Name)
	}
	entered := time.Now()
	defer func() {
		took := time.Since(entered)
		e.control.Post(func() { e.admission.Done(time.Now(), r.plan.Name, took) })
	}()
	if !r.plan.Idempotent {
		return e.runOnce(ctx, r, started)
	}
	a, failure := e.run(ctx, r)
	if failure != nil {
		e.account(r, failure.Outcome, failure.Reason, started)
		return answer{}, failure
	}
	e.account(r, pv.Finished, pv.NoReason, started)
	return a, nil
}

// admit waits for a place; the reason is empty when there is one.
func (e *Entry) admit(ctx context.Context, r *request) pv.Reason {
	decided := make(chan pv.Reason, 1)
	ticket := &admitter.Ticket{Plan: r.plan.Name, Deadline: r.deadline, Decided: func(reason pv.Reason) { decided <- reason }}
	var d admitter.Decision
	if !e.control.Do(func() { d = e.admission.Offer(time.Now(), ticket) }) {
		return pv.ReasonShutdown
	}
	if !d.Waiting {
		return d.Reason
	}
	select {
	case reason := <-decided:
		return reason
	case <-ctx.Done():
	}
	withdrawn := false
	e.control.Do(func() { withdrawn = e.admission.Withdraw(ticket) })
	if withdrawn {
		return pv.ReasonDeadline
	}
	return <-decided
}

// run tries endpoints until one answers, and returns how it ended. A failure
// is refused only if no try can have run.
func (e *Entry) run(ctx context.Context, r *request) (answer, *Failure) {
	e.control.Do(e.retries.First)
	tried := map[string]bool{}
	ran := false
	for {
		a, f, name := e.try(ctx, r, tried)
		if f == nil {
			return a, nil
		}
		ran = ran || !f.NotRun
		if name != "" {
			tried[name] = true
		}
		wait, stop := e.mayRetry(r, *f, ran)
		if stop != pv.NoReason {
			return answer{}, e.giveUp(r, f.Reason, stop, ran)
		}
		r.retries[f.Reason]++
		e.metrics.retries.WithLabelValues(string(f.Reason)).Inc()
		if f.Reason == pv.ReasonNoEndpoint {
			tried = map[string]bool{} // all were tried; begin again
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return answer{}, e.giveUp(r, f.Reason, pv.ReasonDeadline, ran)
		}
	}
}

func (e *Entry) mayRetry(r *request, f retrier.Failure, ran bool) (wait time.Duration, stop pv.Reason) {
	e.control.Do(func() {
		// What has perhaps run stays so, however the later tries end.
		f.NotRun = f.NotRun && !ran
		wait, stop = e.retries.Next(time.Now(), retrier.Request{
			Tries: max(r.tries, 1), Limit: r.plan.RetryLimit, Idempotent: r.plan.Idempotent, Deadline: r.deadline,
		}, f)
	})
	return wait, stop
}

func (e *Entry) giveUp(r *request, cause, stop pv.Reason, ran bool) *Failure {
	text := fmt.Sprintf("last try: %s; no further try: %s", cause, stop)
	switch {
	case !ran:
		return refused(cause, "%s", text)
	case cause == pv.ReasonEndpoint && r.plan.Idempotent:
		return &Failure{Outcome: pv.Failed, Reason: cause, Text: text}
	}
	return unknown(cause, "%s", text)
}

// try makes one try at one endpoint.
func (e *Entry) try(ctx context.Context, r *request, tried map[string]bool) (answer, *retrier.Failure, string) {
	var ep *router.Endpoint
	reason := pv.ReasonShutdown
	var member pv.Member
	e.control.Do(func() {
		ep, reason = e.routing.Choose(time.Now(), router.Request{Service: r.plan.Service, Bytes: len(r.body), Tried: tried})
		if ep != nil {
			e.routing.Began(ep)
			member = ep.Member
		}
	})
	if ep == nil {
		return answer{}, &retrier.Failure{Reason: reason, NotRun: true}, ""
	}
	r.tries++
	started := time.Now()
	a, f := e.forward(ctx, r, member)
	took := time.Since(started)
	e.control.Post(func() { e.noteTry(ep, f, took) })
	return a, f, member.Name
}

func (e *Entry) noteTry(ep *router.Endpoint, f *retrier.Failure, took time.Duration) {
	now := time.Now()
	switch {
	case f == nil:
		e.routing.Answered(now, ep, took, true)
	case f.NotRun && f.Reason != pv.ReasonConnect:
		e.routing.Refused(now, ep, f.Reason)
	default:
		e.routing.Answered(now, ep, took, false)
	}
}

// forward sends the try and checks that the answer is whole and its own.
func (e *Entry) forward(ctx context.Context, r *request, member pv.Member) (answer, *retrier.Failure) {
	f := e.frame()
	attempt := int64(r.tries)
	f.Body = &wire.Frame_Forward{Forward: &wire.Forward{
		Id: r.id, Attempt: attempt, Service: r.plan.Service, Body: r.body, TimeoutMs: max(time.Until(r.deadline).Milliseconds(), 1),
	}}
	reply, sent, err := e.client.Call(ctx, member.Address, f)
	if member.Place.Region != e.settings.Member.Place.Region {
		e.metrics.linkBytes.Add(float64(len(r.body) + len(reply.GetAnswer().GetBody())))
	}
	if err != nil {
		return answer{}, callFailure(ctx, err, sent)
	}
	return readAnswer(reply.GetAnswer(), r.id, attempt)
}

func callFailure(ctx context.Context, err error, sent bool) *retrier.Failure {
	f := &retrier.Failure{Reason: pv.ReasonCut, NotRun: !sent}
	switch {
	case !sent:
		f.Reason = pv.ReasonConnect
	case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		f.Reason = pv.ReasonTimeout
	}
	return f
}

func readAnswer(a *wire.Answer, id string, attempt int64) (answer, *retrier.Failure) {
	switch {
	case a == nil || a.Id != id || a.Attempt != attempt:
		return answer{}, &retrier.Failure{Reason: pv.ReasonCut}
	case a.Reason != "":
		return answer{}, &retrier.Failure{Reason: pv.Reason(a.Reason), NotRun: a.NotRun}
	case a.Length != int64(len(a.Body)) || a.Checksum != xxhash.Sum64(a.Body):
		return answer{}, &retrier.Failure{Reason: pv.ReasonCut}
	case a.Status >= http.StatusInternalServerError:
		return answer{}, &retrier.Failure{Reason: pv.ReasonEndpoint}
	}
	return answer{status: int(a.Status), body: a.Body}, nil
}

// account notes the end of a request that no home's stream accounts for.
func (e *Entry) account(r *request, outcome pv.Outcome, reason pv.Reason, started time.Time) {
	took := time.Since(started)
	plan := r.plan.Name
	e.metrics.requests.WithLabelValues(plan, string(outcome)).Inc()
	e.metrics.took.WithLabelValues(plan).Observe(took.Seconds())
	event := accountant.Event{
		Customer: r.plan.Customer, Plan: plan, Outcome: outcome, Reason: reason,
		Runs: r.tries, Retries: r.retries, Took: took,
	}
	e.control.Post(func() { e.book.Add(event) })
}
