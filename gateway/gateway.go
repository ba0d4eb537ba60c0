package gateway

// This file defines the gateway's calls. A call that was never sent to a leader
// is refused, and the refusal is true; one that was sent and not answered is
// asked again of the next leader, since the job's id makes repeats one job, and
// is unknown when its time is over.

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/internal/logfield"
	"persimmonvalve/internal/wire"
	"persimmonvalve/leader"
	"persimmonvalve/messenger"
)

// Error is the class of this package's errors.
var Error = errs.Class("gateway")

// Role is the role of gateways on links.
const Role = "gateway"

// Intervals of a call.
const (
	leaderWait = 50 * time.Millisecond // for a link before a call goes another way; a tenth of the shortest objective
	// replyWait is for a leader's reply before a call goes another way as well: two
	// batches of a slow store, which takes 250 ms for each.
	replyWait  = 700 * time.Millisecond
	inboxWait  = 500 * time.Millisecond // for the store's answer before the caller is told that it is unknown
	silentFor  = 500 * time.Millisecond // from a write without an answer to the next that finds out whether the store is back
	askPause   = 50 * time.Millisecond  // between questions that the leader can't decide yet
	RetryAfter = time.Second            // told to refused callers: about the time of a change of leader
)

// Result says how a call ended.
type Result string

// The results of calls. They are the reasons that the gateway counts.
const (
	Done       Result = "done"
	UnknownJob Result = "unknownJob"
	BadInput   Result = "badInput"
	NoLeader   Result = "noLeader"  // nothing was done
	StoreLost  Result = "storeLost" // nothing was done
	Unanswered Result = "unanswered"
)

// Refused reports whether the call certainly had no effect and may be repeated.
func (r Result) Refused() bool { return r == NoLeader || r == StoreLost }

// Answer is the answer to a call.
type Answer struct {
	Result  Result
	State   pv.JobState // of a known job
	Pending int64
	Took    time.Duration
}

// Dependencies are what a gateway needs.
type Dependencies struct {
	Store    pv.Store
	Listener net.Listener // for the leader's link
	Logger   *zap.Logger
	Registry prometheus.Registerer
}

// Gateway asks the leader. It is safe for concurrent use.
type Gateway struct {
	store      pv.Store
	logger     *zap.Logger
	attachment *messenger.LeaderAcceptor
	number     atomic.Int64
	latency    *prometheus.HistogramVec
	results    *prometheus.CounterVec
	viaInbox   prometheus.Counter

	mu      sync.Mutex
	silent  time.Time     // until then the store is taken not to answer
	changed chan struct{} // closed when a link comes
	open    map[int64]chan *wire.Reply
}

// New starts a gateway.
func New(node string, d Dependencies) *Gateway {
	g := &Gateway{
		store: d.Store, logger: d.Logger, changed: make(chan struct{}), open: map[int64]chan *wire.Reply{},
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "pvalve", Name: "gateway_call_seconds", Help: "Time of callers' calls, by kind.", Buckets: prometheus.ExponentialBuckets(0.002, 2, 12)}, []string{"call"}),
		results: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "pvalve", Name: "gateway_calls_total", Help: "Callers' calls, by kind and result."}, []string{"call", "result"}),
	}
	g.viaInbox = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "pvalve", Name: "gateway_inbox_total", Help: "Jobs and cancellations written into the inbox because no leader could be asked."})
	d.Registry.MustRegister(g.latency, g.results, g.viaInbox)
	g.attachment = messenger.NewLeaderAcceptor(node, Role, d.Listener, g)
	return g
}

// Close ends the links.
func (g *Gateway) Close() { g.attachment.Close() }

// Linked reports whether a leader can be asked.
func (g *Gateway) Linked() bool { return g.attachment.Leader() != nil }

// LeaderStatus returns what this process knows of the leader.
func (g *Gateway) LeaderStatus() messenger.LeaderStatus { return g.attachment.LeaderStatus() }

// LeaderConnected implements messenger.LeaderHandler.
func (g *Gateway) LeaderConnected(_ *messenger.Link, leader string, epoch int64) {
	g.logger.Info("gateway: leader linked", zap.String("leader", leader), zap.Int64("epoch", epoch))
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.changed)
	g.changed = make(chan struct{})
}

// LeaderDisconnected implements messenger.LeaderHandler.
func (g *Gateway) LeaderDisconnected(_ *messenger.Link, err error) {
	g.logger.Warn("gateway: leader lost", logfield.Error(err))
}

// Frame implements messenger.LeaderHandler.
func (g *Gateway) Frame(_ *messenger.Link, f *wire.LinkFrame) {
	r := f.GetReply()
	if r == nil {
		return
	}
	g.mu.Lock()
	answer := g.open[r.Number]
	delete(g.open, r.Number)
	g.mu.Unlock()
	if answer != nil {
		answer <- r // has room for the one answer
	}
}

// Submit hands in a job to a queue.
func (g *Gateway) Submit(ctx context.Context, job pv.Job, queue pv.Queue) (Answer, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return Answer{}, Error.Wrap(err)
	}
	policy, err := json.Marshal(queue)
	if err != nil {
		return Answer{}, Error.Wrap(err)
	}
	return g.call(ctx, &wire.Question{Kind: leader.QuestionSubmit, Job: string(job.ID), Queue: queue.Name, Body: body, Policy: policy}), nil
}

// State asks for a job's state.
func (g *Gateway) State(ctx context.Context, id pv.JobID) Answer {
	return g.call(ctx, &wire.Question{Kind: leader.QuestionState, Job: string(id)})
}

// Cancel cancels a job.
func (g *Gateway) Cancel(ctx context.Context, id pv.JobID) Answer {
	return g.call(ctx, &wire.Question{Kind: leader.QuestionCancel, Job: string(id)})
}

// Pending counts a queue's jobs of which no task has begun.
func (g *Gateway) Pending(ctx context.Context, queue string) Answer {
	return g.call(ctx, &wire.Question{Kind: leader.QuestionPending, Queue: queue})
}

func (g *Gateway) call(ctx context.Context, q *wire.Question) Answer {
	begun := time.Now()
	a := g.ask(ctx, q)
	a.Took = time.Since(begun)
	g.latency.WithLabelValues(q.Kind).Observe(a.Took.Seconds())
	g.results.WithLabelValues(q.Kind, string(a.Result)).Inc()
	if q.Kind != leader.QuestionState || a.Result != Done {
		g.logger.Info("gateway: call answered", zap.String("call", q.Kind), zap.String("job", q.Job), zap.String("queue", q.Queue), zap.String("result", string(a.Result)), zap.Int64("tookMs", a.Took.Milliseconds()))
	}
	return a
}

func (g *Gateway) ask(ctx context.Context, q *wire.Question) Answer {
	sent := false
	writes := q.Kind == leader.QuestionSubmit || q.Kind == leader.QuestionCancel
	for {
		link := g.awaitLink(ctx, sent && !writes)
		switch {
		case link == nil && writes:
			return g.intoInbox(ctx, q, sent)
		case link == nil && sent:
			return Answer{Result: Unanswered}
		case link == nil:
			return Answer{Result: NoLeader}
		}
		reply := g.askOn(ctx, link, q, writes)
		if reply == nil {
			sent = true
			if ctx.Err() != nil {
				return Answer{Result: Unanswered}
			}
			if writes {
				return g.intoInbox(ctx, q, sent) // the link ended, or its leader can't decide
			}
			if !pause(ctx, askPause) {
				return Answer{Result: Unanswered}
			}
			continue
		}
		switch reply.Verdict {
		case leader.VerdictDone:
			return Answer{Result: Done, State: pv.JobState(reply.State), Pending: reply.Pending}
		case leader.VerdictUnknownJob:
			return Answer{Result: UnknownJob}
		case leader.VerdictBadInput:
			return Answer{Result: BadInput}
		case leader.VerdictStoreLost:
			return g.intoInbox(ctx, q, sent) // the store may answer this process
		}
		// Undecided, or an earlier question may still take effect.
		if !pause(ctx, askPause) {
			return Answer{Result: Unanswered}
		}
	}
}

// pause reports false when the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitLink returns the leader's link, nil when there is none in time.
func (g *Gateway) awaitLink(ctx context.Context, patient bool) *messenger.Link {
	timer := time.NewTimer(leaderWait)
	defer timer.Stop()
	for {
		g.mu.Lock()
		changed := g.changed
		g.mu.Unlock()
		if l := g.attachment.Leader(); l != nil {
			return l
		}
		expired := timer.C
		if patient {
			expired = nil
		}
		select {
		case <-changed:
		case <-expired:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// askOn returns the leader's reply, nil when there is none. With bounded it
// waits no longer than for a leader that works.
func (g *Gateway) askOn(ctx context.Context, link *messenger.Link, q *wire.Question, bounded bool) *wire.Reply {
	var late <-chan time.Time
	if bounded {
		timer := time.NewTimer(replyWait)
		defer timer.Stop()
		late = timer.C
	}
	number := g.number.Add(1)
	answer := make(chan *wire.Reply, 1)
	g.mu.Lock()
	g.open[number] = answer
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.open, number)
	}()
	link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Question{Question: &wire.Question{
		Number: number, Kind: q.Kind, Job: q.Job, Queue: q.Queue, Body: q.Body, Policy: q.Policy,
	}}})
	select {
	case r := <-answer:
		return r
	case <-link.Done():
		return nil
	case <-late:
		return nil
	case <-ctx.Done():
		return nil
	}
}
