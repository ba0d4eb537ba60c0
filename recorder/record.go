package recorder

// This file defines the records of a cell's or a home's stream and their
// encoding: JSON with camel-case keys, so that a stream can be analysed without
// this project's programs.

import (
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	pv "persimmonvalve"
)

// Error is the class of this package's errors.
var Error = errs.Class("recorder")

// Header identifies a record by term, holder and sequence number. The holder
// numbers the records of its term from 1; claims have no number. As it has at most
// one append in flight, the first copies of the records arrive in order.
type Header struct {
	Term   pv.Term        `json:"term"`
	Holder pv.Incarnation `json:"holder"`
	Seq    int64          `json:"seq,omitempty"`
	Time   time.Time      `json:"time"` // writer's clock, for the report, for forgetting ended work and for the order of tasks
}

// Record is one record of a stream. Exactly one of the pointer fields is set.
type Record struct {
	Header
	Claim       *Claim       `json:"claim,omitempty"`
	Renew       *Renew       `json:"renew,omitempty"`
	Handover    *Handover    `json:"handOver,omitempty"`
	Accept      *Accept      `json:"accept,omitempty"`
	Start       *Start       `json:"start,omitempty"`
	Requeue     *Requeue     `json:"requeue,omitempty"`
	End         *End         `json:"end,omitempty"`
	Cancel      *Cancel      `json:"cancel,omitempty"`
	Begin       *Begin       `json:"begin,omitempty"`
	Answer      *Answer      `json:"answer,omitempty"`
	Transferred *Transferred `json:"handed,omitempty"`
	Forget      *Forget      `json:"forget,omitempty"`
	Snapshot    *Snapshot    `json:"snapshot,omitempty"`
}

// Claim opens the next term of the stream. Of several claims of a term the
// first in the log wins.
type Claim struct {
	Member  string `json:"member"`
	Address string `json:"address"`
}

// Renew shows that the holder is alive while it has no other record to write.
type Renew struct{}

// Handover closes the holder's term. The holder has stopped granting and renewing
// leases.
type Handover struct{}

// Accept adds a task to a cell.
type Accept struct {
	Spec pv.TaskSpec `json:"spec"`
}

// Start assigns a waiting task to a worker.
type Start struct {
	Attempt     pv.AttemptID   `json:"attempt"`
	Worker      pv.WorkerID    `json:"worker"`
	Incarnation pv.Incarnation `json:"incarnation"` // of the worker
	Reserve     pv.Resources   `json:"reserve"`
	Capacity    pv.Resources   `json:"capacity"`       // of the worker, from the list of workers
	ResumeFrom  time.Duration  `json:"from,omitempty"` // progress to resume from
}

// Requeue ends an attempt that is proven to have stopped and returns its task
// to the waiting state.
type Requeue struct {
	Attempt      pv.AttemptID  `json:"attempt"`
	Reason       pv.Reason     `json:"cause"`
	Checkpointed time.Duration `json:"saved"`               // progress up to the last checkpoint
	LostProgress time.Duration `json:"lost"`                // progress after the last checkpoint
	EarlyLoss    bool          `json:"earlyLoss,omitempty"` // the worker was lost shortly after it was sent the start
	Survived     bool          `json:"survived,omitempty"`  // the attempt ran for longer than that
}

// End ends a task permanently.
type End struct {
	Attempt  pv.AttemptID  `json:"attempt"`
	Outcome  pv.Outcome    `json:"outcome"`
	Reason   pv.Reason     `json:"reason,omitempty"`
	Progress time.Duration `json:"ran,omitempty"` // progress of the task at its end
}

// Cancel requests the cancellation of a task. For a task that the cell hasn't
// accepted it leaves a tombstone, which prevents its later acceptance.
type Cancel struct {
	Task pv.TaskID `json:"task"`
}

// BeginKind distinguishes requests from task submissions.
type BeginKind string

// The kinds of begin records.
const (
	BeginRequest BeginKind = "request"
	BeginTask    BeginKind = "task"
)

// Begin registers an idempotency key before its request may run or its task may
// be submitted. Only the call identified by CallToken may run the request or submit
// the task.
type Begin struct {
	Kind      BeginKind     `json:"kind"`
	Key       string        `json:"key"`
	CallToken string        `json:"token"`
	BodyHash  uint64        `json:"bodyHash"` // xxHash64 of the request body; for a task, of plan name, NUL byte and payload
	Plan      string        `json:"plan"`
	Customer  string        `json:"customer"`
	Cell      pv.StreamName `json:"cell,omitempty"` // cell that a task is submitted to
	Spec      *pv.TaskSpec  `json:"spec,omitempty"`
	Deadline  time.Time     `json:"until,omitzero"` // of the call
}

// Answer records the outcome of a registered key.
type Answer struct {
	Key       string     `json:"key"`
	CallToken string     `json:"token"`
	Outcome   pv.Outcome `json:"outcome"`
	Reason    pv.Reason  `json:"reason,omitempty"`
	Status    int        `json:"status,omitempty"` // HTTP status of the endpoint's answer; 0 without one
	Body      []byte     `json:"body,omitempty"`
	Attempts  int        `json:"attempts,omitempty"`
}

// Transferred records that the cell has accepted a submitted task.
type Transferred struct {
	Key string `json:"key"`
}

// Forget removes tasks that ended, and keys that ended or were transferred, before
// a time. A removed key may be used again.
type Forget struct {
	Before time.Time `json:"before"`
}

// Snapshot holds the full state through an offset, for readers that start after
// older records have been removed from the log.
type Snapshot struct {
	Through pv.Offset `json:"through"` // last offset that the state includes; -1 for none
	State   State     `json:"state"`
}

// Encode returns the JSON encoding of a record.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	return data, Error.Wrap(err)
}

// Decode decodes a record from JSON.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, Error.Wrap(err)
	}
	return r, nil
}
