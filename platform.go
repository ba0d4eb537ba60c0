package persimmonvalve

// This file defines what is assumed of the platform. Nothing above these
// interfaces knows a transport. docs/DESIGN.md says what would change if an
// assumption failed.

import (
	"context"
	"errors"
	"net/netip"
	"time"
)

// Batch is a run of records read from a stream.
type Batch struct {
	First   Offset   // offset of Records[0]; may be past the one asked for when older records are gone
	Records [][]byte // in offset order
	Next    Offset   // offset to read from next
	Horizon Offset   // oldest offset still kept
}

// Log is the platform's append-only log service. There is no conditional
// append; retention is limited; an append that returns an error may still have
// taken effect, also later.
type Log interface {
	// Append adds records to the end of a stream and returns the first offset.
	Append(ctx context.Context, stream StreamName, records [][]byte) (Offset, error)
	// Read returns up to limit records from an offset on; an empty batch means
	// that there are none yet.
	Read(ctx context.Context, stream StreamName, from Offset, limit int) (Batch, error)
}

// Errors of the platform.
var (
	ErrUnavailable = errors.New("platform unavailable")
	ErrRefused     = errors.New("refused by the platform")
)

// Fleet lists the platform's workers.
type Fleet interface {
	// Workers returns every worker that the platform has now.
	Workers(ctx context.Context) ([]WorkerInfo, error)
}

// LeaseRequest grants or renews a lease and acknowledges ended attempts. The
// lease ends at a reading of the worker's own clock, so that a request that
// was delayed in the network can't prolong it.
type LeaseRequest struct {
	Lease       LeaseID       `json:"lease"`
	Incarnation Incarnation   `json:"incarnation,omitempty"` // whose clock Until is read on; empty only asks for a report
	Until       time.Duration `json:"until"`                 // of the worker's clock
	Adopt       bool          `json:"adopt"`                 // a new term keeps running attempts; a new epoch never does
	Forget      []AttemptID   `json:"forget,omitempty"`
}

// RunState is the state of one attempt on a worker.
type RunState string

// The states of an attempt on a worker.
const (
	RunRunning  RunState = "running"
	RunFinished RunState = "finished"
	RunFailed   RunState = "failed"
	RunStopped  RunState = "stopped"
)

// Run is one attempt as a worker reports it.
type Run struct {
	AttemptID
	State    RunState      `json:"state"`
	Progress time.Duration `json:"progress"` // useful run time, checkpointed work included
	Saved    time.Duration `json:"saved"`    // run time that the last checkpoint keeps
	Used     Resources     `json:"used"`     // measured use, with a lag
	Slowdown float64       `json:"slowdown"` // measured run time against undisturbed; 1 is undisturbed
}

// WorkerReport is what a worker says of itself.
type WorkerReport struct {
	Worker      WorkerID      `json:"worker"`
	Incarnation Incarnation   `json:"incarnation"` // changes when the worker restarts empty
	Lease       LeaseID       `json:"lease"`
	Clock       time.Duration `json:"clock"` // since the worker started
	Until       time.Duration `json:"until"` // end of the lease on that clock
	Runs        []Run         `json:"runs"`
}

// StartCommand starts one attempt under a lease.
type StartCommand struct {
	Lease       LeaseID       `json:"lease"`
	Incarnation Incarnation   `json:"incarnation"`
	Attempt     AttemptID     `json:"attempt"`
	Spec        TaskSpec      `json:"spec"`
	From        time.Duration `json:"from"` // progress to resume from
}

// RunCommand stops, checkpoints or throttles one attempt under a lease.
type RunCommand struct {
	Lease    LeaseID   `json:"lease"`
	Attempt  AttemptID `json:"attempt"`
	Throttle float64   `json:"throttle,omitempty"` // share of full speed, 0 to 1
}

// Worker is one worker of the platform. It refuses a lease or command of a
// lower lease id with ErrRefused, refuses commands for another incarnation,
// and stops everything when its lease lapses.
type Worker interface {
	// Lease grants or renews a lease and returns the worker's report.
	Lease(ctx context.Context, request LeaseRequest) (WorkerReport, error)
	// Start begins an attempt; starting an attempt again is a no-op, and an
	// attempt that was stopped or is older than one seen is refused.
	Start(ctx context.Context, command StartCommand) error
	// Stop ends an attempt after a checkpoint and returns its last state; the
	// attempt is refused from then on, also if it never started.
	Stop(ctx context.Context, command RunCommand) (Run, error)
	// Throttle slows an attempt down.
	Throttle(ctx context.Context, command RunCommand) error
}

// Workers finds a worker's client by its description.
type Workers interface {
	// Worker returns the client of one worker.
	Worker(info WorkerInfo) Worker
}

// ServiceRequest is one caller's request to an endpoint.
type ServiceRequest struct {
	ID      string
	Service string
	Body    []byte
}

// ServiceAnswer is an endpoint's whole answer.
type ServiceAnswer struct {
	Status int // HTTP status of the endpoint
	Body   []byte
}

// Endpoint is one back end that answers requests of a service.
type Endpoint interface {
	// Do sends the request and returns the whole answer. ErrRefused in the
	// chain of the error means that the endpoint provably didn't run it; any
	// other error leaves that open.
	Do(ctx context.Context, request ServiceRequest) (ServiceAnswer, error)
}

// Member is a process of the system as it announced itself.
type Member struct {
	Name        string         `json:"name"`
	Role        string         `json:"role"` // entry or agent
	Address     netip.AddrPort `json:"address"`
	Place       Place          `json:"place"`
	Service     string         `json:"service,omitempty"` // an agent's endpoint kind
	Incarnation Incarnation    `json:"incarnation"`
}

// The roles of members.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)
