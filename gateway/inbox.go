package gateway

// This file defines the fallback for submissions and cancellations when no leader is
// connected, none answers, or the leader can't reach the store: the gateway writes them
// to the inbox. While the store doesn't answer, a circuit breaker refuses those that no
// leader can have carried out.

import (
	"context"
	"time"

	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/internal/logfield"
	"persimmonvalve/internal/wire"
	"persimmonvalve/leader"
)

// writeToInbox writes a submission or cancellation to the inbox. If sent, a leader may
// have received it already, so that it can't be refused any more.
func (g *Gateway) writeToInbox(ctx context.Context, q *wire.Question, sent bool) Answer {
	record := leader.InboxCancelRecord(pv.JobID(q.Job))
	if q.Kind == leader.QuestionSubmit {
		var err error
		if record, err = leader.InboxJobRecord(pv.JobID(q.Job), q.Body, q.Policy); err != nil {
			return Answer{Result: BadInput}
		}
	}
	if !sent && g.storeBreakerOpen() {
		return Answer{Result: StoreStalled} // nothing was sent or written
	}
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

// storeBreakerOpen reports whether the circuit breaker is open. When the open period
// has passed, it returns false to one caller, whose write probes the store, and opens
// again for inboxTimeout + probeInterval or until the probe succeeds.
func (g *Gateway) storeBreakerOpen() bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.breakerOpenUntil.IsZero() {
		return false
	}
	if now.Before(g.breakerOpenUntil) {
		return true
	}
	g.breakerOpenUntil = now.Add(inboxTimeout + probeInterval)
	return false
}

// recordAppend closes the circuit breaker after a successful inbox write and opens it
// for probeInterval after one with an unknown outcome.
func (g *Gateway) recordAppend(verdict pv.AppendVerdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch verdict {
	case pv.AppendDone:
		g.breakerOpenUntil = time.Time{}
	case pv.AppendUnknown:
		g.breakerOpenUntil = time.Now().Add(probeInterval)
	}
}
