package experimenter

// This file defines quick requests: from the client through admission, routing
// and retries to a fake endpoint whose speed depends on its neighbours.

import (
	"time"

	pv "persimmonvalve"
	"persimmonvalve/admitter"
	"persimmonvalve/retrier"
	"persimmonvalve/router"
	"persimmonvalve/standin"
)

// Sizes of the endpoints and requests.
const (
	endpointSlots       = 8
	endpointConnections = 64
	meanService         = 20 * time.Millisecond
	sameRegionDelay     = 500 * time.Microsecond
	otherRegionDelay    = 20 * time.Millisecond
	requestBytes        = 4000
	retryLimit          = 3
)

// server is one fake endpoint.
type server struct {
	slowdown float64
	delay    time.Duration // one way from the entry
	remote   bool
	busy     int
	queue    []*quick
	gone     bool
	running  map[*quick]bool
}

func (w *world) updateServer(name string, info pv.WorkerInfo, worker *standin.WorkerCore, a pv.AttemptID) {
	s, ok := w.servers[name]
	if !ok {
		s = &server{delay: sameRegionDelay, running: map[*quick]bool{}}
		if info.Place.Region != "near" {
			s.delay, s.remote = otherRegionDelay, true
		}
		w.servers[name] = s
	}
	s.slowdown, _ = worker.Slowdown(w.now, a)
}

// quick is one quick request.
type quick struct {
	plan     string
	arrived  time.Time
	deadline time.Time
	admitted time.Time
	tries    int
	ran      bool
	tried    map[string]bool
}

func (w *world) arrive(plan string) {
	q := &quick{plan: plan, arrived: w.now, deadline: w.now.Add(w.site.deadline), tried: map[string]bool{}}
	w.after(w.site.client, func() { w.offer(q) })
}

func (w *world) offer(q *quick) {
	ticket := &admitter.Ticket{Plan: q.plan, Deadline: q.deadline, Decided: func(reason pv.Reason) {
		if reason != pv.NoReason {
			w.results.refused(q, reason)
			return
		}
		w.enter(q)
	}}
	switch d := w.admission.Offer(w.now, ticket); {
	case d.Admitted:
		w.enter(q)
	case !d.Waiting:
		w.results.refused(q, d.Reason)
	}
}

func (w *world) enter(q *quick) {
	q.admitted = w.now
	w.retries.First()
	w.try(q)
}

func (w *world) try(q *quick) {
	e, reason := w.choose(w.now, q.tried, requestBytes)
	if e == nil {
		w.retry(q, retrier.Failure{Reason: reason, NotRun: true})
		return
	}
	q.tries++
	q.tried[e.Member.Name] = true
	w.routing.Began(e)
	s := w.servers[e.Member.Name]
	if s == nil || s.gone {
		w.after(sameRegionDelay, func() { w.refusedBy(q, e, pv.ReasonConnect) })
		return
	}
	if s.remote {
		w.results.link(requestBytes)
	}
	sent := w.now
	w.after(s.delay, func() { w.reach(q, e, s, sent) })
}

// reach is the endpoint's guard.
func (w *world) reach(q *quick, e *router.Endpoint, s *server, sent time.Time) {
	switch {
	case s.gone:
		w.after(s.delay, func() { w.refusedBy(q, e, pv.ReasonConnect) })
	case s.busy < endpointSlots:
		w.serve(q, e, s, sent)
	case s.busy+len(s.queue) < endpointConnections:
		s.queue = append(s.queue, q)
		q.tried[e.Member.Name] = true
		w.pending(q, e, s, sent)
	default:
		w.after(s.delay, func() { w.refusedBy(q, e, pv.ReasonEndpointFul) })
	}
}

// pending waits for a slot; the queue's order is that of arrival.
func (w *world) pending(q *quick, e *router.Endpoint, s *server, sent time.Time) {
	w.after(time.Millisecond, func() {
		switch {
		case s.gone:
			w.refusedBy(q, e, pv.ReasonConnect)
		case w.now.After(q.deadline):
			s.remove(q)
			w.refusedBy(q, e, pv.ReasonTimeout)
		case len(s.queue) > 0 && s.queue[0] == q && s.busy < endpointSlots:
			s.queue = s.queue[1:]
			w.serve(q, e, s, sent)
		default:
			w.pending(q, e, s, sent)
		}
	})
}

func (s *server) remove(q *quick) {
	for i, o := range s.queue {
		if o == q {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

func (w *world) serve(q *quick, e *router.Endpoint, s *server, sent time.Time) {
	s.busy++
	s.running[q] = true
	q.ran = true
	base := meanService/2 + w.exponential(meanService.Seconds()/2)
	w.after(time.Duration(float64(base)*s.slowdown), func() {
		if s.gone {
			w.routing.Answered(w.now, e, w.now.Sub(sent), false)
			w.retry(q, retrier.Failure{Reason: pv.ReasonCut})
			return
		}
		s.busy--
		delete(s.running, q)
		w.after(s.delay, func() {
			w.routing.Answered(w.now, e, w.now.Sub(sent), true)
			w.finish(q)
		})
	})
}

func (s *server) vanish(*world) {
	s.gone = true
	s.queue = nil
}

func (w *world) refusedBy(q *quick, e *router.Endpoint, reason pv.Reason) {
	if reason == pv.ReasonConnect {
		w.routing.Answered(w.now, e, 0, false)
	} else {
		w.routing.Refused(w.now, e, reason)
	}
	w.retry(q, retrier.Failure{Reason: reason, NotRun: true})
}

func (w *world) retry(q *quick, f retrier.Failure) {
	wait, stop := w.retries.Next(w.now, retrier.Request{Tries: max(q.tries, 1), Limit: retryLimit, Idempotent: true, Deadline: q.deadline}, f)
	if stop != pv.NoReason {
		w.admission.Done(w.now, q.plan, w.now.Sub(q.admitted))
		w.results.refused(q, f.Reason)
		return
	}
	w.results.retried()
	w.after(wait, func() { w.try(q) })
}

func (w *world) finish(q *quick) {
	w.admission.Done(w.now, q.plan, w.now.Sub(q.admitted))
	w.after(w.site.client, func() { w.results.answered(q, w.now) })
}
