package leader

// This file defines who leads. Membership of a group at the store chooses a
// candidate; the right to lead comes from a conditional append alone, which
// gives each term an epoch of its own (claim.go). So a wrong choice costs time
// and never safety.

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/internal/logfield"
	"persimmonvalve/planner"
)

// Error is the class of this package's errors.
var Error = errs.Class("leader")

// The store's topics and group.
const (
	leaderTopic pv.Topic = "keyed.leader"
	jobsTopic   pv.Topic = "keyed.jobs"
	group                = "leader"
	writerName           = "leader"
)

// Intervals of the membership.
const (
	joinEvery   = 300 * time.Millisecond // three tries within the shortest time to live
	joinTimeout = time.Second
	groupTTL    = 1200 * time.Millisecond
	lookEvery   = 100 * time.Millisecond // at whether a leader is heard
	quietNear   = 600 * time.Millisecond // without word of a leader: a process near the store stands; a ping and a fifth
	quietFar    = 2 * time.Second        // the others leave it to those near the store for so long
	stepAside   = 3 * time.Second        // a far leader that made way doesn't stand again for so long
)

// nearStore is the round trip to the store below which a process is in its
// region: the store takes some 4 ms for an answer, another region adds 40 ms.
const nearStore = 20 * time.Millisecond

// Settings say which process this is.
type Settings struct {
	Node    string
	Boot    string // tells lives of the process apart
	Planner planner.Settings
	TTL     time.Duration // of the membership; the store may ask for more than the default
}

// Dependencies are what a leader needs.
type Dependencies struct {
	Store    pv.Store
	Members  *Directory
	Quiet    func() time.Duration // time since the last word of a leader
	Logger   *zap.Logger
	Registry prometheus.Registerer
}

// Leader is a candidate, and leads while it is chosen. It is safe for
// concurrent use.
type Leader struct {
	settings Settings
	deps     Dependencies
	metrics  *metrics

	mu     sync.Mutex
	term   *term
	queues []pv.Queue
	cancel context.CancelFunc
	ended  chan struct{}
}

// New starts a candidate.
func New(s Settings, d Dependencies) *Leader {
	if s.TTL < groupTTL {
		s.TTL = groupTTL
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Leader{settings: s, deps: d, metrics: newMetrics(d.Registry), cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(l.ended)
		l.stand(ctx)
	}()
	return l
}

// stand joins the group while no leader is heard, keeps up the membership while
// this process leads, and begins and ends terms with it. A process that hears a
// leader stays out: each change of the members may change who is chosen.
func (l *Leader) stand(ctx context.Context) {
	c := candidacy{leader: l, member: l.settings.Node + "/" + l.settings.Boot}
	defer c.running.Wait()
	defer l.stopTerm("stopping")
	defer c.leave()
	for ctx.Err() == nil {
		wait := lookEvery
		switch {
		case c.wanted():
			c.join(ctx)
			wait = joinEvery
		case c.joined:
			c.leave()
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// candidacy is this process's membership of the group.
type candidacy struct {
	leader     *Leader
	member     string
	generation int64
	joined     bool
	lost       bool      // the store didn't answer the last call
	aside      time.Time // not before it, after making way for a nearer process
	running    sync.WaitGroup
}

func (c *candidacy) wanted() bool {
	l := c.leader
	if t := l.current(); t != nil {
		if t.madeWay.Load() {
			c.aside = time.Now().Add(stepAside)
		}
		return true
	}
	quiet := l.deps.Quiet()
	if l.deps.Members.Near() {
		return quiet > quietNear
	}
	return quiet > quietFar && time.Now().After(c.aside)
}

func (c *candidacy) join(ctx context.Context) {
	l := c.leader
	call, cancel := context.WithTimeout(ctx, joinTimeout)
	status, err := l.deps.Store.Join(call, group, c.member, c.generation, l.settings.TTL)
	cancel()
	c.joined = true // perhaps, if the answer was lost
	if err != nil {
		if !c.lost && ctx.Err() == nil {
			c.lost = true
			l.metrics.storeLost.Inc()
			l.deps.Logger.Warn("leader: store lost", logfield.Error(err), zap.Int64("generation", c.generation))
		}
		return
	}
	if c.lost {
		c.lost = false
		l.deps.Logger.Info("leader: store back", zap.Int64("generation", status.Generation))
	}
	c.generation = status.Generation
	if !status.Chosen {
		l.stopTerm("notChosen")
	} else if l.current() == nil {
		l.startTerm(ctx, &c.running, c.generation)
	}
}

func (c *candidacy) leave() {
	if !c.joined {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	if err := c.leader.deps.Store.Leave(ctx, group, c.member); err != nil {
		c.leader.deps.Logger.Warn("leader: group not left", logfield.Error(err))
	}
	c.joined = false
}

func (l *Leader) current() *term {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

func (l *Leader) startTerm(ctx context.Context, running *sync.WaitGroup, generation int64) {
	termCtx, cancel := context.WithCancel(ctx)
	t := &term{leader: l, cancel: cancel, logger: l.deps.Logger, metrics: l.metrics}
	l.mu.Lock()
	l.term = t
	l.mu.Unlock()
	running.Add(1)
	go func() {
		defer running.Done()
		reason := t.run(termCtx)
		cancel()
		l.deps.Logger.Info("leader: term ended", zap.Int64("epoch", t.epoch), zap.String("reason", reason), zap.Int64("generation", generation))
		l.mu.Lock()
		if l.term == t {
			l.term = nil
		}
		l.mu.Unlock()
	}()
}

func (l *Leader) stopTerm(reason string) {
	l.mu.Lock()
	t := l.term
	l.mu.Unlock()
	if t != nil {
		t.stop(reason)
	}
}

// SetQueues takes over the operator's newest queues.
func (l *Leader) SetQueues(queues []pv.Queue) {
	l.mu.Lock()
	l.queues = queues
	t := l.term
	l.mu.Unlock()
	if t != nil {
		t.post(func(time.Time) { t.planner.SetQueues(queues) })
	}
}

// Leading reports whether this process leads.
func (l *Leader) Leading() bool {
	t := l.current()
	return t != nil && t.leading.Load()
}

// Stop leaves the group and ends a term after its last batch.
func (l *Leader) Stop(ctx context.Context) error {
	l.cancel()
	select {
	case <-l.ended:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// Member is a process of the site as the directory lists it.
type Member struct {
	Node    string         `json:"node"`
	Role    string         `json:"role"`
	Address netip.AddrPort `json:"address"`
	Boot    string         `json:"boot"`
	Near    bool           `json:"near,omitempty"` // it is in the store's region
	// Candidate says that the process may lead.
	Candidate bool `json:"candidate,omitempty"`
}
