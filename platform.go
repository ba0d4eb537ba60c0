package persimmonvalve

// This file defines the interfaces of the platform and the guarantees that the
// system assumes of it. Code that uses these interfaces is independent of the
// transport. docs/DESIGN.md describes what would change if an assumption failed.

import (
	"context"
	"errors"
	"net/netip"
	"time"
)

// Batch is a sequence of consecutive records read from a stream.
type Batch struct {
	First        Offset   // offset of Records[0]; higher than the requested offset if that record was deleted
	Records      [][]byte // in offset order
	Next         Offset   // offset at which to continue reading
	OldestOffset Offset   // oldest offset that is still retained
}

// Log is the platform's append-only log service. It has no conditional append, and
// its retention is limited. An append that returns an error may still take effect,
// immediately or later.
type Log interface {
	// Append adds records to the end of a stream and returns the offset of the
	// first one.
	Append(ctx context.Context, stream StreamName, records [][]byte) (Offset, error)
	// Read returns up to limit records starting at the given offset; the batch is
	// empty if there are none yet.
	Read(ctx context.Context, stream StreamName, from Offset, limit int) (Batch, error)
}

// Errors of the platform. After ErrRefused the call had no effect; after
// ErrUnavailable it may have had one, or may still have one.
var (
	ErrUnavailable = errors.New("platform unavailable")
	ErrRefused     = errors.New("refused by the platform")
)

// Fleet is the platform's list of workers.
type Fleet interface {
	// Workers returns all current workers of the platform.
	Workers(ctx context.Context) ([]WorkerInfo, error)
}

// LeaseRequest grants or renews a lease and acknowledges ended attempts. The end of
// the lease is a time on the worker's own clock, so that a request that is delayed in
// the network can't extend the lease past it.
type LeaseRequest struct {
	Lease        LeaseID       `json:"lease"`
	Incarnation  Incarnation   `json:"incarnation,omitempty"` // whose clock LeaseEnd refers to; if empty, the request only fetches a report
	LeaseEnd     time.Duration `json:"until"`                 // end of the lease, on the worker's clock
	Adopt        bool          `json:"adopt"`                 // keep the running attempts; set only in the first epoch of a term
	Acknowledged []AttemptID   `json:"forget,omitempty"`      // ended attempts that the worker may drop from its reports
}

// AttemptState is the state of one attempt on a worker.
type AttemptState string

// The states of an attempt on a worker.
const (
	AttemptRunning  AttemptState = "running"
	AttemptFinished AttemptState = "finished"
	AttemptFailed   AttemptState = "failed"
	AttemptStopped  AttemptState = "stopped"
)

// AttemptStatus is the status of one attempt as reported by a worker.
type AttemptStatus struct {
	AttemptID
	State        AttemptState  `json:"state"`
	Progress     time.Duration `json:"progress"` // useful run time, including checkpointed work
	Checkpointed time.Duration `json:"saved"`    // useful run time up to the last checkpoint
	Used         Resources     `json:"used"`     // measured use; lags behind the actual use
	Slowdown     float64       `json:"slowdown"` // measured run time divided by the undisturbed run time
}

// WorkerReport is a worker's report of its lease and its attempts.
type WorkerReport struct {
	Worker      WorkerID        `json:"worker"`
	Incarnation Incarnation     `json:"incarnation"` // changes when the worker restarts, losing its attempts
	Lease       LeaseID         `json:"lease"`
	Clock       time.Duration   `json:"clock"` // time since the worker started
	LeaseEnd    time.Duration   `json:"until"` // end of the lease, on that clock
	Runs        []AttemptStatus `json:"runs"`
}

// StartCommand starts one attempt under a lease.
type StartCommand struct {
	Lease       LeaseID       `json:"lease"`
	Incarnation Incarnation   `json:"incarnation"`
	Attempt     AttemptID     `json:"attempt"`
	Spec        TaskSpec      `json:"spec"`
	ResumeFrom  time.Duration `json:"from"` // progress to resume from
}

// RunCommand stops or throttles one attempt under a lease.
type RunCommand struct {
	Lease         LeaseID   `json:"lease"`
	Attempt       AttemptID `json:"attempt"`
	SpeedFraction float64   `json:"throttle,omitempty"` // fraction of full speed, 0 to 1; only for Throttle
}

// Worker is the client of one worker of the platform. The worker returns ErrRefused
// for a lease or command whose lease id is lower than the highest it has seen, and
// for a command to another incarnation. It stops all attempts when its lease lapses.
type Worker interface {
	// Lease grants or renews a lease and returns the worker's report.
	Lease(ctx context.Context, request LeaseRequest) (WorkerReport, error)
	// Start starts an attempt. Starting a running attempt again has no effect; an
	// attempt that has ended, or is older than one the worker has seen, is refused.
	Start(ctx context.Context, command StartCommand) error
	// Stop checkpoints and stops an attempt and returns its final state. The worker
	// refuses to start that attempt from then on, even if it had never started.
	Stop(ctx context.Context, command RunCommand) (AttemptStatus, error)
	// Throttle limits the speed of an attempt.
	Throttle(ctx context.Context, command RunCommand) error
}

// Workers provides the clients of workers.
type Workers interface {
	// Worker returns the client of the described worker.
	Worker(info WorkerInfo) Worker
}

// ServiceRequest is one caller's request to an endpoint.
type ServiceRequest struct {
	ID      string
	Service string
	Body    []byte
}

// ServiceAnswer is an endpoint's complete answer.
type ServiceAnswer struct {
	Status int // HTTP status code of the answer
	Body   []byte
}

// Endpoint is a back end that answers the requests of a service.
type Endpoint interface {
	// Do sends the request and returns the complete answer. If the error wraps
	// ErrRefused, the endpoint provably didn't run the request; after any other
	// error it may have run.
	Do(ctx context.Context, request ServiceRequest) (ServiceAnswer, error)
}

// Member is a process of the system, as it announces itself to the others.
type Member struct {
	Name        string         `json:"name"`
	Role        string         `json:"role"` // entry or agent
	Address     netip.AddrPort `json:"address"`
	Location    Location       `json:"place"`
	Service     string         `json:"service,omitempty"` // service of an agent's endpoint
	Incarnation Incarnation    `json:"incarnation"`
}

// The roles of members.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)
