package supervisor

// This file defines the poll loop. Each poll renews the worker's lease,
// acknowledges stored ends and waits for new ones.

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/internal/logfield"
	"persimmonvalve/messenger"
)

// pollRequest is the next poll to make.
type pollRequest struct {
	worker       pv.WorkerID
	incarnation  int64
	lease        pv.WorkerLease
	acknowledged int64
	wait         time.Duration
	number       int64
	ok           bool // false when no poll is to be made
	timedOut     bool // it has ended with its context
	superseded   bool // another one is made instead
}

// pollWorker polls the worker until the context ends.
func (v *Supervisor) pollWorker(ctx context.Context) {
	for ctx.Err() == nil {
		var q pollRequest
		timed, cancel := ctx, context.CancelFunc(func() {})
		if !v.eventLoop.Do(func() {
			if q = v.nextPoll(); q.ok {
				timed, cancel = context.WithTimeout(ctx, q.wait+pollMargin)
				v.supersedePoll = cancel
			}
		}) {
			return
		}
		if !q.ok {
			v.awaitWake(ctx, tickInterval)
			continue
		}
		runs, err := v.worker.Poll(timed, q.worker, q.lease, q.acknowledged, q.wait)
		q.timedOut, q.superseded = timed.Err() != nil, err != nil && errors.Is(timed.Err(), context.Canceled)
		cancel()
		if ctx.Err() != nil {
			return
		}
		var unacknowledged bool
		if !v.eventLoop.Do(func() { unacknowledged = v.handlePoll(q, runs, err) }) {
			return
		}
		switch {
		case err != nil:
			v.awaitWake(ctx, tickInterval)
		case unacknowledged:
			v.awaitWake(ctx, ackWait) // with unacknowledged ends the next poll would return at once
		case q.lease.End == 0:
			v.awaitWake(ctx, tickInterval) // at most until the next orders
		case q.wait == 0:
			v.awaitWake(ctx, pollPause)
		}
	}
}

// awaitWake waits for wakePoll, at most for d.
func (v *Supervisor) awaitWake(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-v.pollWake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (v *Supervisor) nextPoll() pollRequest {
	if v.lease.FencingToken == 0 || v.deregistered {
		return pollRequest{}
	}
	select { // this poll covers a pending wake-up
	case <-v.pollWake:
	default:
	}
	v.pollNumber++
	q := pollRequest{worker: v.state.ID, incarnation: v.state.Incarnation, lease: v.leaseToSend(), acknowledged: v.acknowledgedEnd, wait: pollWait, number: v.pollNumber, ok: true}
	if v.unverified() {
		q.acknowledged = 0 // a new incarnation would drop ends that were never reported
	}
	if q.lease.End == 0 {
		q.wait = 0 // the leader needs the incarnation's clock before it can renew the lease
	}
	for _, r := range v.runs {
		if v.canReport() && (r.phase == stopped && r.startsInProgress == 0 || r.phase == starting && v.unverified() || r.phase == started && !r.listed) {
			q.wait = 0 // report its state, or let it start, without delay
			break
		}
	}
	return q
}

// markUnverified records that a call failed and the worker may have restarted.
// Until a poll that begins later returns its incarnation, no starts and no
// acknowledgements are sent: in another incarnation the same end numbers belong
// to other ends.
func (v *Supervisor) markUnverified() { v.unverifiedSince = max(v.pollNumber, 1) }

// unverified reports whether a call has failed and no later poll has confirmed the
// worker's incarnation.
func (v *Supervisor) unverified() bool { return v.unverifiedSince > 0 }

// canReport reports whether reports on the worker can be sent to a leader.
func (v *Supervisor) canReport() bool { return v.link != nil && v.hasState }

// handlePoll handles the result of a poll and reports it to the leader. It returns
// whether the worker listed ends. The worker lists an end until that is acknowledged.
func (v *Supervisor) handlePoll(q pollRequest, runs pv.WorkerRuns, err error) bool {
	if err == nil && runs.Incarnation != q.incarnation {
		v.logger.Warn("supervisor: poll reached another incarnation", zap.String("worker", string(q.worker)), zap.Int64("life", q.incarnation), zap.Int64("reachedLife", runs.Incarnation), zap.Duration("clock", runs.Clock), zap.Duration("leaseEnd", q.lease.End))
	}
	if q.incarnation != v.state.Incarnation || q.superseded {
		return false
	}
	if err != nil {
		if !v.pollFailing {
			v.pollFailing = true
			v.brokenAt = time.Time{}
			if !q.timedOut {
				v.brokenAt = time.Now()
			}
			recent, unlisted := v.recentStarts()
			v.logger.Warn("supervisor: worker poll failed; retrying", zap.String("worker", string(q.worker)), zap.Int64("life", q.incarnation), zap.Stringers("startedShortlyBefore", recent), zap.Int("unlisted", unlisted), zap.Duration("leaseEnd", q.lease.End), logfield.Error(err))
			v.reportUnanswered()
		}
		v.metrics.pollFailures.Inc()
		v.markUnverified()
		v.applyHeldHeartbeat(time.Now())
		return false
	}
	if v.pollFailing {
		v.pollFailing = false
		v.logger.Info("supervisor: worker answers polls again", zap.String("worker", string(q.worker)), zap.Int64("life", runs.Incarnation))
	}
	if runs.Incarnation != v.state.Incarnation {
		if s := v.heldHeartbeat; s != nil && s.Incarnation == runs.Incarnation {
			v.applyHeldHeartbeat(time.Now())
		} else if runs.Incarnation > v.state.Incarnation {
			v.startIncarnation(q.worker, runs.Incarnation)
			v.stateUnsent = true
			v.sendState()
		}
		return false
	}
	now := time.Now()
	if !v.polledIdentity() {
		v.fencedSince = runs.Clock
	}
	v.polledAt = now
	v.clockReadings.add(now, runs.Clock)
	if q.number > v.unverifiedSince {
		v.unverifiedSince, v.heldHeartbeat = 0, nil
	}
	out := messenger.Report{Worker: v.state, Deregistered: v.deregistered, Polled: true, FencingToken: leaderToken(q.lease), FencedSince: v.fencedSince}
	out.Runs = pv.WorkerRuns{Incarnation: runs.Incarnation, Clock: runs.Clock, EndsTruncated: runs.EndsTruncated}
	present := make(map[pv.RunRef]bool, len(runs.Running)+len(runs.Ended))
	// Only a poll under the newest token may mark ends as reported: the leader
	// ignores reports with other tokens.
	ordered := v.lease.isFor(runs.Incarnation)
	newestToken := leaderToken(q.lease) == v.lease.FencingToken
	changed, reportable := false, v.canReport() && ordered && newestToken
	out.EndsAbove = v.reportedEnd
	for _, e := range runs.Ended {
		present[e.Run] = true
		v.forgetRun(e.Run)
		if reportable && e.Sequence > v.reportedEnd {
			out.Runs.Ended = append(out.Runs.Ended, e)
			v.reportedEnd = e.Sequence
			changed = true
		}
	}
	for _, s := range runs.Running {
		present[s.Run] = true
		r, ok := v.runs[s.Run]
		if !ok {
			switch {
			case !ordered:
				v.stopRun(s.Run, "formerIncarnation") // no orders for this one have been received
			case v.synchronised && newestToken:
				v.stopRun(s.Run, "notInOrders")
			}
			continue
		}
		changed = changed || !r.reported
		r.listed, r.reported = true, true
		if r.phase == starting {
			r.phase, r.phasePoll = started, q.number
		}
	}
	for ref, r := range v.runs {
		if present[ref] || q.number <= r.phasePoll || runs.EndsTruncated { // its end may be one of those left out
			continue
		}
		switch r.phase {
		case started:
			v.stopRun(ref, "vanished")
		case stopped:
			if !reportable || r.startsInProgress > 0 {
				continue
			}
			v.forgetRun(ref)
			out.Absent = append(out.Absent, ref)
			changed = true
		}
	}
	if changed || now.Sub(v.runsReportedAt) >= reportInterval {
		out.Runs.Running = runs.Running
	}
	if reportable {
		if len(out.Runs.Running) > 0 {
			v.runsReportedAt = now
		}
		v.link.Send(frame(out))
	}
	v.updateCPULimits(now, runs.Running)
	v.makeDueCalls(now)
	return len(runs.Ended) > 0
}

// recentStartDuration is the age of a run up to which it may be the cause when the worker
// stops answering.
const recentStartDuration = time.Second

// recentStarts returns the runs that the worker accepted last, and how many of them no poll
// has listed; these come first. The others were accepted within recentStartDuration before
// the last poll. If the worker has crashed, one of them may be the cause.
func (v *Supervisor) recentStarts() (starts []pv.RunRef, unlistedCount int) {
	var unlisted, recent []pv.RunRef
	for ref, r := range v.runs {
		switch {
		case r.acceptedAt.IsZero():
		case !r.listed:
			unlisted = append(unlisted, ref)
		case r.acceptedAt.After(v.polledAt.Add(-recentStartDuration)):
			recent = append(recent, ref)
		}
	}
	return append(unlisted, recent...), len(unlisted)
}

// maxCrashDelay is the longest time between a start and the crash that it causes.
const maxCrashDelay = 100 * time.Millisecond

// brokeOnStart reports whether the worker's connections broke right after it had accepted
// one of the runs.
func (v *Supervisor) brokeOnStart(recent []pv.RunRef) bool {
	for _, ref := range recent {
		if since := v.brokenAt.Sub(v.runs[ref].acceptedAt); !v.brokenAt.IsZero() && since.Abs() < maxCrashDelay {
			return true
		}
	}
	return false
}

// unansweredReport returns the report that the worker has stopped answering.
func (v *Supervisor) unansweredReport() messenger.Report {
	recent, unlisted := v.recentStarts()
	return messenger.Report{Worker: v.state, Deregistered: v.deregistered, FencingToken: v.lease.FencingToken, Unanswered: true, RecentStarts: recent, Unlisted: unlisted, BrokeOnStart: v.brokeOnStart(recent)}
}

// reportUnanswered reports that the worker has stopped answering.
func (v *Supervisor) reportUnanswered() {
	if v.canReport() {
		v.link.Send(frame(v.unansweredReport()))
	}
}
