package standin

// This file defines a fake worker for the tasks of cells, whose methods take the
// time as an argument. Workers serves it as a persimmonvalve.Worker. It has the
// properties that the design assumes of a worker: it refuses a lower lease id and
// commands for another incarnation, stops all runs when its lease lapses on its
// own clock, and never grants a lapsed lease id again.

import (
	"fmt"
	"slices"
	"time"

	pv "persimmonvalve"
)

// GroundTruth describes how tasks behave, as opposed to what they declare.
type GroundTruth interface {
	// ActualUse returns the resources that a task uses at full speed.
	ActualUse(spec pv.TaskSpec) pv.Resources
	// ActualRunTime returns the duration of a task without interference.
	ActualRunTime(spec pv.TaskSpec) time.Duration
	// AddedSlowdown returns the slowdown that a co-located task of kind neighbour
	// adds to a task of kind victim; 0 means no interference.
	AddedSlowdown(now time.Time, victim, neighbour string) float64
	// AlwaysFails reports whether a task fails on every worker.
	AlwaysFails(spec pv.TaskSpec) bool
}

// DeclaredTruth is the GroundTruth of tasks that behave as declared.
type DeclaredTruth struct{}

// ActualUse implements GroundTruth.
func (DeclaredTruth) ActualUse(spec pv.TaskSpec) pv.Resources { return spec.Size }

// ActualRunTime implements GroundTruth.
func (DeclaredTruth) ActualRunTime(spec pv.TaskSpec) time.Duration { return spec.RunTime }

// AddedSlowdown implements GroundTruth.
func (DeclaredTruth) AddedSlowdown(time.Time, string, string) float64 { return 0 }

// AlwaysFails implements GroundTruth.
func (DeclaredTruth) AlwaysFails(pv.TaskSpec) bool { return false }

var _ GroundTruth = DeclaredTruth{}

type run struct {
	pv.AttemptStatus
	spec          pv.TaskSpec
	speedFraction float64
	measuredAt    time.Time
}

// WorkerCore is a fake worker without a transport. It is not safe for concurrent
// use.
type WorkerCore struct {
	Info                pv.WorkerInfo
	CheckpointInterval  time.Duration // progress of a run between checkpoints; 0 means no checkpoints
	FailAll             bool          // every task fails soon after its start
	ClockRate           float64       // speed of the worker's clock relative to real time
	MeasurementInterval time.Duration // minimum time between measurements of use and slowdown

	groundTruth      GroundTruth
	incarnation      pv.Incarnation
	startedAt        time.Time
	advancedAt       time.Time
	incarnationCount int
	leaseID          pv.LeaseID
	leaseActive      bool // a lease is in force
	leaseEnd         time.Duration
	leaseLapsed      bool // the current lease id has lapsed
	runs             map[pv.AttemptID]*run
	highestAttempt   map[pv.TaskID]int // highest attempt started or stopped; no attempt up to it starts again

	TotalProgress time.Duration // progress of all runs on this worker, including progress lost later
	LeaseLapses   int           // number of leases that lapsed
}

// failureProgress is the progress at which a failing task fails.
const failureProgress = 500 * time.Millisecond

// NewWorkerCore returns a worker without runs or a lease.
func NewWorkerCore(info pv.WorkerInfo, groundTruth GroundTruth, now time.Time) *WorkerCore {
	w := &WorkerCore{Info: info, CheckpointInterval: time.Minute, ClockRate: 1, groundTruth: groundTruth}
	w.Restart(now)
	return w
}

// Restart starts a new incarnation with an empty state, as if the worker process
// had been restarted.
func (w *WorkerCore) Restart(now time.Time) {
	w.incarnationCount++
	w.incarnation = pv.Incarnation(fmt.Sprintf("%s/%d", w.Info.ID, w.incarnationCount))
	w.startedAt = now
	w.advancedAt = now
	w.leaseID = pv.LeaseID{}
	w.leaseActive = false
	w.leaseEnd = 0
	w.leaseLapsed = false
	w.runs = map[pv.AttemptID]*run{}
	w.highestAttempt = map[pv.TaskID]int{}
}

func (w *WorkerCore) clock(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(w.startedAt)) * w.ClockRate)
}

// Advance moves the worker's time to now: runs progress and end, and stop when
// the lease lapses.
func (w *WorkerCore) Advance(now time.Time) {
	if w.leaseActive && w.clock(now) >= w.leaseEnd {
		remaining := float64(w.leaseEnd-w.clock(w.advancedAt)) / w.ClockRate
		w.advanceRuns(w.advancedAt.Add(time.Duration(remaining)))
		w.stopRuns()
		w.leaseActive = false
		w.leaseLapsed = true
		w.LeaseLapses++
	}
	w.advanceRuns(now)
}

func (w *WorkerCore) advanceRuns(now time.Time) {
	elapsed := now.Sub(w.advancedAt)
	if elapsed <= 0 {
		return
	}
	w.advancedAt = now
	for _, r := range w.sortedRuns() {
		if r.State == pv.AttemptRunning {
			w.advanceRun(now, r, elapsed)
		}
	}
}

func (w *WorkerCore) advanceRun(now time.Time, r *run, elapsed time.Duration) {
	slowdown := w.slowdown(now, r)
	if now.Sub(r.measuredAt) >= w.MeasurementInterval {
		r.measuredAt = now
		r.Slowdown = slowdown
		r.Used = w.groundTruth.ActualUse(r.spec)
		r.Used.MilliCores = int64(float64(r.Used.MilliCores) * r.speedFraction)
	}
	progress := time.Duration(float64(elapsed) * r.speedFraction / slowdown)
	r.Progress += progress
	w.TotalProgress += progress
	runTime := w.groundTruth.ActualRunTime(r.spec)
	switch {
	case w.FailAll && r.Progress >= failureProgress, w.groundTruth.AlwaysFails(r.spec) && r.Progress >= failureProgress:
		r.State = pv.AttemptFailed
	case runTime > 0 && r.Progress >= runTime:
		w.TotalProgress -= r.Progress - runTime
		r.Progress = runTime
		r.State = pv.AttemptFinished
	case w.CheckpointInterval > 0:
		r.Checkpointed = max(r.Checkpointed, r.Progress.Truncate(w.CheckpointInterval))
	}
}

// slowdown returns the factor by which interference and overcommitted cores slow a
// run down:
//
//	(1 + sum of AddedSlowdown*speedFraction over co-located runs) * max(1, cores used / cores of the worker)
func (w *WorkerCore) slowdown(now time.Time, r *run) float64 {
	factor := 1.0
	var milliCores float64
	// The order of the runs is fixed, since the last digits of a floating-point
	// sum depend on the order of its terms, and decisions depend on the sum.
	for _, other := range w.sortedRuns() {
		if other.State != pv.AttemptRunning {
			continue
		}
		milliCores += float64(w.groundTruth.ActualUse(other.spec).MilliCores) * other.speedFraction
		if other != r {
			factor += w.groundTruth.AddedSlowdown(now, r.spec.Kind, other.spec.Kind) * other.speedFraction
		}
	}
	if overcommit := milliCores / float64(max(w.Info.Capacity.MilliCores, 1)); overcommit > 1 {
		factor *= overcommit
	}
	return factor
}

func (w *WorkerCore) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int {
		if a.Task != b.Task {
			if a.Task < b.Task {
				return -1
			}
			return 1
		}
		return a.Attempt - b.Attempt
	})
	return runs
}

func (w *WorkerCore) stopRuns() {
	for _, r := range w.runs {
		if r.State == pv.AttemptRunning {
			r.State = pv.AttemptStopped
		}
	}
}

// Lease grants, renews or takes over the lease, deletes the ended runs that the
// caller acknowledges, and returns a report.
func (w *WorkerCore) Lease(now time.Time, q pv.LeaseRequest) (pv.WorkerReport, error) {
	w.Advance(now)
	if q.Incarnation != "" && q.Incarnation != w.incarnation {
		return pv.WorkerReport{}, pv.ErrRefused
	}
	if err := w.acceptLease(q); err != nil {
		return pv.WorkerReport{}, err
	}
	if q.LeaseEnd > w.clock(now) {
		w.leaseActive = true
		w.leaseEnd = max(w.leaseEnd, q.LeaseEnd)
	}
	for _, a := range q.Acknowledged {
		if r, ok := w.runs[a]; ok && r.State != pv.AttemptRunning {
			delete(w.runs, a)
		}
	}
	return w.Report(now), nil
}

// acceptLease checks the lease id and makes it current. It refuses a lapsed id, a
// lower id of the same cell, and another cell's id while a lease is in force. Runs
// go on only if a lease id of the same cell adopts them.
func (w *WorkerCore) acceptLease(q pv.LeaseRequest) error {
	if q.Lease == w.leaseID {
		if w.leaseLapsed {
			return pv.ErrRefused
		}
		return nil
	}
	if q.Lease.Cell != w.leaseID.Cell {
		if w.leaseActive {
			return pv.ErrRefused // another cell's lease is in force
		}
	} else if q.Lease.Compare(w.leaseID) < 0 {
		return pv.ErrRefused
	}
	if !q.Adopt || q.Lease.Cell != w.leaseID.Cell {
		w.stopRuns()
		w.leaseActive = false
	}
	w.leaseID = q.Lease
	w.leaseLapsed = false
	if !w.leaseActive {
		w.leaseEnd = 0
	}
	return nil
}

// Report returns the current runs and the ended ones not yet acknowledged.
func (w *WorkerCore) Report(now time.Time) pv.WorkerReport {
	w.Advance(now)
	report := pv.WorkerReport{
		Worker:      w.Info.ID,
		Incarnation: w.incarnation,
		Lease:       w.leaseID,
		Clock:       w.clock(now),
		LeaseEnd:    w.leaseEnd,
	}
	for _, r := range w.sortedRuns() {
		report.Runs = append(report.Runs, r.AttemptStatus)
	}
	return report
}

// Start starts an attempt. A repeated command for a current run succeeds.
func (w *WorkerCore) Start(now time.Time, c pv.StartCommand) error {
	w.Advance(now)
	if !w.leaseActive || c.Lease != w.leaseID || c.Incarnation != w.incarnation {
		return pv.ErrRefused
	}
	if r, ok := w.runs[c.Attempt]; ok {
		if r.State == pv.AttemptRunning {
			return nil
		}
		return pv.ErrRefused
	}
	if c.Attempt.Attempt <= w.highestAttempt[c.Attempt.Task] {
		return pv.ErrRefused
	}
	w.highestAttempt[c.Attempt.Task] = c.Attempt.Attempt
	w.runs[c.Attempt] = &run{
		AttemptStatus: pv.AttemptStatus{
			AttemptID:    c.Attempt,
			State:        pv.AttemptRunning,
			Progress:     c.ResumeFrom,
			Checkpointed: c.ResumeFrom,
			Slowdown:     1,
		},
		spec:          c.Spec,
		speedFraction: 1,
	}
	return nil
}

// Stop checkpoints and ends an attempt. An attempt that has not started is
// recorded as stopped and can't start any more.
func (w *WorkerCore) Stop(now time.Time, c pv.RunCommand) (pv.AttemptStatus, error) {
	w.Advance(now)
	if c.Lease != w.leaseID || w.leaseLapsed {
		return pv.AttemptStatus{}, pv.ErrRefused
	}
	w.highestAttempt[c.Attempt.Task] = max(w.highestAttempt[c.Attempt.Task], c.Attempt.Attempt)
	r, ok := w.runs[c.Attempt]
	if !ok {
		r = &run{AttemptStatus: pv.AttemptStatus{AttemptID: c.Attempt, State: pv.AttemptStopped}}
		w.runs[c.Attempt] = r
	}
	if r.State == pv.AttemptRunning {
		r.State = pv.AttemptStopped
		r.Checkpointed = r.Progress
	}
	return r.AttemptStatus, nil
}

// Throttle sets the fraction of full speed at which an attempt runs, at least 0.05 and
// at most 1.
func (w *WorkerCore) Throttle(now time.Time, c pv.RunCommand) error {
	w.Advance(now)
	r, ok := w.runs[c.Attempt]
	if c.Lease != w.leaseID || !ok || r.State != pv.AttemptRunning {
		return pv.ErrRefused
	}
	r.speedFraction = min(max(c.SpeedFraction, 0.05), 1)
	return nil
}

// Slowdown returns the factor by which interference slows an attempt down now, and
// false if the attempt does not run here.
func (w *WorkerCore) Slowdown(now time.Time, a pv.AttemptID) (float64, bool) {
	r, ok := w.runs[a]
	if !ok || r.State != pv.AttemptRunning {
		return 0, false
	}
	return w.slowdown(now, r), true
}

// Running returns the attempts that run now.
func (w *WorkerCore) Running(now time.Time) []pv.AttemptID {
	w.Advance(now)
	var out []pv.AttemptID
	for _, r := range w.sortedRuns() {
		if r.State == pv.AttemptRunning {
			out = append(out, r.AttemptID)
		}
	}
	return out
}
