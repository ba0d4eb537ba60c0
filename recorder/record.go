package recorder

// This file defines the records of a cell's or a home's stream and their
// encoding: JSON with camel-case names, so that an analyst can read a stream
// without our programs. Exactly one of the pointer fields is set.

import (
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	pv "persimmonvalve"
)

// Error is the class of this package's errors.
var Error = errs.Class("recorder")

// Header identifies a record. Term, holder and sequence number make it unique:
// a holder numbers its records within its term and has one append in flight.
type Header struct {
	Term   pv.Term        `json:"term"`
	Holder pv.Incarnation `json:"holder"`
	Seq    int64          `json:"seq,omitempty"`
	Time   time.Time      `json:"time"` // the writer's clock, for the report only
}

// Record is one entry of a stream.
type Record struct {
	Header
	Claim    *Claim    `json:"claim,omitempty"`
	Renew    *Renew    `json:"renew,omitempty"`
	HandOver *HandOver `json:"handOver,omitempty"`
	Accept   *Accept   `json:"accept,omitempty"`
	Start    *Start    `json:"start,omitempty"`
	Requeue  *Requeue  `json:"requeue,omitempty"`
	End      *End      `json:"end,omitempty"`
	Cancel   *Cancel   `json:"cancel,omitempty"`
	Begin    *Begin    `json:"begin,omitempty"`
	Answer   *Answer   `json:"answer,omitempty"`
	Handed   *Handed   `json:"handed,omitempty"`
	Forget   *Forget   `json:"forget,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Claim opens the next term of the stream; the first one in the log wins.
type Claim struct {
	Member  string `json:"member"`
	Address string `json:"address"`
}

// Renew shows that the holder lives when it has nothing else to record.
type Renew struct{}

// HandOver closes the holder's term: it has stopped granting leases.
type HandOver struct{}

// Accept takes a task into a cell.
type Accept struct {
	Spec pv.TaskSpec `json:"spec"`
}

// Start gives a waiting task to a worker.
type Start struct {
	Attempt     pv.AttemptID   `json:"attempt"`
	Worker      pv.WorkerID    `json:"worker"`
	Incarnation pv.Incarnation `json:"incarnation"` // of the worker
	Reserve     pv.Resources   `json:"reserve"`
	Capacity    pv.Resources   `json:"capacity"` // of the worker, as listed
	From        time.Duration  `json:"from,omitempty"`
}

// Requeue ends an attempt that provably no longer runs; the task waits again.
type Requeue struct {
	Attempt pv.AttemptID  `json:"attempt"`
	Cause   pv.Reason     `json:"cause"`
	Saved   time.Duration `json:"saved"` // progress kept
	Lost    time.Duration `json:"lost"`  // progress lost
}

// End ends a task for good.
type End struct {
	Attempt pv.AttemptID  `json:"attempt"`
	Outcome pv.Outcome    `json:"outcome"`
	Reason  pv.Reason     `json:"reason,omitempty"`
	Ran     time.Duration `json:"ran,omitempty"`
}

// Cancel asks for a task's end. For a task that the cell hasn't accepted it is
// a tombstone: the task can't be accepted afterwards.
type Cancel struct {
	Task pv.TaskID `json:"task"`
}

// BeginKind tells requests from task submissions.
type BeginKind string

// The kinds of begin records.
const (
	BeginRequest BeginKind = "request"
	BeginTask    BeginKind = "task"
)

// Begin registers a key before the work may run. Token names the one call that
// may run it.
type Begin struct {
	Kind     BeginKind     `json:"kind"`
	Key      string        `json:"key"`
	Token    string        `json:"token"`
	BodyHash uint64        `json:"bodyHash"`
	Plan     string        `json:"plan"`
	Customer string        `json:"customer"`
	Cell     pv.StreamName `json:"cell,omitempty"` // where a task goes
	Spec     *pv.TaskSpec  `json:"spec,omitempty"`
	Until    time.Time     `json:"until,omitzero"` // the call has given up by then
}

// Answer records how a begun key ended.
type Answer struct {
	Key      string     `json:"key"`
	Token    string     `json:"token"`
	Outcome  pv.Outcome `json:"outcome"`
	Reason   pv.Reason  `json:"reason,omitempty"`
	Status   int        `json:"status,omitempty"`
	Body     []byte     `json:"body,omitempty"`
	Attempts int        `json:"attempts,omitempty"`
}

// Handed records that the cell has accepted a submitted task.
type Handed struct {
	Key string `json:"key"`
}

// Forget drops what ended before a time. A key may be used again afterwards.
type Forget struct {
	Before time.Time `json:"before"`
}

// Snapshot carries the whole state up to an offset, for readers that come
// after older records are gone.
type Snapshot struct {
	Through pv.Offset `json:"through"` // last offset that the state includes; -1 for none
	State   State     `json:"state"`
}

// Encode returns the bytes of a record.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	return data, Error.Wrap(err)
}

// Decode reads a record.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, Error.Wrap(err)
	}
	return r, nil
}
