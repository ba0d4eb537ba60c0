package supervisor

// This file defines the supervisor, whose state belongs to one event loop, and
// its handlers for the leader's link and the worker's heartbeats.

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

// Role is the role of supervisors in the handshake of links.
const Role = "supervisor"

// Intervals and limits of the supervisor.
const (
	tickInterval     = 100 * time.Millisecond
	pollWait         = 500 * time.Millisecond // longest wait of a poll, which returns earlier with an end
	pollPause        = 20 * time.Millisecond  // between polls that don't wait
	pollMargin       = time.Second            // a poll's timeout is its wait plus this margin
	ackWait          = 150 * time.Millisecond // before the next poll, for the leader to acknowledge reported ends
	reportInterval   = 450 * time.Millisecond // between reports of running runs
	maxFormerWorkers = 8                      // deregistered workers that are reported to new leaders; also the length of the queue of deregistrations
)

// Settings identify the process and its worker.
type Settings struct {
	Node   string         // name of this process
	Region string         // of this machine
	Worker netip.AddrPort // address of the worker's API
}

// Dependencies are the clients and services that a supervisor uses.
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
	eventLoop  *kernel.EventLoop
	acceptor   *messenger.LeaderAcceptor
	pollWake   chan struct{} // ends a wait of pollWorker
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// Owned by the event loop.
	link                 *messenger.Link
	epoch                int64
	state                pv.WorkerState
	hasState             bool // a heartbeat has been received
	deregistered         bool
	identifiedAt         time.Time       // when the worker's id and incarnation were taken from a heartbeat
	heldHeartbeat        *pv.WorkerState // of another id or incarnation, until a poll shows which one the worker has
	lowSequences         lowSequences
	formerWorkers        []pv.WorkerState       // deregistered, reported to new leaders
	crashedWorkers       []messenger.Report     // on former workers that stopped answering, sent to new leaders
	deregistrations      chan pv.Deregistration // read by the directory
	lease                incarnationLease
	acknowledgedEnd      int64              // highest end number that the leader has acknowledged
	synchronised         bool               // the leader has sent full orders for this incarnation on this link
	absentRuns           map[pv.RunRef]bool // reported absent before their start, under this token
	startsPermittedUntil time.Time          // by the latest orders
	runs                 map[pv.RunRef]*run
	callsInProgress      [callKinds]map[int64]time.Time // by number: when each was sent
	lastCallNumber       int64
	slowCallTimer        *time.Timer             // nil unless calls that are due wait for it
	unsentLimits         map[pv.RunRef]time.Time // fillers whose CPU limit is to be sent, and since when
	reportedEnd          int64                   // highest end number reported under this lease
	runsReportedAt       time.Time
	pollNumber           int64
	supersedePoll        context.CancelFunc // ends the poll in progress, which another one follows
	unverifiedSince      int64              // pollNumber when a call last failed; 0 once a later poll has succeeded
	polledAt             time.Time          // when this incarnation last answered a poll
	fencedSince          time.Duration      // reading of this incarnation's clock in its first answer to a poll; it refuses calls for former ones since
	clockReadings        clockReadings      // of this incarnation
	brokenAt             time.Time          // when the worker's connections broke, if the last poll failed for that
	pollFailing          bool
	throttler            throttler
	stateUnsent          bool
}

// New starts a supervisor; Stop ends it.
func New(s Settings, d Dependencies) *Supervisor {
	ctx, cancel := context.WithCancel(context.Background())
	v := &Supervisor{
		settings: s, worker: d.Worker, logger: d.Logger, metrics: newMetrics(d.Registry),
		pollWake: make(chan struct{}, 1), ctx: ctx, cancel: cancel,
		runs: map[pv.RunRef]*run{}, unsentLimits: map[pv.RunRef]time.Time{}, absentRuns: map[pv.RunRef]bool{}, throttler: newThrottler(), supersedePoll: func() {}, deregistrations: make(chan pv.Deregistration, maxFormerWorkers),
	}
	for kind := range v.callsInProgress {
		v.callsInProgress[kind] = map[int64]time.Time{}
	}
	v.eventLoop = kernel.NewEventLoop(tickInterval, v.tick)
	v.acceptor = messenger.NewLeaderAcceptor(s.Node, Role, d.Listener, d.Logger, v)
	v.goroutines.Go(func() { v.pollWorker(ctx) })
	return v
}

// Stop ends the supervisor. The worker's runs continue until its lease ends.
func (v *Supervisor) Stop(ctx context.Context) error {
	v.acceptor.Close()
	v.cancel()
	err := v.eventLoop.Stop(ctx) // it starts the goroutines of calls
	v.goroutines.Wait()
	return err
}

// LeaderStatus returns the leader's status, judged by its link to this process.
func (v *Supervisor) LeaderStatus() messenger.LeaderStatus { return v.acceptor.LeaderStatus() }

// Linked reports whether a leader is connected.
func (v *Supervisor) Linked() bool { return v.acceptor.Leader() != nil }

// LeaderConnected implements messenger.LeaderHandler.
func (v *Supervisor) LeaderConnected(l *messenger.Link, leader string, epoch int64) {
	v.eventLoop.Post(func() {
		if epoch < v.epoch {
			return
		}
		v.link, v.epoch, v.synchronised, v.reportedEnd = l, epoch, false, 0
		v.logger.Info("supervisor: leader connected", zap.String("leader", leader), zap.Int64("epoch", epoch))
		for _, f := range v.formerWorkers {
			l.Send(frame(messenger.Report{Worker: f, Deregistered: true}))
		}
		v.stateUnsent = true
		v.sendState()
		for _, f := range v.crashedWorkers {
			l.Send(frame(f))
		}
		if v.pollFailing {
			v.reportUnanswered()
		}
	})
}

// LeaderDisconnected implements messenger.LeaderHandler.
func (v *Supervisor) LeaderDisconnected(l *messenger.Link, err error) {
	v.eventLoop.Post(func() {
		if v.link != l {
			return
		}
		v.link = nil
		v.logger.Warn("supervisor: leader disconnected", zap.Int64("epoch", v.epoch), logfield.Error(err))
	})
}

// Frame implements messenger.LeaderHandler.
func (v *Supervisor) Frame(l *messenger.Link, f *wire.LinkFrame) {
	if o := f.GetOrders(); o != nil {
		v.eventLoop.Post(func() {
			if v.link == l {
				v.applyOrders(o)
			}
		})
	}
}

// Deregister handles a deregistration of the worker. A late one of a former incarnation
// under the same id is ignored. It returns once the deregistration is handled.
func (v *Supervisor) Deregister(d pv.Deregistration) {
	v.eventLoop.Do(func() {
		if v.state.ID != d.Worker || v.deregistered {
			return
		}
		if !v.deregisters(d) {
			v.logger.Info("supervisor: deregistration ignored: not of the present incarnation", zap.String("worker", string(d.Worker)), zap.Int64("life", v.state.Incarnation), zap.Int64("deregisteredLife", d.Incarnation))
			return
		}
		v.deregistered, v.stateUnsent = true, true
		v.logger.Info("supervisor: worker departed", zap.String("worker", string(d.Worker)), zap.Int64("life", v.state.Incarnation))
		v.sendState()
		select {
		case v.deregistrations <- pv.Deregistration{Worker: d.Worker, Incarnation: v.state.Incarnation}:
		default:
			v.logger.Warn("supervisor: deregistration not passed to the directory: queue full", zap.String("worker", string(d.Worker)))
		}
	})
}

// deregisters reports whether a deregistration of the worker's id is of the present
// incarnation. One that names no incarnation is, if this incarnation drains: a worker
// drains before it deregisters.
func (v *Supervisor) deregisters(d pv.Deregistration) bool {
	if d.Incarnation == 0 {
		return v.state.Draining
	}
	return d.Incarnation == v.state.Incarnation
}

// Deregistrations returns the channel on which workers' deregistrations are sent.
func (v *Supervisor) Deregistrations() <-chan pv.Deregistration { return v.deregistrations }

// startIncarnation drops the orders, the end of the lease, the end numbers, the heartbeats and the
// throttler's state of the worker's former incarnation. What it had started last, if it
// stopped answering, is kept for the next leader.
func (v *Supervisor) startIncarnation(id pv.WorkerID, incarnation int64) {
	if v.deregistered && v.state.ID != id {
		v.formerWorkers = append(v.formerWorkers, v.state)
		if len(v.formerWorkers) > maxFormerWorkers {
			v.formerWorkers = v.formerWorkers[1:]
		}
	}
	if last := v.unansweredReport(); v.pollFailing && len(last.RecentStarts) > 0 {
		last.Former = true
		v.crashedWorkers = append(v.crashedWorkers, last)
		v.crashedWorkers = v.crashedWorkers[max(0, len(v.crashedWorkers)-maxFormerWorkers):]
	}
	v.logger.Info("supervisor: new worker incarnation", zap.String("worker", string(id)), zap.Int64("life", incarnation), zap.Int64("formerLife", v.state.Incarnation))
	if id == v.state.ID {
		v.lease = v.lease.succeed()
	} else {
		v.lease = incarnationLease{}
	}
	// Nothing that the former incarnation has said holds for this one, whose first heartbeat
	// may still come.
	v.state = pv.WorkerState{ID: id, Incarnation: incarnation, Sequence: -1, Location: pv.Location{Region: v.settings.Region}, Address: v.settings.Worker}
	v.deregistered, v.synchronised = false, false
	v.lowSequences, v.heldHeartbeat = lowSequences{}, nil
	for ref := range v.runs {
		v.forgetRun(ref)
	}
	clear(v.unsentLimits)
	clear(v.absentRuns)
	v.reportedEnd, v.acknowledgedEnd, v.polledAt, v.fencedSince, v.clockReadings = 0, 0, time.Time{}, 0, nil
	v.throttler = newThrottler()
	v.wakePoll()
}

func (v *Supervisor) sendState() {
	if !v.canReport() || !v.stateUnsent {
		return
	}
	if v.link.Send(frame(messenger.Report{Worker: v.state, Deregistered: v.deregistered})) {
		v.stateUnsent = false
	}
}

func frame(r messenger.Report) *wire.LinkFrame {
	return &wire.LinkFrame{Body: &wire.LinkFrame_Report{Report: messenger.EncodeReport(r)}}
}

func (v *Supervisor) wakePoll() {
	select {
	case v.pollWake <- struct{}{}:
	default:
	}
}
