package reporter

// This file defines what the records of a stream tell of single items of work:
// when they were submitted, started and ended.

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	pv "persimmonvalve"
	"persimmonvalve/recorder"
)

// Times is a histogram of durations.
type Times struct {
	histogram *hdrhistogram.Histogram
}

// Bounds of the histograms: a tenth of a millisecond to some forty days.
const (
	timeUnit  = 100 * time.Microsecond
	mostUnits = int64(1000 * time.Hour / timeUnit)
	digits    = 2
)

func newTimes() *Times {
	return &Times{histogram: hdrhistogram.New(1, mostUnits, digits)}
}

func (t *Times) add(d time.Duration, n int64) {
	units := min(max(int64(d/timeUnit), 1), mostUnits)
	_ = t.histogram.RecordValues(units, n) // within bounds
}

// Count returns how many durations there are.
func (t *Times) Count() int64 { return t.histogram.TotalCount() }

// Quantile returns the duration at a quantile from 0 to 100.
func (t *Times) Quantile(q float64) time.Duration {
	return time.Duration(t.histogram.ValueAtQuantile(q)) * timeUnit
}

// item is one task or request.
type item struct {
	customer, plan string
	submitted      time.Time
	started        time.Time // first
	last           time.Time // of the last start
	phase          recorder.Phase
	outcome        pv.Outcome
	reason         pv.Reason
	ran            time.Duration
	runs           int64
	lost           time.Duration
	evictions      map[pv.Reason]int64
	retries        map[pv.Reason]int64
	handed         bool
}

type items struct {
	tasks    map[pv.TaskID]*item
	requests map[string]*item
}

func newItems() *items {
	return &items{tasks: map[pv.TaskID]*item{}, requests: map[string]*item{}}
}

func newItem(customer, plan string, submitted time.Time, phase recorder.Phase) *item {
	return &item{
		customer: customer, plan: plan, submitted: submitted, phase: phase,
		evictions: map[pv.Reason]int64{}, retries: map[pv.Reason]int64{},
	}
}

// note takes one entry in; records about items whose beginning is beyond the
// retention are passed over.
func (s *items) note(e recorder.Entry) {
	if e.Verdict != recorder.Valid {
		return
	}
	r := e.Record
	switch {
	case r.Accept != nil:
		spec := r.Accept.Spec
		s.tasks[spec.ID] = newItem(spec.Customer, spec.Plan, spec.Submitted, recorder.Waiting)
	case r.Start != nil:
		s.start(r)
	case r.Requeue != nil:
		s.requeue(r)
	case r.End != nil:
		s.end(r)
	case r.Begin != nil:
		phase := recorder.Started
		if r.Begin.Kind == recorder.BeginTask {
			phase = recorder.Waiting
		}
		s.requests[r.Begin.Key] = newItem(r.Begin.Customer, r.Begin.Plan, r.Time, phase)
	case r.Handed != nil:
		if i, ok := s.requests[r.Handed.Key]; ok {
			i.handed = true
		}
	case r.Answer != nil:
		s.answer(r)
	}
}

func (s *items) start(r recorder.Record) {
	i, ok := s.tasks[r.Start.Attempt.Task]
	if !ok {
		return
	}
	if i.started.IsZero() {
		i.started = r.Time
	}
	i.last = r.Time
	i.phase = recorder.Started
	i.runs++
}

func (s *items) requeue(r recorder.Record) {
	q := r.Requeue
	i, ok := s.tasks[q.Attempt.Task]
	if !ok {
		return
	}
	i.phase = recorder.Waiting
	i.lost += q.Lost
	switch q.Cause {
	case pv.ReasonTask, pv.ReasonNeverBegan, pv.ReasonWorkerFault:
		i.retries[q.Cause]++
	default:
		i.evictions[q.Cause]++
	}
}

func (s *items) end(r recorder.Record) {
	i, ok := s.tasks[r.End.Attempt.Task]
	if !ok {
		return
	}
	i.phase, i.outcome, i.reason, i.ran = recorder.Ended, r.End.Outcome, r.End.Reason, r.End.Ran
}

func (s *items) answer(r recorder.Record) {
	i, ok := s.requests[r.Answer.Key]
	if !ok {
		return
	}
	i.phase, i.outcome, i.reason = recorder.Ended, r.Answer.Outcome, r.Answer.Reason
	i.ran = r.Time.Sub(i.submitted)
	i.runs = int64(r.Answer.Attempts)
}

func (s *items) all(f func(*item)) {
	for _, i := range s.tasks {
		f(i)
	}
	for _, i := range s.requests {
		if !i.handed {
			f(i)
		}
	}
}

// addTimes adds the items' waits and run times.
func (m *maker) addTimes(s *items) {
	s.all(func(i *item) {
		if m.query.selects(i.customer, i.plan) {
			m.plan(i.customer, i.plan).addItemTimes(i)
		}
	})
}

func (p *PlanReport) addItemTimes(i *item) {
	if !i.started.IsZero() {
		p.Wait.add(i.started.Sub(i.submitted), 1)
	}
	if i.outcome == pv.Finished {
		p.RunTime.add(i.ran, 1)
	}
}

// addItems adds the items that were submitted in the query's range.
func (m *maker) addItems(s *items) {
	s.all(func(i *item) {
		if !m.query.selects(i.customer, i.plan) || !m.query.covers(i.submitted) {
			return
		}
		p := m.plan(i.customer, i.plan)
		p.Submitted++
		switch i.phase {
		case recorder.Waiting:
			p.Waiting++
		case recorder.Started:
			p.Running++
		case recorder.Ended:
			p.Outcomes[i.outcome]++
			if i.outcome != pv.Finished {
				p.Reasons[i.reason]++
			}
		}
		p.Runs += i.runs
		p.Lost += i.lost
		addMap(p.Evictions, i.evictions)
		addMap(p.Retries, i.retries)
		p.addItemTimes(i)
	})
}
