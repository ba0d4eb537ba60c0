package leader

// This file defines one term of leadership: a planner, the links to the site's
// processes, and the group commit of the planner's changes, one batch at a time.
// The event loop's goroutine owns the planner; other goroutines dial, read and store.

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/internal/logfield"
	"persimmonvalve/internal/wire"
	"persimmonvalve/kernel"
	"persimmonvalve/messenger"
	"persimmonvalve/planner"
)

// Intervals and limits of a term.
const (
	tickInterval       = 25 * time.Millisecond
	minCommitInterval  = 10 * time.Millisecond  // between the starts of two commits
	idleCommitInterval = 200 * time.Millisecond // time without a commit after which a heartbeat is committed; it renews the leader lease
	storeTimeout       = 600 * time.Millisecond // time without a response to a commit after which new jobs are refused; a slow store takes 250 ms
	maxPendingCountAge = time.Second            // since the last commit; an older count of pending jobs is confirmed by a commit first
	stepDownDelay      = 3 * time.Second        // from the link to a better candidate until the leader steps down; by then the other processes have read the directory
	linkFlushDelay     = 20 * time.Millisecond  // for the last frames to be sent before the links close
)

// term is one term of this process, from the claim to the end of its leadership.
type term struct {
	ctx         context.Context // ends with the term
	leader      *Leader
	cancel      context.CancelFunc
	logger      *zap.Logger
	metrics     *metrics
	leading     atomic.Bool
	steppedDown atomic.Bool  // the term ended in favour of a better candidate
	reason      atomic.Value // string: why the term ended
	eventLoop   atomic.Pointer[kernel.EventLoop]

	epoch       int64
	planner     *planner.Planner
	peers       map[string]*peer // by node
	confirmedAt time.Duration    // Dependencies.Clock at the start of the last confirmed append
	evacuations evacuationsRead

	inboxEnd             pv.Offset      // before which all records of the inbox have been applied; 0 before the first read
	inboxReadStartedAt   time.Duration  // Dependencies.Clock at the start of the last read of the inbox whose cancellations are stored
	uncommittedInboxRead *time.Duration // start of the last read that counts with the next commit of a cancellation; nil if none waits
	barrierReads         coalescer[func()]
	cancellationWrites   coalescer[cancellationWrite]
	keptCancellations    map[string]time.Time // keys of the inbox's cancellations of unknown jobs, with the time since when they are kept

	committing      bool
	commitStartedAt time.Time // of the last commit
	sequence        int64     // of the last append that the store confirmed
	afterCommit     []func()  // callbacks for when the changes made so far are stored
	commitBarrier   bool      // commit next even if nothing has changed
	commitTimer     *time.Timer
	batches         chan *batch
}

// batch is one commit: the planner's changes, and the callbacks that wait for them.
type batch struct {
	plannerBatch *planner.Batch
	records      []pv.KeyedRecord
	afterCommit  []func()
	startedAt    time.Duration // Dependencies.Clock when the commit started
}

// run claims the term, leads until it ends, and returns why it ended.
func (t *term) run(ctx context.Context, last lastClaim) string {
	s := t.leader.settings
	claimStart := time.Now()
	claimed, err := claim(ctx, t.leader.deps.Store, t.leader.deps.Clock, last, s.Node, s.IncarnationID)
	if err != nil {
		return t.endReason(err.Error())
	}
	t.epoch, t.sequence, t.confirmedAt, t.ctx = claimed.epoch, claimed.sequence, claimed.confirmedAt, ctx
	now := time.Now()
	t.planner = planner.New(s.Planner, t.epoch)
	for _, fault := range t.planner.Restore(now, claimed.records, claimed.predecessors) {
		t.metrics.undecodable.WithLabelValues(string(jobsTopic)).Inc()
		t.logger.Error("leader: stored record can't be decoded; it is skipped", zap.Int64("epoch", t.epoch), logfield.Error(fault))
	}
	t.leader.mu.Lock()
	queues, evacuations := t.leader.queues, t.leader.evacuations
	t.leader.mu.Unlock()
	t.planner.SetQueues(queues)
	t.applyEvacuations(now, evacuations)
	t.peers, t.keptCancellations = map[string]*peer{}, map[string]time.Time{}
	t.barrierReads.start, t.cancellationWrites.start = t.readForBarrier, t.writeCancellations
	t.inboxReadStartedAt = t.leader.deps.Clock() - maxInboxAge // the inbox hasn't been read yet
	t.commitStartedAt = now
	t.batches = make(chan *batch, 1)
	active, kept := t.planner.JobCounts()
	t.logger.Info("leader: term begins", zap.Int64("epoch", t.epoch), zap.Int("activeJobs", active), zap.Int("keptJobs", kept), zap.Duration("claimed", now.Sub(claimStart)))
	t.metrics.terms.Inc()

	eventLoop := kernel.NewEventLoop(tickInterval, func(now time.Time) { t.advance(now, true) })
	t.eventLoop.Store(eventLoop)
	t.leading.Store(true)
	storeDone := make(chan struct{})
	go func() {
		defer close(storeDone)
		t.storeBatches(ctx)
	}()
	invalidMember := func(string) { t.metrics.undecodable.WithLabelValues(string(membersTopic)).Inc() }
	go t.leader.deps.Directory.Follow(ctx, t.leader.deps.Clock, invalidMember, func(members []Member) {
		t.post(func(now time.Time) { t.setMembers(ctx, now, members) })
	})
	go t.followInbox(ctx)
	<-ctx.Done()
	t.leading.Store(false)
	_ = eventLoop.Stop(context.Background()) // waits for the function that is running
	<-storeDone
	for _, p := range t.peers {
		if p.link != nil {
			p.link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Ping{Ping: &wire.Ping{Leaving: true}}})
		}
	}
	time.Sleep(linkFlushDelay)
	for _, p := range t.peers {
		p.close()
	}
	return t.endReason("stopped")
}

// endReason returns the reason passed to stop, or the other one if there was none.
func (t *term) endReason(other string) string {
	if reason, ok := t.reason.Load().(string); ok {
		return reason
	}
	return other
}

// stop ends the term. The reason of the first call is kept.
func (t *term) stop(reason string) {
	t.reason.CompareAndSwap(nil, reason)
	t.cancel()
}

// post runs a function on the event loop, and then advances the term.
func (t *term) post(f func(now time.Time)) {
	eventLoop := t.eventLoop.Load()
	if eventLoop == nil {
		return // the claim isn't complete
	}
	eventLoop.Post(func() {
		now := time.Now()
		f(now)
		t.advance(now, false)
	})
}

// advance runs the planner, starts a commit of its changes if one is due, and logs
// its decisions. On a tick of the event loop it also sends pings and orders.
func (t *term) advance(now time.Time, tick bool) {
	t.planner.Tick(now)
	if tick {
		for _, p := range t.peers {
			p.tick(now)
		}
		t.sendOrders(now)
		t.stepDownIfOutranked(now)
		t.expireCancellations(now)
		if !t.committing && now.Sub(t.commitStartedAt) > idleCommitInterval {
			t.commitBarrier = true
		}
	}
	t.startCommit(now)
	t.logEvents()
}

// stepDownIfOutranked ends the term once a better candidate has been linked for
// stepDownDelay. Outside the store's region every commit crosses regions, and on a
// weak machine every decision for the site is late.
func (t *term) stepDownIfOutranked(now time.Time) {
	members := t.leader.deps.Directory
	if members.Preferred() {
		return
	}
	for _, p := range t.peers {
		if p.member.Candidate && members.outrankedBy(p.member) && p.link != nil && now.Sub(p.linkedAt) > stepDownDelay {
			t.steppedDown.Store(true)
			t.stop("betterCandidate")
			return
		}
	}
}

// mayRenewLeases reports whether the leader lease holds: the store confirmed a commit
// that started less than the lease ago.
func (t *term) mayRenewLeases() bool {
	return t.leader.deps.Clock()-t.confirmedAt < t.leader.settings.Planner.LeaderLease()
}

// maxInboxAge is the time since the last read of the inbox after which no orders to start
// runs are sent: the inbox may hold a cancellation, which must take effect within 3 s. A
// supervisor may carry them out for 1.1 s more.
const maxInboxAge = 1800 * time.Millisecond

// mayStartRuns reports whether this leader can have missed no cancellation that is older
// than maxInboxAge: it has read the inbox since, and stored a batch, so that no later
// leader had accepted one. Nor may it have missed an evacuation for too long.
func (t *term) mayStartRuns() bool {
	return t.leader.deps.Clock()-min(t.inboxReadStartedAt, t.confirmedAt) < maxInboxAge && t.evacuationsKnown()
}

func (t *term) sendOrders(now time.Time) {
	for _, p := range t.peers {
		t.sendOrdersTo(now, p)
	}
}

func (t *term) sendOrdersTo(now time.Time, p *peer) {
	if p.link == nil || p.worker == "" {
		return
	}
	if o, ok := t.planner.Orders(now, p.worker, planner.Permissions{RenewLease: t.mayRenewLeases(), StartRuns: t.mayStartRuns()}); ok {
		p.link.Send(ordersFrame(o))
	}
}

// startCommit passes the changes since the last commit to storeBatches, unless a
// commit is in progress or minCommitInterval hasn't passed; a timer then calls it again.
func (t *term) startCommit(now time.Time) {
	if t.committing {
		return
	}
	if wait := minCommitInterval - now.Sub(t.commitStartedAt); wait > 0 {
		if t.commitTimer == nil {
			t.commitTimer = time.AfterFunc(wait, func() { t.post(func(time.Time) { t.commitTimer = nil }) })
		}
		return
	}
	next := t.planner.NextBatch()
	if next == nil && len(t.afterCommit) == 0 && !t.commitBarrier {
		return
	}
	b := &batch{plannerBatch: next, afterCommit: t.afterCommit, startedAt: t.leader.deps.Clock()}
	if next != nil {
		b.records = next.Records
	}
	if len(b.records) == 0 {
		if len(t.afterCommit) == 0 && !t.commitBarrier {
			t.planner.Committed(next) // the batch has only orders, which need no record
			t.sendOrders(now)
			return
		}
		b.records = heartbeatRecords(t.epoch)
	}
	t.afterCommit, t.commitBarrier = nil, false
	t.committing, t.commitStartedAt = true, now
	t.batches <- b
}

// storeStalled reports whether a commit has been unanswered for more than storeTimeout.
func (t *term) storeStalled(now time.Time) bool {
	return t.committing && now.Sub(t.commitStartedAt) > storeTimeout
}

// committed releases the orders and callbacks of a batch that the store confirmed.
func (t *term) committed(now time.Time, b *batch, took time.Duration) {
	t.committing = false
	t.confirmedAt = b.startedAt
	t.metrics.commitSeconds.Observe(took.Seconds())
	if b.plannerBatch != nil {
		t.planner.Committed(b.plannerBatch)
	}
	for _, f := range b.afterCommit {
		f()
	}
	t.sendOrders(now)
}

// logEvents logs and counts the planner's events.
func (t *term) logEvents() {
	for _, e := range t.planner.Events() {
		fields := make([]zap.Field, 0, 8)
		if e.Run.Attempt > 0 {
			fields = append(fields, zap.Stringer("task", e.Run.Task), zap.Int("attempt", e.Run.Attempt))
		} else if e.Job != "" {
			fields = append(fields, zap.String("job", string(e.Job)))
		}
		if e.Worker != "" {
			fields = append(fields, zap.String("worker", string(e.Worker)), zap.Int64("life", e.Incarnation))
		}
		if e.FencingToken != 0 {
			fields = append(fields, zap.Int64("token", e.FencingToken))
		}
		if e.ReportAge > 0 && e.ReportAge < time.Hour { // an hour or more stands for a worker without a poll result
			fields = append(fields, zap.Int64("reportAgeMs", e.ReportAge.Milliseconds()))
		}
		if e.Reason != "" {
			fields = append(fields, zap.String("reason", e.Reason))
		}
		if e.Detail != "" {
			fields = append(fields, zap.String("detail", e.Detail))
		}
		t.metrics.decisions.WithLabelValues(e.Kind, e.Reason).Inc()
		t.logger.Info("planner: "+e.Kind, append(fields, zap.Int64("epoch", t.epoch))...)
	}
}

// setMembers opens links to new and changed members, closes those of members that
// are no longer listed, and passes on deregistrations of workers.
func (t *term) setMembers(ctx context.Context, now time.Time, members []Member) {
	listed := map[string]bool{}
	for _, m := range members {
		listed[m.Node] = true
		for _, d := range m.Deregistered {
			t.planner.Deregister(now, d)
		}
		p, ok := t.peers[m.Node]
		if ok && p.member.equalExceptDeregistered(m) {
			continue
		}
		if ok {
			p.close()
		}
		next := newPeer(ctx, t, m)
		if ok {
			next.worker = p.worker
		}
		t.peers[m.Node] = next
	}
	for node, p := range t.peers {
		if !listed[node] {
			p.close()
			delete(t.peers, node)
		}
	}
}

func ordersFrame(o planner.Orders) *wire.LinkFrame {
	orders := messenger.EncodeOrders(o.Worker, o.Incarnation, o.Lease, o.Acknowledged, o.Full, o.Starts, o.Stops)
	orders.Presses = messenger.EncodeCoefficients(o.Coefficients)
	orders.StartsWithheld, orders.ClockMs = o.StartsWithheld, o.Clock.Milliseconds()
	return &wire.LinkFrame{Body: &wire.LinkFrame_Orders{Orders: orders}}
}
