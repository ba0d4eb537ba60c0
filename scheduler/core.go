package scheduler

// This file defines the scheduler's state and its tick. The ledger says what
// should run, the workers' reports say what does, and every tick narrows the
// difference. Nothing is remembered outside the ledger that a successor would
// need.

import (
	"slices"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/holder"
	"persimmonvalve/recorder"
)

// Settings are the scheduler's intervals and bounds.
type Settings struct {
	Lease        time.Duration // how long a lease is granted for
	RenewEvery   time.Duration // between renewals, which also fetch the report
	Drift        time.Duration // added to a lease before it counts as lapsed
	Authority    time.Duration // how long a predecessor may have gone on granting
	CallTimeout  time.Duration // after it a call counts as unanswered
	Quarantine   time.Duration // first pause of a worker that fails everything
	QuarantineUp time.Duration // longest such pause
	RetryPause   time.Duration // first pause before a failed task runs again
	MaxWaiting   int           // tasks that may wait in the cell
	StartsPer    int           // starts proposed in one tick
	Passive      bool          // act on nothing that disturbs others; for baselines
}

// DefaultSettings returns the settings for a site of the target size.
func DefaultSettings() Settings {
	return Settings{
		Lease:        15 * time.Second,
		RenewEvery:   2 * time.Second,
		Drift:        time.Second,
		Authority:    holder.DefaultSettings().Authority,
		CallTimeout:  5 * time.Second,
		Quarantine:   30 * time.Second,
		QuarantineUp: 30 * time.Minute,
		RetryPause:   time.Second,
		MaxWaiting:   20000,
		StartsPer:    64,
	}
}

// Call is one call to a worker; exactly one of the pointers is set.
type Call struct {
	ID       int64
	Worker   pv.WorkerInfo
	Lease    *pv.LeaseRequest
	Start    *pv.StartCommand
	Stop     *pv.RunCommand
	Throttle *pv.RunCommand
	SentAt   time.Time
}

// CallResult is the answer to a call.
type CallResult struct {
	ID     int64
	Report pv.WorkerReport // of a lease call
	Run    pv.Run          // of a stop call
	Err    error
}

// Proposer queues a record for the cell's stream; see holder.Core.Propose.
type Proposer func(now time.Time, r recorder.Record, done func(holder.Result)) bool

// Core schedules one cell while its process holds the cell's term. A new term
// gets a new core, and a term gets only one: a holder that couldn't read the
// log for a while goes on with the core it had, since another would number its
// lease epochs anew. It isn't safe for concurrent use.
type Core struct {
	settings Settings
	cell     pv.StreamName
	term     pv.Term
	ledger   *recorder.Ledger
	propose  Proposer
	placer   pv.Placer

	workers  map[pv.WorkerID]*worker
	order    []pv.WorkerID // sorted, so that a run is the same for a seed
	config   *pv.Configuration
	escrow   Escrow
	waiting  map[string]*queue                            // by plan
	active   map[pv.WorkerID]map[pv.TaskID]*recorder.Task // started, by worker
	cancels  []pv.TaskID                                  // cancelled, not ended yet
	promised map[pv.WorkerID]pv.Resources                 // of starts on their way to the log
	pending  map[pv.TaskID]bool                           // a record about it is on its way
	attempts map[pv.AttemptID]*state                      // commands of running attempts
	notUntil map[pv.TaskID]time.Time                      // backoff after a failed attempt
	calls    map[int64]Call
	nextCall int64
	from     time.Time // when the term was taken over
	clean    bool      // the predecessor had stopped granting leases
	kinds    map[string]*kindHealth
	wave     mitigation
	room     headroom
	Counters Counters
}

// Escrow returns the part of a plan's allowance that this cell may give out.
type Escrow func(plan string) (pv.Allowance, bool)

// Counters counts what the scheduler did.
type Counters struct {
	Starts      int64
	StopCalls   int64
	LeaseCalls  int64
	StartCalls  int64
	Throttles   int64
	Lapses      int64
	Quarantined int64
}

// state is what this core knows of the commands for one attempt.
type state struct {
	startCall   int64 // in flight
	stopCall    int64
	refused     bool          // the worker refused the start: seal it with a stop
	progress    time.Duration // last reported
	saved       time.Duration // last reported checkpoint
	startedAt   time.Time     // when a start was last acknowledged
	stopCause   pv.Reason     // why it is to be stopped; empty for not
	throttled   bool
	throttledAt time.Time
}

// New returns the scheduler of a cell for one term. From is when the term's
// claim was read, clean whether the predecessor had handed over.
func New(settings Settings, cell pv.StreamName, ledger *recorder.Ledger, placer pv.Placer, propose Proposer, from time.Time, clean bool) *Core {
	c := &Core{
		settings: settings,
		cell:     cell,
		term:     ledger.Term,
		ledger:   ledger,
		propose:  propose,
		placer:   placer,
		workers:  map[pv.WorkerID]*worker{},
		pending:  map[pv.TaskID]bool{},
		attempts: map[pv.AttemptID]*state{},
		notUntil: map[pv.TaskID]time.Time{},
		calls:    map[int64]Call{},
		waiting:  map[string]*queue{},
		active:   map[pv.WorkerID]map[pv.TaskID]*recorder.Task{},
		promised: map[pv.WorkerID]pv.Resources{},
		kinds:    map[string]*kindHealth{},
		from:     from,
		clean:    clean,
	}
	c.index()
	return c
}

// Configure sets the configuration and the cell's part of the allowances.
func (c *Core) Configure(config *pv.Configuration, escrow Escrow) {
	c.config = config
	c.escrow = escrow
}

// Tick decides once. It returns the calls to send now; records go to the
// proposer. The caller ticks only while it holds the term. While the log can't
// be written nothing is evicted: what stops then can't start again.
func (c *Core) Tick(now time.Time, writable bool) []Call {
	c.expireCalls(now)
	var calls []Call
	for _, id := range c.order {
		w := c.workers[id]
		c.checkLapse(now, w)
		calls = append(calls, c.renew(now, w)...)
	}
	calls = append(calls, c.reconcile(now)...)
	if !c.settings.Passive {
		c.watchDemand(now)
		calls = append(calls, c.mitigate(now, writable)...)
	}
	c.start(now)
	return calls
}

func (c *Core) call(now time.Time, call Call) Call {
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
		c.Answer(now, CallResult{ID: id, Err: pv.ErrUnavailable})
	}
}

// Answer takes in the answer to a call; late and duplicate answers are ignored.
func (c *Core) Answer(now time.Time, result CallResult) {
	call, ok := c.calls[result.ID]
	if !ok {
		return
	}
	delete(c.calls, result.ID)
	switch {
	case call.Lease != nil:
		c.leaseAnswered(now, call, result)
	case call.Start != nil:
		c.startAnswered(now, call, result)
	case call.Stop != nil:
		c.stopAnswered(now, call, result)
	}
}

// record proposes a record about a task, at most one at a time for each task.
func (c *Core) record(now time.Time, task pv.TaskID, r recorder.Record) {
	if c.pending[task] {
		return
	}
	done := func(holder.Result) { delete(c.pending, task) }
	if c.propose(now, r, done) {
		c.pending[task] = true
	}
}

func (c *Core) stateOf(a pv.AttemptID) *state {
	s, ok := c.attempts[a]
	if !ok {
		s = &state{}
		c.attempts[a] = s
	}
	return s
}
