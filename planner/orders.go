package planner

// This file defines the orders to a worker's agent.

import (
	"time"

	pv "persimmonvalve"
)

// Orders is what an agent is told about the worker beside it.
type Orders struct {
	Worker       pv.WorkerID
	Incarnation  int64
	Authority    pv.Authority
	Acknowledged int64 // ends up to this number are stored
	Full         bool  // Starts and Stops are complete, not a delta
	Starts       []pv.RunOrder
	Stops        []pv.RunRef
	Coefficients []pv.InterferenceCoefficient // that changed
}

// grantEvery is the longest pause between two extensions of a lease.
const grantEvery = 400 * time.Millisecond

// Permissions are what a leader may do now.
type Permissions struct {
	RenewLease bool // renew leases
	StartRuns  bool // order starts; without it they wait
}

// Orders returns and forgets what the agent of a worker hasn't been told, false
// when there is nothing.
func (p *Planner) Orders(now time.Time, id pv.WorkerID, rights Permissions) (Orders, bool) {
	w, ok := p.workers[id]
	if !ok || !w.known || !w.connected {
		return Orders{}, false
	}
	if w.whole && !rights.StartRuns {
		return Orders{}, false // without the starts the agent would stop what runs
	}
	due := rights.RenewLease && now.Sub(w.lastGrantAt) >= grantEvery
	if !w.whole && !due && (len(w.starts) == 0 || !rights.StartRuns) && len(w.stops) == 0 && w.endAcked == w.ackSent {
		return Orders{}, false
	}
	o := Orders{Worker: id, Incarnation: w.state.Incarnation, Acknowledged: w.endAcked, Full: w.whole}
	o.Authority.Token = w.token
	if rights.RenewLease {
		o.Authority.Until = w.grant(now, p.settings)
	}
	if w.whole {
		clear(w.pressTold)
	}
	o.Coefficients = p.pressesToTell(w)
	starts, stops := w.starts, w.stops
	if rights.StartRuns {
		w.starts = nil
	} else {
		starts = nil
	}
	if w.whole {
		starts, stops = nil, nil
		for _, r := range w.runs {
			switch {
			case r.stopping:
				stops = append(stops, r)
			case r.committed && r.life == w.state.Incarnation:
				starts = append(starts, r)
			}
		}
	}
	for _, r := range starts {
		if r.task.run == r && !r.stopping && r.life == w.state.Incarnation {
			order := r.order()
			order.FirstSend = !w.whole
			o.Starts = append(o.Starts, order)
		}
	}
	for _, r := range stops {
		o.Stops = append(o.Stops, r.ref())
	}
	w.stops, w.whole = nil, false
	w.ackSent = w.endAcked
	return o, true
}

func (r *run) order() pv.RunOrder {
	s := r.task.step.spec
	return pv.RunOrder{
		Run: r.ref(), Payload: r.task.step.job.spec.Payload, Checkpoint: r.task.checkpoint,
		Filler: s.Filler, LatencyTarget: s.LatencyTarget, Image: s.Image, MilliCores: s.Size.MilliCores,
	}
}
