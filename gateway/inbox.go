package gateway

// This file defines the fallback for submissions and cancellations when no leader is
// connected, none answers, or the leader can't reach the store: the gateway writes them
// to the inbox. A call that no leader can have carried out is written only to a store
// that has just answered: the store is probed with an append without records, and
// a circuit breaker refuses calls for a while after a probe without an answer. Such a
// refusal lets the caller come back, which an unknown outcome doesn't.

import (
	"context"
	"time"

	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/internal/logfield"
	"persimmonvalve/internal/wire"
	"persimmonvalve/leader"
)

// writeToInbox writes a submission or cancellation to the inbox. The next leader needs
// jobBytes of memory to keep the job. If sent, a leader may have received it already, so that it can't be
// refused any more.
func (g *Gateway) writeToInbox(ctx context.Context, q *wire.Question, jobBytes int64, sent bool) Answer {
	if !g.inboxBudget.AllowN(time.Now(), int(jobBytes)) {
		if sent {
			return Answer{Result: OutcomeUnknown}
		}
		return Answer{Result: Overloaded}
	}
	record := leader.InboxCancelRecord(pv.JobID(q.Job))
	if q.Kind == leader.QuestionSubmit {
		var err error
		if record, err = leader.InboxJobRecord(pv.JobID(q.Job), q.Body, q.Policy); err != nil {
			return Answer{Result: BadInput}
		}
	}
	if !sent && !g.storeAnswers(ctx) {
		return Answer{Result: StoreStalled} // nothing was sent or written
	}
	if !g.acquireInboxSlot(ctx) {
		if sent {
			return Answer{Result: OutcomeUnknown}
		}
		return Answer{Result: StoreStalled}
	}
	defer func() { <-g.inboxSlots }()
	timed, cancel := context.WithTimeout(ctx, inboxTimeout)
	defer cancel()
	verdict, _, err := g.store.Append(timed, leader.InboxTopic, pv.Writer{}, pv.AtAnyOffset, []pv.KeyedRecord{record})
	if err != nil {
		g.logger.Info("gateway: inbox write failed", zap.String("call", q.Kind), zap.String("job", q.Job), zap.String("verdict", string(verdict)), logfield.Error(err))
	}
	g.recordAppend(verdict)
	switch {
	case verdict == pv.AppendDone:
		g.inboxWrites.Inc()
		return Answer{Result: Done}
	case verdict == pv.AppendRefused && !sent:
		return Answer{Result: StoreStalled}
	}
	return Answer{Result: OutcomeUnknown}
}

// acquireInboxSlot waits for one of the maxInboxWrites, at most for inboxTimeout. It reports false
// if there is none.
func (g *Gateway) acquireInboxSlot(ctx context.Context) bool {
	select {
	case g.inboxSlots <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(inboxTimeout)
	defer timer.Stop()
	select {
	case g.inboxSlots <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// storeProbe is a probe of the store in progress.
type storeProbe struct {
	done     chan struct{} // closed when the probe has ended
	answered bool          // valid once done is closed
}

// storeAnswers reports whether the store accepts writes to the inbox. It relies on an
// answer for answerValidity, and on a missing one until the circuit breaker closes;
// otherwise it probes the store. Callers that come during a probe wait for its result.
func (g *Gateway) storeAnswers(ctx context.Context) bool {
	now := time.Now()
	g.mu.Lock()
	probe := g.probe
	switch {
	case now.Sub(g.storeAnsweredAt) < answerValidity:
		g.mu.Unlock()
		return true
	case probe != nil:
		g.mu.Unlock()
		select {
		case <-probe.done:
			return probe.answered
		case <-ctx.Done():
			return false
		}
	case now.Before(g.breakerOpenUntil):
		g.mu.Unlock()
		return false
	}
	probe = &storeProbe{done: make(chan struct{})}
	g.probe = probe
	g.mu.Unlock()
	// The probe's result is for other callers too, so it outlives this caller's call.
	timed, cancel := context.WithTimeout(context.WithoutCancel(ctx), inboxTimeout)
	defer cancel()
	verdict, _, err := g.store.Append(timed, leader.InboxTopic, pv.Writer{}, pv.AtAnyOffset, nil)
	if err != nil {
		g.logger.Info("gateway: the store didn't answer a probe; calls are refused", zap.String("verdict", string(verdict)), logfield.Error(err))
	}
	g.recordAppend(verdict)
	g.mu.Lock()
	defer g.mu.Unlock()
	probe.answered, g.probe = verdict == pv.AppendDone, nil
	close(probe.done)
	return probe.answered
}

// recordAppend records an answer of the store, or opens the circuit breaker for
// probeInterval after an append without one.
func (g *Gateway) recordAppend(verdict pv.AppendVerdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch verdict {
	case pv.AppendDone:
		g.storeAnsweredAt, g.breakerOpenUntil = time.Now(), time.Time{}
	case pv.AppendUnknown:
		g.storeAnsweredAt, g.breakerOpenUntil = time.Time{}, time.Now().Add(probeInterval)
	}
}
