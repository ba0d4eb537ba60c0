package leader

// This file defines the candidacy of a process. A leader appends to the jobs topic
// at short intervals. A candidate that suspects the leader of having failed waits
// for records of that topic, and claims the next term if none arrives in time. Only
// the conditional appends in claim.go decide who leads, so a wrong suspicion costs
// time but never safety. A leader that appends keeps its term, even if the
// candidate receives no frames from it.

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

// Topics of the store, and the writer name under which leaders append.
const (
	leaderTopic pv.Topic = "keyed.leader"
	jobsTopic   pv.Topic = "keyed.jobs"
	writerName           = "leader"
)

// Intervals and timeouts of a candidacy.
const (
	candidacyCheckInterval = 50 * time.Millisecond // between checks of the leader's status
	storeReadTimeout       = time.Second           // of a candidate's reads, and added to the wait of its long poll
	candidacyCooldown      = 3 * time.Second       // before a leader that stepped down for a better candidate campaigns again
)

// suspicionTimeouts are the times after which a candidate suspects the leader, one
// for each kind of evidence. They are longer on processes outside the store's
// region or on much weaker machines, so that preferred candidates claim first.
type suspicionTimeouts struct {
	disconnected time.Duration // without a link: the leader's process has ended, or this process is partitioned from it
	silent       time.Duration // with a link, without a frame: long enough that more than one ping is overdue
	storeStalled time.Duration // since the leader reported that the store doesn't answer it
	noAppend     time.Duration // without an append to the jobs topic: idleCommitInterval plus the response time of a slow store
}

var (
	preferredTimeouts = suspicionTimeouts{disconnected: 100 * time.Millisecond, silent: 600 * time.Millisecond, storeStalled: 0, noAppend: 500 * time.Millisecond}
	otherTimeouts     = suspicionTimeouts{disconnected: 800 * time.Millisecond, silent: 1400 * time.Millisecond, storeStalled: time.Second, noAppend: 900 * time.Millisecond}
)

// maxSameRegionRoundTrip is the round-trip time to the store below which a process
// counts as in the store's region. The store responds within about 4 ms; a different
// region adds 40 ms.
const maxSameRegionRoundTrip = 20 * time.Millisecond

// Settings identify the process and configure its planner.
type Settings struct {
	Node          string // name of this process, unique in the site
	IncarnationID string // unique to each incarnation of the process
	Planner       planner.Settings
	// EvacuationBound is the longest time from the operator's request to evacuate a zone until
	// no run starts there any more; 0 if the site promises none. It is at least
	// MinEvacuationBound otherwise.
	EvacuationBound time.Duration
	// MaxJobBytes is the memory that the jobs may take; further submissions are refused. 0 is no
	// limit.
	MaxJobBytes int64
}

// Dependencies are the services that a Leader uses.
type Dependencies struct {
	Store        pv.Store
	Directory    *Directory
	LeaderStatus func() messenger.LeaderStatus // of the last leader, judged by its link to this process
	Dial         messenger.DialFunc            // opens connections for links
	Clock        func() time.Duration          // monotonic, and advances while the machine is suspended
	Logger       *zap.Logger
	Registry     prometheus.Registerer
}

// Leader is a candidate for leadership, and leads while it is elected. It is safe
// for concurrent use.
type Leader struct {
	settings Settings
	deps     Dependencies
	metrics  *metrics

	mu          sync.Mutex
	term        *term
	queues      []pv.Queue
	evacuations evacuationsRead
	cancel      context.CancelFunc
	stopped     chan struct{}

	campaigningStopped atomic.Bool // no further terms are claimed
}

// New starts a candidate; Stop ends it.
func New(s Settings, d Dependencies) *Leader {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Leader{settings: s, deps: d, metrics: newMetrics(d.Registry), cancel: cancel, stopped: make(chan struct{})}
	go func() {
		defer close(l.stopped)
		l.campaign(ctx)
	}()
	return l
}

// campaign leads a term whenever the current leader is found to have failed, until
// the context ends.
func (l *Leader) campaign(ctx context.Context) {
	c := candidacy{leader: l}
	for ctx.Err() == nil {
		if c.suspectsLeader() && c.appendsStopped(ctx) {
			c.lead(ctx)
			continue
		}
		select {
		case <-time.After(candidacyCheckInterval):
		case <-ctx.Done():
		}
	}
}

// candidacy is this process's view of the term that it may claim next.
type candidacy struct {
	leader           *Leader
	last             lastClaim
	storeReadFailing bool      // the last read from the store failed
	cooldownUntil    time.Time // no campaign before then; set after stepping down for a better candidate
}

func (c *candidacy) timeouts() suspicionTimeouts {
	if c.leader.deps.Directory.Preferred() {
		return preferredTimeouts
	}
	return otherTimeouts
}

// suspectsLeader reports whether a suspicion timeout has passed and this process
// may campaign.
func (c *candidacy) suspectsLeader() bool {
	if c.leader.campaigningStopped.Load() || time.Now().Before(c.cooldownUntil) {
		return false
	}
	p, s := c.timeouts(), c.leader.deps.LeaderStatus()
	switch {
	case !s.Linked:
		// A leader that stepped down appends no more, so a preferred candidate needn't wait.
		// The others wait, so that a preferred one claims first.
		return s.UnavailableFor >= p.disconnected || s.SteppedDown && c.leader.deps.Directory.Preferred()
	case s.StoreStalled:
		return s.UnavailableFor >= p.storeStalled
	}
	return s.UnavailableFor >= p.silent
}

// appendsStopped reports whether the leader has stopped appending to the jobs topic.
// It reads the last claim before it waits for appends, so that a claim by another
// candidate in the meantime makes this candidate's conditional append fail.
func (c *candidacy) appendsStopped(ctx context.Context) bool {
	stopped, err := c.watchAppends(ctx)
	switch {
	case err != nil && !c.storeReadFailing && ctx.Err() == nil:
		c.storeReadFailing = true
		c.leader.metrics.storeReadFailures.Inc()
		c.leader.deps.Logger.Warn("leader: store read failed; this process claims no term until one succeeds", logfield.Error(err))
	case err == nil && c.storeReadFailing:
		c.storeReadFailing = false
		c.leader.deps.Logger.Info("leader: store reads succeed again")
	}
	return stopped
}

// watchAppends reads the last claim, waits for a record in the jobs topic, and reports
// whether none arrived in time and the leader is still suspected. After a leader that
// stepped down it doesn't wait.
func (c *candidacy) watchAppends(ctx context.Context) (bool, error) {
	store := c.leader.deps.Store
	callCtx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	last, err := readClaim(callCtx, store)
	if err != nil {
		return false, err
	}
	page, err := store.Newest(callCtx, jobsTopic, afterAllKeys)
	if err != nil {
		return false, err
	}
	if last.invalid {
		c.leader.metrics.undecodable.WithLabelValues(string(leaderTopic)).Inc()
		c.leader.deps.Logger.Warn("leader: the newest claim can't be decoded; the next epoch doesn't depend on it", zap.Int64("topicEnd", int64(last.topicEnd)))
	}
	last.jobsEnd, last.jobsReadAt = page.End, time.Now()
	c.last = last
	wait := c.timeouts().noAppend
	if s := c.leader.deps.LeaderStatus(); s.SteppedDown && last.highestEpoch() <= s.Epoch {
		wait = 0 // the leader that stepped down appends no more, and no later term has been claimed
	}
	watchCtx, cancelWatch := context.WithTimeout(ctx, wait+storeReadTimeout)
	defer cancelWatch()
	tail, err := store.Tail(watchCtx, jobsTopic, page.End, wait)
	return err == nil && len(tail.Records) == 0 && !tail.Truncated && c.suspectsLeader(), err
}

// lead claims the next term and leads until the term ends.
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
	if t.steppedDown.Load() {
		c.cooldownUntil = time.Now().Add(candidacyCooldown)
	}
}

func (l *Leader) current() *term {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

// SetQueues sets the queues of the current term and of later ones. A queue that is left
// out stays in force until the current term ends.
func (l *Leader) SetQueues(queues []pv.Queue) {
	l.mu.Lock()
	l.queues = queues
	t := l.term
	l.mu.Unlock()
	if t != nil {
		t.post(func(time.Time) { t.planner.SetQueues(queues) })
	}
}

// Leading reports whether this process is the leader.
func (l *Leader) Leading() bool {
	t := l.current()
	return t != nil && t.leading.Load()
}

// StopCampaigning keeps a process that is about to stop from claiming further terms.
// A leader goes on leading until Stop, so that another candidate can get ready.
func (l *Leader) StopCampaigning() { l.campaigningStopped.Store(true) }

// Stop ends the current term, if any, and the candidacy. It waits until both have
// ended, at most until the context ends.
func (l *Leader) Stop(ctx context.Context) error {
	l.cancel()
	select {
	case <-l.stopped:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// Member is the record of one process of the site in the directory.
type Member struct {
	Node          string         `json:"node"`
	Role          string         `json:"role"`
	Address       netip.AddrPort `json:"address"`
	IncarnationID string         `json:"boot"`
	NearStore     bool           `json:"near,omitempty"` // the process is in the store's region
	// Cores is the CPU that the process may use, in cores; 0 means unknown.
	Cores float64 `json:"cores,omitempty"`
	// Candidate reports whether the process may lead.
	Candidate bool `json:"candidate,omitempty"`
	// Deregistered holds the newest deregistrations of this process's workers. A leader
	// that had no link to the process at that time reads them here.
	Deregistered []pv.Deregistration `json:"departed,omitempty"`
}

// equalExceptDeregistered reports whether a link to m also serves as a link to o,
// that is, whether they differ in no field but Deregistered.
func (m Member) equalExceptDeregistered(o Member) bool {
	return m.Node == o.Node && m.Role == o.Role && m.Address == o.Address && m.IncarnationID == o.IncarnationID && m.NearStore == o.NearStore && m.Cores == o.Cores && m.Candidate == o.Candidate
}
