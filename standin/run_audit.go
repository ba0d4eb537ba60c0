package standin

// This file defines the run audit: it records the runs of all workers of a site
// and checks them against the scheduling invariants.

import (
	"fmt"
	"sync"
	"time"

	pv "persimmonvalve"
)

// RunAudit audits the runs of a site's workers. It is safe for concurrent use.
type RunAudit struct {
	mu           sync.Mutex
	violations   []string
	runningCount map[pv.TaskRef]int
	acknowledged map[pv.TaskRef]bool // the successful end was acknowledged under a valid lease
	startedJobs  map[pv.JobID]bool
	cancelledAt  map[pv.JobID]time.Time
	startCount   int
	predecessors func(pv.TaskRef) []pv.TaskRef // tasks that must succeed first; may be nil
	succeeded    map[pv.TaskRef]bool           // a run succeeded, acknowledged or not
	crashCount   map[pv.TaskRef]int            // crashes of workers while the task ran there
	lateStarts   map[pv.TaskRef]int            // starts of a task that crashes its workers, after maxCrashes crashes
	failedRuns   map[pv.RunRef]bool            // whether the end was acknowledged under a valid lease
}

// NewRunAudit returns an empty audit. The function predecessors returns the
// tasks that must succeed before a task starts; nil disables that check.
func NewRunAudit(predecessors func(pv.TaskRef) []pv.TaskRef) *RunAudit {
	return &RunAudit{
		runningCount: map[pv.TaskRef]int{}, acknowledged: map[pv.TaskRef]bool{}, startedJobs: map[pv.JobID]bool{},
		cancelledAt: map[pv.JobID]time.Time{}, predecessors: predecessors, succeeded: map[pv.TaskRef]bool{},
		crashCount: map[pv.TaskRef]int{}, lateStarts: map[pv.TaskRef]int{}, failedRuns: map[pv.RunRef]bool{},
	}
}

func (a *RunAudit) addViolation(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}

// Violations returns the violations found so far.
func (a *RunAudit) Violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.violations
}

// TaskSucceeded reports whether a run of the task succeeded, acknowledged or not.
func (a *RunAudit) TaskSucceeded(t pv.TaskRef) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.succeeded[t]
}

// JobStarted reports whether a task of the job has ever started.
func (a *RunAudit) JobStarted(id pv.JobID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.startedJobs[id]
}

// TotalStarts returns the number of runs started.
func (a *RunAudit) TotalStarts() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.startCount
}

// RunningCount returns the number of current runs of a job.
func (a *RunAudit) RunningCount(id pv.JobID) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for t, c := range a.runningCount {
		if t.Job == id {
			n += c
		}
	}
	return n
}

// CrashCount returns the number of workers that crashed, for whatever reason, while they
// ran the task.
func (a *RunAudit) CrashCount(t pv.TaskRef) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.crashCount[t]
}

// FailedAttempts returns the number of attempts of the job's tasks in which at least one run has
// failed, and of those of which the end of such a run was acknowledged under a valid lease.
func (a *RunAudit) FailedAttempts(id pv.JobID) (ended, acknowledged int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	attempts := map[int]bool{}
	for r, acked := range a.failedRuns {
		if r.Task.Job == id {
			attempts[r.Attempt] = attempts[r.Attempt] || acked
		}
	}
	for _, acked := range attempts {
		ended++
		if acked {
			acknowledged++
		}
	}
	return ended, acknowledged
}

// RecordCancellation records that a job's cancellation was acknowledged.
func (a *RunAudit) RecordCancellation(id pv.JobID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.cancelledAt[id]; !ok {
		a.cancelledAt[id] = time.Now()
	}
}

// CancellationCount returns the number of jobs whose cancellation was acknowledged.
func (a *RunAudit) CancellationCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.cancelledAt)
}

// cancellationGrace is the time after an acknowledged cancellation within which
// start orders for the job's tasks are no violation.
const cancellationGrace = 3 * time.Second

// A task that crashes its workers may be started fewer than maxLateStarts times after
// maxCrashes workers have crashed under it.
const (
	maxCrashes    = 3
	maxLateStarts = 3
)

func (a *RunAudit) recordStart(r pv.RunRef, orderedAt time.Time, crashesWorker bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.startCount++
	if crashesWorker && a.crashCount[r.Task] >= maxCrashes {
		a.lateStarts[r.Task]++
		if a.lateStarts[r.Task] == maxLateStarts {
			a.addViolation("%v attempt %d is start %d after %d workers had crashed under the task", r.Task, r.Attempt, maxLateStarts, maxCrashes)
		}
	}
	a.startedJobs[r.Task.Job] = true
	if a.runningCount[r.Task] > 0 {
		a.addViolation("%v attempt %d starts beside another run", r.Task, r.Attempt)
	}
	if a.acknowledged[r.Task] {
		a.addViolation("%v attempt %d starts after the task's success was acknowledged", r.Task, r.Attempt)
	}
	if at, ok := a.cancelledAt[r.Task.Job]; ok && orderedAt.Sub(at) > cancellationGrace {
		a.addViolation("%v attempt %d starts %v after its job was cancelled", r.Task, r.Attempt, orderedAt.Sub(at))
	}
	if a.predecessors != nil {
		for _, p := range a.predecessors(r.Task) {
			if !a.succeeded[p] {
				a.addViolation("%v starts before %v is done", r.Task, p)
			}
		}
	}
	a.runningCount[r.Task]++
}

func (a *RunAudit) recordEnd(r pv.RunRef, kind pv.EndKind) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runningCount[r.Task]--
	switch kind {
	case pv.EndSucceeded:
		a.succeeded[r.Task] = true
	case pv.EndFailed:
		a.failedRuns[r] = false
	}
}

// recordCrash records that a worker has crashed while it ran r.
func (a *RunAudit) recordCrash(r pv.RunRef) {
	a.recordEnd(r, pv.EndVanished)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.crashCount[r.Task]++
}

func (a *RunAudit) recordOverCapacity(r pv.RunRef, worker pv.WorkerID, used, capacity pv.Resources) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addViolation("%v attempt %d brings worker %s to %v, over its capacity of %v", r.Task, r.Attempt, worker, used, capacity)
}

func (a *RunAudit) recordAcknowledged(e pv.RunEnd) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch e.Kind {
	case pv.EndSucceeded:
		a.acknowledged[e.Run.Task] = true
	case pv.EndFailed:
		a.failedRuns[e.Run] = true
	}
}
