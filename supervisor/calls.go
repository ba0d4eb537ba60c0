package supervisor

// This file defines the calls that carry the orders out on the worker: starts, stops and
// CPU limits.
//
// The event loop chooses a call at the moment when it is made, from the state of that
// moment. Nothing decided earlier waits in a queue: a run that was to be stopped
// meanwhile isn't started. The concurrent calls of each kind are bounded, but calls that
// get no answer soon don't count, so that they hold up no others.
//
// A call with an unknown outcome is retried with the same attempt number, which makes it
// idempotent: the worker treats it as the same run. An attempt that gets no answer soon is
// followed by another before it has timed out. A stop may be sent while the start of the
// same run has no answer: the worker then refuses the start, or stops the run.

import (
	"context"
	"time"

	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/internal/logfield"
	"persimmonvalve/messenger"
)

// callKind is the kind of a call.
type callKind int

const (
	kindStop callKind = iota
	kindCPULimit
	kindStart
	callKinds int = iota
)

// callLimits are the bounds of the calls of each kind.
var callLimits = [callKinds]struct {
	name       string        // for logs and metrics
	concurrent int           // calls sent within slowCallDuration
	timeout    time.Duration // after which the outcome of a call is unknown
}{
	kindStop:     {"stop", 4, 2 * time.Second},
	kindCPULimit: {"cpuLimit", 2, time.Second},
	kindStart:    {"start", 3, time.Second},
}

// Limits and intervals of calls.
const (
	slowCallDuration   = 50 * time.Millisecond  // after which a call doesn't hold up others
	maxCallsInProgress = 64                     // of one kind
	startRetryInterval = 500 * time.Millisecond // between attempts of a start
	stopRetryInterval  = 500 * time.Millisecond // between attempts of a stop; a cancellation must take effect within 3 s, also if two of five stops get no answer
)

// call is one call to the worker.
type call struct {
	kind            callKind
	dueAt           time.Time // since when it could have been sent
	sentAt          time.Time
	deadline        time.Time // of a kindStart: it must not be sent later
	timedOut        bool      // of a kindStart: it has ended with its context
	worker          pv.WorkerID
	incarnation     int64
	lease           pv.WorkerLease
	run             *run
	order           pv.RunOrder
	cpuLimitPercent int // of a kindCPULimit
}

// logFields returns the fields that describe a call that has ended. The wait and the
// duration tell a call that was sent late from one that the worker carried out late.
func (c call) logFields(err error) []zap.Field {
	fields := []zap.Field{
		zap.Stringer("task", c.order.Run.Task), zap.Int("attempt", c.order.Run.Attempt), zap.Int64("token", leaderToken(c.lease)),
		zap.Int64("waitedMs", c.sentAt.Sub(c.dueAt).Milliseconds()), zap.Int64("tookMs", time.Since(c.sentAt).Milliseconds()),
	}
	if err != nil {
		fields = append(fields, logfield.Error(err))
	}
	return fields
}

// makeDueCalls makes the calls that are due and that the limits allow, the longest due
// first. On a draining worker it stops the runs whose start isn't confirmed.
func (v *Supervisor) makeDueCalls(now time.Time) {
	if v.lease.FencingToken == 0 {
		return
	}
	if v.state.Draining {
		for ref, r := range v.runs {
			if r.phase == starting {
				v.stopRun(ref, "workerLeaving")
			}
		}
	}
	for v.mayCall(now, kindStop) {
		r := v.longestDue(now, func(r *run) bool { return r.phase == stopping })
		if r == nil {
			break
		}
		v.makeCall(v.ctx, call{kind: kindStop, dueAt: r.nextCallAt, sentAt: now, run: r, order: r.order})
		r.nextCallAt = now.Add(stopRetryInterval)
	}
	for v.mayCall(now, kindCPULimit) {
		r := v.longestUnsentLimit()
		if r == nil {
			break
		}
		ref := r.order.Run
		r.limitPending = true
		v.makeCall(v.ctx, call{kind: kindCPULimit, dueAt: v.unsentLimits[ref], sentAt: now, run: r, order: r.order, cpuLimitPercent: v.throttler.sentPercents[ref]})
		delete(v.unsentLimits, ref)
	}
	for v.mayCall(now, kindStart) {
		r := v.longestDue(now, func(r *run) bool { return r.phase == starting && v.mayStart(now, r) })
		if r == nil {
			break
		}
		if r.cancelStarts == nil {
			r.startCtx, r.cancelStarts = context.WithCancel(v.ctx)
		}
		r.startsInProgress++
		v.makeCall(r.startCtx, call{kind: kindStart, dueAt: r.nextCallAt, sentAt: now, deadline: v.startsPermittedUntil, run: r, order: r.order})
		r.nextCallAt = now.Add(startRetryInterval)
	}
}

// mayCall reports whether the limits allow another call of the kind. If they don't, the
// calls that are due are made once the calls in progress count as slow.
func (v *Supervisor) mayCall(now time.Time, kind callKind) bool {
	inProgress, recent := v.callsInProgress[kind], 0
	for _, sentAt := range inProgress {
		if now.Sub(sentAt) < slowCallDuration {
			recent++
		}
	}
	if recent < callLimits[kind].concurrent {
		return len(inProgress) < maxCallsInProgress
	}
	if v.slowCallTimer == nil {
		v.slowCallTimer = time.AfterFunc(slowCallDuration, func() {
			v.eventLoop.Post(func() {
				v.slowCallTimer = nil
				v.makeDueCalls(time.Now())
			})
		})
	}
	return false
}

// longestDue returns the run whose next call has been due for the longest time, of those
// that match, or nil.
func (v *Supervisor) longestDue(now time.Time, match func(*run) bool) *run {
	var first *run
	for _, r := range v.runs {
		if !now.Before(r.nextCallAt) && match(r) && (first == nil || r.nextCallAt.Before(first.nextCallAt)) {
			first = r
		}
	}
	return first
}

// Conditions of starts.
const (
	maxPollAgeForStart = 1200 * time.Millisecond // since the last successful poll
	// startPermission is how long orders of a leader that may start runs permit starts. A
	// cancellation that the leader hasn't read yet is up to 1.8 s old at that time, and no
	// run may start later than 3 s after it. It counts from the reading of the worker's
	// clock that the leader had received last, so that delayed orders permit less.
	startPermission = 1100 * time.Millisecond
)

// mayStart reports whether a start may be sent. A worker that doesn't answer polls
// may restart at any time, and its new incarnation would accept the start although
// the leader has treated the lease as ended. A start that certainly hasn't been sent
// to the worker is then dropped and its run reported as absent. Without recent orders,
// the leader may be gone and the run's job cancelled elsewhere.
func (v *Supervisor) mayStart(now time.Time, r *run) bool {
	if v.lease.End == 0 || !v.lease.isFor(v.state.Incarnation) || v.polledAt.IsZero() {
		return false // no reading of this incarnation's clock yet
	}
	if now.Sub(v.polledAt) < maxPollAgeForStart {
		return !v.unverified() && !v.deregistered && now.Before(v.startsPermittedUntil)
	}
	if r.order.FirstSend && !r.maybeSent && r.startsInProgress == 0 && v.canReport() {
		ref := r.order.Run
		v.forgetRun(ref)
		v.absentRuns[ref] = true
		v.metrics.stops.WithLabelValues("workerLost").Inc()
		v.logger.Info("supervisor: run reported absent before its start: last poll too old", zap.Stringer("task", ref.Task), zap.Int("attempt", ref.Attempt), zap.Int64("lookAgeMs", now.Sub(v.polledAt).Milliseconds()))
		v.reportAbsent(ref)
	}
	return false
}

func (v *Supervisor) reportAbsent(ref pv.RunRef) {
	if v.canReport() {
		v.link.Send(frame(messenger.Report{Worker: v.state, Deregistered: v.deregistered, FencingToken: v.lease.FencingToken, Absent: []pv.RunRef{ref}}))
	}
}

// makeCall makes a call with the newest lease, on a goroutine of its own, and handles its
// result on the event loop.
func (v *Supervisor) makeCall(ctx context.Context, c call) {
	limits := callLimits[c.kind]
	c.worker, c.incarnation, c.lease = v.state.ID, v.state.Incarnation, v.leaseToSend()
	v.lastCallNumber++
	number := v.lastCallNumber
	v.callsInProgress[c.kind][number] = c.sentAt
	v.metrics.callWait.WithLabelValues(limits.name).Observe(c.sentAt.Sub(c.dueAt).Seconds())
	v.goroutines.Go(func() {
		timed, cancel := context.WithTimeout(ctx, limits.timeout)
		defer cancel()
		if !c.deadline.IsZero() {
			timed, cancel = context.WithDeadline(timed, c.deadline)
			defer cancel()
		}
		var handle func()
		switch c.kind {
		case kindCPULimit:
			err := v.worker.SetCPULimit(timed, c.worker, c.lease, c.order.Run, c.cpuLimitPercent)
			handle = func() { v.handleCPULimit(c, err) }
		case kindStop:
			err := v.worker.Stop(timed, c.worker, c.lease, c.order.Run)
			handle = func() { v.handleStop(c, err) }
		case kindStart:
			answer, err := v.worker.Start(timed, c.worker, c.lease, c.order)
			c.timedOut = timed.Err() != nil
			handle = func() { v.handleStart(c, answer, err) }
		}
		v.eventLoop.Post(func() {
			delete(v.callsInProgress[c.kind], number)
			handle()
			v.makeDueCalls(time.Now())
		})
	})
}

// applies reports whether the call's run is still kept; another of the same reference may
// have taken its place.
func (v *Supervisor) applies(c call) bool {
	return v.runs[c.order.Run] == c.run && c.incarnation == v.state.Incarnation
}

func (v *Supervisor) handleStart(c call, answer pv.StartAnswer, err error) {
	r := c.run
	if !v.applies(c) {
		return
	}
	r.startsInProgress--
	v.metrics.starts.WithLabelValues(string(answer)).Inc()
	v.logger.Info("supervisor: start call ended", append(c.logFields(err), zap.String("answer", string(answer)), zap.Duration("leaseEnd", c.lease.End))...)
	r.maybeSent = r.maybeSent || answer != pv.StartNotSent
	if r.phase != starting {
		r.phasePoll = max(r.phasePoll, v.pollNumber)
		v.wakePoll()
		return
	}
	if answer == pv.StartNotSent || answer == pv.StartUnknown {
		v.markUnverified()
	}
	switch answer {
	case pv.StartAccepted:
		r.phase, r.phasePoll, r.acceptedAt = started, v.pollNumber, time.Now()
		v.limitNewFiller(r.order)
	case pv.StartUnknown:
		if !c.timedOut {
			r.acceptedAt = time.Now() // the connection broke, perhaps as the worker crashed on this start
		}
	case pv.StartNotSent, pv.StartFenced, pv.StartLeaseExpired: // retried
	default:
		v.stopRun(c.order.Run, string(answer))
	}
	if v.pollFailing {
		v.reportUnanswered()
	}
}

func (v *Supervisor) handleStop(c call, err error) {
	r := c.run
	if !v.applies(c) {
		return
	}
	v.logger.Info("supervisor: stop call ended", c.logFields(err)...)
	if r.phase != stopping {
		return // an earlier or later attempt has confirmed it
	}
	if err != nil {
		v.metrics.stopRetries.Inc()
		v.markUnverified()
		return
	}
	r.phase, r.phasePoll = stopped, v.pollNumber
	v.wakePoll()
}
