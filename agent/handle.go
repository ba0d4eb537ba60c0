package agent

// This file defines how an agent answers the frames of entries.

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

// handle answers one frame.
func (a *Agent) handle(ctx context.Context, f *wire.Frame) *wire.Frame {
	reply := a.frame()
	switch body := f.Body.(type) {
	case *wire.Frame_Status:
		a.watchAlso(body.Status.Watch)
		reply.Body = &wire.Frame_StatusReply{StatusReply: a.status()}
	case *wire.Frame_Forward:
		reply.Body = &wire.Frame_Answer{Answer: a.forward(ctx, body.Forward)}
	case *wire.Frame_Propose:
		a.propose(ctx, body.Propose, reply)
	case *wire.Frame_View:
		a.view(body.View, reply)
	case *wire.Frame_Config:
		reply.Body = &wire.Frame_Config{Config: a.exchange(body.Config)}
	default:
		a.refuse(reply, pv.ReasonBadInput)
	}
	return reply
}

func (a *Agent) frame() *wire.Frame {
	f := &wire.Frame{Sender: a.settings.Member.Name, Incarnation: string(a.settings.Member.Incarnation)}
	a.control.Do(func() {
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

func (a *Agent) status() *wire.StatusReply {
	running, queued, leaving := a.guard.Load()
	s := &wire.StatusReply{
		Running: int64(running), Queued: int64(queued), Slots: int64(a.settings.Slots), Leaving: leaving,
	}
	a.control.Do(func() {
		now := time.Now()
		for _, st := range a.streams {
			if st.core.Holding(now) {
				s.Held = append(s.Held, heldOf(now, st))
			}
		}
	})
	return s
}

func heldOf(now time.Time, s *stream) *wire.Held {
	h := &wire.Held{Stream: string(s.name), Term: int64(s.core.Term())}
	if s.scheduler == nil {
		h.Waiting = int64(len(pendingOf(s.core.Ledger(), pendingLimit)))
		return h
	}
	sum := s.scheduler.Summary(now)
	h.Waiting, h.Running = int64(sum.Waiting), int64(sum.Running)
	h.Load = sum.Used.Share(sum.Capacity)
	return h
}

// forward gives one try to the endpoint. What the guard refuses hasn't run.
func (a *Agent) forward(ctx context.Context, q *wire.Forward) *wire.Answer {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.TimeoutMs)*time.Millisecond)
	defer cancel()
	answer := &wire.Answer{Id: q.Id, Attempt: q.Attempt, Slots: int64(a.settings.Slots)}
	leave, reason := a.guard.Enter(ctx.Done())
	if reason != pv.NoReason {
		answer.Reason, answer.NotRun = string(reason), true
		answer.Leaving = reason == pv.ReasonLeaving
		a.metrics.refusals.WithLabelValues(string(reason)).Inc()
		return answer
	}
	defer leave()
	result, err := a.platform.Endpoint.Do(ctx, pv.ServiceRequest{ID: q.Id, Service: q.Service, Body: q.Body})
	running, queued, leaving := a.guard.Load()
	answer.Running, answer.Leaving = int64(running+queued), leaving
	if err != nil {
		a.forwardFailed(answer, err)
		return answer
	}
	answer.Status = int64(result.Status)
	answer.Body = result.Body
	answer.Length = int64(len(result.Body))
	answer.Checksum = xxhash.Sum64(result.Body)
	a.metrics.forwards.WithLabelValues("answered").Inc()
	return answer
}

func (a *Agent) forwardFailed(answer *wire.Answer, err error) {
	answer.Reason = string(pv.ReasonCut)
	switch {
	case errors.Is(err, pv.ErrRefused):
		answer.Reason, answer.NotRun = string(pv.ReasonConnect), true
	case errors.Is(err, context.DeadlineExceeded):
		answer.Reason = string(pv.ReasonTimeout)
	}
	a.metrics.forwards.WithLabelValues(answer.Reason).Inc()
}

// find returns the stream if this agent holds it now.
func (a *Agent) find(now time.Time, name string) (*stream, bool) {
	for _, s := range a.streams {
		if string(s.name) == name && s.core.Holding(now) {
			return s, true
		}
	}
	return nil, false
}

// propose appends a record for an entry and answers once it is read back.
func (a *Agent) propose(ctx context.Context, q *wire.Propose, reply *wire.Frame) {
	record, err := recorder.Decode(q.Record)
	if err != nil || !proposable(record) {
		a.refuse(reply, pv.ReasonBadInput)
		return
	}
	results := make(chan *wire.Proposed, 1)
	reason := pv.NoReason
	a.control.Do(func() {
		now := time.Now()
		s, ok := a.find(now, q.Stream)
		if !ok {
			reason = pv.ReasonNoHolder
			return
		}
		if reason = a.bound(s, record); reason != pv.NoReason {
			return
		}
		done := func(r holder.Result) {
			results <- &wire.Proposed{Verdict: string(r.Verdict), Sent: r.Sent, State: stateOf(s.core.Ledger(), record)}
		}
		if !s.core.Propose(now, record, done) {
			reason = pv.ReasonLogDown
			return
		}
		a.drive(now, s)
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
		// It may still take effect; the entry asks again by the same id.
		reply.Body = &wire.Frame_Proposed{Proposed: &wire.Proposed{Sent: true}}
	}
}

// proposeTimeout bounds how long a proposal waits for the log.
const proposeTimeout = 10 * time.Second

// proposable reports whether entries may propose the record; the rest only
// the holder itself writes.
func proposable(r recorder.Record) bool {
	return r.Accept != nil || r.Cancel != nil || r.Begin != nil || r.Answer != nil || r.Handed != nil
}

// bound refuses what would grow a stream's state without limit.
func (a *Agent) bound(s *stream, r recorder.Record) pv.Reason {
	if r.Accept == nil || s.scheduler == nil {
		return pv.NoReason
	}
	if _, known := s.core.Ledger().Tasks[r.Accept.Spec.ID]; known {
		return pv.NoReason
	}
	if s.scheduler.Waiting() >= a.settings.Scheduler.MaxWaiting {
		return pv.ReasonQueueFull
	}
	return pv.NoReason
}

// exchange takes a peer's configuration over if it is newer, and returns the
// own one.
func (a *Agent) exchange(c *wire.Config) *wire.Config {
	out := &wire.Config{}
	a.control.Do(func() {
		if len(c.State) > 0 {
			a.adopt(c.State)
		}
		if s, known := a.config.State(); known {
			out.State = follower.EncodeState(s)
		}
	})
	return out
}

func (a *Agent) adopt(data []byte) {
	s, err := follower.DecodeState(data)
	if err != nil {
		a.log.Warn("agent: a peer's configuration can't be read", logfield.Error(err))
		return
	}
	if a.config.Adopt(s) {
		a.log.Info("agent: took a configuration over from a peer", zap.Int64("version", int64(s.Version())))
		a.configured()
	}
}
