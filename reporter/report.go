package reporter

// This file defines the report. Without a time range, its sums come from the
// accounts in the ledgers, which snapshots carry beyond the log's retention. With
// a time range, they come from the items whose records the log still retains. In
// both cases the sums that entries append to the accounts stream are added.

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/accountant"
	"persimmonvalve/recorder"
)

// Query selects what a report covers. A zero Customer, Plan, From or To matches
// everything.
type Query struct {
	Customer string
	Plan     string
	From     time.Time // inclusive; of submission or, for entries' sums, of their record
	To       time.Time // exclusive
	Now      time.Time // against which the age of entries' last records is measured
}

func (q Query) hasRange() bool { return !q.From.IsZero() || !q.To.IsZero() }

func (q Query) inRange(t time.Time) bool {
	return (q.From.IsZero() || !t.Before(q.From)) && (q.To.IsZero() || t.Before(q.To))
}

func (q Query) matches(customer, plan string) bool {
	return (q.Customer == "" || q.Customer == customer) && (q.Plan == "" || q.Plan == plan)
}

// Streams names the streams that a report reads.
type Streams struct {
	Cells []pv.StreamName
	Homes []pv.StreamName
}

// PlanReport is the account and the times of one plan.
type PlanReport struct {
	recorder.Account
	Wait    *DurationHistogram // from submission to the first start
	RunTime *DurationHistogram // of finished work; for a request from its arrival to its answer, in the entries' sums whatever the outcome
}

// Report covers all plans that match a query.
type Report struct {
	Plans []*PlanReport // sorted by customer and plan
	Gaps  []string      // work that the report can't account for, one sentence each
}

// Balanced reports whether submitted = waiting + running + ended for every plan.
func (r Report) Balanced() bool {
	for _, p := range r.Plans {
		if p.Imbalance() != 0 {
			return false
		}
	}
	return true
}

// builder accumulates a report.
type builder struct {
	query Query
	plans map[string]*PlanReport
	gaps  []string
	cells map[pv.StreamName]*recorder.Ledger
}

// Make reads the streams from the log and returns the report.
func Make(ctx context.Context, log pv.Log, s Streams, q Query) (Report, error) {
	b := &builder{query: q, plans: map[string]*PlanReport{}, cells: map[pv.StreamName]*recorder.Ledger{}}
	for _, name := range s.Cells {
		ledger, err := b.addStream(ctx, log, name)
		if err != nil {
			return Report{}, err
		}
		b.cells[name] = ledger
	}
	for _, name := range s.Homes {
		ledger, err := b.addStream(ctx, log, name)
		if err != nil {
			return Report{}, err
		}
		b.dropDoubleCounted(ledger)
	}
	if err := b.addEntrySums(ctx, log); err != nil {
		return Report{}, err
	}
	return b.build(), nil
}

func (b *builder) build() Report {
	r := Report{Gaps: b.gaps}
	for _, p := range b.plans {
		r.Plans = append(r.Plans, p)
	}
	slices.SortFunc(r.Plans, func(a, b *PlanReport) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Plan, b.Plan))
	})
	return r
}

func (b *builder) plan(customer, plan string) *PlanReport {
	p, ok := b.plans[plan]
	if !ok {
		p = &PlanReport{Wait: newDurationHistogram(), RunTime: newDurationHistogram()}
		p.Account = recorder.Account{
			Customer: customer, Plan: plan,
			Outcomes: map[pv.Outcome]int64{}, Reasons: map[pv.Reason]int64{},
			Evictions: map[pv.Reason]int64{}, Retries: map[pv.Reason]int64{},
		}
		b.plans[plan] = p
	}
	return p
}

// addStream adds the stream of one cell or home and returns its ledger.
func (b *builder) addStream(ctx context.Context, log pv.Log, name pv.StreamName) (*recorder.Ledger, error) {
	items := newItemSet()
	first, ledger, err := scan(ctx, log, name, items.apply)
	if err != nil {
		return nil, err
	}
	if !ledger.Ready() {
		b.gaps = append(b.gaps, fmt.Sprintf("%s: the log retains no usable snapshot; the work of this stream is not accounted for", name))
		return ledger, nil
	}
	if first > 0 {
		b.gaps = append(b.gaps, fmt.Sprintf("%s: records before offset %d are beyond the log's retention; times cover only later records", name, first))
	}
	if b.query.hasRange() {
		b.addItems(items)
		return ledger, nil
	}
	for _, a := range ledger.Accounts {
		if b.query.matches(a.Customer, a.Plan) {
			b.addAccount(a)
		}
	}
	b.addTimes(items)
	return ledger, nil
}

func (b *builder) addAccount(a *recorder.Account) {
	p := b.plan(a.Customer, a.Plan)
	p.Submitted += a.Submitted
	p.Waiting += a.Waiting
	p.Running += a.Running
	p.Attempts += a.Attempts
	p.LostProgress += a.LostProgress
	addMap(p.Outcomes, a.Outcomes)
	addMap(p.Reasons, a.Reasons)
	addMap(p.Evictions, a.Evictions)
	addMap(p.Retries, a.Retries)
}

func addMap[K comparable](to, from map[K]int64) {
	for k, n := range from {
		to[k] += n
	}
}

// dropDoubleCounted subtracts the submissions that a cell has accepted while the
// home hasn't recorded it yet: the cell accounts for them. With a time range, sums
// come from single items: forEach skips a submission once the home's record of the
// transfer is read. Until then it is counted in both its home and its cell.
func (b *builder) dropDoubleCounted(home *recorder.Ledger) {
	if b.query.hasRange() {
		return
	}
	for _, q := range home.Requests {
		begin := q.Begin
		if begin.Kind != recorder.BeginTask || q.Transferred || q.Ended || begin.Spec == nil || !b.query.matches(begin.Customer, begin.Plan) {
			continue
		}
		cell, ok := b.cells[begin.Cell]
		if !ok {
			continue
		}
		if t, ok := cell.Tasks[begin.Spec.ID]; ok && !t.Tombstone {
			p := b.plan(begin.Customer, begin.Plan)
			p.Submitted--
			p.Waiting--
		}
	}
}

// addEntrySums adds the sums that entries append to the accounts stream.
func (b *builder) addEntrySums(ctx context.Context, log pv.Log) error {
	lastRecords := map[pv.Incarnation]accountant.Record{}
	next := pv.Offset(0)
	for {
		batch, err := log.Read(ctx, accountant.Stream, next, maxReadRecords)
		if err != nil {
			return Error.Wrap(err)
		}
		if next == 0 && batch.First > 0 {
			b.gaps = append(b.gaps, fmt.Sprintf("%s: entries' sums before offset %d are beyond the log's retention and not accounted for", accountant.Stream, batch.First))
		}
		for _, data := range batch.Records {
			b.addEntryRecord(lastRecords, data)
		}
		next = batch.First + pv.Offset(len(batch.Records))
		if len(batch.Records) < maxReadRecords {
			break
		}
	}
	b.addCrashedEntryGaps(lastRecords)
	return nil
}

func (b *builder) addEntryRecord(lastRecords map[pv.Incarnation]accountant.Record, data []byte) {
	r, err := accountant.Decode(data)
	if err != nil {
		b.gaps = append(b.gaps, fmt.Sprintf("%s: a record can't be decoded; its sums are not accounted for", accountant.Stream))
		return
	}
	previous := lastRecords[r.Incarnation]
	if r.Seq <= previous.Seq {
		return // a copy, appended again after a lost acknowledgement
	}
	if previous.Seq > 0 && r.Seq > previous.Seq+1 {
		b.gaps = append(b.gaps, fmt.Sprintf("entry %s: records %d to %d are missing; their sums are not accounted for", r.Entry, previous.Seq+1, r.Seq-1))
	}
	lastRecords[r.Incarnation] = r
	if !b.query.inRange(r.Time) {
		return
	}
	for _, s := range r.Plans {
		if b.query.matches(s.Customer, s.Plan) {
			b.addPlanSums(s)
		}
	}
}

func (b *builder) addPlanSums(s accountant.PlanTotals) {
	p := b.plan(s.Customer, s.Plan)
	for outcome, n := range s.Outcomes {
		p.Submitted += n
		p.Outcomes[outcome] += n
	}
	addMap(p.Reasons, s.Reasons)
	addMap(p.Retries, s.Retries)
	p.Attempts += s.Attempts
	for bucket, n := range s.LatencyHistogram {
		p.RunTime.add(accountant.BucketLimit(bucket), n)
	}
}

// maxRecordAge is the maximum age of an entry's last record: an entry whose last
// record is older and isn't final counts as crashed. Idle entries append an empty
// record every minute.
const maxRecordAge = 3 * time.Minute

// addCrashedEntryGaps adds a gap for each crashed entry and sorts all gaps.
func (b *builder) addCrashedEntryGaps(lastRecords map[pv.Incarnation]accountant.Record) {
	for _, r := range lastRecords {
		if !r.Final && b.query.Now.Sub(r.Time) > maxRecordAge {
			b.gaps = append(b.gaps, fmt.Sprintf("entry %s (%s): no final record; requests that it handled after %s are not accounted for",
				r.Entry, r.Incarnation, r.Time.Format(time.RFC3339)))
		}
	}
	slices.Sort(b.gaps)
}
