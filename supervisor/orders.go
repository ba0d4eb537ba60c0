package supervisor

// This file defines the runs that the leader ordered, and the calls that carry
// the orders out.
//
// An order is wanted until its end is listed. A call without an answer is made
// again with the same attempt number, which the worker takes as the same run.
// A run that must not be there is closed: once the worker has confirmed the
// stop, and a look that began later doesn't list it, it can't begin any more,
// and the leader is told that it is gone.

import (
	"context"
	"time"

	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/internal/wire"
	"persimmonvalve/messenger"
)

type phase int

const (
	starting phase = iota // the worker hasn't confirmed it
	started
	closing // the worker hasn't confirmed the stop
	closed
)

type order struct {
	order    pv.RunOrder
	phase    phase
	since    int64 // looks with a higher number began after the phase was reached
	calling  bool
	callAt   time.Time // earliest next call
	listed   bool      // a look listed it
	reported bool      // the leader was told that it is listed
	sent     bool      // a start may have reached the worker
}

// call is one start or stop to be made.
type call struct {
	worker    pv.WorkerID
	life      int64
	authority pv.Authority
	order     pv.RunOrder
	stop      bool
	pace      int // percent of a pace call, if pacing
	pacing    bool
}

func (v *Supervisor) takeOrders(o *wire.WorkerOrders) {
	id := pv.WorkerID(o.Worker)
	if !v.beat && v.state.Incarnation == 0 {
		v.state.ID, v.state.Incarnation = id, o.Life // this process is new and the leader knows the worker
	}
	if id != v.state.ID || o.Life != v.state.Incarnation {
		v.stateToSend = true
		v.sendState() // the leader doesn't know of this life yet
		return
	}
	if o.Token != v.authority.Token || o.Life != v.life || o.Whole {
		v.reported = 0
		v.wakeLook()
	}
	until := time.Duration(o.UntilMs) * time.Millisecond
	if o.Token == v.authority.Token && o.Life == v.life {
		until = max(until, v.authority.Until)
	}
	v.authority, v.life = pv.Authority{Token: o.Token, Until: until}, o.Life
	if o.Acknowledged > v.ackedEnds || o.Whole {
		v.ackedEnds = o.Acknowledged
		v.wakeLook()
	}
	for _, p := range o.Presses {
		press := messenger.DecodeCoefficient(p)
		v.pacer.presses[press.Pair] = press.PerCore
	}
	wanted := map[pv.RunRef]bool{}
	for _, s := range o.Starts {
		start := messenger.DecodeStart(s)
		wanted[start.Run] = true
		if _, ok := v.runs[start.Run]; !ok {
			v.runs[start.Run] = &order{order: start}
		}
	}
	for _, s := range o.Stops {
		ref := messenger.DecodeRun(s)
		wanted[ref] = true
		v.closeRun(ref, "ordered")
	}
	if o.Whole {
		v.told = true
		for ref, r := range v.runs {
			if !wanted[ref] && r.phase < closing {
				v.closeRun(ref, "notInOrders")
			}
		}
	}
	v.makeDue(time.Now())
}

func (v *Supervisor) closeRun(ref pv.RunRef, reason string) {
	r, ok := v.runs[ref]
	if !ok {
		r = &order{order: pv.RunOrder{Run: ref}}
		v.runs[ref] = r
	}
	if r.phase >= closing {
		return
	}
	r.phase, r.callAt = closing, time.Time{}
	v.metrics.closed.WithLabelValues(reason).Inc()
	v.logger.Info("supervisor: run closes", zap.Stringer("task", ref.Task), zap.Int("attempt", ref.Attempt), zap.String("reason", reason), zap.Int64("token", v.authority.Token))
}

// startFresh is the age of a look at which no start is sent on its strength.
const startFresh = 1200 * time.Millisecond

// mayStart reports whether a start may be sent. A worker that isn't heard may be
// reborn at any moment and would take the order in its new life, after the
// leader has given its lease up. A first order that
// never left is given back.
func (v *Supervisor) mayStart(now time.Time, r *order) bool {
	if v.authority.Until == 0 || v.lookedAt.IsZero() {
		return false // the worker's clock isn't known yet
	}
	if now.Sub(v.lookedAt) < startFresh {
		return !v.inDoubt()
	}
	if r.order.FirstSend && !r.sent && v.canReport() {
		ref := r.order.Run
		delete(v.runs, ref)
		v.metrics.closed.WithLabelValues("workerLost").Inc()
		v.logger.Info("supervisor: run given back", zap.Stringer("task", ref.Task), zap.Int("attempt", ref.Attempt), zap.Int64("lookAgeMs", now.Sub(v.lookedAt).Milliseconds()))
		v.link.Send(frame(messenger.Report{Worker: v.state, Deregistered: v.departed, Token: v.authority.Token, Absent: []pv.RunRef{ref}}))
	}
	return false
}

// makeDue queues the calls that are due.
func (v *Supervisor) makeDue(now time.Time) {
	if v.authority.Token == 0 || v.life != v.state.Incarnation {
		return
	}
	for ref, r := range v.runs {
		if r.phase == starting && v.state.Draining {
			v.closeRun(ref, "workerLeaving")
		}
		if r.calling || r.phase == started || r.phase == closed || now.Before(r.callAt) {
			continue
		}
		if r.phase == starting && !v.mayStart(now, r) {
			continue
		}
		select {
		case v.calls <- call{worker: v.state.ID, life: v.life, authority: v.authority, order: r.order, stop: r.phase == closing}:
			r.calling = true
		default:
			return // the next tick tries again
		}
	}
}

func (v *Supervisor) makeCalls(ctx context.Context) {
	for {
		select {
		case c := <-v.calls:
			v.makeCall(ctx, c)
		case <-ctx.Done():
			return
		}
	}
}

func (v *Supervisor) makeCall(ctx context.Context, c call) {
	timed, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch {
	case c.pacing:
		err := v.worker.SetCPULimit(timed, c.worker, c.authority, c.order.Run, c.pace)
		v.control.Post(func() { v.paced(c, err) })
	case c.stop:
		err := v.worker.Stop(timed, c.worker, c.authority, c.order.Run)
		v.control.Post(func() { v.stopped(c, err) })
	default:
		answer, err := v.worker.Start(timed, c.worker, c.authority, c.order)
		v.control.Post(func() { v.startAnswered(c, answer, err) })
	}
}

func (v *Supervisor) startAnswered(c call, answer pv.StartAnswer, err error) {
	r, ok := v.runs[c.order.Run]
	if !ok || c.life != v.state.Incarnation {
		return
	}
	r.calling = false
	v.metrics.starts.WithLabelValues(string(answer)).Inc()
	fields := []zap.Field{zap.Stringer("task", c.order.Run.Task), zap.Int("attempt", c.order.Run.Attempt), zap.String("answer", string(answer)), zap.Int64("token", c.authority.Token), zap.Duration("leaseEnd", c.authority.Until)}
	if err != nil {
		fields = append(fields, zap.NamedError("error", err))
	}
	v.logger.Info("supervisor: run ordered", fields...)
	if r.phase != starting {
		v.makeDue(time.Now())
		return // closed meanwhile
	}
	r.sent = r.sent || answer != pv.StartNotSent
	switch answer {
	case pv.StartNotSent:
		v.doubt()
		r.callAt = time.Now().Add(retryAfter)
	case pv.StartAccepted:
		r.phase, r.since = started, v.lookNumber
		v.paceNew(r.order)
	case pv.StartUnknown:
		v.doubt()
		r.callAt = time.Now().Add(retryAfter)
	case pv.StartFenced, pv.StartExpired:
		r.callAt = time.Now().Add(retryAfter)
	default:
		v.closeRun(c.order.Run, string(answer))
		v.makeDue(time.Now())
	}
}

func (v *Supervisor) stopped(c call, err error) {
	r, ok := v.runs[c.order.Run]
	if !ok || c.life != v.state.Incarnation {
		return
	}
	r.calling = false
	if err != nil {
		v.metrics.stopRetries.Inc()
		v.doubt()
		r.callAt = time.Now().Add(retryAfter)
		return
	}
	r.phase, r.since = closed, v.lookNumber
	v.wakeLook()
}

func (v *Supervisor) tick(now time.Time) {
	v.sendState()
	v.makeDue(now)
}
