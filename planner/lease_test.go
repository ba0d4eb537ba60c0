package planner

// This file defines tests of lease records: how long several leaders in a row wait for a worker
// that is lost, and that none of them ends its runs while its lease may last.

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	pv "persimmonvalve"
)

const tickTime = 100 * time.Millisecond

// runFor lets the leader lead for a time in which the given workers answer polls.
func (h *harness) runFor(d time.Duration, answering ...string) {
	for end := h.now.Add(d); h.now.Before(end); h.advance(tickTime) {
		for _, id := range answering {
			h.reportPoll(id, 1, PollResult{})
			h.sendOrders(id)
		}
	}
}

// newLeaseHarness returns the harness of a leader with a task that runs on the worker "w".
func newLeaseHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.submit("j", stepWithTasks(1))
	h.tickAndCommit()
	h.sendOrders("w")
	return h
}

// maxLapse returns the longest time from a worker's last answer until its lease has certainly
// lapsed for a leader that has had this answer.
func (h *harness) maxLapse() time.Duration {
	return h.p.settings.maxRealLease() + h.p.settings.LapseMargin
}

// Each leader that could not reach a lost worker waited for its lease anew, from the start of
// its own term.
func TestLeadersInARowWaitForOneLease(t *testing.T) {
	for _, c := range []struct {
		first time.Duration   // from the loss to the end of the term in which it happened
		terms []time.Duration // of the leaders after it
	}{
		{4800 * time.Millisecond, []time.Duration{3200 * time.Millisecond}},
		{1500 * time.Millisecond, []time.Duration{time.Second, time.Second, time.Second, time.Second}},
		{2500 * time.Millisecond, []time.Duration{tickTime, tickTime, tickTime, tickTime}},
		{0, []time.Duration{2 * time.Second, 2 * time.Second, 2 * time.Second, 2 * time.Second}},
		{0, []time.Duration{6 * time.Second, 6 * time.Second}},
	} {
		t.Run(fmt.Sprint(c.first, c.terms), func(t *testing.T) {
			h := newLeaseHarness(t)
			lostAt := h.now
			h.runFor(c.first, "v")
			limit := h.maxLapse()
			if c.first < 2*suspendAfter { // the successor can't know how much of the lease has passed
				limit = c.first + h.p.settings.OrphanTimeout()
			}
			for _, d := range append(c.terms, 20*time.Second) {
				h = h.successor()
				limit += leaseRecordInterval + tickTime // a record is this old at most
				h.runFor(d, "v")
				if len(h.p.workers["v"].runs) > 0 {
					break
				}
			}
			if len(h.p.workers["v"].runs) == 0 {
				t.Fatal("got no run on the other worker, want one")
			}
			assignedAt := h.p.workers["v"].runs[runOf("j", 0, 0, 2)].assignedAt
			if got := assignedAt.Sub(lostAt); got > limit || got < h.p.settings.LeaseDuration {
				t.Errorf("got the task assigned %v after the loss, want %v to %v", got, h.p.settings.LeaseDuration, limit)
			}
		})
	}
}

// A worker that answers again isn't renewed before the removal of its lease record is stored:
// a successor that reads the record ends its runs when the time in it has passed.
func TestRenewalWaitsForRemovalOfLeaseRecord(t *testing.T) {
	h := newLeaseHarness(t)
	h.runFor(3*time.Second, "v")
	if _, ok := h.records["lease/w"]; !ok {
		t.Fatal("got no lease record of the silent worker, want one")
	}
	before := h.p.workers["w"].lease.granted
	h.reportPoll("w", 1, PollResult{Running: []pv.RunStatus{{Run: runOf("j", 0, 0, 1)}}})
	h.p.Tick(h.now)
	batch := h.p.NextBatch()
	if o, _ := h.p.Orders(h.now, "w", allPermissions); o.Lease.End != 0 || h.p.workers["w"].lease.granted != before {
		t.Errorf("got the lease renewed to %v before the removal of its record is stored, want no renewal", o.Lease.End)
	}
	successor := h.successor() // of a leader whose batch isn't stored
	h.store(batch)
	h.p.Committed(batch)
	h.now = h.now.Add(leaseRenewalInterval)
	if o, _ := h.p.Orders(h.now, "w", allPermissions); o.Lease.End <= before {
		t.Errorf("got the lease renewed to %v after that, want later than %v", o.Lease.End, before)
	}
	if got := h.records["lease/w"]; len(got) != 0 {
		t.Errorf("got the lease record %s, want it removed", got)
	}
	successor.runFor(h.maxLapse()-3*time.Second+leaseRecordInterval+tickTime, "v")
	if got := len(successor.p.workers["v"].runs); got != 1 {
		t.Errorf("got %d runs on the other worker when the time in the record has passed, want 1", got)
	}
	renewed := h.successor()
	renewed.runFor(h.p.settings.LeaderLease()+h.p.settings.LeaseDuration, "v")
	if got := len(renewed.p.workers["v"].runs); got != 0 {
		t.Errorf("got %d runs on the other worker while the renewed lease may last, want none", got)
	}
}

// A record that a later leader needn't have abided by doesn't count: that leader may have
// renewed the lease.
func TestLeaseRecordBeforeOtherVersion(t *testing.T) {
	h := newLeaseHarness(t)
	h.runFor(5*time.Second, "v")
	next := &harness{t: t, p: New(DefaultSettings(), h.p.epoch+2), now: h.now, clocks: h.clocks, records: h.records}
	for _, err := range next.p.Restore(next.now, next.storedRecords(), Predecessors{LeaseRecordsSince: h.p.epoch + 1}) {
		t.Error(err)
	}
	next.runFor(next.p.settings.LeaderLease()+next.p.settings.LeaseDuration, "v")
	if got := len(next.p.workers["v"].runs); got != 0 {
		t.Errorf("got %d runs on the other worker, want none while the other leader's renewal may last", got)
	}
}

// A leader that has been stopped finds reports of all workers overdue when it goes on. That is
// no sign that the workers are lost.
func TestStoppedLeaderSuspendsNoLease(t *testing.T) {
	h := newLeaseHarness(t)
	h.runFor(time.Second, "w")
	h.advance(3 * time.Second)
	h.runFor(time.Second, "w")
	for _, e := range h.p.Events() {
		if strings.HasPrefix(e.Kind, "lease ") {
			t.Errorf("got %s of %s, want none", e.Kind, e.Worker)
		}
	}
}

// Once nothing depends on a lease record, it is removed.
func TestLeaseRecordIsRemoved(t *testing.T) {
	h := newLeaseHarness(t)
	h.runFor(8*time.Second, "v")
	if got := h.records["lease/w"]; len(got) != 0 || len(h.p.workers["w"].runs) != 0 {
		t.Errorf("got the lease record %s and %d runs after the lease has lapsed, want neither", got, len(h.p.workers["w"].runs))
	}
}

// A worker that begins a new incarnation, which no former leader knew, may have been started
// runs late: what a record says of the former incarnation's lease doesn't end them.
func TestLeaseRecordOfFormerIncarnation(t *testing.T) {
	h := newLeaseHarness(t)
	h.runFor(5*time.Second, "v")
	next := h.successor()
	next.p.Report(next.now, Report{Worker: next.workerState("w", 2)})
	next.runFor(2*next.p.settings.LapseMargin+2*time.Second, "v")
	if got := len(next.p.workers["w"].runs); got != 1 {
		t.Errorf("got %d runs on the worker, want 1 until the new incarnation has answered a poll", got)
	}
}

// Lease records that no leader writes are skipped.
func TestOddLeaseRecords(t *testing.T) {
	for _, value := range []string{`{"remainingMs":-1}`, `{"remainingMs":9223372036854775807}`, `[]`, "\xff"} {
		h := newLeaseHarness(t)
		h.records["lease/w"] = []byte(value)
		next := New(DefaultSettings(), 2)
		if got := next.Restore(h.now, h.storedRecords(), Predecessors{}); len(got) != 1 {
			t.Errorf("%s: got errors %v, want one", value, got)
		}
		if got := next.workers["w"].lapseTime(next.settings).Sub(h.now); got != next.settings.OrphanTimeout() {
			t.Errorf("%s: got a wait of %v, want %v", value, got, next.settings.OrphanTimeout())
		}
	}
}

// storedRecords returns the stored records in the order of their keys.
func (h *harness) storedRecords() []pv.KeyedRecord {
	var out []pv.KeyedRecord
	for k, v := range h.records {
		out = append(out, pv.KeyedRecord{Key: k, Value: v})
	}
	slices.SortFunc(out, func(a, b pv.KeyedRecord) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// A leader that may not renew leases for a while renews one by a reading that it has had for
// long, after the lease record has become due and before it is sealed. The record counts that.
func TestLeaseRecordCountsLateRenewal(t *testing.T) {
	h := newLeaseHarness(t)
	h.runFor(time.Second, "w")
	h.reportPoll("w", 1, PollResult{Running: []pv.RunStatus{{Run: runOf("j", 0, 0, 1)}}})
	for range 15 {
		h.now = h.now.Add(tickTime)
		h.p.Tick(h.now)
	}
	if o, _ := h.p.Orders(h.now, "w", allPermissions); o.Lease.End != h.p.workers["w"].lease.clock+h.p.settings.LeaseDuration {
		t.Fatalf("got a lease until %v, want it renewed by the last reading", o.Lease.End)
	}
	h.store(h.p.NextBatch())
	next := h.successor()
	if got, want := next.p.workers["w"].lapseTime(next.p.settings), h.p.workers["w"].lapseTime(h.p.settings); got.Before(want) {
		t.Errorf("got the lease lapsed for the successor %v before it is for the leader, want not before", want.Sub(got))
	}
}

// A new leader that gets the first poll results late suspended the leases of all workers, and
// these got no starts until the records were removed.
func TestNewLeaderWaitsForFirstPollResults(t *testing.T) {
	h := newLeaseHarness(t)
	h.runFor(time.Second, "w")
	next := h.successor()
	next.runFor(next.p.settings.MaxReportAge - 2*tickTime)
	next.reportPoll("w", 1, PollResult{Running: []pv.RunStatus{{Run: runOf("j", 0, 0, 1)}}})
	if o, _ := next.p.Orders(next.now, "w", allPermissions); o.Lease.End == 0 {
		t.Error("got no lease with the first orders after the first poll result, want one")
	}
}
