package entry

// This file defines the entry as a whole: its services, its control tick and
// the graceful stop.

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

// Error is the class of this package's errors.
var Error = errs.Class("entry")

// The names under which an entry's services are registered.
const (
	ServiceControl       = "control"
	ServiceConfiguration = "configuration"
	ServiceMembership    = "membership"
	ServiceSessions      = "sessions"
)

// Entry is one entry. Fields below control are touched only on its goroutine.
type Entry struct {
	settings Settings
	log      pv.Log
	platform pv.Fleet
	client   *messenger.Client
	logger   *zap.Logger
	metrics  *metrics
	kernel   *kernel.Kernel
	control  *kernel.EventLoop
	ctx      context.Context
	cancel   context.CancelFunc
	poll     *poller.Poller // of the configuration

	mu        sync.Mutex // guards what follows up to control
	stopping  bool
	draining  bool
	callers   sync.WaitGroup
	driving   map[string]bool // submissions being driven now
	drivingMu sync.Mutex

	config       *follower.Core
	members      *announcer.Table
	admission    *admitter.Core
	routing      *router.Core
	retries      *retrier.Core
	book         *accountant.Book
	random       *rand.Rand
	fleet        []pv.WorkerInfo
	fleetAt      time.Time
	fetching     bool
	cells        map[pv.StreamName]cellStatus
	asked        map[string]time.Time // status calls by member
	asking       map[string]bool
	alive        map[string]time.Time // last status reply by member
	announced    time.Time
	telling      bool
	bookedAt     time.Time
	booking      bool
	checkpointAt time.Time
	tendedAt     time.Time
	streams      []pv.StreamName // all cells and homes
}

// cellStatus is what a holder last said of a stream.
type cellStatus struct {
	held  *wire.Held
	heard time.Time
}

// New starts an entry.
func New(settings Settings, d Dependencies) *Entry {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		settings:  settings,
		log:       d.Log,
		platform:  d.Fleet,
		client:    d.Client,
		logger:    d.Logger.Named("entry"),
		metrics:   newMetrics(d.Registry),
		kernel:    kernel.New(),
		ctx:       ctx,
		cancel:    cancel,
		driving:   map[string]bool{},
		config:    follower.New(),
		members:   announcer.NewTable(2*settings.Announce + settings.Announce/2),
		admission: admitter.New(settings.Admission),
		routing:   router.New(settings.Routing, settings.Member, d.Random),
		retries:   retrier.New(settings.Retries, d.Random),
		book:      accountant.New(settings.Member.Name, settings.Member.Incarnation),
		random:    d.Random,
		cells:     map[pv.StreamName]cellStatus{},
		asked:     map[string]time.Time{},
		asking:    map[string]bool{},
		alive:     map[string]time.Time{},
		bookedAt:  time.Now(),
		streams:   append(settings.Layout.CellStreams(), settings.Layout.HomeStreams()...),
	}
	e.checkpointAt = time.Now().Add(e.checkpointPause())
	e.control = kernel.NewEventLoop(settings.Tick, e.tick)
	e.kernel.Register(ServiceSessions, e.client, func(context.Context) error { return e.client.Close() })
	e.kernel.Register(ServiceControl, e.control, e.control.Stop)
	e.poll = e.follow(ServiceConfiguration, settings.ConfigPoll, poller.Stream{
		Name: follower.Stream, Next: e.config.Next, Feed: e.feedConfiguration,
	})
	e.follow(ServiceMembership, settings.MemberPoll, poller.Stream{
		Name: announcer.Stream, Next: e.members.Next, Feed: e.feedMembers,
	})
	e.logger.Info("entry: started", zap.String("name", settings.Member.Name))
	return e
}

// readLimit is how many records a poller reads at once.
const readLimit = 1000

func (e *Entry) follow(name string, every time.Duration, s poller.Stream) *poller.Poller {
	s.Failed = func(_ time.Time, err error) {
		e.metrics.logErrors.Inc()
		e.logger.Warn("entry: stream read failed", zap.String("stream", string(s.Name)), logfield.Error(err))
	}
	p := poller.New(poller.Settings{Every: every, Timeout: e.settings.CallTimeout, Limit: readLimit}, e.log, e.control, s)
	e.kernel.Register(name, p, p.Stop)
	return p
}

func (e *Entry) feedConfiguration(now time.Time, b pv.Batch) {
	for _, r := range e.config.Feed(b) {
		if r.Verdict != follower.NoChange {
			e.logger.Info("entry: configuration change", zap.Int64("version", int64(r.Offset)), zap.String("verdict", string(r.Verdict)))
		}
	}
	e.configured(now)
}

// configured puts the configuration in force here.
func (e *Entry) configured(now time.Time) {
	if config := e.config.Configuration(); config != nil {
		e.admission.Configure(now, config, len(e.members.Members(pv.RoleEntry)))
		e.metrics.version.Set(float64(config.Version))
	}
}

func (e *Entry) feedMembers(now time.Time, b pv.Batch) {
	if e.members.Feed(now, b) {
		e.routing.SetMembers(now, e.members.Members(pv.RoleAgent))
		e.configured(now)
	}
}

// placesPerSlot is how many requests are let in for each slot of the
// endpoints: some are on the way while others run, and entries share unevenly.
const placesPerSlot = 2

// tendEvery is the pause between looks at all that isn't about requests.
const tendEvery = 100 * time.Millisecond

// tick runs on the control goroutine.
func (e *Entry) tick(now time.Time) {
	e.admission.Expire(now)
	if now.Sub(e.tendedAt) < tendEvery {
		return
	}
	e.tendedAt = now
	if slots := e.routing.Slots(now); slots > 0 {
		entries := max(1, len(e.members.Members(pv.RoleEntry)))
		e.admission.SetPlaces(now, slots*placesPerSlot/entries)
	}
	e.announce(now)
	e.askAll(now)
	e.fetchFleet(now)
	e.keepBook(now)
	e.checkpoint(now)
}

func (e *Entry) announce(now time.Time) {
	if e.telling || now.Sub(e.announced) < e.settings.Announce {
		return
	}
	e.telling = true
	member := e.settings.Member
	go func() {
		err := e.appendMembership(e.ctx, announcer.Record{Announce: &member})
		e.control.Post(func() {
			e.telling = false
			if err != nil {
				e.logger.Warn("entry: announcement failed", logfield.Error(err))
				return
			}
			e.announced = now
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
	bounded, cancel := context.WithTimeout(ctx, e.settings.CallTimeout)
	defer cancel()
	_, err := e.log.Append(bounded, stream, [][]byte{data})
	if err != nil {
		e.metrics.logErrors.Inc()
	}
	return Error.Wrap(err)
}

func (e *Entry) fetchFleet(now time.Time) {
	if e.fetching || now.Sub(e.fleetAt) < e.settings.FleetPoll {
		return
	}
	e.fetching = true
	go func() {
		ctx, cancel := context.WithTimeout(e.ctx, e.settings.CallTimeout)
		defer cancel()
		infos, err := e.platform.Workers(ctx)
		e.control.Post(func() {
			e.fetching = false
			e.fleetAt = now
			if err != nil {
				e.logger.Warn("entry: list of workers failed", logfield.Error(err))
				return
			}
			e.fleet = infos
		})
	}()
}

// keepBook appends the account's sums when they are due.
func (e *Entry) keepBook(now time.Time) {
	if e.booking || now.Sub(e.bookedAt) < e.settings.AccountsEvery {
		return
	}
	e.bookedAt = now
	record, ok := e.book.Next(now, false)
	if !ok {
		return
	}
	e.booking = true
	go func() {
		err := e.appendBook(e.ctx, record)
		e.control.Post(func() {
			e.booking = false
			if err == nil {
				e.book.Appended()
			}
		})
	}()
}

func (e *Entry) appendBook(ctx context.Context, r accountant.Record) error {
	data, err := accountant.Encode(r)
	if err != nil {
		return err
	}
	return e.append(ctx, accountant.Stream, data)
}

// checkpoint appends the newest configuration before the log forgets it. Each
// entry waits a drawn time, so that usually one of them does it.
func (e *Entry) checkpoint(now time.Time) {
	if now.Before(e.checkpointAt) {
		return
	}
	e.checkpointAt = now.Add(e.checkpointPause())
	p, ok := e.config.TakeCheckpoint()
	if !ok {
		return
	}
	data, err := follower.Encode(follower.Record{Time: now, Checkpoint: &p})
	if err != nil {
		e.logger.Error("entry: checkpoint can't be encoded", logfield.Error(err))
		return
	}
	go func() { _ = e.append(e.ctx, follower.Stream, data) }()
}

func (e *Entry) checkpointPause() time.Duration {
	half := int64(e.settings.Checkpoint / 2)
	return time.Duration(half + e.random.Int64N(half+1))
}

// Ready reports whether the entry has a configuration and takes callers.
func (e *Entry) Ready() bool {
	ready := false
	e.control.Do(func() { ready = e.config.Configuration() != nil })
	e.mu.Lock()
	defer e.mu.Unlock()
	return ready && !e.stopping && !e.draining
}

// Drain makes the entry not ready, so that the balancer sends callers
// elsewhere; those that still come are served.
func (e *Entry) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// begin takes a caller in, false while the entry stops.
func (e *Entry) begin() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping {
		return false
	}
	e.callers.Add(1)
	return true
}

// Stop refuses new callers, finishes those in progress, and closes the
// account.
func (e *Entry) Stop(ctx context.Context) error {
	e.mu.Lock()
	e.stopping = true
	e.mu.Unlock()
	done := make(chan struct{})
	go func() {
		e.callers.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		e.logger.Warn("entry: callers were still waiting at the end of the stop timeout")
	}
	e.closeBook(ctx)
	leave := announcer.Record{Leave: &announcer.Leave{Name: e.settings.Member.Name, Incarnation: e.settings.Member.Incarnation}}
	if err := e.appendMembership(ctx, leave); err != nil {
		e.logger.Warn("entry: leave record failed", logfield.Error(err))
	}
	err := e.kernel.Stop(ctx)
	e.cancel()
	e.logger.Info("entry: stopped")
	return Error.Wrap(err)
}

// closeBook appends what the account still holds, and its final record.
func (e *Entry) closeBook(ctx context.Context) {
	for range 3 {
		var record accountant.Record
		var ok bool
		e.control.Do(func() {
			e.booking = true // the tick leaves the book alone from now on
			record, ok = e.book.Next(time.Now(), true)
		})
		if !ok {
			return
		}
		if err := e.appendBook(ctx, record); err != nil {
			e.logger.Warn("entry: the account could not be closed", logfield.Error(err))
			continue
		}
		e.control.Do(e.book.Appended)
		if record.Final {
			return
		}
	}
}
