package supervisor

// This file defines the ordered runs. A run is kept until the worker lists its end. A
// run that must not exist is stopped. Once the worker has confirmed the stop, no start
// call of the run is in progress, and a poll that began later lists all unacknowledged
// ends and doesn't list it, the run can't start any more and is reported as absent.

import (
	"context"
	"time"

	"go.uber.org/zap"

	pv "persimmonvalve"
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
	order            pv.RunOrder
	phase            phase
	phasePoll        int64           // polls with a higher number began after the phase was reached
	startsInProgress int             // start calls in progress
	startCtx         context.Context // of the start calls; nil before the first
	cancelStarts     context.CancelFunc
	limitPending     bool      // a call that sets its CPU limit is in progress
	nextCallAt       time.Time // when the next call is due
	acceptedAt       time.Time // when the worker confirmed the start or broke its connection; zero if neither
	listed           bool      // a poll has listed it
	reported         bool      // it has been reported as running
	maybeSent        bool      // a start may have reached the worker
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
	now := time.Now()
	if o.Token != v.lease.FencingToken {
		clear(v.absentRuns)
	}
	if o.Token != v.lease.FencingToken || o.Life != v.lease.incarnation || o.Whole {
		v.reportedEnd, v.runsReportedAt = 0, time.Time{}
		v.wakePoll()
	}
	v.lease = v.lease.renew(o.Life, pv.WorkerLease{FencingToken: o.Token, End: time.Duration(o.UntilMs) * time.Millisecond})
	if !o.StartsWithheld && o.UntilMs > 0 { // the first orders of a leader bring neither a reading nor a lease
		v.permitStarts(now, time.Duration(o.ClockMs)*time.Millisecond)
	}
	if o.Acknowledged > v.acknowledgedEnd || o.Whole {
		v.acknowledgedEnd = o.Acknowledged
		v.wakePoll()
	}
	for _, p := range o.Presses {
		c := messenger.DecodeCoefficient(p)
		v.throttler.coefficients[c.Pair] = c.PerCore
	}
	wanted := map[pv.RunRef]bool{}
	for _, s := range o.Starts {
		start := messenger.DecodeStart(s)
		wanted[start.Run] = true
		if v.absentRuns[start.Run] {
			v.reportAbsent(start.Run) // these orders crossed the first report
			continue
		}
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
	v.makeDueCalls(now)
}

// forgetRun drops a run that has ended or never started.
func (v *Supervisor) forgetRun(ref pv.RunRef) {
	if r, ok := v.runs[ref]; ok && r.cancelStarts != nil {
		r.cancelStarts()
	}
	delete(v.runs, ref)
	v.throttler.forget(ref)
}

// permitStarts permits starts for startPermission, counted from when the supervisor received
// the reading of the worker's clock that the orders name. A reading that isn't known was
// received too long ago or by a former process; the next orders name one that is. Orders of
// a former version name none and count from their arrival.
func (v *Supervisor) permitStarts(now time.Time, clock time.Duration) {
	from, ok := now, true
	if clock > 0 {
		from, ok = v.clockReadings.arrival(clock)
	}
	if until := from.Add(startPermission); ok && until.After(v.startsPermittedUntil) {
		v.startsPermittedUntil = until
	}
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
	if r.cancelStarts != nil {
		r.cancelStarts()
	}
	v.metrics.stops.WithLabelValues(reason).Inc()
	v.logger.Info("supervisor: stopping run", zap.Stringer("task", ref.Task), zap.Int("attempt", ref.Attempt), zap.String("reason", reason), zap.Int64("token", v.lease.FencingToken))
}

func (v *Supervisor) tick(now time.Time) {
	v.sendState()
	v.makeDueCalls(now)
}
