package entry

// This file defines requests that run at most once. The key's home records a
// begin before the request may run; only the call whose token is in the valid
// begin runs it. What the first call recorded is what late duplicates get.

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	pv "persimmonvalve"
	"persimmonvalve/agent"
	"persimmonvalve/recorder"
)

// maxRecordedBody bounds an answer's body in the log; a longer one reaches its
// caller, but a late duplicate is only told that it finished.
const maxRecordedBody = 64 << 10

// homeKey keeps the keys of different plans apart.
func homeKey(plan, key string) string { return plan + "/" + key }

// runOnce runs a non-idempotent request, or returns what is known of it.
func (e *Entry) runOnce(ctx context.Context, r *request, started time.Time) (answer, *Failure) {
	key := homeKey(r.plan.Name, r.key)
	home := e.settings.Layout.HomeOf(key)
	begin := recorder.Record{Begin: &recorder.Begin{
		Kind: recorder.BeginRequest, Key: key, Token: r.id, BodyHash: xxhash.Sum64(r.body),
		Plan: r.plan.Name, Customer: r.plan.Customer, Until: r.deadline,
	}}
	_, q, _, reason := propose[recorder.Request](ctx, e, home, begin)
	if reason != pv.NoReason {
		// Only this call may run it, and it gives up: it hasn't run and won't.
		e.account(r, pv.Refused, reason, started)
		return answer{}, refused(reason, "the request could not be registered before its deadline")
	}
	switch {
	case q.Begin.Token == r.id && !q.Ended:
		return e.runBegun(ctx, r, home, key)
	case q.Begin.BodyHash != xxhash.Sum64(r.body):
		e.account(r, pv.Refused, pv.ReasonKeyReused, started)
		return answer{}, refused(pv.ReasonKeyReused, "the key was used before with another body")
	}
	return e.replay(ctx, home, key, q)
}

// runBegun runs a request that this call has registered.
func (e *Entry) runBegun(ctx context.Context, r *request, home pv.StreamName, key string) (answer, *Failure) {
	a, failure := e.run(ctx, r)
	w := &recorder.Answer{Key: key, Token: r.id, Outcome: pv.Finished, Status: a.status, Body: a.body, Attempts: r.tries}
	if failure != nil {
		w.Outcome, w.Reason = failure.Outcome, failure.Reason
	}
	if len(w.Body) > maxRecordedBody {
		w.Body, w.Reason = nil, pv.ReasonTooLarge
	}
	e.record(ctx, home, w)
	return a, failure
}

// recordTimeout bounds how long an ended request's record is tried.
const recordTimeout = time.Minute

// record has an answer appended. The caller waits for it only as long as its
// deadline allows; the record is tried further without it.
func (e *Entry) record(ctx context.Context, home pv.StreamName, w *recorder.Answer) {
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		bounded, cancel := context.WithTimeout(e.ctx, recordTimeout)
		defer cancel()
		_, _, _, reason := propose[recorder.Request](bounded, e, home, recorder.Record{Answer: w})
		if reason != pv.NoReason {
			e.metrics.failures.WithLabelValues("answerNotRecorded").Inc()
		}
	}()
	select {
	case <-recorded:
	case <-ctx.Done():
	}
}

// replayEvery is how often a duplicate asks whether the first call has ended.
const replayEvery = 50 * time.Millisecond

// replay answers a duplicate with what is recorded, waiting for the first call
// to end.
func (e *Entry) replay(ctx context.Context, home pv.StreamName, key string, q recorder.Request) (answer, *Failure) {
	for !q.Ended {
		select {
		case <-time.After(replayEvery):
		case <-ctx.Done():
			return answer{}, unknown(pv.ReasonInProgress, "the first request with this key hasn't ended")
		}
		if newer, found, reason := view[recorder.Request](ctx, e, home, agent.ViewKey, key, 0); found && reason == pv.NoReason {
			q = newer
		}
	}
	w := q.Answer
	switch {
	case w.Outcome == pv.Finished && w.Reason == pv.ReasonTooLarge:
		return answer{}, &Failure{
			Outcome: pv.Finished, Reason: w.Reason, Status: http.StatusGone,
			Text: "the first request finished; its answer was too large to be kept",
		}
	case w.Outcome == pv.Finished:
		return answer{status: w.Status, body: w.Body}, nil
	}
	return answer{}, &Failure{Outcome: w.Outcome, Reason: w.Reason, Text: "as recorded for the first request with this key"}
}
