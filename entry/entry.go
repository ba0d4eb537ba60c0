package entry

// This file defines the Entry type: its services, the periodic work of its
// event loop, and the graceful stop.

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/accountant"
	"persimmonvalve/admitter"
	"persimmonvalve/announcer"
	"persimmonvalve/follower"
	"persimmonvalve/internal/logfield"
	"persimmonvalve/internal/wire"
	"persimmonvalve/kernel"
	"persimmonvalve/messenger"
	"persimmonvalve/poller"
	"persimmonvalve/retrier"
	"persimmonvalve/router"
)

// Error is the class of the errors of this package.
var Error = errs.Class("entry")

// The names under which an entry registers its services with its kernel.
const (
	ServiceControl       = "control"
	ServiceConfiguration = "configuration"
	ServiceMembership    = "membership"
	ServiceSessions      = "sessions"
)

// Entry is one entry process. The fields from config on are used only on the
// event loop.
type Entry struct {
	settings     Settings
	log          pv.Log
	fleetClient  pv.Fleet
	client       *messenger.Client
	logger       *zap.Logger
	metrics      *metrics
	kernel       *kernel.Kernel
	eventLoop    *kernel.EventLoop
	ctx          context.Context
	cancel       context.CancelFunc
	configPoller *poller.Poller // follows the configuration stream

	mu          sync.Mutex // guards stopping and draining; calls.Add is called only with mu held and stopping false
	stopping    bool
	draining    bool
	calls       sync.WaitGroup  // calls in progress
	transfers   map[string]bool // homes whose pending submissions are being transferred to their cells
	transfersMu sync.Mutex      // guards transfers

	config               *follower.Core
	members              *announcer.Table
	admitter             *admitter.Core
	router               *router.Core
	retrier              *retrier.Core
	accounting           *accountant.Aggregator
	random               *rand.Rand
	fleet                []pv.WorkerInfo
	fleetFetchedAt       time.Time
	fetchingFleet        bool
	streamStatuses       map[pv.StreamName]streamStatus
	statusCallAt         map[string]time.Time // start of the last status call, by member
	statusCallPending    map[string]bool      // by member
	statusReplyAt        map[string]time.Time // last status reply, by member
	announcedAt          time.Time
	announcing           bool
	accountRecordAt      time.Time
	accountAppendPending bool
	nextCheckpointAt     time.Time
	lastMaintenanceAt    time.Time
	streams              []pv.StreamName // all cells and homes
}

// streamStatus is the last status that a holder reported for a stream.
type streamStatus struct {
	held       *wire.Held
	reportedAt time.Time
}

// New returns a running entry.
func New(settings Settings, deps Dependencies) *Entry {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		settings:          settings,
		log:               deps.Log,
		fleetClient:       deps.Fleet,
		client:            deps.Client,
		logger:            deps.Logger.Named("entry"),
		metrics:           newMetrics(deps.Registry),
		kernel:            kernel.New(),
		ctx:               ctx,
		cancel:            cancel,
		transfers:         map[string]bool{},
		config:            follower.New(),
		members:           announcer.NewTable(2*settings.AnnounceInterval + settings.AnnounceInterval/2), // a member expires after 2.5 intervals
		admitter:          admitter.New(settings.Admitter),
		router:            router.New(settings.Router, settings.Member, deps.Random),
		retrier:           retrier.New(settings.Retrier, deps.Random),
		accounting:        accountant.New(settings.Member.Name, settings.Member.Incarnation),
		random:            deps.Random,
		streamStatuses:    map[pv.StreamName]streamStatus{},
		statusCallAt:      map[string]time.Time{},
		statusCallPending: map[string]bool{},
		statusReplyAt:     map[string]time.Time{},
		accountRecordAt:   time.Now(),
		streams:           append(settings.Layout.CellStreams(), settings.Layout.HomeStreams()...),
	}
	e.nextCheckpointAt = time.Now().Add(e.checkpointDelay())
	e.eventLoop = kernel.NewEventLoop(settings.TickInterval, e.tick)
	e.kernel.Register(ServiceSessions, e.client, func(context.Context) error { return e.client.Close() })
	e.kernel.Register(ServiceControl, e.eventLoop, e.eventLoop.Stop)
	e.configPoller = e.startPoller(ServiceConfiguration, settings.ConfigPollInterval, poller.Source{
		Name: follower.Stream, NextOffset: e.config.Next, OnBatch: e.feedConfiguration,
	})
	e.startPoller(ServiceMembership, settings.MemberPollInterval, poller.Source{
		Name: announcer.Stream, NextOffset: e.members.Next, OnBatch: e.feedMembers,
	})
	e.logger.Info("entry: started", zap.String("name", settings.Member.Name))
	return e
}

// maxReadRecords bounds the records of one read from the log.
const maxReadRecords = 1000

// startPoller starts a poller of a stream and registers it as a service.
func (e *Entry) startPoller(name string, interval time.Duration, s poller.Source) *poller.Poller {
	s.OnError = func(_ time.Time, err error) {
		e.metrics.logErrors.Inc()
		e.logger.Warn("entry: stream read failed; retrying at the next poll", zap.String("stream", string(s.Name)), logfield.Error(err))
	}
	p := poller.Start(poller.Settings{Interval: interval, ReadTimeout: e.settings.CallTimeout, MaxRecords: maxReadRecords}, e.log, e.eventLoop, s)
	e.kernel.Register(name, p, p.Stop)
	return p
}

func (e *Entry) feedConfiguration(now time.Time, b pv.Batch) {
	for _, r := range e.config.Feed(b) {
		if r.Verdict != follower.NotAChange {
			e.logger.Info("entry: read a configuration change", zap.Int64("version", int64(r.Offset)), zap.String("verdict", string(r.Verdict)))
		}
	}
	e.applyConfiguration(now)
}

// applyConfiguration passes the configuration in force, if any, to admission.
func (e *Entry) applyConfiguration(now time.Time) {
	if config := e.config.Configuration(); config != nil {
		e.admitter.Configure(now, config, len(e.members.Members(pv.RoleEntry)))
		e.metrics.configVersion.Set(float64(config.Version))
	}
}

func (e *Entry) feedMembers(now time.Time, b pv.Batch) {
	if e.members.Apply(now, b) {
		e.router.SetMembers(now, e.members.Members(pv.RoleAgent))
		e.applyConfiguration(now)
	}
}

// inProgressPerSlot is the number of requests in progress that are admitted per
// endpoint slot. It is above 1 because some admitted requests are in transit while
// others run, and because the entries don't share the slots evenly.
const inProgressPerSlot = 2

// maintenanceInterval is the minimum time between runs of the periodic work
// other than expiring queued requests.
const maintenanceInterval = 100 * time.Millisecond

// tick does the periodic work, on the event loop.
func (e *Entry) tick(now time.Time) {
	e.admitter.Expire(now)
	if now.Sub(e.lastMaintenanceAt) < maintenanceInterval {
		return
	}
	e.lastMaintenanceAt = now
	if slots := e.router.TotalSlots(now); slots > 0 {
		entries := max(1, len(e.members.Members(pv.RoleEntry)))
		e.admitter.SetConcurrencyLimit(now, slots*inProgressPerSlot/entries)
	}
	e.announce(now)
	e.sendStatusCalls(now)
	e.fetchFleet(now)
	e.appendAccount(now)
	e.appendCheckpoint(now)
}

func (e *Entry) announce(now time.Time) {
	if e.announcing || now.Sub(e.announcedAt) < e.settings.AnnounceInterval {
		return
	}
	e.announcing = true
	member := e.settings.Member
	go func() {
		err := e.appendMembership(e.ctx, announcer.Record{Announce: &member})
		e.eventLoop.Post(func() {
			e.announcing = false
			if err != nil {
				e.logger.Warn("entry: membership announcement failed; retrying", logfield.Error(err))
				return
			}
			e.announcedAt = now
		})
	}()
}

func (e *Entry) appendMembership(ctx context.Context, r announcer.Record) error {
	data, err := announcer.Encode(r)
	if err != nil {
		return err
	}
	return e.append(ctx, announcer.Stream, data)
}

func (e *Entry) append(ctx context.Context, stream pv.StreamName, data []byte) error {
	callCtx, cancel := context.WithTimeout(ctx, e.settings.CallTimeout)
	defer cancel()
	_, err := e.log.Append(callCtx, stream, [][]byte{data})
	if err != nil {
		e.metrics.logErrors.Inc()
	}
	return Error.Wrap(err)
}

func (e *Entry) fetchFleet(now time.Time) {
	if e.fetchingFleet || now.Sub(e.fleetFetchedAt) < e.settings.FleetPollInterval {
		return
	}
	e.fetchingFleet = true
	go func() {
		ctx, cancel := context.WithTimeout(e.ctx, e.settings.CallTimeout)
		defer cancel()
		workers, err := e.fleetClient.Workers(ctx)
		e.eventLoop.Post(func() {
			e.fetchingFleet = false
			e.fleetFetchedAt = now
			if err != nil {
				e.logger.Warn("entry: fetching the list of workers failed; keeping the previous list", logfield.Error(err))
				return
			}
			e.fleet = workers
		})
	}()
}

// appendAccount appends the sums of ended requests to the accounts stream when
// a record is due.
func (e *Entry) appendAccount(now time.Time) {
	if e.accountAppendPending || now.Sub(e.accountRecordAt) < e.settings.AccountInterval {
		return
	}
	e.accountRecordAt = now
	record, ok := e.accounting.Next(now, false)
	if !ok {
		return
	}
	e.accountAppendPending = true
	go func() {
		err := e.appendAccountRecord(e.ctx, record)
		e.eventLoop.Post(func() {
			e.accountAppendPending = false
			if err == nil {
				e.accounting.ConfirmAppend()
			}
		})
	}()
}

func (e *Entry) appendAccountRecord(ctx context.Context, r accountant.Record) error {
	data, err := accountant.Encode(r)
	if err != nil {
		return err
	}
	return e.append(ctx, accountant.Stream, data)
}

// appendCheckpoint appends the newest configuration again before the log's
// retention drops it. The delay between checkpoints is random, so that the
// entries don't append them at the same time.
func (e *Entry) appendCheckpoint(now time.Time) {
	if now.Before(e.nextCheckpointAt) {
		return
	}
	e.nextCheckpointAt = now.Add(e.checkpointDelay())
	checkpoint, ok := e.config.TakeCheckpoint()
	if !ok {
		return
	}
	data, err := follower.Encode(follower.Record{Time: now, Checkpoint: &checkpoint})
	if err != nil {
		e.logger.Error("entry: encoding the configuration checkpoint failed; skipping it", logfield.Error(err))
		return
	}
	// A failed append isn't retried: the next checkpoint, or that of another entry,
	// replaces it.
	go func() { _ = e.append(e.ctx, follower.Stream, data) }()
}

// checkpointDelay returns a delay drawn uniformly from
// [CheckpointInterval/2, CheckpointInterval].
func (e *Entry) checkpointDelay() time.Duration {
	half := int64(e.settings.CheckpointInterval / 2)
	return time.Duration(half + e.random.Int64N(half+1))
}

// Ready reports whether the entry has a configuration and is neither draining
// nor stopping.
func (e *Entry) Ready() bool {
	ready := false
	e.eventLoop.Do(func() { ready = e.config.Configuration() != nil })
	e.mu.Lock()
	defer e.mu.Unlock()
	return ready && !e.stopping && !e.draining
}

// Drain makes the entry not ready, so that the load balancer sends new calls to
// other entries. Calls that still arrive are served.
func (e *Entry) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// beginCall registers a call in progress. It returns false if the entry is
// stopping; otherwise the caller must call e.calls.Done.
func (e *Entry) beginCall() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping {
		return false
	}
	e.calls.Add(1)
	return true
}

// Stop refuses new calls, waits for those in progress until ctx is done,
// appends the final account record and the deregistration record, and stops the
// services.
func (e *Entry) Stop(ctx context.Context) error {
	e.mu.Lock()
	e.stopping = true
	e.mu.Unlock()
	done := make(chan struct{})
	go func() {
		e.calls.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		e.logger.Warn("entry: stop timeout expired with calls in progress; stopping")
	}
	e.closeAccount(ctx)
	deregistration := announcer.Record{Deregistration: &announcer.Deregistration{Name: e.settings.Member.Name, Incarnation: e.settings.Member.Incarnation}}
	if err := e.appendMembership(ctx, deregistration); err != nil {
		e.logger.Warn("entry: appending the deregistration record failed; the member stays listed until its announcement expires", logfield.Error(err))
	}
	err := e.kernel.Stop(ctx)
	e.cancel()
	e.logger.Info("entry: stopped")
	return Error.Wrap(err)
}

// closeAccount appends the remaining sums and the final record to the accounts
// stream. Its three attempts are for a record that is still unconfirmed, the final
// one, and one retry.
func (e *Entry) closeAccount(ctx context.Context) {
	for range 3 {
		var record accountant.Record
		var ok bool
		e.eventLoop.Do(func() {
			e.accountAppendPending = true // keeps appendAccount from appending any more
			record, ok = e.accounting.Next(time.Now(), true)
		})
		if !ok {
			return
		}
		if err := e.appendAccountRecord(ctx, record); err != nil {
			e.logger.Warn("entry: appending an account record failed at stop", logfield.Error(err))
			continue
		}
		e.eventLoop.Do(e.accounting.ConfirmAppend)
		if record.Final {
			return
		}
	}
}
