package persimmonvalve

// This file defines jobs, the queues that they are submitted to, and the runs of
// their tasks on workers.

import (
	"fmt"
	"math"
	"net/netip"
	"time"
	"unicode/utf8"
)

// JobID identifies a job. The caller chooses it; a repeated submission of the same
// id refers to the same job.
type JobID string

// TaskRef identifies one task of a job.
type TaskRef struct {
	Job        JobID
	Occurrence int // from 0; always 0 for a job that runs once
	Step       int // index in Job.Steps
	Index      int // from 0 to the step's count less 1
}

// String formats the reference for logs, as job.occurrence.step.index.
func (t TaskRef) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// RunRef identifies one attempt at running a task of a job.
type RunRef struct {
	Task    TaskRef
	Attempt int // from 1; the same for all members of a gang
}

// String formats the reference for logs, as task#attempt.
func (r RunRef) String() string { return fmt.Sprintf("%v#%d", r.Task, r.Attempt) }

// Step is a set of identical tasks of a job.
type Step struct {
	Count          int           `json:"count"`
	Size           Resources     `json:"size"`                    // of one task
	Estimate       time.Duration `json:"estimate,omitempty"`      // caller's estimate of one task's run time
	After          []int         `json:"after,omitempty"`         // indexes of earlier steps that must finish first
	Checkpointable bool          `json:"checkpoints,omitempty"`   // tasks write checkpoints of their progress
	Gang           bool          `json:"gang,omitempty"`          // all tasks must run at the same time
	SameRack       bool          `json:"sameRack,omitempty"`      // tasks run slower when spread over several racks
	RequiredLabel  string        `json:"label,omitempty"`         // label that a worker must have to run the tasks
	DataRack       string        `json:"dataRack,omitempty"`      // rack of the input data; tasks run slower on any other rack
	MaxPerWorker   int           `json:"perWorker,omitempty"`     // maximum number of tasks on one worker; 0 is no limit
	Speculative    bool          `json:"racing,omitempty"`        // several copies of a task may run at the same time
	Standing       bool          `json:"standing,omitempty"`      // tasks run until the job is cancelled
	Image          string        `json:"image,omitempty"`         // tasks of one image are assumed to behave alike
	LatencyTarget  time.Duration `json:"latencyTarget,omitempty"` // upper bound of a standing task's tail latency
	Filler         bool          `json:"filler,omitempty"`        // best-effort tasks that use only cores left idle by other tasks
	MaxUnavailable int           `json:"mayMiss,omitempty"`       // standing tasks that planned actions may stop at the same time
}

// Job is a caller's submission.
type Job struct {
	ID          JobID         `json:"id"`
	Payload     string        `json:"payload,omitempty"` // passed to each task without being parsed
	Steps       []Step        `json:"steps"`
	FirstDue    time.Time     `json:"first,omitzero"`     // due time of the first occurrence
	Interval    time.Duration `json:"interval,omitempty"` // between due times of occurrences
	Occurrences int           `json:"repeats,omitempty"`  // number of occurrences; 0 is a job that runs once, immediately
}

// Limits of a job. They keep the record of a job's state within the store's limit on
// the size of a record.
const (
	MaxJobIDBytes      = 200 // the store's keys have at most 255 bytes
	MaxJobSteps        = 64
	MaxJobTasks        = 10000 // over all steps and occurrences
	MaxJobPayloadBytes = 16 << 10
	MaxJobTextBytes    = 32 << 10  // payload and strings of all steps; JSON takes up to 6 bytes for one
	MaxJobEncodedBytes = 240 << 10 // of the job as JSON; the store's records have at most 256 KiB
)

// Memory that a job takes in a process that keeps it, besides what grows with its encoding.
const (
	taskMemoryBytes      = 256
	stepMemoryBytes      = 768
	encodingMemoryFactor = 4 // for the encoding, the decoded fields and the records
)

// MemoryBytes estimates the memory in bytes that a sound job takes in a process that keeps it, by
// the length of its encoding.
func (j *Job) MemoryBytes(encodedBytes int) int64 {
	tasks := 0
	for _, s := range j.Steps {
		tasks += s.Count
	}
	occurrences := max(1, j.Occurrences)
	return int64(encodingMemoryFactor*encodedBytes + occurrences*(len(j.Steps)*stepMemoryBytes+tasks*taskMemoryBytes))
}

// Limits of the numbers of a job. Sums over the tasks of many jobs stay exact.
const (
	MaxResourceAmount = 1 << 40              // of each resource of one task
	MaxJobDuration    = 366 * 24 * time.Hour // of a step's estimate and latency target
	MaxJobSpan        = 100 * MaxJobDuration // from the first to the last due time
)

// Check validates the id; it returns the problem found, or an empty string. No job has
// an id with a problem.
func (id JobID) Check() string {
	switch {
	case id == "":
		return "the job has no id"
	case len(id) > MaxJobIDBytes:
		return fmt.Sprintf("the id has %d bytes, the limit is %d", len(id), MaxJobIDBytes)
	case !utf8.ValidString(string(id)):
		return "the id isn't valid UTF-8" // records and frames can't hold it
	}
	return ""
}

// Check validates the job; it returns the first problem found, or an empty string.
func (j *Job) Check() string {
	if problem := j.ID.Check(); problem != "" {
		return problem
	}
	switch {
	case len(j.Steps) == 0:
		return "the job has no steps"
	case len(j.Steps) > MaxJobSteps:
		return fmt.Sprintf("the job has %d steps, the limit is %d", len(j.Steps), MaxJobSteps)
	case len(j.Payload) > MaxJobPayloadBytes:
		return fmt.Sprintf("the payload has %d bytes, the limit is %d", len(j.Payload), MaxJobPayloadBytes)
	case j.Occurrences < 0 || j.Interval < 0:
		return "repeats and interval can't be negative"
	case j.Interval > MaxJobSpan/time.Duration(max(1, j.Occurrences)):
		return fmt.Sprintf("the job repeats for longer than %v", MaxJobSpan)
	}
	tasks, textBytes := 0, len(j.Payload)
	for i, s := range j.Steps {
		if s.Count < 1 || s.Count > MaxJobTasks {
			return fmt.Sprintf("step %d has %d tasks, allowed are 1 to %d", i, s.Count, MaxJobTasks)
		}
		if s.Size.Negative() || s.MaxPerWorker < 0 || s.Estimate < 0 {
			return fmt.Sprintf("step %d has a negative size", i)
		}
		if max(s.Size.MilliCores, s.Size.MemoryMB, s.Size.Accelerators, s.Size.Slots) > MaxResourceAmount {
			return fmt.Sprintf("step %d has a size above %d", i, MaxResourceAmount)
		}
		if s.Estimate > MaxJobDuration || s.LatencyTarget < 0 || s.LatencyTarget > MaxJobDuration || s.MaxUnavailable < 0 {
			return fmt.Sprintf("step %d has an estimate, latency target or tolerance that is out of range", i)
		}
		textBytes += len(s.RequiredLabel) + len(s.DataRack) + len(s.Image)
		if len(s.After) > i {
			return fmt.Sprintf("step %d names a step twice", i)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return fmt.Sprintf("step %d comes after step %d, which isn't an earlier one", i, a)
			}
		}
		tasks += s.Count
	}
	if textBytes > MaxJobTextBytes {
		return fmt.Sprintf("the payload and the texts of the steps have %d bytes, the limit is %d", textBytes, MaxJobTextBytes)
	}
	if tasks > MaxJobTasks/max(1, j.Occurrences) {
		return fmt.Sprintf("the job has too many tasks, the limit is %d over all occurrences", MaxJobTasks)
	}
	return ""
}

// Queue is a queue to which jobs are submitted, with the operator's settings. The
// objective of a job, the time by which it should be done, is its due time +
// DeadlineFactor * critical path + Grace.
type Queue struct {
	Name           string        `json:"name"`
	Service        string        `json:"service"`        // service whose workers run the tasks
	Priority       int           `json:"priority"`       // 0 is the most urgent
	MaxAttempts    int           `json:"attempts"`       // number of failed runs of one task after which its job fails
	DeadlineFactor float64       `json:"deadlineFactor"` // of the critical path, in the objective
	Grace          time.Duration `json:"grace"`          // constant part of the objective
}

// Limits of the settings of a queue.
const (
	MaxQueuePriority  = 1 << 20
	MaxDeadlineFactor = 1 << 20
)

// Check validates the queue's settings; it returns the first problem found, or an empty
// string.
func (q *Queue) Check() string {
	switch {
	case max(q.Priority, -q.Priority) > MaxQueuePriority || q.Priority == math.MinInt:
		return "the priority is out of range"
	case !(q.DeadlineFactor >= 0 && q.DeadlineFactor <= MaxDeadlineFactor):
		return "the deadline factor is out of range"
	case q.Grace < 0 || q.Grace > MaxJobDuration:
		return "the grace is out of range"
	}
	return ""
}

// QueueList is one version of the operator's configuration of queues.
type QueueList struct {
	Version int64
	Queues  []Queue
}

// JobState is the state of a job.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued" // no task has started yet
	JobRunning   JobState = "running"
	JobFinished  JobState = "finished"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool {
	return s == JobFinished || s == JobFailed || s == JobCancelled
}

// EndKind is the way in which a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndSucceeded      EndKind = "done"
	EndFailed         EndKind = "failed"   // the task or the worker failed
	EndStopped        EndKind = "stopped"  // stopped by order
	EndLeaseLapsed    EndKind = "lapsed"   // the worker's lease lapsed, so the worker stopped the run
	EndGangBroken     EndKind = "broken"   // another member of the gang ended
	EndGangIncomplete EndKind = "alone"    // the other members of the gang did not start in time
	EndVanished       EndKind = "vanished" // the run is provably not on the worker any more, and no end was reported
)

// RunStatus is the status of a run that is present on a worker.
type RunStatus struct {
	Run             RunRef
	Checkpoint      string // name of the last checkpoint, if any
	ProgressPercent int    // progress in percent
	// Measured is a measurement over the last half second: the tail latency in
	// milliseconds for a task with a latency target, else the millicores in use.
	Measured int64
}

// RunEnd is the end of a run. A worker keeps it until it is acknowledged.
type RunEnd struct {
	Sequence   int64 // sequence number, increasing within an incarnation of the worker
	Run        RunRef
	Kind       EndKind
	Checkpoint string
}

// WorkerState is the state of a worker as reported in its heartbeats.
type WorkerState struct {
	ID            WorkerID
	Service       string
	Incarnation   int64 // Unix milliseconds of the worker's start; differs between incarnations of one id
	Location      Location
	Labels        []string
	Capacity      Resources
	Draining      bool          // the worker takes no new runs and is about to shut down
	DrainTimeLeft time.Duration // minimum time until a draining worker shuts down
	Sequence      int64         // sequence number of the heartbeat
	// Address is where the supervisor calls the worker. No two live workers have
	// the same address.
	Address netip.AddrPort
}

// Deregistration is a worker's notice that it has shut down: no run of that
// incarnation is running any more.
type Deregistration struct {
	Worker      WorkerID `json:"worker"`
	Incarnation int64    `json:"life"` // Unix milliseconds of the worker's start; 0 if it isn't known
}

// WorkerRuns lists the runs of a worker; it is the answer to a poll.
type WorkerRuns struct {
	Incarnation int64         // Unix milliseconds of the worker's start
	Clock       time.Duration // reading of the worker's monotonic clock
	Running     []RunStatus
	Ended       []RunEnd // ends that have not been acknowledged, lowest sequence numbers first
	// EndsTruncated states that the worker may have further ends, which it lists once
	// these are acknowledged. A run that isn't listed may then have ended.
	EndsTruncated bool
}

// RunOrder is an order to a worker to start a run.
type RunOrder struct {
	Run        RunRef
	Payload    string
	Checkpoint string // checkpoint to resume from, if any
	Ticket     string // permission that a worker may require for a start; passed on without being parsed
	FirstSend  bool   // no order to start this run was sent before
	// The fields below are for the supervisor beside the worker, which limits the
	// CPU use of fillers.
	Filler        bool
	LatencyTarget time.Duration
	Image         string
	MilliCores    int64 // declared size of the task
}

// ImagePair is a pair of images whose tasks run on the same worker.
type ImagePair struct{ Filler, Serving string }

// InterferenceCoefficient is the slack that each core used by fillers of one
// image takes from a serving task of another. Slack is the latency target divided
// by the tail latency: at 1 the task just meets its target.
type InterferenceCoefficient struct {
	Pair    ImagePair
	PerCore float64
}

// MinSlack is the slack that fillers must leave to serving tasks. It is above 1
// because measured latencies are imprecise and up to half a second old, and load
// alone can reduce the slack by up to a fifth in that time.
const MinSlack = 1.25

// DefaultInterferenceCoefficient is the interference coefficient, in slack per core, of
// image pairs without measurements. With it, one filler of average size may use about
// 100 percent of its cores beside a serving task that has its baseline slack, the slack
// without fillers.
const DefaultInterferenceCoefficient = 0.3

// WorkerLease accompanies each order to a worker: the sender's fencing token and the
// end of its lease on the worker.
type WorkerLease struct {
	FencingToken int64         // fencing token; the worker refuses tokens lower than the highest seen
	End          time.Duration // end of the lease, on the worker's clock; the worker then stops all its runs
}

// StartAnswer is the result of an order to start a run.
type StartAnswer string

// The results of an order to start a run. After StartUnknown the run may have
// started, or may still start.
const (
	StartAccepted      StartAnswer = "accepted"
	StartFenced        StartAnswer = "fenced"    // the worker has seen a higher fencing token
	StartStaleAttempt  StartAnswer = "old"       // this attempt or a later one has ended on the worker
	StartLeaseExpired  StartAnswer = "expired"   // the end of the lease has passed
	StartNoCapacity    StartAnswer = "noRoom"    // the worker lacks the capacity
	StartInvalidTicket StartAnswer = "noTicket"  // the ticket is missing or has expired
	StartUnavailable   StartAnswer = "unhealthy" // the worker is overloaded or unavailable and did not start the run
	StartWrongWorker   StartAnswer = "otherLife" // another worker answered at that address
	StartInvalid       StartAnswer = "invalid"   // the order or the worker's answer is malformed
	StartUnknown       StartAnswer = "unknown"
	StartNotSent       StartAnswer = "notSent" // the order was not sent
)
