package supervisor

// This file defines the ordered runs and the calls that carry the orders out.
//
// A run is kept until the worker lists its end. A call with an unknown outcome is
// retried with the same attempt number, which makes it idempotent: the worker
// treats it as the same run. A run that must not exist is stopped. Once the worker
// has confirmed the stop and a poll that began later doesn't list the run, it
// can't start any more and is reported as absent.

import (
	"context"
	"time"

	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/internal/logfield"
	"persimmonvalve/internal/wire"
	"persimmonvalve/messenger"
)

// phase is the phase of a run.
type phase int

const (
	starting phase = iota // the worker hasn't confirmed the start
	started
	stopping // the worker hasn't confirmed the stop
	stopped  // the worker has confirmed the stop
)

// run is an ordered run, or one to be stopped.
type run struct {
	order       pv.RunOrder
	phase       phase
	phasePoll   int64     // polls with a higher number began after the phase was reached
	callPending bool      // a call is queued or in progress
	nextCallAt  time.Time // when the next call is due
	listed      bool      // a poll has listed it
	reported    bool      // it has been reported as running
	maybeSent   bool      // a start may have reached the worker
}

// call is one start, stop or CPU limit to be sent to the worker.
type call struct {
	dueAt           time.Time // since when it could have been sent
	sentAt          time.Time
	worker          pv.WorkerID
	incarnation     int64
	lease           pv.WorkerLease
	order           pv.RunOrder
	stop            bool
	cpuLimitPercent int // if setCPULimit
	setCPULimit     bool
}

// applyOrders handles full or incremental orders of the leader.
func (v *Supervisor) applyOrders(o *wire.WorkerOrders) {
	id := pv.WorkerID(o.Worker)
	if !v.hasState && v.state.Incarnation == 0 {
		v.state.ID, v.state.Incarnation = id, o.Life // no heartbeat yet: the orders name the worker
	}
	if id != v.state.ID || o.Life != v.state.Incarnation {
		v.stateUnsent = true
		v.sendState() // the leader hasn't received this incarnation yet
		return
	}
	if o.Token != v.lease.FencingToken || o.Life != v.leaseIncarnation || o.Whole {
		v.reportedEnd = 0
		v.wakePoll()
	}
	until := time.Duration(o.UntilMs) * time.Millisecond
	if o.Token == v.lease.FencingToken && o.Life == v.leaseIncarnation {
		until = max(until, v.lease.End)
	}
	v.lease, v.leaseIncarnation = pv.WorkerLease{FencingToken: o.Token, End: until}, o.Life
	if o.Acknowledged > v.acknowledgedEnd || o.Whole {
		v.acknowledgedEnd = o.Acknowledged
		v.wakePoll()
	}
	for _, p := range o.Presses {
		c := messenger.DecodeCoefficient(p)
		v.throttler.coefficients[c.Pair] = c.PerCore
	}
	now := time.Now()
	wanted := map[pv.RunRef]bool{}
	for _, s := range o.Starts {
		start := messenger.DecodeStart(s)
		wanted[start.Run] = true
		if _, ok := v.runs[start.Run]; !ok {
			v.runs[start.Run] = &run{order: start, nextCallAt: now}
		}
	}
	for _, s := range o.Stops {
		ref := messenger.DecodeRun(s)
		wanted[ref] = true
		v.stopRun(ref, "ordered")
	}
	if o.Whole {
		v.synchronised = true
		for ref, r := range v.runs {
			if !wanted[ref] && r.phase < stopping {
				v.stopRun(ref, "notInOrders")
			}
		}
	}
	v.queueDueCalls(now)
}

// stopRun starts to stop a run, whether or not it was ordered.
func (v *Supervisor) stopRun(ref pv.RunRef, reason string) {
	r, ok := v.runs[ref]
	if !ok {
		r = &run{order: pv.RunOrder{Run: ref}}
		v.runs[ref] = r
	}
	if r.phase >= stopping {
		return
	}
	r.phase, r.nextCallAt = stopping, time.Now()
	v.metrics.stops.WithLabelValues(reason).Inc()
	v.logger.Info("supervisor: stopping run", zap.Stringer("task", ref.Task), zap.Int("attempt", ref.Attempt), zap.String("reason", reason), zap.Int64("token", v.lease.FencingToken))
}

// maxPollAgeForStart is the age of the last successful poll at which starts are no
// longer sent.
const maxPollAgeForStart = 1200 * time.Millisecond

// mayStart reports whether a start may be sent. A worker that doesn't answer polls
// may restart at any time, and its new incarnation would accept the start although
// the leader has treated the lease as ended. A start that certainly hasn't been sent
// to the worker is then dropped and its run reported as absent.
func (v *Supervisor) mayStart(now time.Time, r *run) bool {
	if v.lease.End == 0 || v.polledAt.IsZero() {
		return false // no reading of the worker's clock yet
	}
	if now.Sub(v.polledAt) < maxPollAgeForStart {
		return !v.unverified()
	}
	if r.order.FirstSend && !r.maybeSent && v.canReport() {
		ref := r.order.Run
		delete(v.runs, ref)
		v.metrics.stops.WithLabelValues("workerLost").Inc()
		v.logger.Info("supervisor: run reported absent before its start: last poll too old", zap.Stringer("task", ref.Task), zap.Int("attempt", ref.Attempt), zap.Int64("lookAgeMs", now.Sub(v.polledAt).Milliseconds()))
		v.link.Send(frame(messenger.Report{Worker: v.state, Deregistered: v.deregistered, FencingToken: v.lease.FencingToken, Absent: []pv.RunRef{ref}}))
	}
	return false
}

// queueDueCalls queues the starts and stops that are due. On a draining worker it stops
// the runs whose start isn't confirmed.
func (v *Supervisor) queueDueCalls(now time.Time) {
	if v.lease.FencingToken == 0 || v.leaseIncarnation != v.state.Incarnation {
		return
	}
	for ref, r := range v.runs {
		if r.phase == starting && v.state.Draining {
			v.stopRun(ref, "workerLeaving")
		}
		if r.callPending || r.phase == started || r.phase == stopped || now.Before(r.nextCallAt) {
			continue
		}
		if r.phase == starting && !v.mayStart(now, r) {
			continue
		}
		select {
		case v.calls <- call{dueAt: r.nextCallAt, worker: v.state.ID, incarnation: v.leaseIncarnation, lease: v.lease, order: r.order, stop: r.phase == stopping}:
			r.callPending = true
		default:
			return // queue full; the next tick retries
		}
	}
}

// kind returns the call's kind for logs and metrics.
func (c call) kind() string {
	switch {
	case c.setCPULimit:
		return "cpuLimit"
	case c.stop:
		return "stop"
	}
	return "start"
}

// logFields returns the fields that describe a call that has ended. The wait and the
// duration tell a call that was sent late from one that the worker carried out late.
func (c call) logFields(err error) []zap.Field {
	fields := []zap.Field{
		zap.Stringer("task", c.order.Run.Task), zap.Int("attempt", c.order.Run.Attempt), zap.Int64("token", c.lease.FencingToken),
		zap.Int64("waitedMs", c.sentAt.Sub(c.dueAt).Milliseconds()), zap.Int64("tookMs", time.Since(c.sentAt).Milliseconds()),
	}
	if err != nil {
		fields = append(fields, logfield.Error(err))
	}
	return fields
}

func (v *Supervisor) makeCalls(ctx context.Context) {
	for {
		select {
		case c := <-v.calls:
			v.makeCall(ctx, c)
		case <-ctx.Done():
			return
		}
	}
}

func (v *Supervisor) makeCall(ctx context.Context, c call) {
	timed, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.sentAt = time.Now()
	v.metrics.callWait.WithLabelValues(c.kind()).Observe(c.sentAt.Sub(c.dueAt).Seconds())
	switch {
	case c.setCPULimit:
		err := v.worker.SetCPULimit(timed, c.worker, c.lease, c.order.Run, c.cpuLimitPercent)
		v.eventLoop.Post(func() { v.handleCPULimit(c, err) })
	case c.stop:
		err := v.worker.Stop(timed, c.worker, c.lease, c.order.Run)
		v.eventLoop.Post(func() { v.handleStop(c, err) })
	default:
		answer, err := v.worker.Start(timed, c.worker, c.lease, c.order)
		v.eventLoop.Post(func() { v.handleStart(c, answer, err) })
	}
}

func (v *Supervisor) handleStart(c call, answer pv.StartAnswer, err error) {
	r, ok := v.runs[c.order.Run]
	if !ok || c.incarnation != v.state.Incarnation {
		return
	}
	r.callPending = false
	v.metrics.starts.WithLabelValues(string(answer)).Inc()
	v.logger.Info("supervisor: start call ended", append(c.logFields(err), zap.String("answer", string(answer)), zap.Duration("leaseEnd", c.lease.End))...)
	if r.phase != starting {
		v.queueDueCalls(time.Now())
		return // stopping or stopped meanwhile
	}
	r.maybeSent = r.maybeSent || answer != pv.StartNotSent
	switch answer {
	case pv.StartNotSent:
		v.markUnverified()
		r.nextCallAt = time.Now().Add(retryInterval)
	case pv.StartAccepted:
		r.phase, r.phasePoll = started, v.pollNumber
		v.limitNewFiller(r.order)
	case pv.StartUnknown:
		v.markUnverified()
		r.nextCallAt = time.Now().Add(retryInterval)
	case pv.StartFenced, pv.StartLeaseExpired:
		r.nextCallAt = time.Now().Add(retryInterval)
	default:
		v.stopRun(c.order.Run, string(answer))
		v.queueDueCalls(time.Now())
	}
}

func (v *Supervisor) handleStop(c call, err error) {
	r, ok := v.runs[c.order.Run]
	if !ok || c.incarnation != v.state.Incarnation {
		return
	}
	r.callPending = false
	v.logger.Info("supervisor: stop call ended", c.logFields(err)...)
	if err != nil {
		v.metrics.stopRetries.Inc()
		v.markUnverified()
		r.nextCallAt = time.Now().Add(retryInterval)
		return
	}
	r.phase, r.phasePoll = stopped, v.pollNumber
	v.wakePoll()
}

func (v *Supervisor) tick(now time.Time) {
	v.sendState()
	v.queueDueCalls(now)
}
