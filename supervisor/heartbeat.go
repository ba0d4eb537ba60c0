package supervisor

// This file defines which heartbeats are taken for the worker's. One that names another id
// or incarnation may come from another writer, or late from a former incarnation. The worker
// beside the supervisor answers polls under its id and incarnation. While it does, such a
// heartbeat is held, and nothing is started until a later poll. It counts if the worker
// doesn't answer that poll, and is dropped if it does.

import (
	"time"

	"go.uber.org/zap"

	pv "persimmonvalve"
)

const (
	// confirmTimeout is the time within which a new identity has to answer a poll, if
	// heartbeats of an earlier one go on.
	confirmTimeout = 5 * time.Second
	// lowSequenceTimeout is how long heartbeats with too low numbers have to go on until the
	// high number counts as wrong. Late heartbeats don't go on for as long.
	lowSequenceTimeout = 6 * time.Second
)

// lowSequences are heartbeats with rising numbers that are all below the highest one.
type lowSequences struct {
	since time.Time // of the first; zero if there are none
	last  int64
}

// Heartbeat handles a heartbeat of the worker. Late ones are ignored. It returns once the
// heartbeat is handled, so that those that wait count as requests in progress.
func (v *Supervisor) Heartbeat(s pv.WorkerState) {
	v.eventLoop.Do(func() { v.handleHeartbeat(time.Now(), s) })
}

func (v *Supervisor) handleHeartbeat(now time.Time, s pv.WorkerState) {
	switch {
	case !v.hasState || s.ID == v.state.ID && s.Incarnation == v.state.Incarnation:
		if v.hasState && s.Sequence <= v.state.Sequence && !v.sequenceWasWrong(now, s.Sequence) {
			return
		}
		v.lowSequences = lowSequences{}
	case s.Incarnation < v.state.Incarnation:
		if v.workerAnswers(now) || v.polledIdentity() || now.Sub(v.identifiedAt) < confirmTimeout {
			return // of a former incarnation
		}
	case v.workerAnswers(now):
		v.heldHeartbeat = &s
		v.markUnverified()
		v.wakePoll()
		v.supersedePoll() // it may wait for the answer of an incarnation that has crashed
		return
	}
	v.applyHeartbeat(now, s)
}

// sequenceWasWrong reports whether heartbeats with lower numbers than the highest one have
// gone on for so long that the highest one must have been wrong.
func (v *Supervisor) sequenceWasWrong(now time.Time, sequence int64) bool {
	if v.lowSequences.since.IsZero() || sequence <= v.lowSequences.last {
		v.lowSequences.since = now
	}
	v.lowSequences.last = sequence
	return now.Sub(v.lowSequences.since) >= lowSequenceTimeout
}

// workerAnswers reports whether the worker answers polls under its present identity.
func (v *Supervisor) workerAnswers(now time.Time) bool {
	return v.polledIdentity() && !v.deregistered && !v.pollFailing && now.Sub(v.polledAt) < pollWait+pollMargin
}

// polledIdentity reports whether the worker has answered a poll under its present identity.
func (v *Supervisor) polledIdentity() bool { return !v.polledAt.IsZero() }

// applyHeldHeartbeat takes the held heartbeat for the worker's, if there is one.
func (v *Supervisor) applyHeldHeartbeat(now time.Time) {
	if s := v.heldHeartbeat; s != nil {
		v.heldHeartbeat = nil
		v.applyHeartbeat(now, *s)
	}
}

func (v *Supervisor) applyHeartbeat(now time.Time, s pv.WorkerState) {
	changed := !v.hasState || s.ID != v.state.ID || s.Draining != v.state.Draining || s.Service != v.state.Service || s.Capacity != v.state.Capacity
	if s.ID != v.state.ID || s.Incarnation != v.state.Incarnation {
		v.startIncarnation(s.ID, s.Incarnation)
		v.identifiedAt = now
		changed = true
	}
	if s.Draining && !v.state.Draining {
		v.logger.Info("supervisor: worker is draining", zap.String("worker", string(s.ID)), zap.Int64("life", s.Incarnation), zap.Duration("timeLeft", s.DrainTimeLeft))
	}
	s.Location.Region, s.Address = v.settings.Region, v.settings.Worker
	v.state, v.hasState, v.deregistered = s, true, false
	if changed {
		v.stateUnsent = true
		v.sendState()
	}
}
