package planner

// This file defines the orders that are sent to a worker's supervisor.

import (
	"time"

	pv "persimmonvalve"
)

// Orders are the starts, stops, lease and acknowledgement for one worker.
type Orders struct {
	Worker       pv.WorkerID
	Incarnation  int64
	Lease        pv.WorkerLease // fencing token and, if the lease is renewed, its new end
	Acknowledged int64          // ends up to this number are stored
	Full         bool           // Starts and Stops are complete, not a delta
	Starts       []pv.RunOrder
	Stops        []pv.RunRef
	Coefficients []pv.InterferenceCoefficient // that are new or have changed
	// StartsWithheld states that the leader may not start runs at present. The supervisor
	// then lets the permission of earlier orders run out.
	StartsWithheld bool
	// Clock is the last reading of the worker's clock, or 0 if there is none. It tells the
	// supervisor how old the orders are.
	Clock time.Duration
}

// leaseRenewalInterval is the longest time between two renewals of a worker's lease.
// Orders that are sent for another reason renew it too.
const leaseRenewalInterval = 400 * time.Millisecond

// Permissions are the actions that the leader is currently allowed to take.
type Permissions struct {
	RenewLease bool
	StartRuns  bool // send starts; otherwise they are kept for later orders
}

// Orders returns the orders for a worker that have not been sent to its supervisor, and
// marks them as sent. It returns false when there are none.
func (p *Planner) Orders(now time.Time, id pv.WorkerID, permissions Permissions) (Orders, bool) {
	w, ok := p.workers[id]
	if !ok || !w.stateKnown || !w.connected {
		return Orders{}, false
	}
	if w.fullOrdersDue && !permissions.StartRuns {
		return Orders{}, false // full orders without starts would make the supervisor stop its runs
	}
	renewalDue := permissions.RenewLease && w.renewal == renewing && now.Sub(w.leaseRenewedAt) >= leaseRenewalInterval
	if !w.fullOrdersDue && !renewalDue && (len(w.unsentStarts) == 0 || !permissions.StartRuns) && len(w.unsentStops) == 0 && len(w.strayRuns) == 0 && w.committedEnd == w.acknowledgedEnd {
		return Orders{}, false
	}
	evacuated := p.inEvacuatedZone(w)
	o := Orders{Worker: id, Incarnation: w.state.Incarnation, Acknowledged: w.committedEnd, Full: w.fullOrdersDue, StartsWithheld: !permissions.StartRuns || evacuated, Clock: w.lease.clock}
	o.Lease.FencingToken = w.fencingToken
	if permissions.RenewLease {
		o.Lease.End = w.renewLease(now, p.settings)
	}
	if w.fullOrdersDue {
		clear(w.sentCoefficients)
	}
	o.Coefficients = p.coefficientsToSend(w)
	starts, stops := w.unsentStarts, w.unsentStops
	if permissions.StartRuns {
		w.unsentStarts = nil
	} else {
		starts = nil
	}
	if w.fullOrdersDue {
		starts, stops = nil, nil
		for _, r := range w.runs {
			switch {
			case r.stopping:
				stops = append(stops, r)
			case r.committed && r.incarnation == w.state.Incarnation:
				starts = append(starts, r)
			}
		}
	}
	for _, r := range starts {
		if r.task.run == r && !r.stopping && r.incarnation == w.state.Incarnation {
			order := r.order()
			order.FirstSend = !w.fullOrdersDue // full orders may repeat a start that was sent earlier, also by a former leader
			o.Starts = append(o.Starts, order)
		}
	}
	for _, r := range stops {
		o.Stops = append(o.Stops, r.ref())
	}
	o.Stops = append(o.Stops, w.strayRuns...)
	w.unsentStops, w.strayRuns, w.fullOrdersDue = nil, nil, false
	w.acknowledgedEnd = w.committedEnd
	return o, true
}

func (r *run) order() pv.RunOrder {
	s := r.task.step.spec
	return pv.RunOrder{
		Run: r.ref(), Payload: r.task.step.job.spec.Payload, Checkpoint: r.task.checkpoint,
		Filler: s.Filler, LatencyTarget: s.LatencyTarget, Image: s.Image, MilliCores: s.Size.MilliCores,
	}
}
