package supervisor

// This file defines how the worker is watched: one look after the other, each
// of which extends the lease, acknowledges stored ends, and waits for new ones.

import (
	"context"
	"time"

	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/internal/logfield"
	"persimmonvalve/messenger"
)

type lookRequest struct {
	worker       pv.WorkerID
	life         int64
	authority    pv.Authority
	acknowledged int64
	wait         time.Duration
	number       int64
	ok           bool
}

func (v *Supervisor) watch(ctx context.Context) {
	for ctx.Err() == nil {
		var q lookRequest
		if !v.control.Do(func() { q = v.nextLook() }) {
			return
		}
		if !q.ok {
			v.idle(ctx, tickEvery)
			continue
		}
		call, cancel := context.WithTimeout(ctx, q.wait+lookSlack)
		runs, err := v.worker.Poll(call, q.worker, q.authority, q.acknowledged, q.wait)
		cancel()
		if ctx.Err() != nil {
			return
		}
		var open bool
		if !v.control.Do(func() { open = v.looked(q, runs, err) }) {
			return
		}
		switch {
		case err != nil:
			v.idle(ctx, tickEvery)
		case open:
			v.idle(ctx, ackWait) // unacknowledged ends would be answered again at once
		case q.wait == 0:
			v.idle(ctx, nextLookAfter)
		}
	}
}

// idle waits until it is worth to look, at most for d.
func (v *Supervisor) idle(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-v.look:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (v *Supervisor) nextLook() lookRequest {
	if v.authority.Token == 0 || v.life != v.state.Incarnation || v.departed {
		return lookRequest{}
	}
	select { // what woke the loop is in this look
	case <-v.look:
	default:
	}
	v.lookNumber++
	q := lookRequest{worker: v.state.ID, life: v.life, authority: v.authority, acknowledged: v.ackedEnds, wait: lookWait, number: v.lookNumber, ok: true}
	if v.inDoubt() {
		q.acknowledged = 0 // a new life would forget ends that nobody has seen
	}
	for _, r := range v.runs {
		if v.canReport() && (r.phase == closed || r.phase == started && !r.listed) {
			q.wait = 0 // what became of it is worth knowing now
			break
		}
	}
	return q
}

// doubt notes that a call failed: the worker may be in another life by now.
// Until a look that begins later shows its life, it gets no starts and no
// acknowledgements, whose numbers would mean other ends there.
func (v *Supervisor) doubt() { v.doubted = max(v.lookNumber, 1) }

func (v *Supervisor) inDoubt() bool { return v.doubted > 0 }

// canReport reports whether a leader can be told of the worker.
func (v *Supervisor) canReport() bool { return v.link != nil && v.beat }

// looked takes in what the worker answered and reports it. It returns whether
// ends are listed that aren't acknowledged yet.
func (v *Supervisor) looked(q lookRequest, runs pv.WorkerRuns, err error) bool {
	if q.life != v.state.Incarnation {
		return false
	}
	if err != nil {
		if !v.lookLost {
			v.lookLost = true
			v.logger.Warn("supervisor: worker lost", zap.String("worker", string(q.worker)), zap.Int64("life", q.life), logfield.Error(err))
		}
		v.metrics.looksLost.Inc()
		v.doubt()
		return false
	}
	if v.lookLost {
		v.lookLost = false
		v.logger.Info("supervisor: worker back", zap.String("worker", string(q.worker)), zap.Int64("life", runs.Incarnation))
	}
	if runs.Incarnation != v.state.Incarnation {
		if runs.Incarnation > v.state.Incarnation {
			v.beginLife(q.worker, runs.Incarnation)
			v.stateToSend = true
			v.sendState()
		}
		return false
	}
	now := time.Now()
	v.lookedAt = now
	if q.number > v.doubted {
		v.doubted = 0
	}
	out := messenger.Report{Worker: v.state, Deregistered: v.departed, Polled: true, Token: q.authority.Token}
	out.Runs = pv.WorkerRuns{Incarnation: runs.Incarnation, Clock: runs.Clock}
	present := make(map[pv.RunRef]bool, len(runs.Running)+len(runs.Ended))
	// Only a look under the leader's newest authority may take ends off the list
	// of those to report: the leader ignores others.
	news, heard := false, v.canReport() && q.authority.Token == v.authority.Token
	out.EndsAfter = v.reported
	for _, e := range runs.Ended {
		present[e.Run] = true
		delete(v.runs, e.Run)
		v.pacer.forget(e.Run)
		if heard && e.Number > v.reported {
			out.Runs.Ended = append(out.Runs.Ended, e)
			v.reported = e.Number
			news = true
		}
	}
	for _, s := range runs.Running {
		present[s.Run] = true
		r, ok := v.runs[s.Run]
		if !ok {
			if v.told && q.authority.Token == v.authority.Token {
				v.closeRun(s.Run, "notInOrders")
			}
			continue
		}
		news = news || !r.reported
		r.listed, r.reported = true, true
		if r.phase == starting {
			r.phase, r.since = started, q.number
		}
	}
	for ref, r := range v.runs {
		if present[ref] || q.number <= r.since {
			continue
		}
		switch r.phase {
		case started:
			v.closeRun(ref, "vanished")
		case closed:
			if !heard {
				continue
			}
			delete(v.runs, ref)
			v.pacer.forget(ref)
			out.Absent = append(out.Absent, ref)
			news = true
		}
	}
	if news || now.Sub(v.reportedAt) >= reportRunning {
		out.Runs.Running = runs.Running
		v.reportedAt = now
	}
	if heard {
		v.link.Send(frame(out))
	}
	v.makeDue(now)
	v.adjustPaces(now, runs.Running)
	return len(runs.Ended) > 0
}
