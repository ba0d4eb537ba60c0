package planner

// This file defines the records of leases that no leader renews. Without them a leader that
// can't reach a worker has to assume that its predecessor renewed the worker's lease until its
// own term ended, and each further leader begins this wait anew.
//
// A leader that hasn't heard from a worker with runs for suspendAfter suspends the renewals of
// its lease: it stores how long the lease can still last, and that is binding for all leaders
// until the record is removed. A worker that answers again is renewed only once the removal is
// stored. A successor therefore ends the worker's runs when the time in the record has passed,
// counted from its own read of the record.

import (
	"encoding/json"
	"strings"
	"time"

	pv "persimmonvalve"
)

// leasePrefix is the prefix of the keys of lease records; the worker's id follows.
const leasePrefix = "lease/"

const (
	suspendAfter        = time.Second            // since the worker's last poll result
	leaseRecordInterval = 500 * time.Millisecond // between two records of a lease; a successor waits longer by at most this
	leasePassInterval   = 100 * time.Millisecond // between two searches for leases to suspend
	maxTickGap          = 250 * time.Millisecond // between ticks, above which the leader itself was stopped or slow
)

// leaseRecord states that no leader renews a worker's lease.
type leaseRecord struct {
	Epoch       int64 `json:"epoch"` // of the leader that wrote it
	Incarnation int64 `json:"life"`  // of the worker
	RemainingMS int64 `json:"remainingMs"`
}

// renewal states whether a worker's lease is renewed.
type renewal int

const (
	renewing  renewal = iota
	suspended         // a lease record is stored or being stored
	resuming          // the removal of the lease record is due or being stored
)

// Predecessors describes the terms before a leader's own.
type Predecessors struct {
	// LastAppendBy is a time after which no former leader has appended. The zero time stands
	// for that of the call of Restore.
	LastAppendBy time.Time
	// LeaseRecordsSince is the lowest epoch from which on all leaders abide by lease records.
	LeaseRecordsSince int64
}

// lapseTime returns when the worker's lease has certainly lapsed.
func (w *worker) lapseTime(s Settings) time.Time {
	if !w.lease.known() {
		return w.orphanDeadline
	}
	return w.lease.lapseTime(s)
}

// suspendRenewals marks the lease records as due of workers with runs that haven't been heard
// from. It also marks those to write again, and the removal of those that aren't needed any
// more.
func (p *Planner) suspendRenewals(now time.Time) {
	// After a gap without ticks silence is no sign that workers are lost: their reports may
	// wait to be handled.
	if now.Sub(p.lastTickAt) > maxTickGap {
		p.tickingSince = now
	}
	p.lastTickAt = now
	if now.Sub(p.lastLeasePassAt) < leasePassInterval {
		return
	}
	p.lastLeasePassAt = now
	for _, w := range p.workers {
		switch {
		case w.renewal == resuming:
		case len(w.runs) == 0:
			p.resumeRenewal(w)
		case w.renewal == suspended && now.Sub(w.leaseRecordedAt) >= leaseRecordInterval,
			w.renewal == renewing && now.Sub(w.heardAt) >= p.maxSilence(w) && now.Sub(p.tickingSince) >= suspendAfter:
			p.leaseRecordsDue[w] = true
			w.leaseRecordedAt = now
		}
	}
}

// maxSilence returns how long a worker may be silent until its lease is suspended. A new leader
// waits longer for the first answer, since it links to all supervisors at once.
func (p *Planner) maxSilence(w *worker) time.Duration {
	if !w.lease.known() {
		return p.settings.MaxReportAge
	}
	return suspendAfter
}

// resumeRenewal marks the removal of the worker's lease record as due, if there is one.
func (p *Planner) resumeRenewal(w *worker) {
	switch w.renewal {
	case renewing:
		delete(p.leaseRecordsDue, w)
	case suspended:
		w.renewal = resuming
		p.leaseRecordsDue[w] = true
	}
}

// sealLeaseRecords returns the lease records to store, and the workers whose lease may be
// renewed again once they are. It suspends the renewals for the others.
func (p *Planner) sealLeaseRecords() (records []pv.KeyedRecord, resumed []*worker) {
	for w := range p.leaseRecordsDue {
		id := w.state.ID
		record := pv.KeyedRecord{Key: leasePrefix + string(id)}
		if w.renewal == resuming {
			resumed = append(resumed, w)
		} else {
			if w.renewal == renewing {
				p.addEvent(Event{Kind: "lease suspended", Worker: id, Incarnation: w.state.Incarnation, FencingToken: w.fencingToken, ReportAge: w.leaseRecordedAt.Sub(w.lease.readAt)})
			}
			w.renewal = suspended
			// The lease may have been renewed since the record became due, by an earlier reading
			// of the worker's clock.
			remaining := max(0, w.lapseTime(p.settings).Sub(w.leaseRecordedAt))
			record.Value = encode(leaseRecord{Epoch: p.epoch, Incarnation: w.leaseIncarnation(), RemainingMS: remaining.Milliseconds() + 1})
		}
		records = append(records, record)
	}
	clear(p.leaseRecordsDue)
	return records, resumed
}

// renewalResumed lets the worker's lease be renewed again.
func (p *Planner) renewalResumed(w *worker) {
	w.renewal = renewing
	p.addEvent(Event{Kind: "lease resumed", Worker: w.state.ID, Incarnation: w.state.Incarnation, FencingToken: w.fencingToken})
}

// leaseIncarnation returns the worker's incarnation, or the one that former leaders knew.
func (w *worker) leaseIncarnation() int64 {
	if w.stateKnown {
		return w.state.Incarnation
	}
	return w.recordedIncarnation
}

// restoreLease loads a lease record of a former leader, unless a leader that doesn't abide by
// it may have led since. It returns an error for a record that no leader writes.
func (p *Planner) restoreLease(now time.Time, r pv.KeyedRecord, recordsSince int64) error {
	var record leaseRecord
	if err := json.Unmarshal(r.Value, &record); err != nil {
		return err
	}
	remaining := time.Duration(record.RemainingMS) * time.Millisecond
	if record.RemainingMS < 0 || record.RemainingMS > maxLeaseRemaining.Milliseconds() {
		return Error.New("%d ms are out of range", record.RemainingMS)
	}
	w := p.worker(now, pv.WorkerID(strings.TrimPrefix(r.Key, leasePrefix)))
	w.renewal = suspended
	if record.Epoch >= recordsSince {
		w.recordedIncarnation = record.Incarnation
		w.limitOrphanDeadline(now.Add(remaining))
	}
	return nil
}

// maxLeaseRemaining bounds the times in lease records, so that sums don't overflow.
const maxLeaseRemaining = time.Hour

// limitOrphanDeadline moves the orphan deadline to an earlier time.
func (w *worker) limitOrphanDeadline(t time.Time) {
	if t.Before(w.orphanDeadline) {
		w.orphanDeadline = t
	}
}

// knownToFormerLeader reports whether a former leader knew the worker's incarnation, so that
// its renewals were bounded like those of other leases when the term began.
func (w *worker) knownToFormerLeader(incarnation int64) bool {
	if w.recordedIncarnation == incarnation {
		return true
	}
	for _, r := range w.runs {
		if r.incarnation == incarnation {
			return true
		}
	}
	return false
}
