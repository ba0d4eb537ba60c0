package standin

// This file defines a fake worker that implements persimmonvalve.WorkerClient and
// runs the tasks of jobs. Its lease ends at a time of the worker's own clock.

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	pv "persimmonvalve"
)

// JobWorkerFaults are the faults that a JobWorker injects.
type JobWorkerFaults struct {
	DelayedOrderFraction float64 // fraction of orders that are not answered, and carried out 2 to 12 s later
	DelayedStartFraction float64 // the same for starts alone, if it is higher
	// DelayedOrdersOutliveCrash lets delayed orders be carried out by the incarnation that is up
	// then. Calls name the worker's id only, so one in flight can reach a later incarnation.
	DelayedOrdersOutliveCrash bool
	LostAnswerFraction        float64 // fraction of orders that are carried out at once and not answered
	FailedRunFraction         float64 // fraction of runs that fail
	// Answers to polls are delayed by a time between the two, up to which their clock
	// readings are out of date when they arrive.
	MinPollAnswerDelay, MaxPollAnswerDelay time.Duration
	// Partitioned holds calls and the answers to polls, and drops heartbeats. What is held
	// is delivered in order once it is reset, also if its caller has given up; a crash or
	// restart discards it.
	Partitioned bool
}

// WorkerCrashes are the tasks that crash a JobWorker, and how the worker comes back.
type WorkerCrashes struct {
	Crashes  func(pv.TaskRef) bool // whether a task crashes the worker that starts it; nil is none
	Delay    time.Duration         // from the start of the run to the crash; 0 is 10 ms
	DownTime time.Duration         // from the crash to the return
	NewID    func() pv.WorkerID    // id of the worker after its return; nil keeps the id
}

// maxListedEnds is the most ends in one answer to a poll.
const maxListedEnds = 500

// defaultCrashDelay is the time from the start of a task to the crash that it causes.
const defaultCrashDelay = 10 * time.Millisecond

// JobWorker is a fake worker that carries out run orders and reports to a run audit.
// It is safe for concurrent use.
type JobWorker struct {
	audit    *RunAudit
	state    pv.WorkerState
	runTime  time.Duration // duration of a run without a function of SetRunTimes
	stopTime time.Duration // delay between a stop order and the run's end
	sizeOf   func(pv.TaskRef) pv.Resources

	mu              sync.Mutex
	random          *rand.Rand
	faults          JobWorkerFaults
	down            bool
	generation      int // also counts crashes; timers of former incarnations are ignored
	startedAt       time.Time
	fencingToken    int64
	leaseEnd        time.Duration
	runs            map[pv.RunRef]*activeRun
	highestAttempt  map[pv.TaskRef]int // highest attempt stopped or ended here; no attempt up to it starts again
	unacknowledged  []pv.RunEnd
	lapsed          map[int64]bool // run ends, by RunEnd.Sequence, that were unacknowledged when the lease ended
	lastEndSequence int64
	changed         chan struct{}
	used            pv.Resources // by runs whose end isn't listed
	capacities      []formerCapacity
	crashes         WorkerCrashes
	reset           chan struct{} // closed when a task crashes the worker: ends the calls in progress
	runTimeOf       func(pv.TaskRef) time.Duration
	held            []*heldCall   // by a partition, in order
	healed          chan struct{} // closed when the partition ends; nil without one
}

// heldCall is a call that a partition holds.
type heldCall struct {
	execute  func()
	executed bool
}

// formerCapacity is a capacity that the worker had before a change.
type formerCapacity struct {
	resources pv.Resources
	changedAt time.Time
}

// shrinkDelay is the time from a change of a worker's capacity until a start may rely
// on the former capacity no longer: the platform's contactMs and a heartbeat.
const shrinkDelay = 4*time.Second + time.Second

type activeRun struct {
	startedAt time.Time
	duration  time.Duration // 0 is until it is stopped
	stopping  bool
}

func (r *activeRun) progressPercent() int {
	if r.duration == 0 {
		return 100
	}
	return int(100 * time.Since(r.startedAt) / r.duration)
}

const (
	maxLeaseDuration = 10 * time.Second // maximum lease, counted from the poll or start order that extends it
	minOrderDelay    = 2 * time.Second  // minimum delay of an order that is not answered
	maxOrderDelay    = 12 * time.Second
)

var (
	errNoWorker = errors.New("worker unreachable: down, or another worker at its address")
	errNoAnswer = errors.New("worker did not answer; the order is carried out later")
	errReset    = errors.New("connection reset: the worker crashed")
	errLost     = errors.New("the worker's answer was lost; the order has been carried out")
	errFenced   = errors.New("order fenced: the worker has seen a higher fencing token")
)

// NewJobWorker returns a worker whose runs take runTime. The function sizeOf returns
// what a task counts against the worker's capacity, for a filler no cores; nil disables
// the check of the capacity.
func NewJobWorker(state pv.WorkerState, audit *RunAudit, runTime time.Duration, seed uint64, sizeOf func(pv.TaskRef) pv.Resources) *JobWorker {
	r := &JobWorker{state: state, audit: audit, runTime: runTime, stopTime: 200 * time.Millisecond, random: rand.New(rand.NewPCG(seed, seed)), sizeOf: sizeOf}
	r.startIncarnation()
	return r
}

// SetRunTimes sets a function that returns the duration of a task's runs; 0 is until
// they are stopped.
func (r *JobWorker) SetRunTimes(runTimeOf func(pv.TaskRef) time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runTimeOf = runTimeOf
}

// SetCrashes sets the tasks that crash the worker.
func (r *JobWorker) SetCrashes(c WorkerCrashes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = c
}

// SetCapacity changes the worker's capacity, which the next heartbeat shows. Runs that
// no longer fit go on.
func (r *JobWorker) SetCapacity(capacity pv.Resources) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.capacities = append(r.capacities, formerCapacity{r.state.Capacity, time.Now()})
	r.state.Capacity = capacity
}

// capacityForStart returns the capacity that a start may use, by component: the largest
// that the worker had since shrinkDelay before the start was ordered.
func (r *JobWorker) capacityForStart(orderedAt time.Time) pv.Resources {
	out := r.state.Capacity
	for _, c := range r.capacities {
		if orderedAt.Sub(c.changedAt) > shrinkDelay {
			continue
		}
		out.MilliCores = max(out.MilliCores, c.resources.MilliCores)
		out.MemoryMB = max(out.MemoryMB, c.resources.MemoryMB)
		out.Accelerators = max(out.Accelerators, c.resources.Accelerators)
	}
	return out
}

// checkCapacity records a violation if a task that has just been added to the used
// resources brings the worker over its capacity.
func (r *JobWorker) checkCapacity(ref pv.RunRef, size pv.Resources, orderedAt time.Time) {
	capacity := r.capacityForStart(orderedAt)
	if size.MilliCores > 0 && r.used.MilliCores > capacity.MilliCores ||
		size.MemoryMB > 0 && r.used.MemoryMB > capacity.MemoryMB ||
		size.Accelerators > 0 && r.used.Accelerators > capacity.Accelerators {
		r.audit.recordOverCapacity(ref, r.state.ID, r.used, capacity)
	}
}

// SetFaults replaces the injected faults.
func (r *JobWorker) SetFaults(f JobWorkerFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
	switch {
	case f.Partitioned && r.healed == nil:
		r.healed = make(chan struct{})
	case !f.Partitioned && r.healed != nil:
		held := r.held
		r.held = nil
		for _, c := range held {
			c.execute()
			c.executed = true
		}
		close(r.healed)
		r.healed = nil
	}
}

// Faults returns the injected faults.
func (r *JobWorker) Faults() JobWorkerFaults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// hold holds a call if the worker is partitioned from its callers, and reports whether it
// did. It then waits until the partition ends or the caller gives up, and reports also
// whether the call was carried out by then. The caller holds r.mu, which is released
// meanwhile.
func (r *JobWorker) hold(ctx context.Context, execute func()) (held, executed bool) {
	if !r.faults.Partitioned {
		return false, false
	}
	c := &heldCall{execute: execute}
	r.held = append(r.held, c)
	r.awaitHealed(ctx)
	return true, c.executed && ctx.Err() == nil
}

// awaitHealed waits until the worker isn't partitioned from its callers, or the context
// ends. The caller holds r.mu, which is released meanwhile.
func (r *JobWorker) awaitHealed(ctx context.Context) {
	for r.healed != nil && ctx.Err() == nil {
		healed := r.healed
		r.mu.Unlock()
		select {
		case <-healed:
		case <-ctx.Done():
		}
		r.mu.Lock()
	}
}

func (r *JobWorker) startIncarnation() {
	r.generation++
	r.startedAt = time.Now()
	r.state.Incarnation = r.startedAt.UnixMilli()
	r.state.Sequence = 0
	r.fencingToken, r.leaseEnd, r.lastEndSequence, r.used = 0, 0, 0, pv.Resources{}
	r.runs, r.highestAttempt, r.unacknowledged = map[pv.RunRef]*activeRun{}, map[pv.TaskRef]int{}, nil
	r.lapsed = map[int64]bool{}
	r.changed, r.reset = make(chan struct{}), make(chan struct{})
	r.down = false
}

// Crash ends all runs. The worker answers no call until Restart or Replace.
func (r *JobWorker) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crash()
}

func (r *JobWorker) crash() {
	for ref := range r.runs {
		r.audit.recordCrash(ref)
	}
	clear(r.runs)
	r.generation++
	r.down, r.held = true, nil
}

// crashByTask crashes the worker, ends the calls in progress, and schedules the return.
func (r *JobWorker) crashByTask() {
	r.crash()
	close(r.reset)
	c := r.crashes
	r.afterInIncarnation(c.DownTime, func() {
		if c.NewID != nil {
			r.state.ID, r.state.Draining = c.NewID(), false
		}
		r.startIncarnation()
	})
}

// Restart crashes the worker and starts a new incarnation under the same id.
func (r *JobWorker) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crash()
	r.startIncarnation()
}

// Replace crashes the worker and starts another one with a new id at its address.
func (r *JobWorker) Replace(id pv.WorkerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crash()
	r.state.ID, r.state.Draining = id, false
	r.startIncarnation()
}

// ID returns the worker's id.
func (r *JobWorker) ID() pv.WorkerID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.ID
}

// RunningCount returns the number of runs on the worker.
func (r *JobWorker) RunningCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// Heartbeat returns the state for the next heartbeat, and false while the worker is
// down.
func (r *JobWorker) Heartbeat() (pv.WorkerState, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Sequence++
	return r.state, !r.down && !r.faults.Partitioned
}

// SetDraining sets whether the worker reports that it is draining.
func (r *JobWorker) SetDraining(draining bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Draining = draining
}

func (r *JobWorker) clock() time.Duration { return time.Since(r.startedAt) }

// expireLease ends all runs if the lease has ended.
func (r *JobWorker) expireLease() {
	if r.down || r.clock() < r.leaseEnd {
		return
	}
	for ref := range r.runs {
		r.endRun(ref, pv.EndLeaseLapsed)
	}
	for _, e := range r.unacknowledged {
		r.lapsed[e.Sequence] = true // after the lease no process may rely on this end, so another run of the task is allowed
	}
}

// afterInIncarnation calls f, with r.mu held, after d unless the worker has crashed or
// restarted meanwhile.
func (r *JobWorker) afterInIncarnation(d time.Duration, f func()) {
	generation := r.generation
	time.AfterFunc(d, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.generation == generation {
			f()
		}
	})
}

func (r *JobWorker) extendLease(end time.Duration) {
	end = min(end, r.clock()+maxLeaseDuration)
	if end <= r.leaseEnd {
		return
	}
	r.leaseEnd = end
	r.afterInIncarnation(end-r.clock(), r.expireLease)
}

func (r *JobWorker) endRun(ref pv.RunRef, kind pv.EndKind) {
	if _, ok := r.runs[ref]; !ok {
		return
	}
	delete(r.runs, ref)
	r.audit.recordEnd(ref, kind)
	r.highestAttempt[ref.Task] = max(r.highestAttempt[ref.Task], ref.Attempt)
	if r.sizeOf != nil {
		r.used = r.used.Sub(r.sizeOf(ref.Task))
	}
	r.lastEndSequence++
	r.unacknowledged = append(r.unacknowledged, pv.RunEnd{Sequence: r.lastEndSequence, Run: ref, Kind: kind})
	close(r.changed)
	r.changed = make(chan struct{})
}

// delayOrder draws whether an order is delayed by an injected fault, as the fraction of
// orders is. If so, it schedules execute and returns true, and the caller leaves the
// order unanswered. A crash or restart discards delayed orders, unless the fault
// DelayedOrdersOutliveCrash is injected when they are sent.
func (r *JobWorker) delayOrder(fraction float64, execute func()) bool {
	if r.random.Float64() >= fraction {
		return false
	}
	delay := minOrderDelay + time.Duration(r.random.Int64N(int64(maxOrderDelay-minOrderDelay)))
	if !r.faults.DelayedOrdersOutliveCrash {
		r.afterInIncarnation(delay, execute)
		return true
	}
	id := r.state.ID
	time.AfterFunc(delay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.down && r.state.ID == id {
			execute()
		}
	})
	return true
}

// loseAnswer draws whether the answer to an order that has been carried out is lost by
// an injected fault. If so, it waits until the caller gives up. The caller holds r.mu.
func (r *JobWorker) loseAnswer(ctx context.Context) bool {
	if r.faults.LostAnswerFraction == 0 || r.random.Float64() >= r.faults.LostAnswerFraction {
		return false
	}
	r.awaitCaller(ctx)
	return true
}

// awaitCaller waits until the caller of a call without an answer gives up, or a task
// crashes the worker. The caller holds r.mu, which is released meanwhile.
func (r *JobWorker) awaitCaller(ctx context.Context) {
	reset := r.reset
	r.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-reset:
	}
	r.mu.Lock()
}

// Poll implements persimmonvalve.WorkerClient.
func (r *JobWorker) Poll(ctx context.Context, id pv.WorkerID, lease pv.WorkerLease, acknowledged int64, wait time.Duration) (pv.WorkerRuns, error) {
	timeout := time.After(wait)
	for first := true; ; first = false {
		r.mu.Lock()
		if r.down || id != r.state.ID {
			r.mu.Unlock()
			<-ctx.Done()
			return pv.WorkerRuns{}, errNoWorker
		}
		if first {
			apply := func() bool { return r.applyPoll(lease, acknowledged) }
			generation := r.generation
			if held, executed := r.hold(ctx, func() { apply() }); held && (!executed || r.generation != generation || id != r.state.ID) {
				r.mu.Unlock()
				return pv.WorkerRuns{}, errNoAnswer
			}
			if r.delayOrder(r.faults.DelayedOrderFraction, func() { apply() }) {
				r.awaitCaller(ctx)
				r.mu.Unlock()
				return pv.WorkerRuns{}, errNoAnswer
			}
			if !apply() {
				r.mu.Unlock()
				return pv.WorkerRuns{}, errFenced
			}
			if r.loseAnswer(ctx) {
				r.mu.Unlock()
				return pv.WorkerRuns{}, errLost
			}
		}
		out := pv.WorkerRuns{Incarnation: r.state.Incarnation, Clock: r.clock(), Ended: append([]pv.RunEnd(nil), r.unacknowledged[:min(len(r.unacknowledged), maxListedEnds)]...)}
		out.EndsTruncated = len(out.Ended) == maxListedEnds
		for ref, run := range r.runs {
			out.Running = append(out.Running, pv.RunStatus{Run: ref, ProgressPercent: run.progressPercent()})
		}
		changed, reset, generation := r.changed, r.reset, r.generation
		r.mu.Unlock()
		if len(out.Ended) > 0 || wait == 0 {
			return r.answerPoll(ctx, out)
		}
		select {
		case <-changed:
		case <-reset:
			return pv.WorkerRuns{}, errReset
		case <-timeout:
			if r.hasCrashedSince(generation) {
				<-ctx.Done()
				return pv.WorkerRuns{}, errNoWorker
			}
			return r.answerPoll(ctx, out)
		case <-ctx.Done():
			return pv.WorkerRuns{}, ctx.Err()
		}
	}
}

// hasCrashedSince reports whether the worker has crashed or restarted since the generation.
func (r *JobWorker) hasCrashedSince(generation int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.generation != generation
}

// answerPoll returns the answer to a poll, after the delays of injected faults.
func (r *JobWorker) answerPoll(ctx context.Context, out pv.WorkerRuns) (pv.WorkerRuns, error) {
	r.mu.Lock()
	delay := r.faults.MinPollAnswerDelay
	if span := r.faults.MaxPollAnswerDelay - delay; span > 0 {
		delay += time.Duration(r.random.Int64N(int64(span)))
	}
	r.awaitHealed(ctx)
	r.mu.Unlock()
	if delay > 0 {
		if err := sleep(ctx, delay); err != nil {
			return pv.WorkerRuns{}, err
		}
	}
	return out, ctx.Err()
}

func (r *JobWorker) applyPoll(lease pv.WorkerLease, acknowledged int64) bool {
	if lease.FencingToken < r.fencingToken {
		return false
	}
	r.fencingToken = lease.FencingToken
	r.extendLease(lease.End)
	for len(r.unacknowledged) > 0 && r.unacknowledged[0].Sequence <= acknowledged {
		if !r.lapsed[r.unacknowledged[0].Sequence] {
			r.audit.recordAcknowledged(r.unacknowledged[0])
		}
		r.unacknowledged = r.unacknowledged[1:]
	}
	return true
}

// Start implements persimmonvalve.WorkerClient.
func (r *JobWorker) Start(ctx context.Context, id pv.WorkerID, lease pv.WorkerLease, order pv.RunOrder) (pv.StartAnswer, error) {
	orderedAt := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down { // like a host without power, it leaves calls unanswered
		r.mu.Unlock()
		<-ctx.Done()
		r.mu.Lock()
		return pv.StartUnknown, ctx.Err()
	}
	answer := pv.StartUnknown
	if held, executed := r.hold(ctx, func() {
		answer = pv.StartWrongWorker
		if id == r.state.ID {
			answer = r.start(lease, order, orderedAt)
		}
	}); held && !executed {
		return pv.StartUnknown, errNoAnswer
	} else if held {
		return answer, nil
	}
	if id != r.state.ID {
		return pv.StartWrongWorker, nil
	}
	if r.delayOrder(max(r.faults.DelayedOrderFraction, r.faults.DelayedStartFraction), func() { r.start(lease, order, orderedAt) }) {
		r.awaitCaller(ctx)
		return pv.StartUnknown, errNoAnswer
	}
	answer = r.start(lease, order, orderedAt)
	if r.loseAnswer(ctx) {
		return pv.StartUnknown, errLost
	}
	return answer, nil
}

func (r *JobWorker) start(lease pv.WorkerLease, order pv.RunOrder, orderedAt time.Time) pv.StartAnswer {
	if lease.FencingToken < r.fencingToken {
		return pv.StartFenced
	}
	r.fencingToken = lease.FencingToken
	if lease.End <= r.clock() {
		return pv.StartLeaseExpired
	}
	r.extendLease(lease.End)
	if _, ok := r.runs[order.Run]; ok {
		return pv.StartAccepted
	}
	if order.Run.Attempt <= r.highestAttempt[order.Run.Task] {
		return pv.StartStaleAttempt
	}
	crashes := r.crashes.Crashes != nil && r.crashes.Crashes(order.Run.Task)
	r.audit.recordStart(order.Run, orderedAt, crashes)
	run := &activeRun{startedAt: time.Now(), duration: r.runTime}
	if r.runTimeOf != nil {
		run.duration = r.runTimeOf(order.Run.Task)
	}
	r.runs[order.Run] = run
	if r.sizeOf != nil {
		size := r.sizeOf(order.Run.Task)
		r.used = r.used.Add(size)
		r.checkCapacity(order.Run, size, orderedAt)
	}
	kind := pv.EndSucceeded
	if r.random.Float64() < r.faults.FailedRunFraction {
		kind = pv.EndFailed
	}
	if run.duration > 0 {
		r.afterInIncarnation(run.duration, func() {
			if r.runs[order.Run] == run && !run.stopping {
				r.endRun(order.Run, kind)
			}
		})
	}
	if crashes {
		r.afterInIncarnation(cmp.Or(r.crashes.Delay, defaultCrashDelay), r.crashByTask)
	}
	return pv.StartAccepted
}

// Stop implements persimmonvalve.WorkerClient.
func (r *JobWorker) Stop(ctx context.Context, id pv.WorkerID, lease pv.WorkerLease, ref pv.RunRef) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	stopped := false
	if held, executed := r.hold(ctx, func() { stopped = id == r.state.ID && r.stop(lease, ref) }); held && (!executed || !stopped) {
		return errNoAnswer
	} else if held {
		return nil
	}
	if r.down || id != r.state.ID {
		return errNoWorker
	}
	if r.delayOrder(r.faults.DelayedOrderFraction, func() { r.stop(lease, ref) }) {
		r.awaitCaller(ctx)
		return errNoAnswer
	}
	if !r.stop(lease, ref) {
		return errFenced
	}
	if r.loseAnswer(ctx) {
		return errLost
	}
	return nil
}

func (r *JobWorker) stop(lease pv.WorkerLease, ref pv.RunRef) bool {
	if lease.FencingToken < r.fencingToken {
		return false
	}
	r.fencingToken = lease.FencingToken
	r.highestAttempt[ref.Task] = max(r.highestAttempt[ref.Task], ref.Attempt)
	run, ok := r.runs[ref]
	if !ok || run.stopping {
		return true
	}
	run.stopping = true
	r.afterInIncarnation(r.stopTime, func() { r.endRun(ref, pv.EndStopped) })
	return true
}

// SetCPULimit implements persimmonvalve.WorkerClient. It does nothing: a run takes
// the same time at any limit.
func (r *JobWorker) SetCPULimit(context.Context, pv.WorkerID, pv.WorkerLease, pv.RunRef, int) error {
	return nil
}
