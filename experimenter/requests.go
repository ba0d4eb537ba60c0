package experimenter

// This file defines the path of a request: from the client through admission,
// routing and retries to a fake endpoint, which co-located tasks slow down.

import (
	"time"

	pv "persimmonvalve"
	"persimmonvalve/admitter"
	"persimmonvalve/retrier"
	"persimmonvalve/router"
	"persimmonvalve/standin"
)

// Sizes, delays and limits of endpoints and requests.
const (
	slotsPerEndpoint          = 8
	maxConnectionsPerEndpoint = 64 // served and queued requests
	meanServiceTime           = 20 * time.Millisecond
	sameRegionDelay           = 500 * time.Microsecond // one way, entry to endpoint
	otherRegionDelay          = 20 * time.Millisecond  // one way, entry to endpoint
	requestBytes              = 4000
	retryLimit                = 3
)

// fakeEndpoint serves up to slotsPerEndpoint requests at once and queues others, up
// to maxConnectionsPerEndpoint in total.
type fakeEndpoint struct {
	slowdown    float64       // factor on the service time
	oneWayDelay time.Duration // between entry and endpoint
	remote      bool          // in the other region
	busySlots   int
	queue       []*request
	stopped     bool
	running     map[*request]bool
}

// updateEndpoint adds the endpoint of a running attempt if it is new, and updates
// its slowdown.
func (sim *simulation) updateEndpoint(name string, info pv.WorkerInfo, worker *standin.WorkerCore, a pv.AttemptID) {
	fe, ok := sim.endpoints[name]
	if !ok {
		fe = &fakeEndpoint{oneWayDelay: sameRegionDelay, running: map[*request]bool{}}
		if info.Location.Region != "near" {
			fe.oneWayDelay, fe.remote = otherRegionDelay, true
		}
		sim.endpoints[name] = fe
	}
	fe.slowdown, _ = worker.Slowdown(sim.now, a)
}

// request is one request of a client.
type request struct {
	plan       string
	sentAt     time.Time
	deadline   time.Time
	admittedAt time.Time
	attempts   int
	started    bool
	tried      map[string]bool // names of endpoints
}

func (sim *simulation) sendRequest(plan string) {
	req := &request{plan: plan, sentAt: sim.now, deadline: sim.now.Add(sim.site.deadline), tried: map[string]bool{}}
	sim.after(sim.site.clientDelay, func() { sim.offerRequest(req) })
}

func (sim *simulation) offerRequest(req *request) {
	ticket := &admitter.Ticket{Plan: req.plan, Deadline: req.deadline, OnDecision: func(reason pv.Reason) {
		if reason != pv.NoReason {
			sim.results.recordRefusal(req, reason)
			return
		}
		sim.admitRequest(req)
	}}
	switch d := sim.admitter.Offer(sim.now, ticket); {
	case d.Admitted:
		sim.admitRequest(req)
	case !d.Queued:
		sim.results.recordRefusal(req, d.Reason)
	}
}

func (sim *simulation) admitRequest(req *request) {
	req.admittedAt = sim.now
	sim.retrier.RecordFirstAttempt()
	sim.attempt(req)
}

// attempt sends a request to the chosen endpoint.
func (sim *simulation) attempt(req *request) {
	e, reason := sim.chooseEndpoint(sim.now, req.tried, requestBytes)
	if e == nil {
		sim.retryRequest(req, retrier.Failure{Reason: reason, NotRun: true})
		return
	}
	req.attempts++
	req.tried[e.Member.Name] = true
	sim.router.RequestStarted(e)
	fe := sim.endpoints[e.Member.Name]
	if fe == nil || fe.stopped {
		sim.after(sameRegionDelay, func() { sim.endpointRefused(req, e, pv.ReasonConnectFailed) })
		return
	}
	if fe.remote {
		sim.results.recordLinkBytes(requestBytes)
	}
	sentAt := sim.now
	sim.after(fe.oneWayDelay, func() { sim.reachEndpoint(req, e, fe, sentAt) })
}

// reachEndpoint takes the place of the endpoint's guard: it serves, queues or refuses a
// request that has reached the endpoint.
func (sim *simulation) reachEndpoint(req *request, e *router.Endpoint, fe *fakeEndpoint, sentAt time.Time) {
	switch {
	case fe.stopped:
		sim.after(fe.oneWayDelay, func() { sim.endpointRefused(req, e, pv.ReasonConnectFailed) })
	case fe.busySlots < slotsPerEndpoint:
		sim.serveRequest(req, e, fe, sentAt)
	case fe.busySlots+len(fe.queue) < maxConnectionsPerEndpoint:
		fe.queue = append(fe.queue, req)
		req.tried[e.Member.Name] = true
		sim.waitForSlot(req, e, fe, sentAt)
	default:
		sim.after(fe.oneWayDelay, func() { sim.endpointRefused(req, e, pv.ReasonEndpointFull) })
	}
}

// waitForSlot polls every millisecond until the request is first in the queue and a
// slot is free, its deadline has passed, or the endpoint has stopped.
func (sim *simulation) waitForSlot(req *request, e *router.Endpoint, fe *fakeEndpoint, sentAt time.Time) {
	sim.after(time.Millisecond, func() {
		switch {
		case fe.stopped:
			sim.endpointRefused(req, e, pv.ReasonConnectFailed)
		case sim.now.After(req.deadline):
			fe.remove(req)
			sim.endpointRefused(req, e, pv.ReasonTimeout)
		case len(fe.queue) > 0 && fe.queue[0] == req && fe.busySlots < slotsPerEndpoint:
			fe.queue = fe.queue[1:]
			sim.serveRequest(req, e, fe, sentAt)
		default:
			sim.waitForSlot(req, e, fe, sentAt)
		}
	})
}

func (fe *fakeEndpoint) remove(req *request) {
	for i, o := range fe.queue {
		if o == req {
			fe.queue = append(fe.queue[:i], fe.queue[i+1:]...)
			return
		}
	}
}

func (sim *simulation) serveRequest(req *request, e *router.Endpoint, fe *fakeEndpoint, sentAt time.Time) {
	fe.busySlots++
	fe.running[req] = true
	req.started = true
	serviceTime := meanServiceTime/2 + sim.exponentialDelay(meanServiceTime.Seconds()/2)
	sim.after(time.Duration(float64(serviceTime)*fe.slowdown), func() {
		if fe.stopped {
			sim.router.RequestEnded(sim.now, e, sim.now.Sub(sentAt), false)
			sim.retryRequest(req, retrier.Failure{Reason: pv.ReasonAnswerIncomplete})
			return
		}
		fe.busySlots--
		delete(fe.running, req)
		sim.after(fe.oneWayDelay, func() {
			sim.router.RequestEnded(sim.now, e, sim.now.Sub(sentAt), true)
			sim.finishRequest(req)
		})
	})
}

func (fe *fakeEndpoint) stop(*simulation) {
	fe.stopped = true
	fe.queue = nil
}

// endpointRefused reports to the router that the endpoint didn't serve an attempt,
// and retries the request.
func (sim *simulation) endpointRefused(req *request, e *router.Endpoint, reason pv.Reason) {
	if reason == pv.ReasonConnectFailed {
		sim.router.RequestEnded(sim.now, e, 0, false)
	} else {
		sim.router.RequestRefused(sim.now, e, reason)
	}
	sim.retryRequest(req, retrier.Failure{Reason: reason, NotRun: true})
}

// retryRequest retries after a failed attempt, or ends the request if the product's
// retrier allows no further attempt.
func (sim *simulation) retryRequest(req *request, f retrier.Failure) {
	delay, stopReason := sim.retrier.NextBackoff(sim.now, retrier.Request{Attempts: max(req.attempts, 1), RetryLimit: retryLimit, Idempotent: true, Deadline: req.deadline}, f)
	if stopReason != pv.NoReason {
		sim.admitter.RequestEnded(sim.now, req.plan, sim.now.Sub(req.admittedAt))
		sim.results.recordRefusal(req, f.Reason)
		return
	}
	sim.results.recordRetry()
	sim.after(delay, func() { sim.attempt(req) })
}

func (sim *simulation) finishRequest(req *request) {
	sim.admitter.RequestEnded(sim.now, req.plan, sim.now.Sub(req.admittedAt))
	sim.after(sim.site.clientDelay, func() { sim.results.recordAnswer(req, sim.now) })
}
