package persimmonvalve

// This file defines jobs: what a caller submits, the queue it goes to, and the
// runs of its tasks on workers.

import (
	"fmt"
	"net/netip"
	"time"
)

// JobID names a job; the caller chooses it, and repeats of it are one job.
type JobID string

// TaskRef names one task of a job.
type TaskRef struct {
	Job        JobID
	Occurrence int // 0 for a job without repeats
	Step       int // index in Job.Steps
	Index      int // below the step's count
}

// String returns the reference for logs.
func (t TaskRef) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// RunRef names one attempt of one task.
type RunRef struct {
	Task    TaskRef
	Attempt int // from 1; the members of a gang share it
}

// Step is a set of equal tasks of a job.
type Step struct {
	Count          int           `json:"count"`
	Size           Resources     `json:"size"`                    // of one task
	Estimate       time.Duration `json:"estimate,omitempty"`      // caller's rough run time of one task
	After          []int         `json:"after,omitempty"`         // earlier steps that must be done first
	Checkpoints    bool          `json:"checkpoints,omitempty"`   // tasks save their progress
	Gang           bool          `json:"gang,omitempty"`          // tasks work only together
	SameRack       bool          `json:"sameRack,omitempty"`      // slower when spread over racks
	Label          string        `json:"label,omitempty"`         // label that the worker must have
	DataRack       string        `json:"dataRack,omitempty"`      // slower on any other rack
	PerWorker      int           `json:"perWorker,omitempty"`     // most tasks on one worker; 0 is no limit
	Speculative    bool          `json:"racing,omitempty"`        // copies of a task may run side by side
	Standing       bool          `json:"standing,omitempty"`      // tasks run until the job is cancelled
	Image          string        `json:"image,omitempty"`         // tasks of one image behave alike
	LatencyTarget  time.Duration `json:"latencyTarget,omitempty"` // bound of a standing task's tail latency
	Filler         bool          `json:"filler,omitempty"`        // uses only cores that other tasks leave idle
	MaxUnavailable int           `json:"mayMiss,omitempty"`       // standing tasks that planned actions may take away at once
}

// Job is a caller's submission.
type Job struct {
	ID       JobID         `json:"id"`
	Payload  string        `json:"payload,omitempty"` // handed to each task unread
	Steps    []Step        `json:"steps"`
	First    time.Time     `json:"first,omitzero"`     // due time of the first occurrence
	Interval time.Duration `json:"interval,omitempty"` // between occurrences
	Repeats  int           `json:"repeats,omitempty"`  // occurrences; 0 runs once at once
}

// Limits of a job. They keep a record of its state within the store's bound.
const (
	MaxJobSteps   = 64
	MaxJobTasks   = 10000 // over all occurrences
	MaxJobPayload = 16 << 10
)

// Check returns what is wrong with the job, or an empty string.
func (j *Job) Check() string {
	switch {
	case j.ID == "":
		return "the job has no id"
	case len(j.Steps) == 0:
		return "the job has no steps"
	case len(j.Steps) > MaxJobSteps:
		return fmt.Sprintf("the job has %d steps, the limit is %d", len(j.Steps), MaxJobSteps)
	case len(j.Payload) > MaxJobPayload:
		return fmt.Sprintf("the payload has %d bytes, the limit is %d", len(j.Payload), MaxJobPayload)
	case j.Repeats < 0 || j.Interval < 0:
		return "repeats and interval can't be negative"
	}
	tasks := 0
	for i, s := range j.Steps {
		if s.Count < 1 || s.Count > MaxJobTasks {
			return fmt.Sprintf("step %d has %d tasks, allowed are 1 to %d", i, s.Count, MaxJobTasks)
		}
		if s.Size.MilliCores < 0 || s.Size.MemoryMB < 0 || s.Size.Accelerators < 0 || s.PerWorker < 0 || s.Estimate < 0 {
			return fmt.Sprintf("step %d has a negative size", i)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return fmt.Sprintf("step %d comes after step %d, which isn't an earlier one", i, a)
			}
		}
		tasks += s.Count
	}
	if tasks > MaxJobTasks/max(1, j.Repeats) {
		return fmt.Sprintf("the job has too many tasks, the limit is %d over all occurrences", MaxJobTasks)
	}
	return ""
}

// Queue is a kind of jobs as the operator configures it.
type Queue struct {
	Name           string        `json:"name"`
	Service        string        `json:"service"`        // whose workers run the tasks
	Priority       int           `json:"priority"`       // 0 comes first
	MaxAttempts    int           `json:"attempts"`       // failed runs of a task after which its job fails
	DeadlineFactor float64       `json:"deadlineFactor"` // objective in multiples of the longest chain
	Grace          time.Duration `json:"grace"`          // added to the objective
}

// QueueList is the operator's configuration of queues at one version.
type QueueList struct {
	Version int64
	Queues  []Queue
}

// JobState is where a job is in its life.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued" // no task has begun
	JobRunning   JobState = "running"
	JobFinished  JobState = "finished"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool {
	return s == JobFinished || s == JobFailed || s == JobCancelled
}

// EndKind says how a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone           EndKind = "done"
	EndFailed         EndKind = "failed"   // by its own or the worker's fault
	EndStopped        EndKind = "stopped"  // on an order
	EndLapsed         EndKind = "lapsed"   // the worker's lease ran out
	EndGangBroken     EndKind = "broken"   // another member of its gang ended
	EndGangIncomplete EndKind = "alone"    // the other members of its gang never came
	EndVanished       EndKind = "vanished" // it provably isn't there any more, and no end is listed
)

// RunStatus is a run that a worker lists as present.
type RunStatus struct {
	Run        RunRef
	Checkpoint string
	Percent    int   // of its work
	Measured   int64 // of the last half second: tail latency in ms of a task with a target, else millicores in use
}

// RunEnd is an ended run that a worker keeps until it is acknowledged.
type RunEnd struct {
	Number     int64 // rises within a life of the worker
	Run        RunRef
	Kind       EndKind
	Checkpoint string
}

// WorkerState is what a worker says of itself in its heartbeats.
type WorkerState struct {
	ID            WorkerID
	Service       string
	Incarnation   int64 // Unix milliseconds of its start; distinguishes incarnations under one id
	Place         Place
	Labels        []string
	Capacity      Resources
	Draining      bool
	DrainTimeLeft time.Duration // minimum time until the worker leaves
	Sequence      int64         // of the heartbeat
	// Address is where its agent calls it. Two living workers never share one.
	Address netip.AddrPort
}

// Deregistration is a worker's notice that it shuts down: no run of that
// incarnation goes on.
type Deregistration struct {
	Worker      WorkerID `json:"worker"`
	Incarnation int64    `json:"life"` // Unix milliseconds of its start
}

// WorkerRuns is a worker's answer to a poll.
type WorkerRuns struct {
	Incarnation int64
	Clock       time.Duration // reading of the worker's own steady clock
	Running     []RunStatus
	Ended       []RunEnd
}

// RunOrder tells a worker to start a run.
type RunOrder struct {
	Run        RunRef
	Payload    string
	Checkpoint string
	Ticket     string
	FirstSend  bool // no order to start this run was sent before
	// What the agent needs beside the worker to share its cores fairly.
	Filler        bool
	LatencyTarget time.Duration
	Image         string
	MilliCores    int64 // that the task may use
}

// ImagePair is two images whose tasks share a worker.
type ImagePair struct{ Filler, Serving string }

// InterferenceCoefficient is the slack that each core used by fillers of one
// image takes from a serving task of another. Slack is the latency target divided
// by the tail latency: at 1 the task just meets its target.
type InterferenceCoefficient struct {
	Pair    ImagePair
	PerCore float64
}

// MinSlack is the slack that fillers leave to serving tasks: a measured latency
// is rough and up to half a second old, in which load alone can reduce the slack
// by up to a fifth.
const MinSlack = 1.25

// DefaultInterferenceCoefficient is used for image pairs without measurements. It
// lets one filler of usual size run at about 100 percent of its cores beside a
// serving task at its baseline slack.
const DefaultInterferenceCoefficient = 0.3

// Authority is the right to give a worker orders.
type Authority struct {
	Token int64         // fencing token, the highest seen wins
	Until time.Duration // reading of the worker's clock at which everything it runs ends
}

// StartAnswer is a worker's answer to a start.
type StartAnswer string

// The answers to a start. Unknown means that the order may have been, or may
// yet be, carried out.
const (
	StartAccepted         StartAnswer = "accepted"
	StartFenced           StartAnswer = "fenced"    // a higher token was seen
	StartOld              StartAnswer = "old"       // that attempt, or a higher one, ended there
	StartExpired          StartAnswer = "expired"   // the authority's end has passed
	StartNoRoom           StartAnswer = "noRoom"    // the worker guards its capacity
	StartNoTicket         StartAnswer = "noTicket"  // advice is missing or has expired
	StartUnhealthy        StartAnswer = "unhealthy" // nothing was done
	StartWrongIncarnation StartAnswer = "otherLife" // another worker answers there
	StartInvalid          StartAnswer = "invalid"
	StartUnknown          StartAnswer = "unknown"
	StartNotSent          StartAnswer = "notSent" // the order never left this process
)
