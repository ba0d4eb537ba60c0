package planner

// This file defines a job's state. A task waits, runs or is finished. It has at most
// one run, and a run keeps its reserved capacity until its end is proved.

import (
	"net/netip"
	"time"

	pv "persimmonvalve"
)

type job struct {
	spec           pv.Job
	rawSpec        []byte // as submitted, JSON
	queue          pv.Queue
	state          pv.JobState
	committedState pv.JobState // empty until the job's first record is stored
	acceptedAt     time.Time
	endedAt        time.Time
	steps          []*step // of all occurrences, in order
	coreSeconds    float64 // of one occurrence, by its estimates
	openTasks      int     // tasks that are not finished
	openRuns       int     // runs whose end isn't proved
	specStored     bool    // the spec's record is in a sealed batch or in the store
	dirty          bool    // it is listed in Planner.dirtyJobs
	stateDirty     bool    // its state record is out of date
	dirtySteps     []*step // with task records that are out of date
}

// step is one step in one occurrence.
type step struct {
	job          *job
	spec         *pv.Step
	occurrence   int
	index        int
	due          time.Time
	tasks        []*task
	openTasks    int // tasks that are not finished
	gangFailures gangFailures
	predecessors []*step
	slackModel   slackModel    // of a step with a latency target
	criticalPath time.Duration // estimated time from this step's start to the end of the occurrence
	position     int           // among the steps of all occurrences
	dirtyGroups  map[int]bool  // groups of tasks whose record is out of date; nil if there are none
	storedGroups map[int]bool  // groups of tasks that have a record
	fullSpeed    fullSpeedTime // of a step of fillers: of the tasks that have succeeded
}

type task struct {
	step             *step
	index            int
	attempt          int // highest used
	failures         int
	finished         bool
	checkpoint       string
	storedCheckpoint string // in the task's record
	run              *run
	avoidWorker      pv.WorkerID    // on which the task failed last; for a member of a gang see gangFailures
	suspected        bool           // it may have crashed a worker
	crashes          int            // crashes of workers in which it was a possible cause
	startCrashes     int            // crashes of workers counted against it
	crashAddress     netip.AddrPort // of the last such worker
	waitingSince     time.Time      // first placement pass that considered the task; zero while it runs, and for gangs
}

// run is an attempt that may exist on its worker.
type run struct {
	task            *task
	attempt         int
	worker          *worker
	incarnation     int64
	committed       bool // its record is stored, so that the start may be sent
	stopping        bool
	stopReason      string    // why it was ordered to stop
	observed        bool      // the worker has reported it, accepted, running or ended
	observedAt      time.Time // when a poll first listed it as running
	counted         bool      // if suspected: likely to be the cause, if the worker has crashed
	alone           bool      // if suspected: it had started alone
	brokeOnStart    bool      // if suspected: the worker's connections broke right after it, or another run, was accepted
	suspected       bool      // accepted shortly before the worker stopped answering
	leaving         bool      // its worker drained or deregistered
	progressPercent int
	pace            pace // of a filler
	speedSampled    bool // its pace has been compared with its step's
	assignedAt      time.Time
}

func (r *run) ref() pv.RunRef {
	return pv.RunRef{Task: r.task.ref(), Attempt: r.attempt}
}

func (t *task) ref() pv.TaskRef {
	return pv.TaskRef{Job: t.step.job.spec.ID, Occurrence: t.step.occurrence, Step: t.step.index, Index: t.index}
}

func newJob(spec pv.Job, rawSpec []byte, queue pv.Queue, acceptedAt time.Time) *job {
	j := &job{spec: spec, rawSpec: rawSpec, queue: queue, state: pv.JobQueued, acceptedAt: acceptedAt}
	for occurrence := range max(1, spec.Occurrences) {
		due := acceptedAt
		if !spec.FirstDue.IsZero() {
			due = spec.FirstDue.Add(time.Duration(occurrence) * spec.Interval)
		}
		firstStep := len(j.steps)
		for i := range spec.Steps {
			s := &step{job: j, spec: &j.spec.Steps[i], occurrence: occurrence, index: i, due: due, position: len(j.steps), storedGroups: map[int]bool{}}
			for n := range s.spec.Count {
				s.tasks = append(s.tasks, &task{step: s, index: n})
			}
			s.openTasks = len(s.tasks)
			j.openTasks += s.openTasks
			for _, a := range s.spec.After {
				s.predecessors = append(s.predecessors, j.steps[firstStep+a])
			}
			j.steps = append(j.steps, s)
		}
		j.estimateCriticalPaths(firstStep)
	}
	return j
}

func (j *job) memoryBytes() int64 { return j.spec.MemoryBytes(len(j.rawSpec)) }

// estimateCriticalPaths sets the critical path of each step of the occurrence appended
// last, whose first step is at position firstStep: the longest sum of estimates over a
// chain of dependent steps that starts with the step.
func (j *job) estimateCriticalPaths(firstStep int) {
	for i := len(j.steps) - 1; i >= firstStep; i-- {
		s := j.steps[i]
		s.criticalPath += s.spec.Estimate
		for _, a := range s.predecessors {
			a.criticalPath = max(a.criticalPath, s.criticalPath)
		}
	}
}

// ready reports whether the step is due, not done, and its predecessors are done.
func (s *step) ready(now time.Time) bool {
	if s.openTasks == 0 || now.Before(s.due) {
		return false
	}
	for _, a := range s.predecessors {
		if a.openTasks > 0 {
			return false
		}
	}
	return true
}

// objective returns the time by which the step's occurrence should be done:
//
//	due + DeadlineFactor * longest critical path + Grace
func (s *step) objective() time.Time {
	j := s.job
	longest := s.criticalPath
	for _, o := range j.steps {
		if o.occurrence == s.occurrence {
			longest = max(longest, o.criticalPath)
		}
	}
	return s.due.Add(time.Duration(j.queue.DeadlineFactor*float64(longest)) + j.queue.Grace)
}

func (t *task) waiting() bool { return !t.finished && t.run == nil }
