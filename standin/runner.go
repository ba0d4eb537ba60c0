package standin

// This file defines a worker that runs tasks under a lease that ends at a
// reading of its own clock.

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	pv "persimmonvalve"
)

// RunnerFaults are the faults of a runner.
type RunnerFaults struct {
	Late   float64 // share of orders that aren't answered and carried out 2 to 12 s later
	Failed float64 // share of runs that fail
}

// Runner is one worker. It is safe for concurrent use.
type Runner struct {
	account *Account
	state   pv.WorkerState
	took    time.Duration // of a run
	stops   time.Duration // of a stop

	mu      sync.Mutex
	random  *rand.Rand
	faults  RunnerFaults
	down    bool
	turn    int // life, for timers of former ones
	born    time.Time
	token   int64
	until   time.Duration
	runs    map[pv.RunRef]*runnerRun
	highest map[pv.TaskRef]int // attempts that were stopped or ended here
	ended   []pv.RunEnd
	lapsed  map[int64]bool // ends after which the lease ran out before they were acknowledged
	number  int64
	changed chan struct{}
	used    int64 // millicores
	sizes   func(pv.TaskRef) int64
}

type runnerRun struct {
	began    time.Time
	stopping bool
}

const (
	holdMost      = 6 * time.Second // longest lease from a look or start on
	lateOrderFrom = 2 * time.Second
	lateOrderTo   = 12 * time.Second
)

var (
	errNoWorker = errors.New("no worker answers")
	errNoAnswer = errors.New("no answer")
	errFenced   = errors.New("a higher token was seen")
)

// NewRunner returns a worker whose runs take the given time. Sizes may be nil.
func NewRunner(state pv.WorkerState, account *Account, took time.Duration, seed uint64, sizes func(pv.TaskRef) int64) *Runner {
	r := &Runner{state: state, account: account, took: took, stops: 200 * time.Millisecond, random: rand.New(rand.NewPCG(seed, seed)), sizes: sizes}
	r.begin()
	return r
}

// Set changes the faults.
func (r *Runner) Set(f RunnerFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

func (r *Runner) begin() {
	r.turn++
	r.born = time.Now()
	r.state.Incarnation = r.born.UnixMilli()
	r.state.Sequence = 0
	r.token, r.until, r.number, r.used = 0, 0, 0, 0
	r.runs, r.highest, r.ended = map[pv.RunRef]*runnerRun{}, map[pv.TaskRef]int{}, nil
	r.lapsed = map[int64]bool{}
	r.changed = make(chan struct{})
	r.down = false
}

// Crash ends all runs; the worker answers nothing until it is reborn.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crash()
}

func (r *Runner) crash() {
	for ref := range r.runs {
		r.account.end(ref, pv.EndVanished)
	}
	clear(r.runs)
	r.turn++
	r.down = true
}

// Reborn begins a new life under the same id.
func (r *Runner) Reborn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crash()
	r.begin()
}

// Replaced ends the worker for good and begins another under a new id at its
// address.
func (r *Runner) Replaced(id pv.WorkerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crash()
	r.state.ID, r.state.Draining = id, false
	r.begin()
}

// ID returns the worker's id.
func (r *Runner) ID() pv.WorkerID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.ID
}

// Beat returns what the worker says of itself, false while it is down.
func (r *Runner) Beat() (pv.WorkerState, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Sequence++
	return r.state, !r.down
}

// Leave lets the worker say that it leaves.
func (r *Runner) Leave(leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Draining = leaving
}

func (r *Runner) clock() time.Duration { return time.Since(r.born) }

// lapse ends all runs once the lease is over.
func (r *Runner) lapse() {
	if r.down || r.clock() < r.until {
		return
	}
	for ref := range r.runs {
		r.finish(ref, pv.EndLapsed)
	}
	for _, e := range r.ended {
		r.lapsed[e.Number] = true // nobody can have counted on it any more
	}
}

func (r *Runner) extend(until time.Duration) {
	until = min(until, r.clock()+holdMost)
	if until <= r.until {
		return
	}
	r.until = until
	turn := r.turn
	time.AfterFunc(until-r.clock(), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.turn == turn {
			r.lapse()
		}
	})
}

func (r *Runner) finish(ref pv.RunRef, kind pv.EndKind) {
	if _, ok := r.runs[ref]; !ok {
		return
	}
	delete(r.runs, ref)
	r.account.end(ref, kind)
	r.highest[ref.Task] = max(r.highest[ref.Task], ref.Attempt)
	if r.sizes != nil {
		r.used -= r.sizes(ref.Task)
	}
	r.number++
	r.ended = append(r.ended, pv.RunEnd{Number: r.number, Run: ref, Kind: kind})
	close(r.changed)
	r.changed = make(chan struct{})
}

// late decides whether an order goes unanswered and is carried out later. It
// waits in the worker's process, and is gone with it.
func (r *Runner) late(carryOut func()) bool {
	if r.random.Float64() >= r.faults.Late {
		return false
	}
	wait := lateOrderFrom + time.Duration(r.random.Int64N(int64(lateOrderTo-lateOrderFrom)))
	turn := r.turn
	time.AfterFunc(wait, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.turn == turn {
			carryOut()
		}
	})
	return true
}

// Poll implements persimmonvalve.WorkerClient.
func (r *Runner) Poll(ctx context.Context, id pv.WorkerID, a pv.Authority, acknowledged int64, wait time.Duration) (pv.WorkerRuns, error) {
	deadline := time.After(wait)
	for first := true; ; first = false {
		r.mu.Lock()
		if r.down || id != r.state.ID {
			r.mu.Unlock()
			<-ctx.Done()
			return pv.WorkerRuns{}, errNoWorker
		}
		if first {
			look := func() bool { return r.look(a, acknowledged) }
			if r.late(func() { look() }) {
				r.mu.Unlock()
				<-ctx.Done()
				return pv.WorkerRuns{}, errNoAnswer
			}
			if !look() {
				r.mu.Unlock()
				return pv.WorkerRuns{}, errFenced
			}
		}
		out := pv.WorkerRuns{Incarnation: r.state.Incarnation, Clock: r.clock(), Ended: append([]pv.RunEnd(nil), r.ended...)}
		for ref, run := range r.runs {
			out.Running = append(out.Running, pv.RunStatus{Run: ref, Percent: int(100 * time.Since(run.began) / r.took)})
		}
		changed := r.changed
		r.mu.Unlock()
		if len(out.Ended) > 0 || wait == 0 {
			return out, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return out, nil
		case <-ctx.Done():
			return pv.WorkerRuns{}, ctx.Err()
		}
	}
}

func (r *Runner) look(a pv.Authority, acknowledged int64) bool {
	if a.Token < r.token {
		return false
	}
	r.token = a.Token
	r.extend(a.Until)
	for len(r.ended) > 0 && r.ended[0].Number <= acknowledged {
		if !r.lapsed[r.ended[0].Number] {
			r.account.noted(r.ended[0])
		}
		r.ended = r.ended[1:]
	}
	return true
}

// Start implements persimmonvalve.WorkerClient.
func (r *Runner) Start(ctx context.Context, id pv.WorkerID, a pv.Authority, o pv.RunOrder) (pv.StartAnswer, error) {
	ordered := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return pv.StartUnknown, errNoWorker
	}
	if id != r.state.ID {
		return pv.StartWrongIncarnation, nil
	}
	if r.late(func() { r.start(a, o, ordered) }) {
		r.mu.Unlock()
		<-ctx.Done()
		r.mu.Lock()
		return pv.StartUnknown, errNoAnswer
	}
	return r.start(a, o, ordered), nil
}

func (r *Runner) start(a pv.Authority, o pv.RunOrder, ordered time.Time) pv.StartAnswer {
	if a.Token < r.token {
		return pv.StartFenced
	}
	r.token = a.Token
	if a.Until <= r.clock() {
		return pv.StartExpired
	}
	r.extend(a.Until)
	if _, ok := r.runs[o.Run]; ok {
		return pv.StartAccepted
	}
	if o.Run.Attempt <= r.highest[o.Run.Task] {
		return pv.StartOld
	}
	r.account.start(o.Run, ordered)
	r.runs[o.Run] = &runnerRun{began: time.Now()}
	if r.sizes != nil {
		r.used += r.sizes(o.Run.Task)
		if r.used > r.state.Capacity.MilliCores {
			r.account.mu.Lock()
			r.account.fault("%v brings worker %s to %d of %d millicores", o.Run.Task, r.state.ID, r.used, r.state.Capacity.MilliCores)
			r.account.mu.Unlock()
		}
	}
	kind := pv.EndDone
	if r.random.Float64() < r.faults.Failed {
		kind = pv.EndFailed
	}
	turn := r.turn
	time.AfterFunc(r.took, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if run, ok := r.runs[o.Run]; ok && r.turn == turn && !run.stopping {
			r.finish(o.Run, kind)
		}
	})
	return pv.StartAccepted
}

// Stop implements persimmonvalve.WorkerClient.
func (r *Runner) Stop(ctx context.Context, id pv.WorkerID, a pv.Authority, ref pv.RunRef) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down || id != r.state.ID {
		return errNoWorker
	}
	if r.late(func() { r.stop(a, ref) }) {
		r.mu.Unlock()
		<-ctx.Done()
		r.mu.Lock()
		return errNoAnswer
	}
	if !r.stop(a, ref) {
		return errFenced
	}
	return nil
}

func (r *Runner) stop(a pv.Authority, ref pv.RunRef) bool {
	if a.Token < r.token {
		return false
	}
	r.token = a.Token
	r.highest[ref.Task] = max(r.highest[ref.Task], ref.Attempt)
	run, ok := r.runs[ref]
	if !ok || run.stopping {
		return true
	}
	run.stopping = true
	turn := r.turn
	time.AfterFunc(r.stops, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.turn == turn {
			r.finish(ref, pv.EndStopped)
		}
	})
	return true
}

// SetCPULimit implements persimmonvalve.WorkerClient; runs here take the same time
// at any limit.
func (r *Runner) SetCPULimit(context.Context, pv.WorkerID, pv.Authority, pv.RunRef, int) error {
	return nil
}
