package standin

// This file defines the fake worker. It keeps what the design assumes of a
// worker: it refuses a lower lease id, refuses commands for another
// incarnation, stops everything when its lease lapses on its own clock, and
// never grants a lapsed lease id again. Time comes in as a value.

import (
	"fmt"
	"slices"
	"time"

	pv "persimmonvalve"
)

// Truth is what tasks really do, as opposed to what was declared.
type Truth interface {
	// Use returns what a task really uses at full speed.
	Use(spec pv.TaskSpec) pv.Resources
	// RunTime returns how long a task runs undisturbed.
	RunTime(spec pv.TaskSpec) time.Duration
	// Cost returns how much a neighbour of a kind slows a task of another down;
	// 0 is not at all.
	Cost(now time.Time, victim, neighbour string) float64
	// Fails reports whether a task fails wherever it runs.
	Fails(spec pv.TaskSpec) bool
}

// Declared is the truth of tasks that do just what they declare.
type Declared struct{}

// Use implements Truth.
func (Declared) Use(spec pv.TaskSpec) pv.Resources { return spec.Size }

// RunTime implements Truth.
func (Declared) RunTime(spec pv.TaskSpec) time.Duration { return spec.RunTime }

// Cost implements Truth.
func (Declared) Cost(time.Time, string, string) float64 { return 0 }

// Fails implements Truth.
func (Declared) Fails(pv.TaskSpec) bool { return false }

var _ Truth = Declared{}

type run struct {
	pv.Run
	spec       pv.TaskSpec
	throttle   float64
	measuredAt time.Time
}

// WorkerCore is a fake worker's state. It isn't safe for concurrent use.
type WorkerCore struct {
	Info            pv.WorkerInfo
	CheckpointEvery time.Duration
	FailAll         bool          // every task fails soon after its start
	Rate            float64       // of its clock against real time
	Lag             time.Duration // between measurements of use and slowdown

	truth       Truth
	incarnation pv.Incarnation
	startedAt   time.Time
	movedAt     time.Time
	lives       int
	lease       pv.LeaseID
	live        bool // a grant is in force
	until       time.Duration
	lapsed      bool // the present lease id has lapsed
	runs        map[pv.AttemptID]*run
	sealed      map[pv.TaskID]int // highest attempt that may not start any more

	Worked time.Duration // useful run time done here
	Lapses int
}

// failAfter is how long a task runs on a worker that fails everything.
const failAfter = 500 * time.Millisecond

// NewWorkerCore returns a worker that runs nothing.
func NewWorkerCore(info pv.WorkerInfo, truth Truth, now time.Time) *WorkerCore {
	w := &WorkerCore{Info: info, CheckpointEvery: time.Minute, Rate: 1, truth: truth}
	w.Restart(now)
	return w
}

// Restart loses everything, as a worker that was replaced at its address.
func (w *WorkerCore) Restart(now time.Time) {
	w.lives++
	w.incarnation = pv.Incarnation(fmt.Sprintf("%s/%d", w.Info.ID, w.lives))
	w.startedAt = now
	w.movedAt = now
	w.lease = pv.LeaseID{}
	w.live = false
	w.until = 0
	w.lapsed = false
	w.runs = map[pv.AttemptID]*run{}
	w.sealed = map[pv.TaskID]int{}
}

func (w *WorkerCore) clock(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(w.startedAt)) * w.Rate)
}

// Advance lets time pass: tasks progress, end, and stop with the lease.
func (w *WorkerCore) Advance(now time.Time) {
	if w.live && w.clock(now) >= w.until {
		left := float64(w.until-w.clock(w.movedAt)) / w.Rate
		w.progress(w.movedAt.Add(time.Duration(left)))
		w.stopAll()
		w.live = false
		w.lapsed = true
		w.Lapses++
	}
	w.progress(now)
}

func (w *WorkerCore) progress(now time.Time) {
	elapsed := now.Sub(w.movedAt)
	if elapsed <= 0 {
		return
	}
	w.movedAt = now
	for _, r := range w.sorted() {
		if r.State == pv.RunRunning {
			w.progressRun(now, r, elapsed)
		}
	}
}

func (w *WorkerCore) progressRun(now time.Time, r *run, elapsed time.Duration) {
	slowdown := w.slowdown(now, r)
	if now.Sub(r.measuredAt) >= w.Lag {
		r.measuredAt = now
		r.Slowdown = slowdown
		r.Used = w.truth.Use(r.spec)
		r.Used.MilliCores = int64(float64(r.Used.MilliCores) * r.throttle)
	}
	done := time.Duration(float64(elapsed) * r.throttle / slowdown)
	r.Progress += done
	w.Worked += done
	total := w.truth.RunTime(r.spec)
	switch {
	case w.FailAll && r.Progress >= failAfter, w.truth.Fails(r.spec) && r.Progress >= failAfter:
		r.State = pv.RunFailed
	case total > 0 && r.Progress >= total:
		w.Worked -= r.Progress - total
		r.Progress = total
		r.State = pv.RunFinished
	case w.CheckpointEvery > 0:
		r.Saved = max(r.Saved, r.Progress.Truncate(w.CheckpointEvery))
	}
}

// slowdown is what the neighbours cost a task, times what cores beyond the
// worker's take from everybody.
func (w *WorkerCore) slowdown(now time.Time, r *run) float64 {
	factor := 1.0
	var cores float64
	// In a fixed order: sums of fractions differ in their last digit by it, and
	// decisions with them.
	for _, o := range w.sorted() {
		if o.State != pv.RunRunning {
			continue
		}
		cores += float64(w.truth.Use(o.spec).MilliCores) * o.throttle
		if o != r {
			factor += w.truth.Cost(now, r.spec.Kind, o.spec.Kind) * o.throttle
		}
	}
	if over := cores / float64(max(w.Info.Capacity.MilliCores, 1)); over > 1 {
		factor *= over
	}
	return factor
}

func (w *WorkerCore) sorted() []*run {
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

func (w *WorkerCore) stopAll() {
	for _, r := range w.runs {
		if r.State == pv.RunRunning {
			r.State = pv.RunStopped
		}
	}
}

// Lease grants, renews or takes over the lease and reports.
func (w *WorkerCore) Lease(now time.Time, q pv.LeaseRequest) (pv.WorkerReport, error) {
	w.Advance(now)
	if q.Incarnation != "" && q.Incarnation != w.incarnation {
		return pv.WorkerReport{}, pv.ErrRefused
	}
	if err := w.admit(q); err != nil {
		return pv.WorkerReport{}, err
	}
	if q.Until > w.clock(now) {
		w.live = true
		w.until = max(w.until, q.Until)
	}
	for _, a := range q.Forget {
		if r, ok := w.runs[a]; ok && r.State != pv.RunRunning {
			delete(w.runs, a)
		}
	}
	return w.Report(now), nil
}

func (w *WorkerCore) admit(q pv.LeaseRequest) error {
	if q.Lease == w.lease {
		if w.lapsed {
			return pv.ErrRefused
		}
		return nil
	}
	if q.Lease.Cell != w.lease.Cell {
		if w.live {
			return pv.ErrRefused // another cell's lease is in force
		}
	} else if q.Lease.Compare(w.lease) < 0 {
		return pv.ErrRefused
	}
	if !q.Adopt || q.Lease.Cell != w.lease.Cell {
		w.stopAll()
		w.live = false
	}
	w.lease = q.Lease
	w.lapsed = false
	if !w.live {
		w.until = 0
	}
	return nil
}

// Report returns what runs and what ended and wasn't forgotten.
func (w *WorkerCore) Report(now time.Time) pv.WorkerReport {
	w.Advance(now)
	report := pv.WorkerReport{
		Worker:      w.Info.ID,
		Incarnation: w.incarnation,
		Lease:       w.lease,
		Clock:       w.clock(now),
		Until:       w.until,
	}
	for _, r := range w.sorted() {
		report.Runs = append(report.Runs, r.Run)
	}
	return report
}

// Start begins an attempt.
func (w *WorkerCore) Start(now time.Time, c pv.StartCommand) error {
	w.Advance(now)
	if !w.live || c.Lease != w.lease || c.Incarnation != w.incarnation {
		return pv.ErrRefused
	}
	if r, ok := w.runs[c.Attempt]; ok {
		if r.State == pv.RunRunning {
			return nil
		}
		return pv.ErrRefused
	}
	if c.Attempt.Attempt <= w.sealed[c.Attempt.Task] {
		return pv.ErrRefused
	}
	w.sealed[c.Attempt.Task] = c.Attempt.Attempt
	w.runs[c.Attempt] = &run{
		Run: pv.Run{
			AttemptID: c.Attempt,
			State:     pv.RunRunning,
			Progress:  c.From,
			Saved:     c.From,
			Slowdown:  1,
		},
		spec:     c.Spec,
		throttle: 1,
	}
	return nil
}

// Stop checkpoints and ends an attempt, and seals it if it never started.
func (w *WorkerCore) Stop(now time.Time, c pv.RunCommand) (pv.Run, error) {
	w.Advance(now)
	if c.Lease != w.lease || w.lapsed {
		return pv.Run{}, pv.ErrRefused
	}
	w.sealed[c.Attempt.Task] = max(w.sealed[c.Attempt.Task], c.Attempt.Attempt)
	r, ok := w.runs[c.Attempt]
	if !ok {
		r = &run{Run: pv.Run{AttemptID: c.Attempt, State: pv.RunStopped}}
		w.runs[c.Attempt] = r
	}
	if r.State == pv.RunRunning {
		r.State = pv.RunStopped
		r.Saved = r.Progress
	}
	return r.Run, nil
}

// Throttle sets the share of full speed at which an attempt runs.
func (w *WorkerCore) Throttle(now time.Time, c pv.RunCommand) error {
	w.Advance(now)
	r, ok := w.runs[c.Attempt]
	if c.Lease != w.lease || !ok || r.State != pv.RunRunning {
		return pv.ErrRefused
	}
	r.throttle = min(max(c.Throttle, 0.05), 1)
	return nil
}

// Slowdown returns how much slower than undisturbed a task of an attempt runs
// now, false if the attempt doesn't run here.
func (w *WorkerCore) Slowdown(now time.Time, a pv.AttemptID) (float64, bool) {
	r, ok := w.runs[a]
	if !ok || r.State != pv.RunRunning {
		return 0, false
	}
	return w.slowdown(now, r), true
}

// Running returns the attempts that run now, with what they were sized at.
func (w *WorkerCore) Running(now time.Time) []pv.AttemptID {
	w.Advance(now)
	var out []pv.AttemptID
	for _, r := range w.sorted() {
		if r.State == pv.RunRunning {
			out = append(out, r.AttemptID)
		}
	}
	return out
}
