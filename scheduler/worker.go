package scheduler

// This file defines the scheduler's state of one worker: its lease, its last
// report, and the time from which its runs have provably stopped.
//
// A lease ends at a reading of the worker's clock. A report carries a reading of
// that clock taken between the request and the answer, which bounds the end of
// the lease on the scheduler's clock:
//
//	certainly valid until  time of request + (lease end - clock)
//	certainly lapsed from  time of answer  + (lease end - clock) + margin for clock drift
//
// A request that is delayed in the network changes neither bound.

import (
	"errors"
	"slices"
	"time"

	pv "persimmonvalve"
)

// worker is the state of one worker.
type worker struct {
	info   pv.WorkerInfo
	listed bool // the platform lists it

	epoch             int64     // of the current lease ID
	leaseCallID       int64     // 0 if none is in flight
	renewAt           time.Time // earliest time of the next lease call
	incarnation       pv.Incarnation
	reportedInEpoch   bool // a lease call of the current epoch was answered
	reportCurrent     bool // report is of the current lease ID, and no later lease call failed
	report            pv.WorkerReport
	reportRequestedAt time.Time     // when the lease call was sent
	reportReceivedAt  time.Time     // when the report was received
	leaseEnd          time.Duration // latest lease end sent or reported, on the worker's clock
	renewalUnanswered bool          // a renewal was sent and not answered
	leaseValidUntil   time.Time     // before it the lease is certainly valid
	leaseLapsedAt     time.Time     // from it on all runs under the lease have certainly stopped
	lapsed            bool          // leaseLapsedAt has passed: no run of this cell is left on the worker

	consecutiveFailures int // failed attempts of any kind since one finished
	quarantinedUntil    time.Time
	quarantineDuration  time.Duration // of the last quarantine; 0 if a task has finished since then
}

// SetWorkers sets the list of the cell's workers. A worker that is no longer
// listed keeps its tasks until they have provably ended.
func (c *Core) SetWorkers(infos []pv.WorkerInfo) {
	for _, w := range c.workers {
		w.listed = false
	}
	for _, info := range infos {
		w, ok := c.workers[info.ID]
		if !ok {
			w = &worker{leaseLapsedAt: c.inheritedLapseAt()}
			c.workers[info.ID] = w
			c.workerIDs = append(c.workerIDs, info.ID)
		}
		w.info = info
		w.listed = true
	}
	c.addUnlistedWorkers()
	slices.Sort(c.workerIDs)
}

// addUnlistedWorkers adds the workers that have started tasks in the ledger but
// aren't listed: their leases still have to lapse.
func (c *Core) addUnlistedWorkers() {
	for id := range c.ledger.Reserved {
		if _, ok := c.workers[id]; !ok {
			c.workers[id] = &worker{info: pv.WorkerInfo{ID: id}, leaseLapsedAt: c.inheritedLapseAt()}
			c.workerIDs = append(c.workerIDs, id)
		}
	}
}

// inheritedLapseAt returns the time from which every lease that a predecessor
// can have renewed has lapsed. A predecessor that handed over had stopped granting
// and renewing leases; any other may have gone on until its authority timeout.
func (c *Core) inheritedLapseAt() time.Time {
	wait := c.settings.LeaseDuration + c.settings.LapseMargin
	if !c.cleanTakeover {
		wait += c.settings.AuthorityTimeout
	}
	return c.takenOverAt.Add(wait)
}

// leaseID returns the current lease ID of a worker.
func (c *Core) leaseID(w *worker) pv.LeaseID {
	return pv.LeaseID{Cell: c.cell, Term: c.term, Epoch: w.epoch}
}

// checkLapse marks a worker's lease as lapsed once it provably is, and begins a
// new epoch, so that earlier calls that arrive late have no effect.
func (c *Core) checkLapse(now time.Time, w *worker) {
	if w.lapsed || now.Before(w.leaseLapsedAt) {
		return
	}
	w.lapsed = true
	w.epoch++
	w.reportedInEpoch = false
	w.reportCurrent = false
	w.renewalUnanswered = false
	w.leaseEnd = 0
	c.Counters.LeaseLapses++
}

// renew returns the next lease call of a worker if it is due. The first call of
// an epoch only sets the lease ID and fetches a report; it sets no lease end.
func (c *Core) renew(now time.Time, w *worker) []Call {
	if !w.listed || w.leaseCallID != 0 || now.Before(w.renewAt) {
		return nil
	}
	w.renewAt = now.Add(c.settings.LeaseRenewalInterval)
	request := &pv.LeaseRequest{Lease: c.leaseID(w), Adopt: w.epoch == 0}
	if w.reportedInEpoch {
		request.Incarnation = w.incarnation
		request.LeaseEnd = c.extendLease(now, w)
		request.Acknowledged = c.acknowledgedAttempts(w)
	}
	call := c.registerCall(now, Call{Worker: w.info, Lease: request})
	w.leaseCallID = call.ID
	c.Counters.LeaseCalls++
	return []Call{call}
}

// extendLease extends a worker's lease by settings.LeaseDuration from now and returns its
// end on the worker's clock. It moves leaseLapsedAt before the call is sent. While
// the last renewal is unanswered it returns the same end again, since otherwise
// the lease of an unreachable worker would never lapse.
func (c *Core) extendLease(now time.Time, w *worker) time.Duration {
	if w.renewalUnanswered {
		return w.leaseEnd
	}
	w.renewalUnanswered = true
	age := now.Sub(w.reportReceivedAt)
	leaseEnd := w.report.Clock + age + c.settings.LeaseDuration
	if leaseEnd > w.leaseEnd {
		w.leaseEnd = leaseEnd
		w.leaseLapsedAt = c.lapseTime(w, leaseEnd)
		w.lapsed = false
	}
	return w.leaseEnd
}

// lapseTime returns the time from which the worker's clock has certainly passed
// a reading.
func (c *Core) lapseTime(w *worker, reading time.Duration) time.Time {
	return w.reportReceivedAt.Add(reading - w.report.Clock + c.settings.LapseMargin)
}

// acknowledgedAttempts returns the ended attempts in the last report that the
// ledger no longer has as started.
func (c *Core) acknowledgedAttempts(w *worker) []pv.AttemptID {
	var ids []pv.AttemptID
	for _, r := range w.report.Runs {
		if r.State != pv.AttemptRunning && !c.startedOn(r.AttemptID, w.info.ID) {
			ids = append(ids, r.AttemptID)
		}
	}
	return ids
}

func (c *Core) handleLeaseResult(now time.Time, call Call, result CallResult) {
	w := c.workers[call.Worker.ID]
	if w.leaseCallID != call.ID {
		return
	}
	w.leaseCallID = 0
	if result.Err != nil {
		c.leaseCallFailed(now, w, call, result.Err)
		return
	}
	if result.Report.Lease != c.leaseID(w) || call.Lease.Lease != c.leaseID(w) {
		return // the epoch has lapsed since the call was sent
	}
	c.applyReport(now, w, call, result.Report)
}

// leaseCallFailed handles a lease call that was refused or not answered. A worker
// refuses a call if it has accepted a higher lease ID, or if the lease has lapsed
// on it. The failure proves neither: only the time leaseLapsedAt proves that the
// lease has lapsed, and only the stream shows another holder's claim.
func (c *Core) leaseCallFailed(now time.Time, w *worker, call Call, err error) {
	if errors.Is(err, pv.ErrRefused) && call.Lease.LeaseEnd == 0 && w.lapsed {
		// A first call of an epoch was refused: its lease ID has lapsed on the worker
		// or was used in an earlier call. The next call uses a new ID.
		w.epoch++
	}
	w.leaseValidUntil = time.Time{}
	w.reportCurrent = false
}

// applyReport applies a report under the current lease ID.
func (c *Core) applyReport(now time.Time, w *worker, call Call, report pv.WorkerReport) {
	if w.incarnation != report.Incarnation {
		w.incarnation = report.Incarnation
		w.leaseEnd = 0
	}
	w.reportedInEpoch = true
	w.reportCurrent = true
	w.renewalUnanswered = false
	w.report = report
	w.reportRequestedAt = call.SentAt
	w.reportReceivedAt = now
	w.leaseEnd = max(w.leaseEnd, report.LeaseEnd)
	// A worker that has accepted this lease ID refuses every predecessor, so only
	// the lease end that it has reported or been sent counts from now on.
	w.leaseLapsedAt = c.lapseTime(w, max(w.leaseEnd, report.Clock))
	w.lapsed = false
	w.leaseValidUntil = call.SentAt.Add(report.LeaseEnd - report.Clock)
	if !w.leaseValidUntil.After(now) {
		w.renewAt = now // no valid lease yet: renew it in the next tick
	}
	c.observeUse(now, w)
}

// leased reports whether the worker's lease is certainly valid and its report is
// current.
func (w *worker) leased(now time.Time) bool {
	return w.reportCurrent && now.Before(w.leaseValidUntil)
}

// observeUse passes the measured use and slowdown of each running attempt to the
// placer.
func (c *Core) observeUse(now time.Time, w *worker) {
	running := c.reportedNeighbours(w, pv.AttemptID{})
	for _, r := range w.report.Runs {
		t, ok := c.ledger.Tasks[r.Task]
		if !ok || r.State != pv.AttemptRunning || r.Used == (pv.Resources{}) {
			continue // not measured yet: use is reported with a lag
		}
		c.placer.Observe(now, pv.Observation{
			Worker:     w.info.ID,
			Kind:       t.Spec.Kind,
			Class:      t.Spec.Class,
			Declared:   t.Spec.Size,
			Used:       c.unthrottledUse(r),
			Slowdown:   r.Slowdown,
			Neighbours: withoutOneOf(running, t.Spec.Kind),
		})
	}
}

// unthrottledUse returns the estimated use of an attempt without its throttle:
// all components but memory are scaled by 1 / throttledShare.
func (c *Core) unthrottledUse(r pv.AttemptStatus) pv.Resources {
	s, ok := c.attempts[r.AttemptID]
	if !ok || !s.throttled {
		return r.Used
	}
	used := r.Used.Scale(throttleDenominator, throttleNumerator)
	used.MemoryMB = r.Used.MemoryMB // a throttle doesn't reduce memory
	return used
}

// withoutOneOf returns neighbours without the first one of the given kind.
func withoutOneOf(neighbours []pv.Neighbour, kind string) []pv.Neighbour {
	i := slices.IndexFunc(neighbours, func(n pv.Neighbour) bool { return n.Kind == kind })
	if i < 0 {
		return neighbours
	}
	return slices.Delete(slices.Clone(neighbours), i, i+1)
}

// reportedNeighbours returns the tasks that a worker reported as running, except
// one attempt.
func (c *Core) reportedNeighbours(w *worker, except pv.AttemptID) []pv.Neighbour {
	var out []pv.Neighbour
	for _, r := range w.report.Runs {
		t, ok := c.ledger.Tasks[r.Task]
		if ok && r.State == pv.AttemptRunning && r.AttemptID != except {
			out = append(out, pv.Neighbour{Kind: t.Spec.Kind, Class: t.Spec.Class, Reserve: t.Reserve})
		}
	}
	return out
}
