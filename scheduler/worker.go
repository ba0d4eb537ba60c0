package scheduler

// This file defines what the scheduler knows of one worker: its lease, its
// last report, and when whatever it ran has provably stopped.
//
// A lease ends at a reading of the worker's clock. A report that left at some
// time between request and answer ties that clock to ours: the lease is
// certainly valid until request time + rest, and certainly over at answer time
// + rest + drift. Requests delayed in the network can't move either bound.

import (
	"errors"
	"slices"
	"time"

	pv "persimmonvalve"
)

type worker struct {
	info   pv.WorkerInfo
	listed bool // the platform still lists it

	epoch       int64
	leaseCall   int64 // in flight
	nextLease   time.Time
	incarnation pv.Incarnation
	met         bool // it answered under the present epoch
	fresh       bool // a report came under the present lease
	report      pv.WorkerReport
	reportAt    time.Time     // when the report's request was sent
	gotAt       time.Time     // when the report came
	until       time.Duration // highest grant on the worker's clock
	unanswered  bool          // a grant was sent and not answered
	validUntil  time.Time     // certainly leased until
	lapsedAt    time.Time     // certainly stopped from then on
	lapsed      bool          // nothing of ours runs there

	failures   int // in a row, of kinds that run elsewhere
	quarantine time.Time
	pause      time.Duration
}

// SetFleet tells the scheduler which workers its cell has now. A worker that
// is no longer listed keeps its tasks until they provably ended.
func (c *Core) SetFleet(infos []pv.WorkerInfo) {
	for _, w := range c.workers {
		w.listed = false
	}
	for _, i := range infos {
		w, ok := c.workers[i.ID]
		if !ok {
			w = &worker{lapsedAt: c.inheritedLapse()}
			c.workers[i.ID] = w
			c.order = append(c.order, i.ID)
		}
		w.info = i
		w.listed = true
	}
	c.addOrphans()
	slices.Sort(c.order)
}

// addOrphans adds workers that the ledger says run something but that are no
// longer listed: their leases still have to lapse.
func (c *Core) addOrphans() {
	for id := range c.ledger.Used {
		if _, ok := c.workers[id]; !ok {
			c.workers[id] = &worker{info: pv.WorkerInfo{ID: id}, lapsedAt: c.inheritedLapse()}
			c.order = append(c.order, id)
		}
	}
}

// inheritedLapse returns when every lease that a predecessor could have
// granted is over. A predecessor that handed over had stopped granting; any
// other may have gone on for as long as its authority lasted.
func (c *Core) inheritedLapse() time.Time {
	wait := c.settings.Lease + c.settings.Drift
	if !c.clean {
		wait += c.settings.Authority
	}
	return c.from.Add(wait)
}

func (c *Core) leaseID(w *worker) pv.LeaseID {
	return pv.LeaseID{Cell: c.cell, Term: c.term, Epoch: w.epoch}
}

// checkLapse declares a worker's lease lapsed once it provably is, and opens a
// new epoch, so that nothing sent before can take effect afterwards.
func (c *Core) checkLapse(now time.Time, w *worker) {
	if w.lapsed || now.Before(w.lapsedAt) {
		return
	}
	w.lapsed = true
	w.epoch++
	w.met = false
	w.fresh = false
	w.unanswered = false
	w.until = 0
	c.Counters.Lapses++
}

// renew sends the next lease call of a worker, if it is due. The first call of
// an epoch only asks for a report and takes the lease id over.
func (c *Core) renew(now time.Time, w *worker) []Call {
	if !w.listed || w.leaseCall != 0 || now.Before(w.nextLease) {
		return nil
	}
	w.nextLease = now.Add(c.settings.RenewEvery)
	request := &pv.LeaseRequest{Lease: c.leaseID(w), Adopt: w.epoch == 0}
	if w.met {
		request.Incarnation = w.incarnation
		request.Until = c.grant(now, w)
		request.Forget = c.forgettable(w)
	}
	call := c.call(now, Call{Worker: w.info, Lease: request})
	w.leaseCall = call.ID
	c.Counters.LeaseCalls++
	return []Call{call}
}

// grant returns the worker's clock reading until which the lease is prolonged,
// and moves the time from which it counts as lapsed before the call leaves. It
// prolongs nothing while the last grant is unanswered; otherwise the lease of
// a worker that can't be reached would never lapse.
func (c *Core) grant(now time.Time, w *worker) time.Duration {
	if w.unanswered {
		return w.until
	}
	w.unanswered = true
	age := now.Sub(w.gotAt)
	until := w.report.Clock + age + c.settings.Lease
	if until > w.until {
		w.until = until
		w.lapsedAt = c.endOf(w, until)
		w.lapsed = false
	}
	return w.until
}

// endOf returns when the worker's clock has certainly passed a reading.
func (c *Core) endOf(w *worker, reading time.Duration) time.Time {
	return w.gotAt.Add(reading - w.report.Clock + c.settings.Drift)
}

// forgettable returns the ended attempts that the ledger has recorded.
func (c *Core) forgettable(w *worker) []pv.AttemptID {
	var ids []pv.AttemptID
	for _, r := range w.report.Runs {
		if r.State != pv.RunRunning && !c.current(r.AttemptID, w.info.ID) {
			ids = append(ids, r.AttemptID)
		}
	}
	return ids
}

func (c *Core) leaseAnswered(now time.Time, call Call, result CallResult) {
	w := c.workers[call.Worker.ID]
	if w.leaseCall != call.ID {
		return
	}
	w.leaseCall = 0
	if result.Err != nil {
		c.leaseRefused(now, w, call, result.Err)
		return
	}
	if result.Report.Lease != c.leaseID(w) || call.Lease.Lease != c.leaseID(w) {
		return // of an epoch that has lapsed since
	}
	c.takeReport(now, w, call, result.Report)
}

// leaseRefused handles a worker that knows a higher lease or let ours lapse.
// Nothing is concluded: the lapse is proved by time, or another holder's claim
// by the stream.
func (c *Core) leaseRefused(now time.Time, w *worker, call Call, err error) {
	if errors.Is(err, pv.ErrRefused) && call.Lease.Until == 0 && w.lapsed {
		w.epoch++ // this id has lapsed there, or the worker answered it before
	}
	w.validUntil = time.Time{}
	w.fresh = false
}

// takeReport takes in a report under the present lease.
func (c *Core) takeReport(now time.Time, w *worker, call Call, report pv.WorkerReport) {
	if w.incarnation != report.Incarnation {
		w.incarnation = report.Incarnation
		w.until = 0
	}
	w.met = true
	w.fresh = true
	w.unanswered = false
	w.report = report
	w.reportAt = call.SentAt
	w.gotAt = now
	w.until = max(w.until, report.Until)
	// Meeting the worker under this lease fences every predecessor, so that
	// only what it has been granted counts from now on.
	w.lapsedAt = c.endOf(w, max(w.until, report.Clock))
	w.lapsed = false
	w.validUntil = call.SentAt.Add(report.Until - report.Clock)
	if !w.validUntil.After(now) {
		w.nextLease = now // it was asked only; grant at once
	}
	c.observe(now, w)
}

// leased reports whether the worker's lease is certainly valid now and its
// report is of this lease.
func (w *worker) leased(now time.Time) bool {
	return w.fresh && now.Before(w.validUntil)
}

func (c *Core) observe(now time.Time, w *worker) {
	running := c.neighbours(w, pv.AttemptID{})
	for _, r := range w.report.Runs {
		t, ok := c.ledger.Tasks[r.Task]
		if !ok || r.State != pv.RunRunning || r.Used == (pv.Resources{}) {
			continue // not measured yet: use is reported with a lag
		}
		c.placer.Observe(now, pv.Observation{
			Worker:     w.info.ID,
			Kind:       t.Spec.Kind,
			Class:      t.Spec.Class,
			Declared:   t.Spec.Size,
			Used:       c.atFullSpeed(r),
			Slowdown:   r.Slowdown,
			Neighbours: without(running, t.Spec.Kind),
		})
	}
}

// atFullSpeed returns what an attempt would use without its throttle.
func (c *Core) atFullSpeed(r pv.Run) pv.Resources {
	s, ok := c.attempts[r.AttemptID]
	if !ok || !s.throttled {
		return r.Used
	}
	used := r.Used.Scale(throttleDenominator, throttleNumerator)
	used.MemoryMB = r.Used.MemoryMB // a throttle takes no memory away
	return used
}

// without returns neighbours less one of a kind.
func without(neighbours []pv.Neighbour, kind string) []pv.Neighbour {
	i := slices.IndexFunc(neighbours, func(n pv.Neighbour) bool { return n.Kind == kind })
	if i < 0 {
		return neighbours
	}
	return slices.Delete(slices.Clone(neighbours), i, i+1)
}

// neighbours returns what runs on a worker, except one attempt.
func (c *Core) neighbours(w *worker, except pv.AttemptID) []pv.Neighbour {
	var out []pv.Neighbour
	for _, r := range w.report.Runs {
		t, ok := c.ledger.Tasks[r.Task]
		if ok && r.State == pv.RunRunning && r.AttemptID != except {
			out = append(out, pv.Neighbour{Kind: t.Spec.Kind, Class: t.Spec.Class, Reserve: t.Reserve})
		}
	}
	return out
}
