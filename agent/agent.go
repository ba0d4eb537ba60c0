package agent

// This file defines the Agent type: its services, their start order, and the
// graceful stop.

import (
	"context"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/announcer"
	"persimmonvalve/follower"
	"persimmonvalve/guard"
	"persimmonvalve/internal/logfield"
	"persimmonvalve/kernel"
	"persimmonvalve/messenger"
	"persimmonvalve/poller"
)

// Error is the error class of this package.
var Error = errs.Class("agent")

// Names under which an agent registers its services with the kernel.
const (
	ServiceControl       = "control"
	ServiceConfiguration = "configuration"
	ServiceMembership    = "membership"
	ServiceServer        = "server"
	ServiceGuard         = "guard"
)

// Agent is one agent process. The fields below cancel are accessed only on the
// goroutine of the event loop.
type Agent struct {
	settings  Settings
	platform  Platform
	logger    *zap.Logger
	metrics   *metrics
	kernel    *kernel.Kernel
	guard     *guard.Guard
	eventLoop *kernel.EventLoop
	ctx       context.Context
	cancel    context.CancelFunc

	config          *follower.Core
	members         *announcer.Table
	streams         []*stream
	fleet           []pv.WorkerInfo
	fleetFetchedAt  time.Time // last fetch of fleet; set back to make the next one due earlier
	fetchingFleet   bool
	announcedAt     time.Time
	announcing      bool
	announcePending bool      // a term has started that isn't announced yet, or the last append failed
	announceTriedAt time.Time // last attempt
	stopping        bool
}

// New starts an agent with its pollers and its server.
func New(settings Settings, d Dependencies) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		settings: settings,
		platform: d.Platform,
		logger:   d.Logger.Named("agent"),
		metrics:  newMetrics(d.Registry),
		kernel:   kernel.New(),
		guard:    guard.New(settings.Slots, settings.MaxRequests),
		ctx:      ctx,
		cancel:   cancel,
		config:   follower.New(),
		members:  announcer.NewTable(2*settings.AnnounceInterval + settings.AnnounceInterval/2),
	}
	a.addStreams(time.Now())
	a.eventLoop = kernel.NewEventLoop(settings.TickInterval, a.tick)
	a.kernel.Register(ServiceControl, a.eventLoop, a.eventLoop.Stop)
	a.kernel.Register(ServiceGuard, a.guard, nil)
	a.followStream(ServiceConfiguration, settings.ConfigPollInterval, poller.Source{
		Name:       follower.Stream,
		NextOffset: a.config.Next,
		OnBatch:    func(_ time.Time, b pv.Batch) { a.config.Feed(b); a.applyConfiguration() },
	})
	a.followStream(ServiceMembership, settings.MemberPollInterval, poller.Source{
		Name:       announcer.Stream,
		NextOffset: a.members.Next,
		OnBatch:    func(now time.Time, b pv.Batch) { a.members.Apply(now, b); a.updateCandidates() },
	})
	server := messenger.NewServer(d.Listener, d.Logger, a.handle)
	a.kernel.Register(ServiceServer, server, server.Stop)
	a.logger.Info("agent: started", zap.String("name", settings.Member.Name), zap.Stringer("address", settings.Member.Address))
	return a
}

// maxReadRecords bounds the records that a poller reads in one call.
const maxReadRecords = 1000

func (a *Agent) followStream(name string, interval time.Duration, s poller.Source) {
	s.OnError = func(_ time.Time, err error) {
		a.metrics.logErrors.Inc()
		a.logger.Warn("agent: stream read failed; retrying at the next poll", zap.String("stream", string(s.Name)), logfield.Error(err))
	}
	p := poller.Start(poller.Settings{Interval: interval, ReadTimeout: a.settings.CallTimeout, MaxRecords: maxReadRecords}, a.platform.Log, a.eventLoop, s)
	a.kernel.Register(name, p, p.Stop)
}

// tick runs on the event loop once per Settings.TickInterval.
func (a *Agent) tick(now time.Time) {
	a.announceIfDue(now)
	a.fetchFleet(now)
	for _, s := range a.streams {
		a.advanceStream(now, s)
	}
}

// announceIfDue appends this member's announcement and its hold records if the
// announcement interval has passed, a term has started since the last
// announcement, the last append failed, or, two poll intervals of the membership
// stream after the last announcement, the membership table lacks this incarnation.
func (a *Agent) announceIfDue(now time.Time) {
	unlisted := !a.members.Contains(a.settings.Member.Name, a.settings.Member.Incarnation)
	due := now.Sub(a.announcedAt) >= a.settings.AnnounceInterval
	repeatDue := unlisted && now.Sub(a.announcedAt) >= a.settings.MemberPollInterval*2
	if a.stopping || a.announcing || now.Sub(a.announceTriedAt) < announceRetryInterval || (!due && !repeatDue && !a.announcePending) {
		return
	}
	a.announceTriedAt = now
	records := []announcer.Record{{Announce: &a.settings.Member}}
	for _, s := range a.streams {
		if s.holder.Holding(now) {
			hold := a.holdRecord(s)
			records = append(records, announcer.Record{StreamHolder: &hold})
		}
	}
	a.appendAnnouncement(now, records)
}

// announceRetryInterval is the minimum time between two attempts to announce.
const announceRetryInterval = 500 * time.Millisecond

// appendAnnouncement appends records to the membership stream in the background.
// A failed append is retried by a later tick.
func (a *Agent) appendAnnouncement(now time.Time, records []announcer.Record) {
	a.announcing, a.announcePending = true, false
	go func() {
		err := a.appendMembership(a.ctx, records)
		a.eventLoop.Post(func() {
			a.announcing = false
			if err != nil {
				a.announcePending = true
				a.logger.Warn("agent: appending the announcement to the membership stream failed; retrying", logfield.Error(err))
				return
			}
			a.announcedAt = now
		})
	}()
}

func (a *Agent) appendMembership(ctx context.Context, records []announcer.Record) error {
	var encoded [][]byte
	for _, r := range records {
		data, err := announcer.Encode(r)
		if err != nil {
			return err
		}
		encoded = append(encoded, data)
	}
	bounded, cancel := context.WithTimeout(ctx, a.settings.CallTimeout)
	defer cancel()
	_, err := a.platform.Log.Append(bounded, announcer.Stream, encoded)
	return Error.Wrap(err)
}

// fetchFleet requests the platform's list of workers in the background if this
// agent has scheduled a cell and the list is due.
func (a *Agent) fetchFleet(now time.Time) {
	if a.fetchingFleet || now.Sub(a.fleetFetchedAt) < a.settings.FleetPollInterval || !a.hasScheduler() {
		return
	}
	a.fetchingFleet = true
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, a.settings.CallTimeout)
		defer cancel()
		infos, err := a.platform.Fleet.Workers(ctx)
		a.eventLoop.Post(func() {
			a.fetchingFleet = false
			if err != nil {
				a.logger.Warn("agent: reading the platform's list of workers failed; using the last list and retrying", logfield.Error(err))
				a.fleetFetchedAt = now.Add(a.settings.MemberPollInterval - a.settings.FleetPollInterval) // retries after MemberPollInterval
				return
			}
			a.fleet = infos
			a.fleetFetchedAt = now
			a.setWorkers()
		})
	}()
}

func (a *Agent) hasScheduler() bool {
	for _, s := range a.streams {
		if s.scheduler != nil {
			return true
		}
	}
	return false
}

// Ready reports whether the agent has a configuration and isn't stopping.
func (a *Agent) Ready() bool {
	ready := false
	a.eventLoop.Do(func() { ready = a.config.Configuration() != nil && !a.stopping })
	return ready
}

// Stop stops the agent gracefully: it refuses new requests, deregisters, hands its
// terms over, and waits for requests in progress, all within Settings.StopTimeout.
func (a *Agent) Stop(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, a.settings.StopTimeout)
	defer cancel()
	a.logger.Info("agent: stopping: refusing new requests and handing terms over")
	requestsDone := a.guard.Drain()
	a.eventLoop.Do(func() {
		a.stopping = true
		for _, s := range a.streams {
			s.holder.StartHandover()
		}
	})
	deregistration := announcer.Record{Deregistration: &announcer.Deregistration{Name: a.settings.Member.Name, Incarnation: a.settings.Member.Incarnation}}
	if err := a.appendMembership(bounded, []announcer.Record{deregistration}); err != nil {
		a.logger.Warn("agent: appending the deregistration record failed; the member stays listed until its announcement expires", logfield.Error(err))
	}
	a.waitForHandover(bounded)
	select {
	case <-requestsDone:
	case <-bounded.Done():
		a.logger.Warn("agent: stop timeout reached with requests still in progress; stopping anyway")
	}
	// Entries that haven't read the deregistration record yet still send requests;
	// until the server stops, the guard refuses these, and their answers are marked
	// as not run.
	select {
	case <-time.After(a.settings.Linger):
	case <-bounded.Done():
	}
	err := a.kernel.Stop(bounded)
	a.cancel()
	a.logger.Info("agent: stopped")
	return Error.Wrap(err)
}

// handoverTimeout bounds how long a stop waits until the log contains the
// handover of each held term.
const handoverTimeout = 5 * time.Second

func (a *Agent) waitForHandover(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for bounded.Err() == nil {
		handedOver := true
		a.eventLoop.Do(func() {
			for _, s := range a.streams {
				handedOver = handedOver && s.holder.HandoverDone()
			}
		})
		if handedOver {
			return
		}
		select {
		case <-time.After(a.settings.TickInterval):
		case <-bounded.Done():
		}
	}
	a.logger.Warn("agent: terms not handed over in time; successors take over after the suspicion timeout")
}

// Abort stops the agent immediately, without a handover, to simulate a crash.
func (a *Agent) Abort() {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	a.cancel()
	_ = a.kernel.Stop(cancelled)
}
