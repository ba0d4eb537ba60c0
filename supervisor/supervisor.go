package supervisor

// This file defines the supervisor: its state, owned by one goroutine, and what
// comes in from the leader and from the worker's heartbeats.

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/internal/logfield"
	"persimmonvalve/internal/wire"
	"persimmonvalve/kernel"
	"persimmonvalve/messenger"
)

// Error is the class of this package's errors.
var Error = errs.Class("supervisor")

// Role is the role of supervisors on links.
const Role = "supervisor"

// Intervals of the supervisor.
const (
	tickEvery     = 100 * time.Millisecond
	lookWait      = 500 * time.Millisecond // a look returns after it, or with an end
	nextLookAfter = 20 * time.Millisecond  // the next look after one that didn't wait
	lookSlack     = time.Second            // for a look's answer to come back
	ackWait       = 150 * time.Millisecond // for the leader's word on reported ends
	reportRunning = 450 * time.Millisecond // between reports of what runs
	callTimeout   = time.Second            // of a start or stop; its answer is then unknown
	retryAfter    = 250 * time.Millisecond // between tries of a start or stop
	callers       = 3                      // starts and stops under way at once
	callQueue     = 1024
	formerKept    = 8 // departed workers that are remembered
)

// Settings say which process this is.
type Settings struct {
	Node   string
	Region string
	Worker netip.AddrPort // where the worker is called
}

// Dependencies are what a supervisor needs.
type Dependencies struct {
	Worker   pv.WorkerClient
	Listener net.Listener // for the leader's link
	Logger   *zap.Logger
	Registry prometheus.Registerer
}

// Supervisor carries out orders on the worker beside it. It is safe for
// concurrent use.
type Supervisor struct {
	settings   Settings
	worker     pv.WorkerClient
	logger     *zap.Logger
	metrics    *metrics
	control    *kernel.EventLoop
	attachment *messenger.LeaderAcceptor
	calls      chan call
	look       chan struct{} // wakes the loop that looks at the worker
	cancel     context.CancelFunc
	running    sync.WaitGroup

	// Owned by the control goroutine.
	link        *messenger.Link
	epoch       int64
	state       pv.WorkerState
	beat        bool // state came from a heartbeat
	departed    bool
	former      []pv.WorkerState       // that said goodbye, for new leaders
	departures  chan pv.Deregistration // for the directory
	authority   pv.Authority
	life        int64 // that the authority is for
	ackedEnds   int64
	told        bool // the leader has sent its whole orders on this link
	runs        map[pv.RunRef]*order
	reported    int64 // highest end that was reported under this authority
	reportedAt  time.Time
	lookNumber  int64
	doubted     int64     // number of the last look before a call failed; 0 once a later one succeeded
	lookedAt    time.Time // when a look at this life last succeeded
	lookLost    bool
	pacer       pacer
	stateToSend bool
}

// New starts a supervisor.
func New(s Settings, d Dependencies) *Supervisor {
	ctx, cancel := context.WithCancel(context.Background())
	v := &Supervisor{
		settings: s, worker: d.Worker, logger: d.Logger, metrics: newMetrics(d.Registry),
		calls: make(chan call, callQueue), look: make(chan struct{}, 1), cancel: cancel,
		runs: map[pv.RunRef]*order{}, pacer: newPacer(), departures: make(chan pv.Deregistration, formerKept),
	}
	v.control = kernel.NewEventLoop(tickEvery, v.tick)
	v.attachment = messenger.NewLeaderAcceptor(s.Node, Role, d.Listener, v)
	for range callers {
		v.running.Add(1)
		go func() {
			defer v.running.Done()
			v.makeCalls(ctx)
		}()
	}
	v.running.Add(1)
	go func() {
		defer v.running.Done()
		v.watch(ctx)
	}()
	return v
}

// Stop ends the supervisor. The worker goes on under its lease.
func (v *Supervisor) Stop(ctx context.Context) error {
	v.attachment.Close()
	v.cancel()
	v.running.Wait()
	return v.control.Stop(ctx)
}

// LeaderStatus returns what this process knows of the leader.
func (v *Supervisor) LeaderStatus() messenger.LeaderStatus { return v.attachment.LeaderStatus() }

// Linked reports whether a leader has a link to this process.
func (v *Supervisor) Linked() bool { return v.attachment.Leader() != nil }

// LeaderConnected implements messenger.LeaderHandler.
func (v *Supervisor) LeaderConnected(l *messenger.Link, leader string, epoch int64) {
	v.control.Post(func() {
		if epoch < v.epoch {
			return
		}
		v.link, v.epoch, v.told, v.reported = l, epoch, false, 0
		v.logger.Info("supervisor: leader linked", zap.String("leader", leader), zap.Int64("epoch", epoch))
		for _, f := range v.former {
			l.Send(frame(messenger.Report{Worker: f, Deregistered: true}))
		}
		v.stateToSend = true
		v.sendState()
	})
}

// LeaderDisconnected implements messenger.LeaderHandler.
func (v *Supervisor) LeaderDisconnected(l *messenger.Link, err error) {
	v.control.Post(func() {
		if v.link != l {
			return
		}
		v.link = nil
		v.logger.Warn("supervisor: leader lost", zap.Int64("epoch", v.epoch), logfield.Error(err))
	})
}

// Frame implements messenger.LeaderHandler.
func (v *Supervisor) Frame(l *messenger.Link, f *wire.LinkFrame) {
	if o := f.GetOrders(); o != nil {
		v.control.Post(func() {
			if v.link == l {
				v.takeOrders(o)
			}
		})
	}
}

// Heartbeat takes in what the worker says of itself.
func (v *Supervisor) Heartbeat(s pv.WorkerState) {
	v.control.Post(func() {
		if v.beat && (s.Incarnation < v.state.Incarnation || s.Incarnation == v.state.Incarnation && s.ID == v.state.ID && s.Sequence <= v.state.Sequence) {
			return // late, or of a former life
		}
		changed := !v.beat || s.ID != v.state.ID || s.Draining != v.state.Draining || s.Service != v.state.Service || s.Capacity != v.state.Capacity
		if s.ID != v.state.ID || s.Incarnation != v.state.Incarnation {
			v.beginLife(s.ID, s.Incarnation)
			changed = true
		}
		if s.Draining && !v.state.Draining {
			v.logger.Info("supervisor: worker leaves", zap.String("worker", string(s.ID)), zap.Int64("life", s.Incarnation), zap.Duration("timeLeft", s.DrainTimeLeft))
		}
		s.Place.Region, s.Address = v.settings.Region, v.settings.Worker
		v.state, v.beat, v.departed = s, true, false
		if changed {
			v.stateToSend = true
			v.sendState()
		}
	})
}

// Deregister takes in the worker's deregistration.
func (v *Supervisor) Deregister(id pv.WorkerID) {
	v.control.Post(func() {
		if v.state.ID != id || v.departed {
			return
		}
		v.departed, v.stateToSend = true, true
		v.logger.Info("supervisor: worker departed", zap.String("worker", string(id)), zap.Int64("life", v.state.Incarnation))
		v.sendState()
		select {
		case v.departures <- pv.Deregistration{Worker: id, Incarnation: v.state.Incarnation}:
		default:
			v.logger.Warn("supervisor: goodbye not left in writing", zap.String("worker", string(id)))
		}
	})
}

// Deregistrations returns the channel of workers' deregistrations.
func (v *Supervisor) Deregistrations() <-chan pv.Deregistration { return v.departures }

// beginLife forgets all that was ordered in a former life of the worker.
func (v *Supervisor) beginLife(id pv.WorkerID, life int64) {
	if v.departed && v.state.ID != id {
		v.former = append(v.former, v.state)
		if len(v.former) > formerKept {
			v.former = v.former[1:]
		}
	}
	v.logger.Info("supervisor: worker begins", zap.String("worker", string(id)), zap.Int64("life", life), zap.Int64("formerLife", v.state.Incarnation))
	v.state.ID, v.state.Incarnation = id, life
	clear(v.runs)
	v.authority = pv.Authority{} // its end was a reading of another clock
	v.reported, v.ackedEnds, v.lookedAt = 0, 0, time.Time{}
	v.pacer = newPacer()
}

func (v *Supervisor) sendState() {
	if !v.canReport() || !v.stateToSend {
		return
	}
	if v.link.Send(frame(messenger.Report{Worker: v.state, Deregistered: v.departed})) {
		v.stateToSend = false
	}
}

func frame(r messenger.Report) *wire.LinkFrame {
	return &wire.LinkFrame{Body: &wire.LinkFrame_Report{Report: messenger.EncodeReport(r)}}
}

func (v *Supervisor) wakeLook() {
	select {
	case v.look <- struct{}{}:
	default:
	}
}
