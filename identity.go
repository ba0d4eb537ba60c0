package persimmonvalve

// This file defines the identities of machines, terms, leases and work.

import (
	"cmp"
	"net/netip"
	"time"
)

// Offset is a position in a stream of the log; the first record has offset 0.
type Offset int64

// Term counts the successive holders of a stream, from 1.
type Term int64

// WorkerID names a worker.
type WorkerID string

// TaskID names a task; the caller's Idempotency-Key where one is given.
type TaskID string

// Incarnation tells one life of a process from the next at the same address.
type Incarnation string

// StreamName names a stream of the log.
type StreamName string

// Place is where a machine stands.
type Place struct {
	Region string `json:"region,omitempty"`
	Zone   string `json:"zone,omitempty"` // availability zone
	Rack   string `json:"rack,omitempty"`
}

// WorkerInfo describes a worker as the platform lists it.
type WorkerInfo struct {
	ID       WorkerID       `json:"id"`
	Address  netip.AddrPort `json:"address"`
	Place    Place          `json:"place"`
	Capacity Resources      `json:"capacity"`
}

// LeaseID orders the leases of one cell on one worker: by term, then by epoch.
// The epoch rises when the holder has declared the former lease lapsed, so a
// command delayed from before the lapse can't take effect after it.
type LeaseID struct {
	Cell  StreamName `json:"cell"`
	Term  Term       `json:"term"`
	Epoch int64      `json:"epoch"`
}

// Compare orders two lease ids of the same cell.
func (l LeaseID) Compare(o LeaseID) int {
	if c := cmp.Compare(l.Term, o.Term); c != 0 {
		return c
	}
	return cmp.Compare(l.Epoch, o.Epoch)
}

// AttemptID names one attempt of one task.
type AttemptID struct {
	Task    TaskID `json:"task"`
	Attempt int    `json:"attempt"`
}

// TaskSpec is a task as it was submitted.
type TaskSpec struct {
	ID        TaskID        `json:"id"`
	Plan      string        `json:"plan"`
	Customer  string        `json:"customer"`
	Kind      string        `json:"kind"`
	Class     Class         `json:"class"`
	Size      Resources     `json:"size"`
	RunTime   time.Duration `json:"runTime"`
	Retries   int           `json:"retries"`
	Submitted time.Time     `json:"submitted"`
	Payload   []byte        `json:"payload,omitempty"`
}
