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
)

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

// stand keeps up the membership and begins and ends terms with it.
func (l *Leader) stand(ctx context.Context) {
	member := l.settings.Node + "/" + l.settings.Boot
	generation := int64(0)
	lost := false
	var running sync.WaitGroup
	defer running.Wait()
	defer l.stopTerm("stopping")
	defer func() {
		leave, cancel := context.WithTimeout(context.Background(), joinTimeout)
		defer cancel()
		if err := l.deps.Store.Leave(leave, group, member); err != nil {
			l.deps.Logger.Warn("leader: group not left", logfield.Error(err))
		}
	}()
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, joinTimeout)
		status, err := l.deps.Store.Join(call, group, member, generation, l.settings.TTL)
		cancel()
		switch {
		case err != nil && !lost && ctx.Err() == nil:
			lost = true
			l.metrics.storeLost.Inc()
			l.deps.Logger.Warn("leader: store lost", logfield.Error(err), zap.Int64("generation", generation))
		case err == nil && lost:
			lost = false
			l.deps.Logger.Info("leader: store back", zap.Int64("generation", status.Generation))
		}
		if err == nil {
			generation = status.Generation
			if !status.Chosen {
				l.stopTerm("notChosen")
			} else if l.current() == nil {
				l.startTerm(ctx, &running, generation)
			}
		}
		select {
		case <-time.After(joinEvery):
		case <-ctx.Done():
		}
	}
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
}
