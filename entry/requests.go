package entry

// This file defines how a request is handled: finding its plan, admission,
// attempts at endpoints, and the answer. An idempotent request needs no access
// to the log.

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

// request is a caller's request in progress.
type request struct {
	id             string
	idempotencyKey string // from the header Idempotency-Key
	plan           pv.Plan
	body           []byte
	deadline       time.Time
	attempts       int
	retries        map[pv.Reason]int // by the reason of the attempt before
}

// endpointAnswer is a complete answer of an endpoint.
type endpointAnswer struct {
	status int
	body   []byte
}

// DoRequest implements apigen.Handler.
func (e *Entry) DoRequest(ctx context.Context, req apigen.DoRequestReq, params apigen.DoRequestParams) (*apigen.DoRequestOKHeaders, error) {
	if !e.beginCall() {
		return nil, refused(pv.ReasonShuttingDown, "this entry is stopping; another one takes the request")
	}
	defer e.calls.Done()
	startedAt := time.Now()
	r, failure := e.newRequest(req, params, startedAt)
	if failure != nil {
		e.accountRequest(r, pv.OutcomeRefused, failure.Reason, startedAt)
		return nil, failure
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	answer, failure := e.admitAndRun(ctx, r, startedAt)
	if failure != nil {
		failure.RequestID, failure.Attempts = r.id, r.attempts
		return nil, failure
	}
	return &apigen.DoRequestOKHeaders{
		PvalveOutcome:        string(pv.OutcomeFinished),
		PvalveAttempts:       r.attempts,
		PvalveRequestID:      r.id,
		PvalveEndpointStatus: answer.status,
		Response:             apigen.DoRequestOK{Data: bytes.NewReader(answer.body)},
	}, nil
}

// newRequest finds the plan and checks the input. It returns the request even on a
// failure, so that the caller can count it.
func (e *Entry) newRequest(req apigen.DoRequestReq, params apigen.DoRequestParams, now time.Time) (*request, *Failure) {
	r := &request{id: uuid.Must(uuid.NewV7()).String(), retries: map[pv.Reason]int{}}
	plan, failure := e.requestPlan(params.Service, params.Plan.Value)
	if failure != nil {
		return r, failure
	}
	r.plan = plan
	body, err := io.ReadAll(io.LimitReader(req.Data, plan.MaxBodyBytes+1))
	if err != nil {
		return r, refused(pv.ReasonBadInput, "the body can't be read: %v", err)
	}
	if int64(len(body)) > plan.MaxBodyBytes {
		return r, refused(pv.ReasonBodyTooLarge, "plan %q allows bodies of %d bytes", plan.Name, plan.MaxBodyBytes)
	}
	r.body = body
	r.idempotencyKey = params.IdempotencyKey.Value
	if !plan.Idempotent && r.idempotencyKey == "" {
		return r, refused(pv.ReasonMissingKey, "plan %q isn't idempotent: send an Idempotency-Key", plan.Name)
	}
	timeout := plan.Deadline
	if ms, ok := params.PvalveTimeoutMs.Get(); ok {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	r.deadline = now.Add(timeout)
	return r, nil
}

// requestPlan returns the plan of a service. The plan's name may be empty if the
// service has only one plan.
func (e *Entry) requestPlan(service, name string) (pv.Plan, *Failure) {
	var config *pv.Configuration
	e.eventLoop.Do(func() { config = e.config.Configuration() })
	if config == nil {
		return pv.Plan{}, refused(pv.ReasonNoConfiguration, "this entry has no configuration yet")
	}
	var matching []pv.Plan
	for _, p := range config.Plans.Plans {
		if p.Service == service && (name == "" || p.Name == name) {
			matching = append(matching, p)
		}
	}
	switch {
	case len(matching) == 0:
		return pv.Plan{}, refused(pv.ReasonUnknownPlan, "no plan %q for service %q", name, service)
	case len(matching) > 1:
		return pv.Plan{}, refused(pv.ReasonUnknownPlan, "service %q has %d plans: name one", service, len(matching))
	}
	if _, ok := config.AllowanceOf(matching[0].Name); !ok {
		return pv.Plan{}, refused(pv.ReasonNoAllowance, "plan %q has no allowance", matching[0].Name)
	}
	return matching[0], nil
}

// admitAndRun runs the request once it is admitted.
func (e *Entry) admitAndRun(ctx context.Context, r *request, startedAt time.Time) (endpointAnswer, *Failure) {
	if reason := e.admit(ctx, r); reason != pv.NoReason {
		e.accountRequest(r, pv.OutcomeRefused, reason, startedAt)
		return endpointAnswer{}, refused(reason, "plan %q", r.plan.Name)
	}
	admittedAt := time.Now()
	defer func() {
		elapsed := time.Since(admittedAt)
		e.eventLoop.Post(func() { e.admitter.RequestEnded(time.Now(), r.plan.Name, elapsed) })
	}()
	if !r.plan.Idempotent {
		return e.runOnce(ctx, r, startedAt)
	}
	answer, failure := e.runWithRetries(ctx, r)
	if failure != nil {
		e.accountRequest(r, failure.Outcome, failure.Reason, startedAt)
		return endpointAnswer{}, failure
	}
	e.accountRequest(r, pv.OutcomeFinished, pv.NoReason, startedAt)
	return answer, nil
}

// admit waits for admission. The reason is empty if the request is admitted.
func (e *Entry) admit(ctx context.Context, r *request) pv.Reason {
	decided := make(chan pv.Reason, 1)
	ticket := &admitter.Ticket{Plan: r.plan.Name, Deadline: r.deadline, OnDecision: func(reason pv.Reason) { decided <- reason }}
	var decision admitter.Decision
	if !e.eventLoop.Do(func() { decision = e.admitter.Offer(time.Now(), ticket) }) {
		return pv.ReasonShuttingDown
	}
	if !decision.Queued {
		return decision.Reason
	}
	select {
	case reason := <-decided:
		return reason
	case <-ctx.Done():
	}
	withdrawn := false
	e.eventLoop.Do(func() { withdrawn = e.admitter.Withdraw(ticket) })
	if withdrawn {
		return pv.ReasonDeadlineTooClose
	}
	return <-decided
}

// runWithRetries makes attempts at endpoints until one answers or no further
// attempt is allowed. The outcome of a failure is "refused" only if no attempt
// can have run.
func (e *Entry) runWithRetries(ctx context.Context, r *request) (endpointAnswer, *Failure) {
	e.eventLoop.Do(e.retrier.RecordFirstAttempt)
	tried := map[string]bool{}
	mayHaveRun := false
	for {
		answer, failed, endpoint := e.attempt(ctx, r, tried)
		if failed == nil {
			return answer, nil
		}
		mayHaveRun = mayHaveRun || !failed.NotRun
		if endpoint != "" {
			tried[endpoint] = true
		}
		delay, stopReason := e.nextRetry(r, *failed, mayHaveRun)
		if stopReason != pv.NoReason {
			return endpointAnswer{}, e.finalFailure(r, failed.Reason, stopReason, mayHaveRun)
		}
		r.retries[failed.Reason]++
		e.metrics.retries.WithLabelValues(string(failed.Reason)).Inc()
		if failed.Reason == pv.ReasonNoEndpoint {
			tried = map[string]bool{} // every endpoint has been tried; allow all of them again
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return endpointAnswer{}, e.finalFailure(r, failed.Reason, pv.ReasonDeadlineTooClose, mayHaveRun)
		}
	}
}

// nextRetry returns the delay before the next attempt, or the reason why there
// is none.
func (e *Entry) nextRetry(r *request, failed retrier.Failure, mayHaveRun bool) (delay time.Duration, stopReason pv.Reason) {
	e.eventLoop.Do(func() {
		// Once an attempt may have run, the request may have run, whatever the
		// result of later attempts.
		failed.NotRun = failed.NotRun && !mayHaveRun
		delay, stopReason = e.retrier.NextBackoff(time.Now(), retrier.Request{
			Attempts: max(r.attempts, 1), RetryLimit: r.plan.RetryLimit, Idempotent: r.plan.Idempotent, Deadline: r.deadline,
		}, failed)
	})
	return delay, stopReason
}

// finalFailure returns the failure of a request that gets no further attempt.
func (e *Entry) finalFailure(r *request, reason, stopReason pv.Reason, mayHaveRun bool) *Failure {
	text := fmt.Sprintf("last try: %s; no further try: %s", reason, stopReason)
	switch {
	case !mayHaveRun:
		return refused(reason, "%s", text)
	case reason == pv.ReasonEndpointError && r.plan.Idempotent:
		return &Failure{Outcome: pv.OutcomeFailed, Reason: reason, Text: text}
	}
	return unknown(reason, "%s", text)
}

// attempt makes one attempt at one endpoint and returns the endpoint's name,
// which is empty if none could be chosen.
func (e *Entry) attempt(ctx context.Context, r *request, tried map[string]bool) (endpointAnswer, *retrier.Failure, string) {
	var endpoint *router.Endpoint
	reason := pv.ReasonShuttingDown
	var member pv.Member
	e.eventLoop.Do(func() {
		endpoint, reason = e.router.Select(time.Now(), router.Request{Service: r.plan.Service, Bytes: len(r.body), Tried: tried})
		if endpoint != nil {
			e.router.RequestStarted(endpoint)
			member = endpoint.Member
		}
	})
	if endpoint == nil {
		return endpointAnswer{}, &retrier.Failure{Reason: reason, NotRun: true}, ""
	}
	r.attempts++
	startedAt := time.Now()
	answer, failed := e.forward(ctx, r, member)
	elapsed := time.Since(startedAt)
	e.eventLoop.Post(func() { e.reportAttempt(endpoint, failed, elapsed) })
	return answer, failed, member.Name
}

// reportAttempt reports the result of an attempt to the router.
func (e *Entry) reportAttempt(endpoint *router.Endpoint, failed *retrier.Failure, elapsed time.Duration) {
	now := time.Now()
	switch {
	case failed == nil:
		e.router.RequestEnded(now, endpoint, elapsed, true)
	case failed.NotRun && failed.Reason != pv.ReasonConnectFailed:
		// A failed connection is the endpoint's failure, unlike a refusal.
		e.router.RequestRefused(now, endpoint, failed.Reason)
	default:
		e.router.RequestEnded(now, endpoint, elapsed, false)
	}
}

// forward sends an attempt to the endpoint's agent and checks the answer.
func (e *Entry) forward(ctx context.Context, r *request, member pv.Member) (endpointAnswer, *retrier.Failure) {
	frame := e.newFrame()
	attempt := int64(r.attempts)
	frame.Body = &wire.Frame_Forward{Forward: &wire.Forward{
		Id: r.id, Attempt: attempt, Service: r.plan.Service, Body: r.body, TimeoutMs: max(time.Until(r.deadline).Milliseconds(), 1),
	}}
	reply, sent, err := e.client.Call(ctx, member.Address, frame)
	if member.Location.Region != e.settings.Member.Location.Region {
		e.metrics.linkBytes.Add(float64(len(r.body) + len(reply.GetAnswer().GetBody())))
	}
	if err != nil {
		return endpointAnswer{}, classifyCallError(ctx, err, sent)
	}
	return checkAnswer(reply.GetAnswer(), r.id, attempt)
}

// classifyCallError returns the failure of a call that got no reply.
func classifyCallError(ctx context.Context, err error, sent bool) *retrier.Failure {
	failed := &retrier.Failure{Reason: pv.ReasonAnswerIncomplete, NotRun: !sent}
	switch {
	case !sent:
		failed.Reason = pv.ReasonConnectFailed
	case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		failed.Reason = pv.ReasonTimeout
	}
	return failed
}

// checkAnswer checks that an answer belongs to this attempt of the request and
// that its body has the length and the checksum that the agent sent.
func checkAnswer(received *wire.Answer, id string, attempt int64) (endpointAnswer, *retrier.Failure) {
	switch {
	case received == nil || received.Id != id || received.Attempt != attempt:
		return endpointAnswer{}, &retrier.Failure{Reason: pv.ReasonAnswerIncomplete}
	case received.Reason != "":
		return endpointAnswer{}, &retrier.Failure{Reason: pv.Reason(received.Reason), NotRun: received.NotRun}
	case received.Length != int64(len(received.Body)) || received.Checksum != xxhash.Sum64(received.Body):
		return endpointAnswer{}, &retrier.Failure{Reason: pv.ReasonAnswerIncomplete}
	case received.Status >= http.StatusInternalServerError:
		return endpointAnswer{}, &retrier.Failure{Reason: pv.ReasonEndpointError}
	}
	return endpointAnswer{status: int(received.Status), body: received.Body}, nil
}

// accountRequest counts the end of a request that no home's stream records.
func (e *Entry) accountRequest(r *request, outcome pv.Outcome, reason pv.Reason, startedAt time.Time) {
	elapsed := time.Since(startedAt)
	plan := r.plan.Name
	e.metrics.requests.WithLabelValues(plan, string(outcome)).Inc()
	e.metrics.duration.WithLabelValues(plan).Observe(elapsed.Seconds())
	event := accountant.RequestEnd{
		Customer: r.plan.Customer, Plan: plan, Outcome: outcome, Reason: reason,
		Attempts: r.attempts, Retries: r.retries, Latency: elapsed,
	}
	e.eventLoop.Post(func() { e.accounting.Add(event) })
}
