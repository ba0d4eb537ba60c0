package reporter

// This file defines how single tasks and requests are reconstructed from the
// records of a stream: when they were submitted, started and ended.

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	pv "persimmonvalve"
	"persimmonvalve/recorder"
)

// DurationHistogram is a histogram of durations.
type DurationHistogram struct {
	histogram *hdrhistogram.Histogram
}

// Bounds and precision (in decimal digits) of the histograms: from 100 µs to 1000 h
// (about 42 days).
const (
	histogramUnit     = 100 * time.Microsecond
	maxUnits          = int64(1000 * time.Hour / histogramUnit)
	significantDigits = 2
)

func newDurationHistogram() *DurationHistogram {
	return &DurationHistogram{histogram: hdrhistogram.New(1, maxUnits, significantDigits)}
}

func (h *DurationHistogram) add(d time.Duration, n int64) {
	units := min(max(int64(d/histogramUnit), 1), maxUnits)
	_ = h.histogram.RecordValues(units, n) // can't fail: units is within the bounds
}

// Count returns the number of recorded durations.
func (h *DurationHistogram) Count() int64 { return h.histogram.TotalCount() }

// Percentile returns the duration at percentile p (0 to 100).
func (h *DurationHistogram) Percentile(p float64) time.Duration {
	return time.Duration(h.histogram.ValueAtQuantile(p)) * histogramUnit
}

// item is one task or request.
type item struct {
	customer, plan string
	submittedAt    time.Time
	firstStartedAt time.Time // first start; zero for requests and before the first start
	lastStartedAt  time.Time // last start
	phase          recorder.Phase
	outcome        pv.Outcome
	reason         pv.Reason
	runTime        time.Duration
	attempts       int64
	lostProgress   time.Duration
	evictions      map[pv.Reason]int64
	retries        map[pv.Reason]int64
	transferred    bool
}

type itemSet struct {
	tasks    map[pv.TaskID]*item
	requests map[string]*item
}

func newItemSet() *itemSet {
	return &itemSet{tasks: map[pv.TaskID]*item{}, requests: map[string]*item{}}
}

func newItem(customer, plan string, submitted time.Time, phase recorder.Phase) *item {
	return &item{
		customer: customer, plan: plan, submittedAt: submitted, phase: phase,
		evictions: map[pv.Reason]int64{}, retries: map[pv.Reason]int64{},
	}
}

// apply updates the items with one entry. Records of items whose first record is
// beyond the log's retention are ignored.
func (s *itemSet) apply(e recorder.LedgerEntry) {
	if e.Verdict != recorder.Valid {
		return
	}
	r := e.Record
	switch {
	case r.Accept != nil:
		spec := r.Accept.Spec
		s.tasks[spec.ID] = newItem(spec.Customer, spec.Plan, spec.SubmittedAt, recorder.Waiting)
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
	case r.Transferred != nil:
		if i, ok := s.requests[r.Transferred.Key]; ok {
			i.transferred = true
		}
	case r.Answer != nil:
		s.answer(r)
	}
}

func (s *itemSet) start(r recorder.Record) {
	i, ok := s.tasks[r.Start.Attempt.Task]
	if !ok {
		return
	}
	if i.firstStartedAt.IsZero() {
		i.firstStartedAt = r.Time
	}
	i.lastStartedAt = r.Time
	i.phase = recorder.Started
	i.attempts++
}

func (s *itemSet) requeue(r recorder.Record) {
	q := r.Requeue
	i, ok := s.tasks[q.Attempt.Task]
	if !ok {
		return
	}
	i.phase = recorder.Waiting
	i.lostProgress += q.LostProgress
	switch q.Reason {
	case pv.ReasonTaskFailed, pv.ReasonNeverStarted, pv.ReasonWorkerFault:
		i.retries[q.Reason]++
	default:
		i.evictions[q.Reason]++
	}
}

func (s *itemSet) end(r recorder.Record) {
	i, ok := s.tasks[r.End.Attempt.Task]
	if !ok {
		return
	}
	i.phase, i.outcome, i.reason, i.runTime = recorder.Ended, r.End.Outcome, r.End.Reason, r.End.Progress
}

func (s *itemSet) answer(r recorder.Record) {
	i, ok := s.requests[r.Answer.Key]
	if !ok {
		return
	}
	i.phase, i.outcome, i.reason = recorder.Ended, r.Answer.Outcome, r.Answer.Reason
	i.runTime = r.Time.Sub(i.submittedAt)
	i.attempts = int64(r.Answer.Attempts)
}

func (s *itemSet) forEach(f func(*item)) {
	for _, i := range s.tasks {
		f(i)
	}
	for _, i := range s.requests {
		if !i.transferred {
			f(i)
		}
	}
}

// addTimes adds the wait and run times of all items that match the query.
func (b *builder) addTimes(s *itemSet) {
	s.forEach(func(i *item) {
		if b.query.matches(i.customer, i.plan) {
			b.plan(i.customer, i.plan).addItemTimes(i)
		}
	})
}

func (p *PlanReport) addItemTimes(i *item) {
	if !i.firstStartedAt.IsZero() {
		p.Wait.add(i.firstStartedAt.Sub(i.submittedAt), 1)
	}
	if i.outcome == pv.OutcomeFinished {
		p.RunTime.add(i.runTime, 1)
	}
}

// addItems adds the counts and times of the items that match the query and were
// submitted in its time range.
func (b *builder) addItems(s *itemSet) {
	s.forEach(func(i *item) {
		if !b.query.matches(i.customer, i.plan) || !b.query.inRange(i.submittedAt) {
			return
		}
		p := b.plan(i.customer, i.plan)
		p.Submitted++
		switch i.phase {
		case recorder.Waiting:
			p.Waiting++
		case recorder.Started:
			p.Running++
		case recorder.Ended:
			p.Outcomes[i.outcome]++
			if i.outcome != pv.OutcomeFinished {
				p.Reasons[i.reason]++
			}
		}
		p.Attempts += i.attempts
		p.LostProgress += i.lostProgress
		addMap(p.Evictions, i.evictions)
		addMap(p.Retries, i.retries)
		p.addItemTimes(i)
	})
}
