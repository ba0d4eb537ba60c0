package gateway

// This file defines the calls, each of which is sent to the leader as a question.
// A call is refused only if it certainly had no effect. A read without an answer is
// sent again, to the next leader if need be, and refused when its time is over. A submission or cancellation is written to
// the inbox if no leader is connected, none answers, or the leader can't reach the
// store. This is idempotent, since repeats carry the same job id.
// When a write's time is over, its outcome is unknown.

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
	"golang.org/x/time/rate"

	pv "persimmonvalve"
	"persimmonvalve/internal/logfield"
	"persimmonvalve/internal/wire"
	"persimmonvalve/leader"
	"persimmonvalve/messenger"
)

// Error is the class of this package's errors.
var Error = errs.Class("gateway")

// Role is the role of gateways in the handshake of links.
const Role = "gateway"

// Timeouts and intervals of a call.
const (
	// leaderConnectTimeout is the wait for a leader to connect before a call is refused or
	// written to the inbox: a tenth of the shortest objective.
	leaderConnectTimeout = 50 * time.Millisecond
	// replyTimeout is the wait for a leader's reply before a submission or cancellation
	// is also written to the inbox: two batches of a slow store, which takes 250 ms
	// for each.
	replyTimeout = 700 * time.Millisecond
	inboxTimeout = 500 * time.Millisecond // for the store's answer to an inbox write; the outcome is then unknown
	// maxInboxWrites bounds the writes to the inbox at a time, each of which has a connection to
	// the store.
	maxInboxWrites = 16
	// inboxBurstBytes and inboxBytesPerSecond bound the memory of the jobs that are written to the
	// inbox: the next leader has to accept them.
	inboxBurstBytes       = 4 << 20
	inboxBytesPerSecond   = 256 << 10
	probeInterval         = 500 * time.Millisecond // from an inbox write without an answer to the next probe of the store
	answerValidity        = 200 * time.Millisecond // of an answer of the store: the next write needs no probe
	questionRetryInterval = 50 * time.Millisecond  // between repeats of a question that is undecided
	// RetryAfter is the delay sent with a refusal, after which the call may be repeated:
	// about the duration of a leader change.
	RetryAfter = time.Second
)

// Result is the outcome of a call.
type Result string

// The results of calls, also values of the label "result".
const (
	Done           Result = "done"
	UnknownJob     Result = "unknownJob"
	BadInput       Result = "badInput"
	NoLeader       Result = "noLeader"   // no leader connected; the call had no effect
	Overloaded     Result = "overloaded" // too many jobs are kept, or wait in the inbox; the call had no effect
	StoreStalled   Result = "storeLost"  // the store doesn't answer or refuses writes; the call had no effect
	NoAnswer       Result = "noAnswer"   // a read that got no answer in time; it had no effect
	OutcomeUnknown Result = "unanswered" // the outcome of a submission or cancellation is unknown
)

// Refused reports whether the call had no effect and may be repeated.
func (r Result) Refused() bool {
	return r == NoLeader || r == StoreStalled || r == Overloaded || r == NoAnswer
}

// Answer is the answer to a call.
type Answer struct {
	Result  Result
	State   pv.JobState // of a known job
	Pending int64       // jobs of the queue of which no task has started
	Detail  string      // of an explanation: planner.Explanation as JSON
	Took    time.Duration
}

// Dependencies are the clients and services that a gateway uses.
type Dependencies struct {
	Store    pv.Store
	Listener net.Listener // for the leader's link
	Logger   *zap.Logger
	Registry prometheus.Registerer
}

// Gateway forwards calls to the leader. It is safe for concurrent use.
type Gateway struct {
	store              pv.Store
	logger             *zap.Logger
	acceptor           *messenger.LeaderAcceptor
	lastQuestionNumber atomic.Int64
	callSeconds        *prometheus.HistogramVec
	callResults        *prometheus.CounterVec
	inboxWrites        prometheus.Counter
	inboxSlots         chan struct{} // holds one element for each write in progress
	inboxBudget        *rate.Limiter // of the memory that jobs in the inbox take once a leader reads them

	mu               sync.Mutex
	breakerOpenUntil time.Time     // circuit breaker of inbox writes; zero while it is closed
	storeAnsweredAt  time.Time     // when an append to the inbox was last answered; zero after one without an answer
	probe            *storeProbe   // in progress, or nil
	leaderChanged    chan struct{} // closed and replaced when a leader connects
	pendingReplies   map[int64]chan *wire.Reply
}

// New starts a gateway; Close ends it.
func New(node string, d Dependencies) *Gateway {
	g := &Gateway{
		store: d.Store, logger: d.Logger, leaderChanged: make(chan struct{}), inboxSlots: make(chan struct{}, maxInboxWrites), inboxBudget: rate.NewLimiter(inboxBytesPerSecond, inboxBurstBytes), pendingReplies: map[int64]chan *wire.Reply{},
		callSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "pvalve", Name: "gateway_call_seconds", Help: "Duration of calls, in seconds, by kind.", Buckets: prometheus.ExponentialBuckets(0.002, 2, 12)}, []string{"call"}),
		callResults: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "pvalve", Name: "gateway_calls_total", Help: "Calls, by kind and result."}, []string{"call", "result"}),
	}
	g.inboxWrites = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "pvalve", Name: "gateway_inbox_total", Help: "Jobs and cancellations written to the inbox because no leader answered or the leader can't reach the store."})
	d.Registry.MustRegister(g.callSeconds, g.callResults, g.inboxWrites)
	g.acceptor = messenger.NewLeaderAcceptor(node, Role, d.Listener, d.Logger, g)
	return g
}

// Close closes the links.
func (g *Gateway) Close() { g.acceptor.Close() }

// Linked reports whether a leader is connected.
func (g *Gateway) Linked() bool { return g.acceptor.Leader() != nil }

// LeaderStatus returns the leader's status, judged by its link to this process.
func (g *Gateway) LeaderStatus() messenger.LeaderStatus { return g.acceptor.LeaderStatus() }

// LeaderConnected implements messenger.LeaderHandler.
func (g *Gateway) LeaderConnected(_ *messenger.Link, leader string, epoch int64) {
	g.logger.Info("gateway: leader connected", zap.String("leader", leader), zap.Int64("epoch", epoch))
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.leaderChanged)
	g.leaderChanged = make(chan struct{})
}

// LeaderDisconnected implements messenger.LeaderHandler.
func (g *Gateway) LeaderDisconnected(_ *messenger.Link, err error) {
	g.logger.Warn("gateway: leader disconnected", logfield.Error(err))
}

// Frame implements messenger.LeaderHandler.
func (g *Gateway) Frame(_ *messenger.Link, f *wire.LinkFrame) {
	r := f.GetReply()
	if r == nil {
		return
	}
	g.mu.Lock()
	reply := g.pendingReplies[r.Number]
	delete(g.pendingReplies, r.Number)
	g.mu.Unlock()
	if reply != nil {
		reply <- r // buffered; there is one reply
	}
}

// Submit submits a job to a queue.
func (g *Gateway) Submit(ctx context.Context, job pv.Job, queue pv.Queue) (Answer, error) {
	return g.callWithJob(ctx, leader.QuestionSubmit, job, queue)
}

// Explain returns where a job would go if it were submitted to a queue now. It submits nothing.
func (g *Gateway) Explain(ctx context.Context, job pv.Job, queue pv.Queue) (Answer, error) {
	return g.callWithJob(ctx, leader.QuestionExplain, job, queue)
}

func (g *Gateway) callWithJob(ctx context.Context, kind string, job pv.Job, queue pv.Queue) (Answer, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return Answer{}, Error.Wrap(err)
	}
	policy, err := json.Marshal(queue)
	if err != nil {
		return Answer{}, Error.Wrap(err)
	}
	q := &wire.Question{Kind: kind, Job: string(job.ID), Queue: queue.Name, Body: body, Policy: policy}
	return g.call(ctx, q, job.MemoryBytes(len(body))), nil
}

// State returns a job's state.
func (g *Gateway) State(ctx context.Context, id pv.JobID) Answer {
	return g.call(ctx, &wire.Question{Kind: leader.QuestionState, Job: string(id)}, 0)
}

// Cancel cancels a job.
func (g *Gateway) Cancel(ctx context.Context, id pv.JobID) Answer {
	return g.call(ctx, &wire.Question{Kind: leader.QuestionCancel, Job: string(id)}, 0)
}

// Pending returns the number of a queue's jobs of which no task has started.
func (g *Gateway) Pending(ctx context.Context, queue string) Answer {
	return g.call(ctx, &wire.Question{Kind: leader.QuestionPending, Queue: queue}, 0)
}

// call answers a question. The leader needs jobBytes of memory to keep the question's job, if it
// has one.
func (g *Gateway) call(ctx context.Context, q *wire.Question, jobBytes int64) Answer {
	startedAt := time.Now()
	a := g.callWithFallback(ctx, q, jobBytes)
	if a.Result == OutcomeUnknown && !isWrite(q) {
		a.Result = NoAnswer
	}
	a.Took = time.Since(startedAt)
	g.callSeconds.WithLabelValues(q.Kind).Observe(a.Took.Seconds())
	g.callResults.WithLabelValues(q.Kind, string(a.Result)).Inc()
	if q.Kind != leader.QuestionState || a.Result != Done {
		g.logger.Info("gateway: call completed", zap.String("call", q.Kind), zap.String("job", q.Job), zap.String("queue", q.Queue), zap.String("result", string(a.Result)), zap.Int64("tookMs", a.Took.Milliseconds()))
	}
	return a
}

// isWrite reports whether a question may change a job.
func isWrite(q *wire.Question) bool {
	return q.Kind == leader.QuestionSubmit || q.Kind == leader.QuestionCancel
}

// callWithFallback sends a question to the leader, repeatedly while it is undecided,
// and falls back to the inbox for submissions and cancellations.
func (g *Gateway) callWithFallback(ctx context.Context, q *wire.Question, jobBytes int64) Answer {
	sent := false
	writes := isWrite(q)
	for {
		link := g.awaitLeader(ctx, sent && !writes)
		switch {
		case link == nil && writes:
			return g.writeToInbox(ctx, q, jobBytes, sent)
		case link == nil && sent:
			return Answer{Result: OutcomeUnknown}
		case link == nil:
			return Answer{Result: NoLeader}
		}
		reply := g.askLeader(ctx, link, q, writes)
		if reply == nil {
			sent = true
			if ctx.Err() != nil {
				return Answer{Result: OutcomeUnknown}
			}
			if writes {
				return g.writeToInbox(ctx, q, jobBytes, sent) // the link closed, or the leader's reply timed out
			}
			if !sleep(ctx, questionRetryInterval) {
				return Answer{Result: OutcomeUnknown}
			}
			continue
		}
		switch reply.Verdict {
		case leader.VerdictDone:
			return Answer{Result: Done, State: pv.JobState(reply.State), Pending: reply.Pending, Detail: reply.Detail}
		case leader.VerdictUnknownJob:
			return Answer{Result: UnknownJob}
		case leader.VerdictBadInput:
			return Answer{Result: BadInput}
		case leader.VerdictOverloaded:
			return Answer{Result: Overloaded}
		case leader.VerdictStoreStalled:
			return g.writeToInbox(ctx, q, jobBytes, sent) // this process may still reach the store
		}
		// Undecided: the job is known, but its first record isn't committed yet. The
		// earlier submission may still take effect, so the question is repeated.
		if !sleep(ctx, questionRetryInterval) {
			return Answer{Result: OutcomeUnknown}
		}
	}
}

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitLeader returns the connected leader's link, or nil if none connects before
// leaderConnectTimeout or, if unbounded, before the context ends.
func (g *Gateway) awaitLeader(ctx context.Context, unbounded bool) *messenger.Link {
	timer := time.NewTimer(leaderConnectTimeout)
	defer timer.Stop()
	for {
		g.mu.Lock()
		changed := g.leaderChanged
		g.mu.Unlock()
		if l := g.acceptor.Leader(); l != nil {
			return l
		}
		expired := timer.C
		if unbounded {
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

// askLeader sends a question and returns the leader's reply, or nil if the link or the
// context ends first. If bounded, it waits at most for replyTimeout.
func (g *Gateway) askLeader(ctx context.Context, link *messenger.Link, q *wire.Question, bounded bool) *wire.Reply {
	var timeout <-chan time.Time
	if bounded {
		timer := time.NewTimer(replyTimeout)
		defer timer.Stop()
		timeout = timer.C
	}
	number := g.lastQuestionNumber.Add(1)
	replies := make(chan *wire.Reply, 1)
	g.mu.Lock()
	g.pendingReplies[number] = replies
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.pendingReplies, number)
	}()
	link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Question{Question: &wire.Question{
		Number: number, Kind: q.Kind, Job: q.Job, Queue: q.Queue, Body: q.Body, Policy: q.Policy,
	}}})
	select {
	case r := <-replies:
		return r
	case <-link.Done():
		return nil
	case <-timeout:
		return nil
	case <-ctx.Done():
		return nil
	}
}
