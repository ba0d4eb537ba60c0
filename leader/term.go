package leader

// This file defines one term: a planner, the links to the site's processes,
// and the batches that are stored one after the other. One goroutine owns the
// planner; others dial, read and store.

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

// Intervals of a term.
const (
	tickEvery     = 25 * time.Millisecond
	commitGap     = 10 * time.Millisecond  // between the starts of two batches
	confirmEvery  = 200 * time.Millisecond // without a batch, one is stored to prove that the leader lives
	storeLostWhen = 600 * time.Millisecond // a batch unanswered for so long: new work is refused; a slow store takes 250 ms
	freshWithin   = time.Second            // a count may be as old as this
	makeWayAfter  = 3 * time.Second        // of a link to a better one; others have read the directory by then
	farewell      = 20 * time.Millisecond  // for the last frames to leave
)

type term struct {
	ctx     context.Context // ends with the term
	leader  *Leader
	cancel  context.CancelFunc
	logger  *zap.Logger
	metrics *metrics
	leading atomic.Bool
	madeWay atomic.Bool  // it ended for a process nearer to the store
	reason  atomic.Value // string: why it ended
	control atomic.Pointer[kernel.EventLoop]

	epoch     int64
	planner   *planner.Planner
	links     map[string]*peer // by node
	confirmed time.Duration    // clock reading at the start of the last stored batch

	inboxRead time.Duration // clock reading at the start of the last reading of the inbox

	committing  bool
	commitStart time.Time
	sequence    int64
	waiting     []func() // called once what is in memory now is stored
	barrier     bool     // store a batch even if nothing changed
	wake        *time.Timer
	batches     chan *batch
}

type batch struct {
	plan    *planner.Batch
	records []pv.KeyedRecord
	waiting []func()
	start   time.Duration
}

// run leads until the term is over and returns the reason.
func (t *term) run(ctx context.Context, last lastClaim) string {
	s := t.leader.settings
	begun := time.Now()
	epoch, records, sequence, err := claim(ctx, t.leader.deps.Store, last, s.Node, s.Boot)
	if err != nil {
		return t.endReason(err.Error())
	}
	t.epoch, t.sequence, t.ctx = epoch, sequence, ctx
	now := time.Now()
	t.planner = planner.New(s.Planner, epoch)
	for _, fault := range t.planner.Restore(now, records) {
		t.logger.Error("leader: job left out", zap.Int64("epoch", epoch), logfield.Error(fault))
	}
	t.leader.mu.Lock()
	t.planner.SetQueues(t.leader.queues)
	t.leader.mu.Unlock()
	t.links = map[string]*peer{}
	t.confirmed = t.leader.deps.Clock()
	t.inboxRead = t.confirmed - inboxFresh // not read yet
	t.commitStart = now
	t.batches = make(chan *batch, 1)
	active, kept := t.planner.Jobs()
	t.logger.Info("leader: term begins", zap.Int64("epoch", epoch), zap.Int("activeJobs", active), zap.Int("keptJobs", kept), zap.Duration("claimed", now.Sub(begun)))
	t.metrics.terms.Inc()

	control := kernel.NewEventLoop(tickEvery, func(now time.Time) { t.after(now, true) })
	t.control.Store(control)
	t.leading.Store(true)
	stored := make(chan struct{})
	go func() {
		defer close(stored)
		t.storeBatches(ctx)
	}()
	go t.leader.deps.Members.Follow(ctx, t.leader.deps.Clock, func(members []Member) {
		t.post(func(now time.Time) { t.setMembers(ctx, now, members) })
	})
	go t.followInbox(ctx)
	<-ctx.Done()
	t.leading.Store(false)
	_ = control.Stop(context.Background()) // waits for the function that runs now
	<-stored
	for _, p := range t.links {
		if p.link != nil {
			p.link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Ping{Ping: &wire.Ping{Leaving: true}}})
		}
	}
	time.Sleep(farewell)
	for _, p := range t.links {
		p.close()
	}
	return t.endReason("stopped")
}

func (t *term) endReason(other string) string {
	if reason, ok := t.reason.Load().(string); ok {
		return reason
	}
	return other
}

// stop ends the term. Only the first reason counts.
func (t *term) stop(reason string) {
	t.reason.CompareAndSwap(nil, reason)
	t.cancel()
}

// post runs a function on the control goroutine and what follows from it.
func (t *term) post(f func(now time.Time)) {
	control := t.control.Load()
	if control == nil {
		return // the term hasn't begun
	}
	control.Post(func() {
		now := time.Now()
		f(now)
		t.after(now, false)
	})
}

// after lets the planner act on what changed, and sends and stores it.
func (t *term) after(now time.Time, tick bool) {
	t.planner.Tick(now)
	if tick {
		for _, p := range t.links {
			p.tick(now)
		}
		t.sendOrders(now)
		t.makeWay(now)
		if !t.committing && now.Sub(t.commitStart) > confirmEvery {
			t.barrier = true
		}
	}
	t.seal(now)
	t.logEvents()
}

// makeWay ends the term of a leader once a gateway that suits better has been
// linked for a while: far from the store each batch crosses between regions, and
// on a weak machine all that the site decides is late.
func (t *term) makeWay(now time.Time) {
	members := t.leader.deps.Members
	if members.Preferred() {
		return
	}
	for _, p := range t.links {
		if p.member.Candidate && members.outranked(p.member) && p.link != nil && now.Sub(p.since) > makeWayAfter {
			t.madeWay.Store(true)
			t.stop("betterCandidate")
			return
		}
	}
}

func (t *term) mayGrant() bool {
	return t.leader.deps.Clock()-t.confirmed < t.leader.settings.Planner.LeaderLease()
}

// inboxFresh is the age of the inbox's last reading at which starts wait: a
// cancellation in it has 3 s to take effect.
const inboxFresh = 1800 * time.Millisecond

func (t *term) mayStart() bool { return t.leader.deps.Clock()-t.inboxRead < inboxFresh }

func (t *term) sendOrders(now time.Time) {
	for _, p := range t.links {
		t.sendOrdersTo(now, p)
	}
}

func (t *term) sendOrdersTo(now time.Time, p *peer) {
	if p.link == nil || p.worker == "" {
		return
	}
	if o, ok := t.planner.Orders(now, p.worker, planner.Permissions{RenewLease: t.mayGrant(), StartRuns: t.mayStart()}); ok {
		p.link.Send(ordersFrame(o))
	}
}

// seal hands the changes to the store when it is free.
func (t *term) seal(now time.Time) {
	if t.committing {
		return
	}
	if wait := commitGap - now.Sub(t.commitStart); wait > 0 {
		if t.wake == nil {
			t.wake = time.AfterFunc(wait, func() { t.post(func(time.Time) { t.wake = nil }) })
		}
		return
	}
	plan := t.planner.Seal()
	if plan == nil && len(t.waiting) == 0 && !t.barrier {
		return
	}
	b := &batch{plan: plan, waiting: t.waiting, start: t.leader.deps.Clock()}
	if plan != nil {
		b.records = plan.Records
	}
	if len(b.records) == 0 {
		if len(t.waiting) == 0 && !t.barrier {
			t.planner.Committed(plan) // orders that need no record
			t.sendOrders(now)
			return
		}
		b.records = termRecord(t.epoch)
	}
	t.waiting, t.barrier = nil, false
	t.committing, t.commitStart = true, now
	t.batches <- b
}

// storeLost reports whether the store has left a batch unanswered for too long.
func (t *term) storeLost(now time.Time) bool {
	return t.committing && now.Sub(t.commitStart) > storeLostWhen
}

func (t *term) committed(now time.Time, b *batch, took time.Duration) {
	t.committing = false
	t.confirmed = b.start
	t.metrics.commit.Observe(took.Seconds())
	if b.plan != nil {
		t.planner.Committed(b.plan)
	}
	for _, f := range b.waiting {
		f()
	}
	t.sendOrders(now)
}

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
		if e.Token != 0 {
			fields = append(fields, zap.Int64("token", e.Token))
		}
		if e.Age > 0 && e.Age < time.Hour {
			fields = append(fields, zap.Int64("reportAgeMs", e.Age.Milliseconds()))
		}
		if e.Reason != "" {
			fields = append(fields, zap.String("reason", e.Reason))
		}
		t.metrics.decisions.WithLabelValues(e.Text, e.Reason).Inc()
		t.logger.Info("planner: "+e.Text, append(fields, zap.Int64("epoch", t.epoch))...)
	}
}

// setMembers opens links to new members and drops those that are gone.
func (t *term) setMembers(ctx context.Context, now time.Time, members []Member) {
	listed := map[string]bool{}
	for _, m := range members {
		listed[m.Node] = true
		for _, d := range m.Deregistered {
			t.planner.Deregister(now, d)
		}
		p, ok := t.links[m.Node]
		if ok && p.member.same(m) {
			continue
		}
		if ok {
			p.close()
		}
		next := newPeer(ctx, t, m)
		if ok {
			next.worker = p.worker
		}
		t.links[m.Node] = next
	}
	for node, p := range t.links {
		if !listed[node] {
			p.close()
			delete(t.links, node)
		}
	}
}

func ordersFrame(o planner.Orders) *wire.LinkFrame {
	orders := messenger.EncodeOrders(o.Worker, o.Incarnation, o.Authority, o.Acknowledged, o.Full, o.Starts, o.Stops)
	orders.Presses = messenger.EncodeCoefficients(o.Coefficients)
	return &wire.LinkFrame{Body: &wire.LinkFrame_Orders{Orders: orders}}
}
