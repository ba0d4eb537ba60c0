package scheduler

// This file defines the scheduler's state and its tick. The ledger, the state
// that results from the records of the cell's stream, is the desired state. The
// workers' reports are the actual state. Every tick reconciles the two. All state
// that a successor needs is in the ledger.

import (
	"slices"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/holder"
	"persimmonvalve/recorder"
)

// Settings are the scheduler's intervals and limits.
type Settings struct {
	LeaseDuration        time.Duration // duration of a worker's lease
	LeaseRenewalInterval time.Duration // between lease calls, which renew the lease and fetch a report
	LapseMargin          time.Duration // margin for clock drift, added to a lease before it counts as lapsed
	AuthorityTimeout     time.Duration // how long a predecessor may have renewed leases after losing its term
	CallTimeout          time.Duration // after which a worker call fails with ErrUnavailable
	InitialQuarantine    time.Duration // first quarantine of a worker that is at fault; doubled each time
	MaxQuarantine        time.Duration
	InitialBackoff       time.Duration // delay before a failed task is retried; doubled with each failure
	MaxWaitingTasks      int           // limit of waiting tasks in the cell; enforced by the caller
	MaxStartsPerTick     int
	DisableMitigation    bool // no headroom, throttling or preemption; for baseline measurements
}

// DefaultSettings returns the settings for a site of the target size.
func DefaultSettings() Settings {
	return Settings{
		LeaseDuration:        15 * time.Second,
		LeaseRenewalInterval: 2 * time.Second,
		LapseMargin:          time.Second,
		AuthorityTimeout:     holder.DefaultSettings().AuthorityTimeout,
		CallTimeout:          5 * time.Second,
		InitialQuarantine:    30 * time.Second,
		MaxQuarantine:        30 * time.Minute,
		InitialBackoff:       time.Second,
		MaxWaitingTasks:      20000,
		MaxStartsPerTick:     64,
	}
}

// Call is a call to a worker; exactly one of Lease, Start, Stop and Throttle is
// set.
type Call struct {
	ID       int64
	Worker   pv.WorkerInfo
	Lease    *pv.LeaseRequest
	Start    *pv.StartCommand
	Stop     *pv.RunCommand
	Throttle *pv.RunCommand
	SentAt   time.Time
}

// CallResult is the result of the call with the same ID.
type CallResult struct {
	ID     int64
	Report pv.WorkerReport  // of a lease call
	Run    pv.AttemptStatus // of a stop call
	Err    error
}

// Proposer queues a record for the cell's stream and reports whether it was
// queued. If it was, done is called with the result unless it is nil; see
// holder.Core.Propose.
type Proposer func(now time.Time, r recorder.Record, done func(holder.Result)) bool

// Core schedules one cell while its process holds the cell's term. There is
// exactly one Core per term: a holder that stops acting because it can't read
// the log, and later resumes in the same term, keeps its Core, because a new
// one would restart the lease epochs at 0. It isn't safe for concurrent use.
type Core struct {
	settings Settings
	cell     pv.StreamName
	term     pv.Term
	ledger   *recorder.Ledger
	propose  Proposer
	placer   pv.Placer

	workers          map[pv.WorkerID]*worker
	workerIDs        []pv.WorkerID // sorted, so that simulations are reproducible
	config           *pv.Configuration
	escrow           Escrow
	waiting          map[string]*queue                            // by plan name
	active           map[pv.WorkerID]map[pv.TaskID]*recorder.Task // started tasks, by worker
	cancelling       []pv.TaskID                                  // cancelled tasks that haven't ended
	proposedReserve  map[pv.WorkerID]pv.Resources                 // total of proposed starts that aren't resolved yet
	pending          map[pv.TaskID]bool                           // tasks with a proposed record that isn't resolved yet
	attempts         map[pv.AttemptID]*attemptState               // of started attempts and of unrecorded runs
	retryAt          map[pv.TaskID]time.Time                      // end of the backoff after a failed attempt or an early loss
	suspects         map[pv.TaskID]time.Time                      // waiting tasks with early losses, and since when they wait; see crashes.go
	proposedSuspects map[pv.WorkerID]int                          // proposed starts of tasks with early losses that aren't resolved yet
	calls            map[int64]Call                               // in flight, by ID
	nextCall         int64
	takenOverAt      time.Time              // when this process read its claim of the term
	cleanTakeover    bool                   // the predecessor handed its term over, having stopped granting and renewing leases, or there was none
	kindHealth       map[string]*kindHealth // by task kind
	mitigation       mitigation
	headroom         headroom
	Counters         Counters
}

// Escrow returns the part of a plan's allowance that this cell may allocate,
// and false if the plan has no allowance.
type Escrow func(plan string) (pv.Allowance, bool)

// Counters counts the scheduler's actions; Starts counts proposed starts.
type Counters struct {
	Starts        int64
	StopCalls     int64
	LeaseCalls    int64
	StartCalls    int64
	ThrottleCalls int64
	LeaseLapses   int64
	Quarantines   int64
}

// attemptState is the state of the commands for one attempt, and what its
// worker last reported.
type attemptState struct {
	startCallID   int64         // 0 if none is in flight
	stopCallID    int64         // 0 if none is in flight
	startRefused  bool          // the worker refused the start, so a stop is sent, after which it refuses any later start
	progress      time.Duration // run time last reported
	checkpointed  time.Duration // progress at the last reported checkpoint
	startSentAt   time.Time     // last start call; zero if this process sent none
	workerSeenAt  time.Time     // last report of the incarnation on which the attempt was started
	listed        bool          // a report has listed the attempt as running
	lastCommandAt time.Time     // last acknowledged start, or last stop sent for an unrecorded run
	stopReason    pv.Reason     // why the attempt must stop; empty if it may run
	throttled     bool
	throttledAt   time.Time
}

// New returns the scheduler of a cell for the ledger's current term, which this
// process took over at takenOverAt. If cleanTakeover is false, the predecessor may
// go on renewing leases for settings.AuthorityTimeout.
func New(settings Settings, cell pv.StreamName, ledger *recorder.Ledger, placer pv.Placer, propose Proposer, takenOverAt time.Time, cleanTakeover bool) *Core {
	c := &Core{
		settings:         settings,
		cell:             cell,
		term:             ledger.Term,
		ledger:           ledger,
		propose:          propose,
		placer:           placer,
		workers:          map[pv.WorkerID]*worker{},
		pending:          map[pv.TaskID]bool{},
		attempts:         map[pv.AttemptID]*attemptState{},
		retryAt:          map[pv.TaskID]time.Time{},
		suspects:         map[pv.TaskID]time.Time{},
		proposedSuspects: map[pv.WorkerID]int{},
		calls:            map[int64]Call{},
		waiting:          map[string]*queue{},
		active:           map[pv.WorkerID]map[pv.TaskID]*recorder.Task{},
		proposedReserve:  map[pv.WorkerID]pv.Resources{},
		kindHealth:       map[string]*kindHealth{},
		takenOverAt:      takenOverAt,
		cleanTakeover:    cleanTakeover,
	}
	c.buildIndices()
	return c
}

// Configure sets the configuration and the cell's share of the allowances.
func (c *Core) Configure(config *pv.Configuration, escrow Escrow) {
	c.config = config
	c.escrow = escrow
}

// Tick makes one round of decisions. It returns the worker calls to send and
// passes records to the proposer. The caller must hold the term. If writable is
// false, no task is evicted, because its next start couldn't be recorded.
func (c *Core) Tick(now time.Time, writable bool) []Call {
	c.expireCalls(now)
	var calls []Call
	for _, id := range c.workerIDs {
		w := c.workers[id]
		c.checkLapse(now, w)
		calls = append(calls, c.renew(now, w)...)
	}
	calls = append(calls, c.reconcile(now)...)
	if !c.settings.DisableMitigation {
		c.updateUrgentDemand(now)
		calls = append(calls, c.mitigate(now, writable)...)
	}
	c.proposeStarts(now)
	return calls
}

// registerCall assigns an ID to a call and records it as in flight.
func (c *Core) registerCall(now time.Time, call Call) Call {
	c.nextCall++
	call.ID = c.nextCall
	call.SentAt = now
	c.calls[call.ID] = call
	return call
}

func (c *Core) expireCalls(now time.Time) {
	var expired []int64
	for id, call := range c.calls {
		if now.Sub(call.SentAt) >= c.settings.CallTimeout {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		c.HandleResult(now, CallResult{ID: id, Err: pv.ErrUnavailable})
	}
}

// HandleResult applies the result of a call. Duplicates, and results that arrive after
// CallTimeout, are ignored; expireCalls has then applied a failure.
func (c *Core) HandleResult(now time.Time, result CallResult) {
	call, ok := c.calls[result.ID]
	if !ok {
		return
	}
	delete(c.calls, result.ID)
	switch {
	case call.Lease != nil:
		c.handleLeaseResult(now, call, result)
	case call.Start != nil:
		c.handleStartResult(now, call, result)
	case call.Stop != nil:
		c.handleStopResult(now, call, result)
	case call.Throttle != nil && result.Err != nil:
		// The limit may or may not apply. The task counts as before the call, so that the
		// next reports decide on the same call again.
		if s, ok := c.attempts[call.Throttle.Attempt]; ok {
			s.throttled = call.Throttle.SpeedFraction == fullSpeed
		}
	}
}

// proposeRecord proposes a record about a task unless another one about the
// task is pending.
func (c *Core) proposeRecord(now time.Time, task pv.TaskID, r recorder.Record) {
	if c.pending[task] {
		return
	}
	done := func(holder.Result) { delete(c.pending, task) }
	if c.propose(now, r, done) {
		c.pending[task] = true
	}
}

// stateOf returns the state of an attempt, and creates it if there is none.
func (c *Core) stateOf(a pv.AttemptID) *attemptState {
	s, ok := c.attempts[a]
	if !ok {
		s = &attemptState{}
		c.attempts[a] = s
	}
	return s
}
