package persimmonvalve

// This file defines identifiers, and the descriptions of workers and tasks.

import (
	"cmp"
	"net/netip"
	"time"
)

// Offset is a position in a stream of the log; the first record has offset 0.
type Offset int64

// Term is the number of a stream's holder: the first holder has term 1, and each
// new holder has a higher one.
type Term int64

// WorkerID identifies a worker.
type WorkerID string

// TaskID identifies a task; it is the caller's Idempotency-Key if one was given.
type TaskID string

// Incarnation identifies one run of a process, to distinguish it from later runs
// at the same address. The newer interfaces identify incarnations of workers by the
// Unix milliseconds of their start instead, see WorkerState.
type Incarnation string

// StreamName identifies a stream of the log.
type StreamName string

// Location is the location of a machine.
type Location struct {
	Region string `json:"region,omitempty"`
	Zone   string `json:"zone,omitempty"` // availability zone
	Rack   string `json:"rack,omitempty"`
}

// WorkerInfo is the description of a worker in the platform's list of workers.
type WorkerInfo struct {
	ID       WorkerID       `json:"id"`
	Address  netip.AddrPort `json:"address"`
	Location Location       `json:"place"`
	Capacity Resources      `json:"capacity"`
}

// LeaseID identifies a lease of one cell on one worker. Leases are ordered by
// term, then by epoch. The holder increments the epoch when the previous lease has
// provably lapsed, so that a delayed command sent under the previous lease is
// refused.
type LeaseID struct {
	Cell  StreamName `json:"cell"` // stream of the cell
	Term  Term       `json:"term"`
	Epoch int64      `json:"epoch"`
}

// Compare compares two lease ids of the same cell: -1 if l is lower than o, 0 if
// they are equal, 1 if l is higher.
func (l LeaseID) Compare(o LeaseID) int {
	if c := cmp.Compare(l.Term, o.Term); c != 0 {
		return c
	}
	return cmp.Compare(l.Epoch, o.Epoch)
}

// AttemptID identifies one attempt at running a submitted task (TaskSpec); RunRef
// identifies one at running a task of a job.
type AttemptID struct {
	Task    TaskID `json:"task"`
	Attempt int    `json:"attempt"`
}

// TaskSpec is the specification of a task as it was submitted.
type TaskSpec struct {
	ID          TaskID        `json:"id"`
	Plan        string        `json:"plan"`
	Customer    string        `json:"customer"`
	Kind        string        `json:"kind"` // by which measured use and interference are estimated
	Class       Class         `json:"class"`
	Size        Resources     `json:"size"`
	RunTime     time.Duration `json:"runTime"` // declared run time
	RetryLimit  int           `json:"retries"`
	SubmittedAt time.Time     `json:"submitted"`
	Payload     []byte        `json:"payload,omitempty"`
}
