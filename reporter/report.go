package reporter

// This file defines the report. Sums come from the ledgers' own accounts,
// which survive retention in snapshots, and from the entries' books. With a
// time range they come from the single items that the streams still tell of.

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

// Query selects what a report covers. Zero values select everything.
type Query struct {
	Customer string
	Plan     string
	From     time.Time // of submission
	To       time.Time // of submission, exclusive
	Now      time.Time
}

func (q Query) ranged() bool { return !q.From.IsZero() || !q.To.IsZero() }

func (q Query) covers(t time.Time) bool {
	return (q.From.IsZero() || !t.Before(q.From)) && (q.To.IsZero() || t.Before(q.To))
}

func (q Query) selects(customer, plan string) bool {
	return (q.Customer == "" || q.Customer == customer) && (q.Plan == "" || q.Plan == plan)
}

// Streams names what a report is made from.
type Streams struct {
	Cells []pv.StreamName
	Homes []pv.StreamName
}

// PlanReport accounts for one plan.
type PlanReport struct {
	recorder.Account
	Wait    *Times // from submission to the first start
	RunTime *Times // of finished work; of a quick request its whole time
}

// Report accounts for all plans.
type Report struct {
	Plans []*PlanReport // in the order of customer and plan
	Gaps  []string
}

// Closes reports whether every plan's account closes.
func (r Report) Closes() bool {
	for _, p := range r.Plans {
		if p.Gap() != 0 {
			return false
		}
	}
	return true
}

// maker gathers a report.
type maker struct {
	query Query
	plans map[string]*PlanReport
	gaps  []string
	cells map[pv.StreamName]*recorder.Ledger
}

// Make reads the streams and returns the report.
func Make(ctx context.Context, log pv.Log, s Streams, q Query) (Report, error) {
	m := &maker{query: q, plans: map[string]*PlanReport{}, cells: map[pv.StreamName]*recorder.Ledger{}}
	for _, name := range s.Cells {
		ledger, err := m.stream(ctx, log, name)
		if err != nil {
			return Report{}, err
		}
		m.cells[name] = ledger
	}
	for _, name := range s.Homes {
		ledger, err := m.stream(ctx, log, name)
		if err != nil {
			return Report{}, err
		}
		m.dropDoubled(ledger)
	}
	if err := m.books(ctx, log); err != nil {
		return Report{}, err
	}
	return m.report(), nil
}

func (m *maker) report() Report {
	r := Report{Gaps: m.gaps}
	for _, p := range m.plans {
		r.Plans = append(r.Plans, p)
	}
	slices.SortFunc(r.Plans, func(a, b *PlanReport) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Plan, b.Plan))
	})
	return r
}

func (m *maker) plan(customer, plan string) *PlanReport {
	p, ok := m.plans[plan]
	if !ok {
		p = &PlanReport{Wait: newTimes(), RunTime: newTimes()}
		p.Account = recorder.Account{
			Customer: customer, Plan: plan,
			Outcomes: map[pv.Outcome]int64{}, Reasons: map[pv.Reason]int64{},
			Evictions: map[pv.Reason]int64{}, Retries: map[pv.Reason]int64{},
		}
		m.plans[plan] = p
	}
	return p
}

// stream adds one cell's or home's stream.
func (m *maker) stream(ctx context.Context, log pv.Log, name pv.StreamName) (*recorder.Ledger, error) {
	items := newItems()
	first, ledger, err := scan(ctx, log, name, items.note)
	if err != nil {
		return nil, err
	}
	if !ledger.Ready() {
		m.gaps = append(m.gaps, fmt.Sprintf("%s: the log keeps no usable snapshot; its work is not accounted for", name))
		return ledger, nil
	}
	if first > 0 {
		m.gaps = append(m.gaps, fmt.Sprintf("%s: records before offset %d are beyond the log's retention; times cover what came after", name, first))
	}
	if m.query.ranged() {
		m.addItems(items)
		return ledger, nil
	}
	for _, a := range ledger.Accounts {
		if m.query.selects(a.Customer, a.Plan) {
			m.addAccount(a)
		}
	}
	m.addTimes(items)
	return ledger, nil
}

func (m *maker) addAccount(a *recorder.Account) {
	p := m.plan(a.Customer, a.Plan)
	p.Submitted += a.Submitted
	p.Waiting += a.Waiting
	p.Running += a.Running
	p.Runs += a.Runs
	p.Lost += a.Lost
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

// dropDoubled takes submissions off that a cell has accepted but whose home
// hasn't noted it yet: the cell accounts for them.
func (m *maker) dropDoubled(home *recorder.Ledger) {
	if m.query.ranged() {
		return // items are told apart by their stream's own records
	}
	for _, q := range home.Requests {
		b := q.Begin
		if b.Kind != recorder.BeginTask || q.Handed || q.Ended || b.Spec == nil || !m.query.selects(b.Customer, b.Plan) {
			continue
		}
		cell, ok := m.cells[b.Cell]
		if !ok {
			continue
		}
		if t, ok := cell.Tasks[b.Spec.ID]; ok && !t.Tombstone {
			p := m.plan(b.Customer, b.Plan)
			p.Submitted--
			p.Waiting--
		}
	}
}

// books adds the entries' sums.
func (m *maker) books(ctx context.Context, log pv.Log) error {
	last := map[pv.Incarnation]accountant.Record{}
	next := pv.Offset(0)
	for {
		b, err := log.Read(ctx, accountant.Stream, next, scanLimit)
		if err != nil {
			return Error.Wrap(err)
		}
		if next == 0 && b.First > 0 {
			m.gaps = append(m.gaps, fmt.Sprintf("%s: sums before offset %d are beyond the log's retention", accountant.Stream, b.First))
		}
		for _, data := range b.Records {
			m.book(last, data)
		}
		next = b.First + pv.Offset(len(b.Records))
		if len(b.Records) < scanLimit {
			break
		}
	}
	m.openBooks(last)
	return nil
}

func (m *maker) book(last map[pv.Incarnation]accountant.Record, data []byte) {
	r, err := accountant.Decode(data)
	if err != nil {
		m.gaps = append(m.gaps, fmt.Sprintf("%s: a record can't be read", accountant.Stream))
		return
	}
	before := last[r.Incarnation]
	if r.Seq <= before.Seq {
		return // a copy
	}
	if before.Seq > 0 && r.Seq > before.Seq+1 {
		m.gaps = append(m.gaps, fmt.Sprintf("entry %s: records %d to %d are missing", r.Entry, before.Seq+1, r.Seq-1))
	}
	last[r.Incarnation] = r
	if !m.query.covers(r.Time) {
		return
	}
	for _, s := range r.Plans {
		if m.query.selects(s.Customer, s.Plan) {
			m.addSums(s)
		}
	}
}

func (m *maker) addSums(s accountant.Sums) {
	p := m.plan(s.Customer, s.Plan)
	for outcome, n := range s.Outcomes {
		p.Submitted += n
		p.Outcomes[outcome] += n
	}
	addMap(p.Reasons, s.Reasons)
	addMap(p.Retries, s.Retries)
	p.Runs += s.Runs
	for bucket, n := range s.Took {
		p.RunTime.add(accountant.BucketLimit(bucket), n)
	}
}

// bookSilence is how long after its last record an entry that didn't close its
// account counts as gone. Idle entries still append now and then.
const bookSilence = 3 * time.Minute

func (m *maker) openBooks(last map[pv.Incarnation]accountant.Record) {
	for _, r := range last {
		if !r.Final && m.query.Now.Sub(r.Time) > bookSilence {
			m.gaps = append(m.gaps, fmt.Sprintf("entry %s (%s): ended without closing its account; its requests after %s are not accounted for",
				r.Entry, r.Incarnation, r.Time.Format(time.RFC3339)))
		}
	}
	slices.Sort(m.gaps)
}
