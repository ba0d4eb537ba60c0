package planner

// This file defines a worker as the planner knows it: one life at a time, the
// room that its runs take, and when its lease has certainly lapsed.
//
// A lease ends at a reading of the worker's own clock. A report that carries
// the reading c and came at time t proves that the clock had reached c by t, so
// it has passed u by t + (u - c) stretched by the drift. Nothing that is
// delayed on its way can prolong a lease past the highest u ever sent.

import (
	"time"

	pv "persimmonvalve"
)

// Token layout: the epoch of the leader above, a count of the worker's lives
// under that leader below. A new life has seen no token; a start meant for the
// life before it must not take effect there after the planner has looked.
const lifeBits = 12

type worker struct {
	state     pv.WorkerState
	known     bool // state was reported to this leader
	turn      int64
	token     int64
	fenced    bool          // this life has answered a look under token
	clock     time.Duration // reading in the last report
	clockAt   time.Time
	heard     time.Time     // last report of any kind
	lastGrant time.Duration // highest end of a lease that was sent
	lapse     time.Time     // for a worker that was never looked at
	departed  time.Time
	connected bool // its agent has a link

	runs      map[pv.RunRef]*run
	used      pv.Resources             // by runs that count against the capacity
	filler    int64                    // millicores of fillers
	serving   int                      // runs with a latency target
	served    int64                    // millicores reserved for them
	mix       *mix                     // nil when the runs have changed
	pressTold map[pv.ImagePair]float64 // to its agent
	endSeen   int64                    // highest end that was taken in
	endAcked  int64                    // highest end whose effect is stored
	ackSent   int64                    // what the agent was told of endAcked

	starts []*run // stored, not sent
	stops  []*run
	whole  bool // the agent must be told everything

	failStreak  int
	quarantine  time.Time
	lastGrantAt time.Time
}

func (p *Planner) worker(now time.Time, id pv.WorkerID) *worker {
	w, ok := p.workers[id]
	if !ok {
		w = &worker{state: pv.WorkerState{ID: id}, token: p.epoch << lifeBits, runs: map[pv.RunRef]*run{}, pressTold: map[pv.ImagePair]float64{}, lapse: now.Add(p.settings.OrphanWait)}
		p.workers[id] = w
	}
	return w
}

// begin takes in a new life of the worker.
func (w *worker) begin(life int64, epoch int64) {
	if w.known {
		w.turn++
	}
	w.token = epoch<<lifeBits | w.turn
	w.known = true
	w.fenced = false
	w.clock, w.clockAt, w.lastGrant = 0, time.Time{}, 0
	w.endSeen, w.endAcked, w.ackSent = 0, 0, 0
	w.starts, w.stops = nil, nil
	w.departed = time.Time{}
	w.failStreak, w.quarantine = 0, time.Time{}
	w.whole = true
	w.state.Incarnation = life
}

// lapsed reports whether nothing that the worker was told to run can run now.
func (w *worker) lapsed(now time.Time, s Settings) bool {
	if !w.departed.IsZero() && now.Sub(w.departed) > s.DeregistrationGrace {
		return true
	}
	if w.clockAt.IsZero() {
		return now.After(w.lapse)
	}
	return now.After(w.clockAt.Add(s.stretch(w.lastGrant-w.clock) + s.LapseMargin))
}

// leastLease is what must be left of a worker's lease for it to get new runs.
const leastLease = time.Second

// usable reports whether the worker may get new runs.
func (w *worker) usable(now time.Time, s Settings) bool {
	return w.fenced && w.connected && !w.state.Draining && w.departed.IsZero() &&
		now.Sub(w.clockAt) < s.ReportTimeout && !now.Before(w.quarantine) &&
		w.lastGrant > w.clock+now.Sub(w.clockAt)+leastLease
}

// grant returns the reading of the worker's clock until which it may go on. It
// rests on the last reading alone: a worker that isn't heard any more must lapse,
// however long its agent is.
func (w *worker) grant(now time.Time, s Settings) time.Duration {
	if w.clockAt.IsZero() {
		return 0
	}
	until := w.clock + s.LeaseDuration
	w.lastGrant = max(w.lastGrant, until)
	w.lastGrantAt = now
	return until
}

func (p *Planner) attach(r *run) {
	w := r.worker
	w.runs[r.ref()] = r
	r.task.run = r
	r.task.step.job.runs++
	w.take(r.task.step.spec, 1)
}

func (p *Planner) detach(r *run) {
	w := r.worker
	delete(w.runs, r.ref())
	r.task.run = nil
	r.task.step.job.runs--
	w.take(r.task.step.spec, -1)
	p.mustPlace = true
}

func (w *worker) take(s *pv.Step, sign int64) {
	w.mix = nil
	size := s.Size
	if s.Filler {
		w.filler += sign * size.MilliCores
		size.MilliCores = 0
	}
	if s.LatencyTarget > 0 {
		w.serving += int(sign)
		w.served += sign * size.MilliCores
	}
	w.used = w.used.Add(size.Scale(sign, 1))
}
