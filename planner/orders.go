package planner

// This file defines the orders to a worker's agent.

import (
	"time"

	pv "persimmonvalve"
)

// Orders is what an agent is told about the worker beside it.
type Orders struct {
	Worker       pv.WorkerID
	Life         int64
	Authority    pv.Authority
	Acknowledged int64 // ends up to this number are stored
	Whole        bool  // Starts and Stops are all that there are
	Starts       []pv.RunOrder
	Stops        []pv.RunRef
}

// grantEvery is the longest pause between two extensions of a lease.
const grantEvery = 400 * time.Millisecond

// Orders returns and forgets what the agent of a worker hasn't been told, false
// when there is nothing. Without mayGrant no lease is extended.
func (p *Planner) Orders(now time.Time, id pv.WorkerID, mayGrant bool) (Orders, bool) {
	w, ok := p.workers[id]
	if !ok || !w.known || !w.connected {
		return Orders{}, false
	}
	due := mayGrant && now.Sub(w.lastGrantAt) >= grantEvery
	if !w.whole && !due && len(w.starts) == 0 && len(w.stops) == 0 && w.endAcked == w.ackSent {
		return Orders{}, false
	}
	o := Orders{Worker: id, Life: w.state.Life, Acknowledged: w.endAcked, Whole: w.whole}
	o.Authority.Token = w.token
	if mayGrant {
		o.Authority.Until = w.grant(now, p.settings)
	}
	starts, stops := w.starts, w.stops
	if w.whole {
		starts, stops = nil, nil
		for _, r := range w.runs {
			switch {
			case r.stopping:
				stops = append(stops, r)
			case r.committed && r.life == w.state.Life:
				starts = append(starts, r)
			}
		}
	}
	for _, r := range starts {
		if r.task.run == r && !r.stopping && r.life == w.state.Life {
			o.Starts = append(o.Starts, r.order())
		}
	}
	for _, r := range stops {
		o.Stops = append(o.Stops, r.ref())
	}
	w.starts, w.stops, w.whole = nil, nil, false
	w.ackSent = w.endAcked
	return o, true
}

func (r *run) order() pv.RunOrder {
	s := r.task.step.spec
	return pv.RunOrder{
		Run: r.ref(), Payload: r.task.step.job.spec.Payload, Checkpoint: r.task.checkpoint,
		Filler: s.Filler, LatencyTarget: s.LatencyTarget,
	}
}
