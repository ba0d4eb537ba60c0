package entry

// This file defines at-most-once execution of non-idempotent requests. Before a
// request runs, the home of its idempotency key records a Begin record with the
// token of the call. The record is valid if the key isn't registered yet, or if its
// request was refused and so never ran. Only the call whose token is in the valid
// record runs the request; duplicates get the answer that this call recorded.

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	pv "persimmonvalve"
	"persimmonvalve/agent"
	"persimmonvalve/recorder"
)

// maxRecordedBodyBytes bounds the body of an answer in the log. A longer body is
// returned to the first caller, but a duplicate only gets the outcome.
const maxRecordedBodyBytes = 64 << 10

// homeKey returns the key under which a request's home records it: the idempotency
// key in the namespace of its plan.
func homeKey(plan, key string) string { return plan + "/" + key }

// runOnce runs a non-idempotent request unless another call registered it
// before; then it returns the recorded result of that call. It refuses a key
// that was registered with another body.
func (e *Entry) runOnce(ctx context.Context, r *request, startedAt time.Time) (endpointAnswer, *Failure) {
	key := homeKey(r.plan.Name, r.idempotencyKey)
	home := e.settings.Layout.HomeOf(key)
	begin := recorder.Record{Begin: &recorder.Begin{
		Kind: recorder.BeginRequest, Key: key, CallToken: r.id, BodyHash: xxhash.Sum64(r.body),
		Plan: r.plan.Name, Customer: r.plan.Customer, Deadline: r.deadline,
	}}
	_, registered, _, reason := propose[recorder.Request](ctx, e, home, begin)
	if reason != pv.NoReason {
		// Even if the Begin was recorded, only this call could run the request,
		// and it gives up here. The request has not run and will not run.
		e.accountRequest(r, pv.OutcomeRefused, reason, startedAt)
		return endpointAnswer{}, refused(reason, "the request could not be registered before its deadline")
	}
	switch {
	case registered.Begin.CallToken == r.id && !registered.Ended:
		return e.runRegistered(ctx, r, home, key)
	case registered.Begin.BodyHash != xxhash.Sum64(r.body):
		e.accountRequest(r, pv.OutcomeRefused, pv.ReasonKeyReused, startedAt)
		return endpointAnswer{}, refused(pv.ReasonKeyReused, "the key was used before with another body")
	}
	return e.awaitRecordedResult(ctx, home, key, registered)
}

// runRegistered runs a request that this call has registered, and records the
// answer.
func (e *Entry) runRegistered(ctx context.Context, r *request, home pv.StreamName, key string) (endpointAnswer, *Failure) {
	answer, failure := e.runWithRetries(ctx, r)
	record := &recorder.Answer{Key: key, CallToken: r.id, Outcome: pv.OutcomeFinished, Status: answer.status, Body: answer.body, Attempts: r.attempts}
	if failure != nil {
		record.Outcome, record.Reason = failure.Outcome, failure.Reason
	}
	if len(record.Body) > maxRecordedBodyBytes {
		record.Body, record.Reason = nil, pv.ReasonBodyTooLarge
	}
	e.recordAnswer(ctx, home, record)
	return answer, failure
}

// recordTimeout bounds the attempts to record the answer of an ended request.
const recordTimeout = time.Minute

// recordAnswer proposes an answer to the key's home. It returns when the answer
// is recorded or ctx is done; in the latter case the attempts continue in the
// background.
func (e *Entry) recordAnswer(ctx context.Context, home pv.StreamName, record *recorder.Answer) {
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		callCtx, cancel := context.WithTimeout(e.ctx, recordTimeout)
		defer cancel()
		_, _, _, reason := propose[recorder.Request](callCtx, e, home, recorder.Record{Answer: record})
		if reason != pv.NoReason {
			e.metrics.failures.WithLabelValues("answerNotRecorded").Inc()
		}
	}()
	select {
	case <-recorded:
	case <-ctx.Done():
	}
}

// duplicatePollInterval is the interval at which a duplicate polls for the end of
// the first call.
const duplicatePollInterval = 50 * time.Millisecond

// awaitRecordedResult waits for the first call to end and returns its recorded
// result, with which a duplicate is answered.
func (e *Entry) awaitRecordedResult(ctx context.Context, home pv.StreamName, key string, registered recorder.Request) (endpointAnswer, *Failure) {
	for !registered.Ended {
		select {
		case <-time.After(duplicatePollInterval):
		case <-ctx.Done():
			return endpointAnswer{}, unknown(pv.ReasonInProgress, "the first request with this key hasn't ended")
		}
		if newer, found, reason := readState[recorder.Request](ctx, e, home, agent.ViewKey, key, 0); found && reason == pv.NoReason {
			registered = newer
		}
	}
	record := registered.Answer
	switch {
	case record.Outcome == pv.OutcomeFinished && record.Reason == pv.ReasonBodyTooLarge:
		return endpointAnswer{}, &Failure{
			Outcome: pv.OutcomeFinished, Reason: record.Reason, Status: http.StatusGone,
			Text: "the first request finished; its answer was too large to be kept",
		}
	case record.Outcome == pv.OutcomeFinished:
		return endpointAnswer{status: record.Status, body: record.Body}, nil
	}
	return endpointAnswer{}, &Failure{Outcome: record.Outcome, Reason: record.Reason, Text: "as recorded for the first request with this key"}
}
