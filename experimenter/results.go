package experimenter

// This file defines what a simulation measures after the warm-up.

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	pv "persimmonvalve"
	"persimmonvalve/recorder"
)

type results struct {
	measuring                bool                    // the warm-up has ended
	latency                  *hdrhistogram.Histogram // microseconds
	urgentStart              *hdrhistogram.Histogram // milliseconds
	requests                 int64                   // answered and refused requests of the service plan
	answeredInTime           int64
	refusals                 int64
	retries                  int64 // of requests of all plans
	linkBytes                int64
	guarantees               map[string]*guaranteeSamples // by plan
	usefulCoreSecondsAtStart float64                      // at the end of the warm-up
	totalsAtStart            taskTotals                   // at the end of the warm-up
	usefulCoreSeconds        float64                      // of batch work after the warm-up
	totals                   taskTotals
}

// guaranteeSamples are the samples of one plan; see sampleGuarantees.
type guaranteeSamples struct {
	fractionSum float64
	count       int
}

// taskTotals are totals of the ledger's accounts. Finished tasks are those of batch
// plans; the others are those of all plans.
type taskTotals struct {
	finished, evictions, retries int64
	lostProgress                 time.Duration
}

func newResults() *results {
	return &results{
		latency:     hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		urgentStart: hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3),
		guarantees:  map[string]*guaranteeSamples{},
	}
}

func (r *results) startMeasurement(sim *simulation) {
	r.measuring = true
	r.usefulCoreSecondsAtStart = sim.usefulCoreSeconds()
	r.totalsAtStart = sim.taskTotals()
}

func (r *results) endMeasurement(sim *simulation) {
	r.usefulCoreSeconds = sim.usefulCoreSeconds() - r.usefulCoreSecondsAtStart
	t := sim.taskTotals()
	r.totals = taskTotals{
		finished:     t.finished - r.totalsAtStart.finished,
		evictions:    t.evictions - r.totalsAtStart.evictions,
		retries:      t.retries - r.totalsAtStart.retries,
		lostProgress: t.lostProgress - r.totalsAtStart.lostProgress,
	}
}

// recordAnswer records an answer that the client has received.
func (r *results) recordAnswer(req *request, now time.Time) {
	if !r.measuring || req.plan != planService {
		return
	}
	r.requests++
	_ = r.latency.RecordValue(now.Sub(req.sentAt).Microseconds())
	if !now.After(req.deadline) {
		r.answeredInTime++
	}
}

// recordRefusal records a request without an answer. Its latency counts as the time
// from sending to the deadline.
func (r *results) recordRefusal(req *request, _ pv.Reason) {
	if !r.measuring || req.plan != planService {
		return
	}
	r.requests++
	r.refusals++
	_ = r.latency.RecordValue(req.deadline.Sub(req.sentAt).Microseconds())
}

func (r *results) recordRetry() {
	if r.measuring {
		r.retries++
	}
}

func (r *results) recordLinkBytes(bytes int64) {
	if r.measuring {
		r.linkBytes += bytes
	}
}

// isBatchPlan reports whether a plan's tasks count as batch work. Those of the flood
// plans do.
func isBatchPlan(plan string) bool {
	return plan != planService && plan != planStanding && plan != planUrgent
}

// usefulCoreSeconds returns the core seconds of batch work done since the start of
// the simulation: for a finished task its run time, and for one that hasn't ended
// the greater of its checkpointed and current progress.
func (sim *simulation) usefulCoreSeconds() float64 {
	sum := 0.0
	for _, t := range sim.holder.Ledger().Tasks {
		if !isBatchPlan(t.Spec.Plan) {
			continue
		}
		cores := float64(sim.truth.ActualUse(t.Spec).MilliCores) / 1000
		switch {
		case t.Outcome == pv.OutcomeFinished:
			sum += cores * sim.truth.ActualRunTime(t.Spec).Seconds()
		case t.Phase != recorder.Ended:
			sum += cores * max(t.Checkpointed, sim.runProgress(t)).Seconds()
		}
	}
	return sum
}

// runProgress returns the progress of a task's current run, or 0 if there is none.
func (sim *simulation) runProgress(t *recorder.Task) time.Duration {
	if t.Phase != recorder.Started {
		return 0
	}
	for _, r := range sim.workers[t.Worker].Report(sim.now).Runs {
		if r.AttemptID == t.AttemptID() {
			return r.Progress
		}
	}
	return 0
}

func (sim *simulation) taskTotals() (t taskTotals) {
	for plan, a := range sim.holder.Ledger().Accounts {
		if isBatchPlan(plan) {
			t.finished += a.Outcomes[pv.OutcomeFinished]
		}
		for _, n := range a.Evictions {
			t.evictions += n
		}
		for _, n := range a.Retries {
			t.retries += n
		}
		t.lostProgress += a.LostProgress
	}
	return t
}

// sampleGuarantees adds a sample for each plan with a guarantee, except planUrgent:
// min(1, running tasks / guaranteed slots), or 1 if no task of the plan waits.
func (sim *simulation) sampleGuarantees() {
	if !sim.results.measuring {
		return
	}
	running, waiting := map[string]int64{}, map[string]int64{}
	for _, t := range sim.holder.Ledger().Tasks {
		switch t.Phase {
		case recorder.Waiting:
			waiting[t.Spec.Plan]++
		case recorder.Started:
			running[t.Spec.Plan]++
		}
	}
	for _, allowance := range sim.config.Allowances.Allowances {
		if allowance.Guaranteed.Slots == 0 || allowance.Plan == planUrgent {
			continue
		}
		s, ok := sim.results.guarantees[allowance.Plan]
		if !ok {
			s = &guaranteeSamples{}
			sim.results.guarantees[allowance.Plan] = s
		}
		s.count++
		if waiting[allowance.Plan] == 0 {
			s.fractionSum++
		} else {
			s.fractionSum += min(1, float64(running[allowance.Plan])/float64(allowance.Guaranteed.Slots))
		}
	}
}

// minGuaranteeFraction returns the smallest of the plans' mean samples, or 1 if
// there are none.
func (r *results) minGuaranteeFraction() float64 {
	least := 1.0
	for _, s := range r.guarantees {
		if s.count > 0 {
			least = min(least, s.fractionSum/float64(s.count))
		}
	}
	return least
}
