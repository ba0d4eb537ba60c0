package agent

// This file defines the handlers of the frames that entries send.

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/follower"
	"persimmonvalve/holder"
	"persimmonvalve/internal/logfield"
	"persimmonvalve/internal/wire"
	"persimmonvalve/recorder"
)

// handle dispatches one frame to its handler and returns the reply.
func (a *Agent) handle(ctx context.Context, f *wire.Frame) *wire.Frame {
	reply := a.newReply()
	switch body := f.Body.(type) {
	case *wire.Frame_Status:
		a.addHintedStreams(body.Status.Watch)
		reply.Body = &wire.Frame_StatusReply{StatusReply: a.statusReply()}
	case *wire.Frame_Forward:
		reply.Body = &wire.Frame_Answer{Answer: a.handleForward(ctx, body.Forward)}
	case *wire.Frame_Propose:
		a.handlePropose(ctx, body.Propose, reply)
	case *wire.Frame_View:
		a.handleView(body.View, reply)
	case *wire.Frame_Config:
		reply.Body = &wire.Frame_Config{Config: a.exchangeConfiguration(body.Config)}
	default:
		a.refuse(reply, pv.ReasonBadInput)
	}
	return reply
}

func (a *Agent) newReply() *wire.Frame {
	f := &wire.Frame{Sender: a.settings.Member.Name, Incarnation: string(a.settings.Member.Incarnation)}
	a.eventLoop.Do(func() {
		if s, known := a.config.State(); known {
			f.ConfigNext = int64(s.Next)
		}
	})
	return f
}

func (a *Agent) refuse(reply *wire.Frame, reason pv.Reason) {
	a.metrics.refusals.WithLabelValues(string(reason)).Inc()
	reply.Body = &wire.Frame_Refusal{Refusal: &wire.Refusal{Reason: string(reason)}}
}

func (a *Agent) statusReply() *wire.StatusReply {
	running, queued, leaving := a.guard.Load()
	s := &wire.StatusReply{
		Running: int64(running), Queued: int64(queued), Slots: int64(a.settings.Slots), Leaving: leaving,
	}
	a.eventLoop.Do(func() {
		now := time.Now()
		for _, st := range a.streams {
			if st.holder.Holding(now) {
				s.Held = append(s.Held, heldStatus(now, st))
			}
		}
	})
	return s
}

func heldStatus(now time.Time, s *stream) *wire.Held {
	h := &wire.Held{Stream: string(s.name), Term: int64(s.holder.Term())}
	if s.scheduler == nil {
		h.Waiting = int64(len(pendingSubmissions(s.holder.Ledger(), maxPendingSubmissions)))
		return h
	}
	sum := s.scheduler.Summary(now)
	h.Waiting, h.Running = int64(sum.Waiting), int64(sum.Running)
	h.Load = sum.Used.DominantShare(sum.Capacity)
	return h
}

// handleForward sends one attempt of a request to the endpoint. A request that
// the guard refuses has not run.
func (a *Agent) handleForward(ctx context.Context, q *wire.Forward) *wire.Answer {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.TimeoutMs)*time.Millisecond)
	defer cancel()
	answer := &wire.Answer{Id: q.Id, Attempt: q.Attempt, Slots: int64(a.settings.Slots)}
	leave, reason := a.guard.Acquire(ctx.Done())
	if reason != pv.NoReason {
		answer.Reason, answer.NotRun = string(reason), true
		answer.Leaving = reason == pv.ReasonEndpointDraining
		a.metrics.refusals.WithLabelValues(string(reason)).Inc()
		return answer
	}
	defer leave()
	result, err := a.platform.Endpoint.Do(ctx, pv.ServiceRequest{ID: q.Id, Service: q.Service, Body: q.Body})
	running, queued, leaving := a.guard.Load()
	// Unlike StatusReply.Running, Answer.Running includes the queued requests.
	answer.Running, answer.Leaving = int64(running+queued), leaving
	if err != nil {
		a.setForwardError(answer, err)
		return answer
	}
	answer.Status = int64(result.Status)
	answer.Body = result.Body
	answer.Length = int64(len(result.Body))
	answer.Checksum = xxhash.Sum64(result.Body)
	a.metrics.forwards.WithLabelValues("answered").Inc()
	return answer
}

func (a *Agent) setForwardError(answer *wire.Answer, err error) {
	answer.Reason = string(pv.ReasonAnswerIncomplete)
	switch {
	case errors.Is(err, pv.ErrRefused):
		answer.Reason, answer.NotRun = string(pv.ReasonConnectFailed), true
	case errors.Is(err, context.DeadlineExceeded):
		answer.Reason = string(pv.ReasonTimeout)
	}
	a.metrics.forwards.WithLabelValues(answer.Reason).Inc()
}

// heldStream returns the named stream if this agent holds its term at now.
func (a *Agent) heldStream(now time.Time, name string) (*stream, bool) {
	for _, s := range a.streams {
		if string(s.name) == name && s.holder.Holding(now) {
			return s, true
		}
	}
	return nil, false
}

// handlePropose queues a record for an entry and replies once the record has been
// read back from the log, or after proposeTimeout. If ctx ends first, the reply has
// no body.
func (a *Agent) handlePropose(ctx context.Context, q *wire.Propose, reply *wire.Frame) {
	record, err := recorder.Decode(q.Record)
	if err != nil || !proposable(record) {
		a.refuse(reply, pv.ReasonBadInput)
		return
	}
	results := make(chan *wire.Proposed, 1)
	reason := pv.NoReason
	a.eventLoop.Do(func() {
		now := time.Now()
		s, ok := a.heldStream(now, q.Stream)
		if !ok {
			reason = pv.ReasonNoHolder
			return
		}
		if reason = a.checkQueueLimit(s, record); reason != pv.NoReason {
			return
		}
		done := func(r holder.Result) {
			results <- &wire.Proposed{Verdict: string(r.Verdict), Sent: r.Sent, State: recordState(s.holder.Ledger(), record)}
		}
		if !s.holder.Propose(now, record, done) {
			reason = pv.ReasonLogUnavailable // the queue is full or the term is being handed over
			return
		}
		a.advanceStream(now, s)
	})
	if reason != pv.NoReason {
		a.refuse(reply, reason)
		return
	}
	select {
	case p := <-results:
		reply.Body = &wire.Frame_Proposed{Proposed: p}
	case <-ctx.Done():
	case <-time.After(proposeTimeout):
		// The record may still take effect; the entry retries with the same id.
		reply.Body = &wire.Frame_Proposed{Proposed: &wire.Proposed{Sent: true}}
	}
}

// proposeTimeout bounds how long a proposal waits until it is read back.
const proposeTimeout = 10 * time.Second

// proposable reports whether entries may propose the record. Records of all
// other kinds are written only by the holder itself.
func proposable(r recorder.Record) bool {
	return r.Accept != nil || r.Cancel != nil || r.Begin != nil || r.Answer != nil || r.Transferred != nil
}

// checkQueueLimit refuses a new task if the cell has MaxWaitingTasks waiting tasks,
// which bounds the state of its stream.
func (a *Agent) checkQueueLimit(s *stream, r recorder.Record) pv.Reason {
	if r.Accept == nil || s.scheduler == nil {
		return pv.NoReason
	}
	if _, known := s.holder.Ledger().Tasks[r.Accept.Spec.ID]; known {
		return pv.NoReason
	}
	if s.scheduler.Waiting() >= a.settings.Scheduler.MaxWaitingTasks {
		return pv.ReasonQueueFull
	}
	return pv.NoReason
}

// exchangeConfiguration adopts a peer's configuration if it is newer, and returns the
// configuration of this agent.
func (a *Agent) exchangeConfiguration(c *wire.Config) *wire.Config {
	out := &wire.Config{}
	a.eventLoop.Do(func() {
		if len(c.State) > 0 {
			a.adoptConfiguration(c.State)
		}
		if s, known := a.config.State(); known {
			out.State = follower.EncodeState(s)
		}
	})
	return out
}

func (a *Agent) adoptConfiguration(data []byte) {
	s, err := follower.DecodeState(data)
	if err != nil {
		a.logger.Warn("agent: decoding a peer's configuration failed; keeping this agent's own", logfield.Error(err))
		return
	}
	if a.config.Adopt(s) {
		a.logger.Info("agent: adopted a newer configuration from a peer", zap.Int64("version", int64(s.Version())))
		a.applyConfiguration()
	}
}
