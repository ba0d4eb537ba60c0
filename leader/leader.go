package leader

// This file defines who leads. A leader appends to the jobs topic all the time;
// a candidate that hears no leader watches the topic and claims the term when
// nothing comes. The right to lead comes from conditional appends alone
// (claim.go), so a wrong guess costs time and never safety. A leader that the
// candidate can't hear, but that still appends, is left in its place.

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/internal/logfield"
	"persimmonvalve/messenger"
	"persimmonvalve/planner"
)

// Error is the class of this package's errors.
var Error = errs.Class("leader")

// The store's topics.
const (
	leaderTopic pv.Topic = "keyed.leader"
	jobsTopic   pv.Topic = "keyed.jobs"
	writerName           = "leader"
)

// Intervals of a candidacy.
const (
	lookEvery  = 50 * time.Millisecond // at whether a leader is heard
	watchSlack = time.Second           // for the answer of a read to come back
	stepAside  = 3 * time.Second       // a far leader that made way doesn't stand again for so long
)

// patience is how long a candidate waits at each stage. Processes far from the
// store, or on much weaker machines, leave the term to the others.
type patience struct {
	linkless time.Duration // without a link: the leader's process is gone, or this one is cut off
	silent   time.Duration // with a link: more than a ping is late
	stuck    time.Duration // the store doesn't answer the leader
	still    time.Duration // without an append; a leader's idle time and a slow store's answer
}

var (
	fitPatience   = patience{linkless: 100 * time.Millisecond, silent: 600 * time.Millisecond, stuck: 0, still: 500 * time.Millisecond}
	otherPatience = patience{linkless: 800 * time.Millisecond, silent: 1400 * time.Millisecond, stuck: time.Second, still: 900 * time.Millisecond}
)

// nearStore is the round trip to the store below which a process is in its
// region: the store takes some 4 ms for an answer, another region adds 40 ms.
const nearStore = 20 * time.Millisecond

// Settings say which process this is.
type Settings struct {
	Node    string
	Boot    string // tells lives of the process apart
	Planner planner.Settings
}

// Dependencies are what a leader needs.
type Dependencies struct {
	Store        pv.Store
	Members      *Directory
	LeaderStatus func() messenger.LeaderStatus // what this process knows of the leader
	Dial         messenger.DialFunc            // of links
	Clock        func() time.Duration          // goes on while the machine is suspended; see BootTime
	Logger       *zap.Logger
	Registry     prometheus.Registerer
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

	retired atomic.Bool // it begins no more terms
}

// New starts a candidate.
func New(s Settings, d Dependencies) *Leader {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Leader{settings: s, deps: d, metrics: newMetrics(d.Registry), cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(l.ended)
		l.stand(ctx)
	}()
	return l
}

// stand watches for a term without a leader and leads it.
func (l *Leader) stand(ctx context.Context) {
	c := candidacy{leader: l}
	for ctx.Err() == nil {
		if c.wanted() && c.still(ctx) {
			c.lead(ctx)
			continue
		}
		select {
		case <-time.After(lookEvery):
		case <-ctx.Done():
		}
	}
}

// candidacy is what this process knows of a term that it may claim.
type candidacy struct {
	leader *Leader
	last   lastClaim
	lost   bool      // the store didn't answer the last call
	aside  time.Time // not before it, after making way for a nearer process
}

func (c *candidacy) patience() patience {
	if c.leader.deps.Members.Preferred() {
		return fitPatience
	}
	return otherPatience
}

// wanted reports whether it is time to watch the term.
func (c *candidacy) wanted() bool {
	if c.leader.retired.Load() || time.Now().Before(c.aside) {
		return false
	}
	p, s := c.patience(), c.leader.deps.LeaderStatus()
	switch {
	case !s.Linked:
		return s.SilentFor >= p.linkless || s.SteppedDown && c.leader.deps.Members.Preferred()
	case s.StoreStalled:
		return s.SilentFor >= p.stuck
	}
	return s.SilentFor >= p.silent
}

// still reports whether the leader has stopped to append. What it finds of the
// last claim was read before it began to watch, so that a claim by another
// candidate meanwhile makes this one fail.
func (c *candidacy) still(ctx context.Context) bool {
	still, err := c.watch(ctx)
	switch {
	case err != nil && !c.lost && ctx.Err() == nil:
		c.lost = true
		c.leader.metrics.storeLost.Inc()
		c.leader.deps.Logger.Warn("leader: store lost", logfield.Error(err))
	case err == nil && c.lost:
		c.lost = false
		c.leader.deps.Logger.Info("leader: store back")
	}
	return still
}

func (c *candidacy) watch(ctx context.Context) (bool, error) {
	store := c.leader.deps.Store
	call, cancel := context.WithTimeout(ctx, watchSlack)
	defer cancel()
	last, err := readClaim(call, store)
	if err != nil {
		return false, err
	}
	page, err := store.Newest(call, jobsTopic, afterAllKeys)
	if err != nil {
		return false, err
	}
	c.last = last
	wait := c.patience().still
	if s := c.leader.deps.LeaderStatus(); s.SteppedDown && last.record.Epoch <= s.Epoch {
		wait = 0 // the leader that said goodbye has stopped to append, and nobody came after it
	}
	watch, cancelWatch := context.WithTimeout(ctx, wait+watchSlack)
	defer cancelWatch()
	tail, err := store.Tail(watch, jobsTopic, page.End, wait)
	return err == nil && len(tail.Records) == 0 && !tail.Truncated && c.wanted(), err
}

// lead claims the term and leads until it is over.
func (c *candidacy) lead(ctx context.Context) {
	l := c.leader
	termCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &term{leader: l, cancel: cancel, logger: l.deps.Logger, metrics: l.metrics}
	l.mu.Lock()
	l.term = t
	l.mu.Unlock()
	reason := t.run(termCtx, c.last)
	l.mu.Lock()
	l.term = nil
	l.mu.Unlock()
	l.deps.Logger.Info("leader: term ended", zap.Int64("epoch", t.epoch), zap.String("reason", reason))
	if t.madeWay.Load() {
		c.aside = time.Now().Add(stepAside)
	}
}

func (l *Leader) current() *term {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
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

// StopCampaigning lets a process that is about to stop begin no more terms. It goes on
// leading until Stop, by when another can be ready.
func (l *Leader) StopCampaigning() { l.retired.Store(true) }

// Stop ends a term and stands no more.
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
	Node      string         `json:"node"`
	Role      string         `json:"role"`
	Address   netip.AddrPort `json:"address"`
	Boot      string         `json:"boot"`
	NearStore bool           `json:"near,omitempty"` // it is in the store's region
	// Cores is what the process may use of its machine's processor; 0 is unknown.
	Cores float64 `json:"cores,omitempty"`
	// Candidate says that the process may lead.
	Candidate bool `json:"candidate,omitempty"`
	// Deregistered holds the newest deregistrations of workers beside this
	// process, for leaders that it may never be linked to.
	Deregistered []pv.Deregistration `json:"departed,omitempty"`
}

// same reports whether a link to the one is a link to the other.
func (m Member) same(o Member) bool {
	return m.Node == o.Node && m.Role == o.Role && m.Address == o.Address && m.Boot == o.Boot && m.NearStore == o.NearStore && m.Cores == o.Cores && m.Candidate == o.Candidate
}
