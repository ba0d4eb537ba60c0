package planner

// This file defines the state of a worker: its current incarnation and the capacity that
// its runs reserve.

import (
	"time"

	pv "persimmonvalve"
)

// incarnationBits is the number of low bits of a fencing token that count the worker's
// incarnations under a leader; the bits above them hold the leader's epoch. A new
// incarnation has received no token yet. Its higher count keeps a delayed start for the
// previous incarnation from taking effect once the new one has answered a poll.
const incarnationBits = 12

type worker struct {
	state                 pv.WorkerState
	stateKnown            bool  // state was reported to this leader
	addressIncarnation    int64 // whose address state holds, if stateKnown is false
	incarnationCount      int64
	fencingToken          int64
	fencingTokenConfirmed bool             // this incarnation has answered a poll under fencingToken
	formerRunsEnded       bool             // it has listed all of its ends since, so no run of an earlier incarnation goes on
	lease                 incarnationLease // of this incarnation
	lastReportAt          time.Time        // with or without a poll result
	orphanDeadline        time.Time        // when the lease of a worker without a poll result has certainly lapsed
	deregisteredAt        time.Time
	connected             bool // the worker's supervisor is connected to this leader
	unanswering           bool // its supervisor reported no answer since the last poll result

	renewal             renewal
	heardAt             time.Time // when it last answered a poll, or became known to this leader
	leaseRecordedAt     time.Time // when the last lease record became due
	recordedIncarnation int64     // in the lease record of a former leader; 0 if there is none

	runs              map[pv.RunRef]*run
	crashedAt         time.Time                // when the former worker or incarnation at its address was known to have crashed
	probation         *run                     // of a suspected task, until two polls have listed it
	lapsedRuns        []*run                   // ended by the lapse of the lease; a crash isn't proved yet
	reserved          pv.Resources             // by runs; fillers reserve no cores
	fillerMilliCores  int64                    // size of all fillers
	servingRuns       int                      // runs with a latency target
	servingMilliCores int64                    // reserved by runs with a latency target
	colocation        *colocation              // cache; nil after the runs have changed
	sentCoefficients  map[pv.ImagePair]float64 // last values sent to its supervisor
	appliedEnd        int64                    // highest number of an applied end
	committedEnd      int64                    // highest number of an end whose effect is stored
	acknowledgedEnd   int64                    // committedEnd as last sent to the supervisor

	unsentStarts  []*run // their records are stored
	unsentStops   []*run
	strayRuns     []pv.RunRef // listed by the worker, but ended or unknown here; to be stopped
	fullOrdersDue bool        // the next orders must be full

	speed               workerSpeed
	returnedAt          time.Time // when its zone was last taken back
	consecutiveFailures int
	quarantinedUntil    time.Time
	leaseRenewedAt      time.Time
}

func (p *Planner) worker(now time.Time, id pv.WorkerID) *worker {
	w, ok := p.workers[id]
	if !ok {
		w = &worker{state: pv.WorkerState{ID: id}, fencingToken: p.epoch << incarnationBits, runs: map[pv.RunRef]*run{}, sentCoefficients: map[pv.ImagePair]float64{}, orphanDeadline: now.Add(p.settings.OrphanTimeout()), heardAt: now}
		p.workers[id] = w
	}
	return w
}

// startIncarnation resets the worker's state for a new incarnation.
func (w *worker) startIncarnation(incarnation int64, epoch int64) {
	if w.stateKnown {
		w.incarnationCount++
	}
	w.fencingToken = epoch<<incarnationBits | w.incarnationCount
	w.stateKnown = true
	w.fencingTokenConfirmed, w.formerRunsEnded = false, false
	w.lease, w.speed = incarnationLease{}, workerSpeed{}
	w.appliedEnd, w.committedEnd, w.acknowledgedEnd = 0, 0, 0
	w.unsentStarts, w.unsentStops, w.strayRuns = nil, nil, nil
	w.deregisteredAt = time.Time{}
	w.consecutiveFailures, w.quarantinedUntil = 0, time.Time{}
	w.fullOrdersDue = true
	w.state.Incarnation = incarnation
}

// lapsed reports whether no ordered run can still be running on the worker, because
// its lease has lapsed or it has deregistered.
func (w *worker) lapsed(now time.Time, s Settings) bool {
	if !w.deregisteredAt.IsZero() && now.Sub(w.deregisteredAt) > s.DeregistrationGrace {
		return true
	}
	return now.After(w.lapseTime(s))
}

// minRemainingLease is the remaining lease that a worker needs to get new runs.
const minRemainingLease = time.Second

// unavailability returns why the worker may get no new runs, or an empty string if it may.
func (p *Planner) unavailability(now time.Time, w *worker) string {
	switch {
	case !w.connected:
		return "noLink"
	case !w.fencingTokenConfirmed:
		return "notPolledYet"
	case w.unanswering:
		return "doesNotAnswer"
	case w.state.Draining || !w.deregisteredAt.IsZero():
		return "leaving"
	case now.Sub(w.lease.readAt) >= p.settings.MaxReportAge:
		return "lastPollTooOld"
	case now.Before(w.quarantinedUntil):
		return "quarantined"
	case w.lease.remaining(now) <= minRemainingLease:
		return "leaseTooShort"
	case p.inEvacuatedZone(w):
		return "zoneEvacuated"
	}
	return ""
}

// renewLease renews the worker's lease and returns its end, a reading of the
// worker's clock, or 0 if it may not be renewed. The end depends on the last received
// reading only: the lease of a worker that stopped answering must lapse even if its
// supervisor stays connected.
func (w *worker) renewLease(now time.Time, s Settings) time.Duration {
	if !w.lease.known() || w.renewal != renewing {
		return 0
	}
	w.leaseRenewedAt = now
	return w.lease.renew(s)
}

func (p *Planner) addRun(r *run) {
	w := r.worker
	w.runs[r.ref()] = r
	r.task.run = r
	r.task.step.job.openRuns++
	w.adjustReserved(r.task.step.spec, 1)
}

func (p *Planner) removeRun(r *run) {
	w := r.worker
	delete(w.runs, r.ref())
	if w.probation == r {
		w.probation = nil
	}
	r.task.run = nil
	r.task.step.job.openRuns--
	w.adjustReserved(r.task.step.spec, -1)
	p.placementDue = true
}

// reservation returns the capacity that a task of the step reserves. Fillers reserve no
// cores.
func reservation(s *pv.Step) pv.Resources {
	size := s.Size
	if s.Filler {
		size.MilliCores = 0
	}
	return size
}

// adjustReserved adds (sign 1) or subtracts (sign -1) a task of the step.
func (w *worker) adjustReserved(s *pv.Step, sign int64) {
	w.colocation = nil
	if s.Filler {
		w.fillerMilliCores += sign * s.Size.MilliCores
	}
	if s.LatencyTarget > 0 {
		w.servingRuns += int(sign)
		w.servingMilliCores += sign * reservation(s).MilliCores
	}
	w.reserved = w.reserved.Add(reservation(s).Scale(sign, 1))
}
