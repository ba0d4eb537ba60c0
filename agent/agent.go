package agent

// This file defines the agent as a whole: its services, their order, and the
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

// Error is the class of this package's errors.
var Error = errs.Class("agent")

// The names under which an agent's services are registered.
const (
	ServiceControl       = "control"
	ServiceConfiguration = "configuration"
	ServiceMembership    = "membership"
	ServiceServer        = "server"
	ServiceGuard         = "guard"
)

// Agent is one agent. Fields below control are touched only on its goroutine.
type Agent struct {
	settings Settings
	platform Platform
	log      *zap.Logger
	metrics  *metrics
	kernel   *kernel.Kernel
	guard    *guard.Guard
	control  *kernel.EventLoop
	ctx      context.Context
	cancel   context.CancelFunc

	config    *follower.Core
	members   *announcer.Table
	streams   []*stream
	fleet     []pv.WorkerInfo
	fleetAt   time.Time
	fetching  bool
	announced time.Time
	telling   bool
	untold    bool      // a term was taken over and not announced yet
	toldAt    time.Time // last try
	leaving   bool
}

// New starts an agent.
func New(settings Settings, d Dependencies) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		settings: settings,
		platform: d.Platform,
		log:      d.Logger.Named("agent"),
		metrics:  newMetrics(d.Registry),
		kernel:   kernel.New(),
		guard:    guard.New(settings.Slots, settings.Connections),
		ctx:      ctx,
		cancel:   cancel,
		config:   follower.New(),
		members:  announcer.NewTable(2*settings.Announce + settings.Announce/2),
	}
	a.addStreams(time.Now())
	a.control = kernel.NewEventLoop(settings.Tick, a.tick)
	a.kernel.Register(ServiceControl, a.control, a.control.Stop)
	a.kernel.Register(ServiceGuard, a.guard, nil)
	a.follow(ServiceConfiguration, settings.ConfigPoll, poller.Stream{
		Name: follower.Stream,
		Next: a.config.Next,
		Feed: func(_ time.Time, b pv.Batch) { a.config.Feed(b); a.configured() },
	})
	a.follow(ServiceMembership, settings.MemberPoll, poller.Stream{
		Name: announcer.Stream,
		Next: a.members.Next,
		Feed: func(now time.Time, b pv.Batch) { a.members.Feed(now, b); a.rank() },
	})
	server := messenger.NewServer(d.Listener, a.handle)
	a.kernel.Register(ServiceServer, server, server.Stop)
	a.log.Info("agent: started", zap.String("name", settings.Member.Name), zap.Stringer("address", settings.Member.Address))
	return a
}

// readLimit is how many records a poller reads at once.
const readLimit = 1000

func (a *Agent) follow(name string, every time.Duration, s poller.Stream) {
	s.Failed = func(_ time.Time, err error) {
		a.metrics.logErrors.Inc()
		a.log.Warn("agent: stream read failed", zap.String("stream", string(s.Name)), logfield.Error(err))
	}
	p := poller.New(poller.Settings{Every: every, Timeout: a.settings.CallTimeout, Limit: readLimit}, a.platform.Log, a.control, s)
	a.kernel.Register(name, p, p.Stop)
}

// tick runs on the control goroutine.
func (a *Agent) tick(now time.Time) {
	a.announce(now)
	a.fetchFleet(now)
	for _, s := range a.streams {
		a.drive(now, s)
	}
}

// announce appends this member's announcement, again when it is due or when
// another incarnation stands in its place.
func (a *Agent) announce(now time.Time) {
	displaced := !a.members.Has(a.settings.Member.Name, a.settings.Member.Incarnation)
	due := now.Sub(a.announced) >= a.settings.Announce
	again := displaced && now.Sub(a.announced) >= a.settings.MemberPoll*2
	if a.leaving || a.telling || now.Sub(a.toldAt) < tellRetry || (!due && !again && !a.untold) {
		return
	}
	a.toldAt = now
	records := []announcer.Record{{Announce: &a.settings.Member}}
	for _, s := range a.streams {
		if s.core.Holding(now) {
			hold := a.holdOf(s)
			records = append(records, announcer.Record{Hold: &hold})
		}
	}
	a.tell(now, records)
}

// tellRetry is the pause between tries to announce.
const tellRetry = 500 * time.Millisecond

// tell appends records to the membership stream without waiting. What fails is
// tried again by the next tick that finds it due.
func (a *Agent) tell(now time.Time, records []announcer.Record) {
	a.telling, a.untold = true, false
	go func() {
		err := a.appendMembership(a.ctx, records)
		a.control.Post(func() {
			a.telling = false
			if err != nil {
				a.untold = true
				a.log.Warn("agent: announcement failed", logfield.Error(err))
				return
			}
			a.announced = now
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

// fetchFleet reads the platform's list of workers when this agent holds a cell.
func (a *Agent) fetchFleet(now time.Time) {
	if a.fetching || now.Sub(a.fleetAt) < a.settings.FleetPoll || !a.holdsCell() {
		return
	}
	a.fetching = true
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, a.settings.CallTimeout)
		defer cancel()
		infos, err := a.platform.Fleet.Workers(ctx)
		a.control.Post(func() {
			a.fetching = false
			if err != nil {
				a.log.Warn("agent: list of workers failed", logfield.Error(err))
				a.fleetAt = now.Add(a.settings.MemberPoll - a.settings.FleetPoll)
				return
			}
			a.fleet = infos
			a.fleetAt = now
			a.setFleet()
		})
	}()
}

func (a *Agent) holdsCell() bool {
	for _, s := range a.streams {
		if s.scheduler != nil {
			return true
		}
	}
	return false
}

// Ready reports whether the agent has a configuration and is not leaving.
func (a *Agent) Ready() bool {
	ready := false
	a.control.Do(func() { ready = a.config.Configuration() != nil && !a.leaving })
	return ready
}

// Stop leaves gracefully: no new requests, terms handed over, requests in
// progress finished.
func (a *Agent) Stop(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, a.settings.StopTimeout)
	defer cancel()
	a.log.Info("agent: leaving")
	idle := a.guard.Leave()
	a.control.Do(func() {
		a.leaving = true
		for _, s := range a.streams {
			s.core.Leave()
		}
	})
	leave := announcer.Record{Leave: &announcer.Leave{Name: a.settings.Member.Name, Incarnation: a.settings.Member.Incarnation}}
	if err := a.appendMembership(bounded, []announcer.Record{leave}); err != nil {
		a.log.Warn("agent: leave record failed", logfield.Error(err))
	}
	a.waitHandedOver(bounded)
	select {
	case <-idle:
	case <-bounded.Done():
		a.log.Warn("agent: requests were still in progress at the end of the stop timeout")
	}
	// Whoever hasn't learned of the leave yet is still told "not run".
	select {
	case <-time.After(a.settings.Linger):
	case <-bounded.Done():
	}
	err := a.kernel.Stop(bounded)
	a.cancel()
	a.log.Info("agent: stopped")
	return Error.Wrap(err)
}

// handOverTimeout bounds how long a stop waits for the log.
const handOverTimeout = 5 * time.Second

func (a *Agent) waitHandedOver(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for bounded.Err() == nil {
		left := true
		a.control.Do(func() {
			for _, s := range a.streams {
				left = left && s.core.Left()
			}
		})
		if left {
			return
		}
		select {
		case <-time.After(a.settings.Tick):
		case <-bounded.Done():
		}
	}
	a.log.Warn("agent: terms were not handed over; successors wait for silence")
}

// Abort ends the agent at once, as a crash would.
func (a *Agent) Abort() {
	done, cancel := context.WithCancel(context.Background())
	cancel()
	a.cancel()
	_ = a.kernel.Stop(done)
}
