package recorder

// This file defines the ledger's state. It is plain data: a snapshot holds its
// encoding, and two readers at the same offset encode it to the same bytes.

import (
	"time"

	pv "persimmonvalve"
)

// Phase is the state of a task: waiting, started or ended.
type Phase string

// The phases of a task.
const (
	Waiting Phase = "waiting"
	Started Phase = "started"
	Ended   Phase = "ended"
)

// Task is the recorded state of a task.
type Task struct {
	Spec         pv.TaskSpec    `json:"spec"`
	Phase        Phase          `json:"phase"`
	Attempt      int            `json:"attempt"`               // number of the last attempt started; 0 for none
	Worker       pv.WorkerID    `json:"worker,omitempty"`      // of the running attempt, as are Incarnation and Reserve
	Incarnation  pv.Incarnation `json:"incarnation,omitempty"` // of the worker
	Reserve      pv.Resources   `json:"reserve,omitzero"`
	Checkpointed time.Duration  `json:"saved,omitempty"` // highest checkpointed progress of a requeued attempt
	LostProgress time.Duration  `json:"lost,omitempty"`  // sum of the progress lost by requeues
	Evictions    int            `json:"evictions,omitempty"`
	Failures     int            `json:"failures,omitempty"`    // attempts that failed because of the task itself
	EarlyLosses  []WorkerLoss   `json:"earlyLosses,omitempty"` // attempts lost shortly after their start since one survived; the newest maxEarlyLosses
	Cancelling   bool           `json:"cancelling,omitempty"`
	Outcome      pv.Outcome     `json:"outcome,omitempty"`
	Reason       pv.Reason      `json:"reason,omitempty"`
	AcceptedAt   time.Time      `json:"accepted,omitzero"`
	ChangedAt    time.Time      `json:"changed,omitzero"` // time of the last record about the task
	Tombstone    bool           `json:"tombstone,omitempty"`
}

// maxEarlyLosses bounds a task's early losses in the state.
const maxEarlyLosses = 16

// WorkerLoss names the process of a worker that was lost.
type WorkerLoss struct {
	Worker      pv.WorkerID    `json:"worker"`
	Incarnation pv.Incarnation `json:"incarnation"`
}

// AttemptID returns the id of the task's last attempt.
func (t *Task) AttemptID() pv.AttemptID {
	return pv.AttemptID{Task: t.Spec.ID, Attempt: t.Attempt}
}

// Request is the recorded state of an idempotency key.
type Request struct {
	Begin       Begin     `json:"begin"`
	Transferred bool      `json:"handed,omitempty"` // a cell accepted the task; the account of the cell counts it
	Ended       bool      `json:"ended,omitempty"`
	Answer      Answer    `json:"answer,omitzero"`
	ChangedAt   time.Time `json:"changed"`
}

// Account holds the totals of one plan for the report. At any offset,
// Submitted = Waiting + Running + sum of Outcomes.
type Account struct {
	Customer     string               `json:"customer"`
	Plan         string               `json:"plan"`
	Submitted    int64                `json:"submitted"`
	Waiting      int64                `json:"waiting"`
	Running      int64                `json:"running"`
	Outcomes     map[pv.Outcome]int64 `json:"outcomes"`
	Reasons      map[pv.Reason]int64  `json:"reasons"`   // of outcomes except finished
	Attempts     int64                `json:"runs"`      // attempts started
	Evictions    map[pv.Reason]int64  `json:"evictions"` // requeues by reason, except those in Retries
	Retries      map[pv.Reason]int64  `json:"retries"`   // requeues by reason: taskFailed, neverStarted and workerFault
	LostProgress time.Duration        `json:"lost"`      // sum of the progress lost by requeues
}

// Imbalance returns Submitted - Waiting - Running - sum of Outcomes, which is 0 if the
// account is balanced.
func (a *Account) Imbalance() int64 {
	imbalance := a.Submitted - a.Waiting - a.Running
	for _, n := range a.Outcomes {
		imbalance -= n
	}
	return imbalance
}

// State is the full state of a stream.
type State struct {
	Term       pv.Term                      `json:"term"`
	Holder     pv.Incarnation               `json:"holder,omitempty"`
	Claim      Claim                        `json:"claim,omitzero"`
	HandedOver bool                         `json:"closed,omitempty"` // the holder handed the term over
	Seq        int64                        `json:"seq"`              // highest sequence number in this term
	Tasks      map[pv.TaskID]*Task          `json:"tasks"`
	Requests   map[string]*Request          `json:"requests"`
	Accounts   map[string]*Account          `json:"accounts"` // by plan
	Reserved   map[pv.WorkerID]pv.Resources `json:"used"`     // sum of the reservations of started attempts, by worker
}

func newState() State {
	return State{
		Tasks:    map[pv.TaskID]*Task{},
		Requests: map[string]*Request{},
		Accounts: map[string]*Account{},
		Reserved: map[pv.WorkerID]pv.Resources{},
	}
}

func (s *State) account(customer, plan string) *Account {
	a, ok := s.Accounts[plan]
	if !ok {
		a = &Account{
			Customer:  customer,
			Plan:      plan,
			Outcomes:  map[pv.Outcome]int64{},
			Reasons:   map[pv.Reason]int64{},
			Evictions: map[pv.Reason]int64{},
			Retries:   map[pv.Reason]int64{},
		}
		s.Accounts[plan] = a
	}
	return a
}

func (a *Account) countEnd(outcome pv.Outcome, reason pv.Reason) {
	a.Outcomes[outcome]++
	if outcome != pv.OutcomeFinished {
		a.Reasons[reason]++
	}
}

func (a *Account) uncountEnd(outcome pv.Outcome, reason pv.Reason) {
	a.Outcomes[outcome]--
	if outcome != pv.OutcomeFinished {
		a.Reasons[reason]--
	}
}
