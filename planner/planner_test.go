package planner

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	pv "persimmonvalve"
)

var testQueue = pv.Queue{Name: "q", Service: "s", MaxAttempts: 3, DeadlineFactor: 2, Grace: time.Second}

var all = Permissions{RenewLease: true, StartRuns: true}

// bench drives a planner with hand-made reports.
type bench struct {
	t       *testing.T
	p       *Planner
	now     time.Time
	clocks  map[pv.WorkerID]time.Duration
	records map[string][]byte
	address netip.AddrPort // of workers that report
}

func newBench(t *testing.T) *bench {
	now := time.Unix(1_800_000_000, 0)
	return &bench{t: t, p: New(DefaultSettings(), 1), now: now, clocks: map[pv.WorkerID]time.Duration{}, records: map[string][]byte{}}
}

func (b *bench) worker(id string, life int64) pv.WorkerState {
	return pv.WorkerState{ID: pv.WorkerID(id), Service: "s", Incarnation: life, Capacity: pv.Resources{MilliCores: 8000, MemoryMB: 8000}, Address: b.address}
}

// report brings a look at a worker under the token that it should have now.
func (b *bench) report(id string, life int64, l PollResult) {
	w := b.p.worker(b.now, pv.WorkerID(id))
	if !w.known || w.state.Incarnation != life {
		b.p.Report(b.now, Report{Worker: b.worker(id, life)})
	}
	b.clocks[pv.WorkerID(id)] += time.Second
	l.Clock = b.clocks[pv.WorkerID(id)]
	b.p.Report(b.now, Report{Worker: b.worker(id, life), Token: w.token, Poll: &l})
}

// settle lets the planner act and stores what it seals.
func (b *bench) settle() {
	b.now = b.now.Add(b.p.settings.MinPlaceInterval)
	b.p.Tick(b.now)
	for plan := b.p.Seal(); plan != nil; plan = b.p.Seal() {
		b.store(plan)
		b.p.Committed(plan)
	}
}

func (b *bench) store(plan *Batch) {
	for _, r := range plan.Records {
		b.records[r.Key] = r.Value
	}
}

func (b *bench) pass(d time.Duration) {
	b.now = b.now.Add(d)
	b.settle()
}

func (b *bench) submit(id string, steps ...pv.Step) {
	job := pv.Job{ID: pv.JobID(id), Steps: steps}
	raw, err := json.Marshal(job)
	if err != nil {
		b.t.Fatal(err)
	}
	b.p.Submit(b.now, job, raw, testQueue)
}

func (b *bench) starts(id string) []pv.RunRef {
	o, _ := b.p.Orders(b.now, pv.WorkerID(id), all)
	var out []pv.RunRef
	for _, s := range o.Starts {
		out = append(out, s.Run)
	}
	return out
}

func tasks(count int) pv.Step {
	return pv.Step{Count: count, Size: pv.Resources{MilliCores: 1000, MemoryMB: 10}, Estimate: time.Second}
}

func runOf(job string, step, index, attempt int) pv.RunRef {
	return pv.RunRef{Task: pv.TaskRef{Job: pv.JobID(job), Step: step, Index: index}, Attempt: attempt}
}

// successor returns a planner that took over from the stored records.
func (b *bench) successor() *bench {
	n := &bench{t: b.t, p: New(DefaultSettings(), b.p.epoch+1), now: b.now, clocks: b.clocks, records: b.records}
	var records []pv.KeyedRecord
	for k, v := range b.records {
		records = append(records, pv.KeyedRecord{Key: k, Value: v})
	}
	for _, fault := range n.p.Restore(n.now, records) {
		b.t.Error(fault)
	}
	return n
}

// No start leaves before its record is stored.
func TestStartWaitsForStore(t *testing.T) {
	b := newBench(t)
	b.report("w", 1, PollResult{})
	b.submit("j", tasks(1))
	b.p.Tick(b.now)
	plan := b.p.Seal()
	if got := b.starts("w"); len(got) != 0 {
		t.Errorf("got %v before the batch is stored, want none", got)
	}
	b.p.Committed(plan)
	if got, want := fmt.Sprint(b.starts("w")), fmt.Sprint([]pv.RunRef{runOf("j", 0, 0, 1)}); got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// An end is acknowledged only once its effect is stored, and the job isn't
// shown as finished before.
func TestEndWaitsForStore(t *testing.T) {
	b := newBench(t)
	b.report("w", 1, PollResult{})
	b.submit("j", tasks(1))
	b.settle()
	b.starts("w")
	b.report("w", 1, PollResult{Ended: []pv.RunEnd{{Number: 7, Run: runOf("j", 0, 0, 1), Kind: pv.EndDone}}})
	b.p.Tick(b.now)
	plan := b.p.Seal()
	if o, _ := b.p.Orders(b.now, "w", all); o.Acknowledged != 0 {
		t.Errorf("got %d acknowledged before the batch is stored, want 0", o.Acknowledged)
	}
	if state, _ := b.p.State("j"); state == pv.JobFinished {
		t.Errorf("got %s before the batch is stored, want another", state)
	}
	b.p.Committed(plan)
	if o, _ := b.p.Orders(b.now, "w", all); o.Acknowledged != 7 {
		t.Errorf("got %d acknowledged, want 7", o.Acknowledged)
	}
	if state, _ := b.p.State("j"); state != pv.JobFinished {
		t.Errorf("got %s, want %s", state, pv.JobFinished)
	}
}

// A report that leaves out ends which were told to somebody else acknowledges
// nothing: the agent is asked to tell all.
func TestEndsToldToAnother(t *testing.T) {
	b := newBench(t)
	b.report("w", 1, PollResult{})
	b.submit("j", tasks(2))
	b.settle()
	n := b.successor()
	n.report("w", 1, PollResult{})
	n.starts("w")
	n.report("w", 1, PollResult{EndsAfter: 3, Ended: []pv.RunEnd{{Number: 4, Run: runOf("j", 0, 1, 1), Kind: pv.EndDone}}})
	n.settle()
	o, ok := n.p.Orders(n.now, "w", all)
	if !ok || o.Acknowledged != 0 || !o.Full {
		t.Errorf("got acknowledged %d whole %v, want 0 and true", o.Acknowledged, o.Full)
	}
}

// A worker that is gone while its agent lives loses its tasks to others within
// the lease: no grant may rest on an old reading of its clock.
func TestGoneWorkerBesideLivingAgent(t *testing.T) {
	b := newBench(t)
	b.report("w", 1, PollResult{})
	standing := tasks(1)
	standing.Standing = true
	b.submit("j", standing)
	b.settle()
	if got := len(b.starts("w")); got != 1 {
		t.Fatalf("got %d starts, want 1", got)
	}
	const bound = 7 * time.Second // of 9 s in which a standing task must be back
	for range int(bound / (100 * time.Millisecond)) {
		b.report("v", 1, PollResult{})
		b.starts("v") // its lease is extended
		b.pass(100 * time.Millisecond)
		b.starts("w") // its agent takes the leader's orders
	}
	if got := b.p.workers["v"].runs; len(got) != 1 {
		t.Errorf("got %d runs on the other worker after %v, want 1", len(got), bound)
	}
}

// While a lease may last, a task isn't started elsewhere, also by a successor
// that never reached the worker.
func TestNoSecondRunWithinLease(t *testing.T) {
	b := newBench(t)
	b.report("w", 1, PollResult{})
	b.submit("j", tasks(1))
	b.settle()
	b.starts("w")
	granted := b.p.workers["w"].lastGrant - b.p.workers["w"].clock
	began := b.now
	for b.now.Sub(began) < time.Duration(float64(granted)/(1-b.p.settings.ClockDrift)) {
		b.report("v", 1, PollResult{})
		b.starts("v") // its lease is extended
		b.pass(100 * time.Millisecond)
		if n := len(b.p.workers["v"].runs); n > 0 {
			t.Fatalf("got a run elsewhere after %v, want none within the lease of %v", b.now.Sub(began), granted)
		}
	}
	n := b.successor()
	began = n.now
	for n.now.Sub(began) < n.p.settings.OrphanWait {
		n.report("v", 1, PollResult{})
		n.starts("v")
		n.pass(100 * time.Millisecond)
		if len(n.p.workers["v"].runs) > 0 && n.now.Sub(began) <= n.p.settings.LeaderLease()+n.p.settings.LeaseDuration {
			t.Fatalf("got a run elsewhere %v after the takeover, want none before the former leader's last grant is over", n.now.Sub(began))
		}
	}
}

// Runs of a worker's former life are over only after a look at the new life
// under a new token; one that the new life lists goes on there.
func TestLateStartOnNewLife(t *testing.T) {
	b := newBench(t)
	b.report("w", 1, PollResult{})
	b.submit("j", tasks(2))
	b.settle()
	b.starts("w")
	before := b.p.workers["w"].token
	b.p.Report(b.now, Report{Worker: b.worker("w", 2)})
	if got := b.p.workers["w"].token; got <= before {
		t.Errorf("got token %d for the new life, want above %d", got, before)
	}
	if n := len(b.p.workers["w"].runs); n != 2 {
		t.Errorf("got %d runs before a look at the new life, want 2", n)
	}
	b.report("w", 2, PollResult{Running: []pv.RunStatus{{Run: runOf("j", 0, 0, 1)}}})
	if _, ok := b.p.workers["w"].runs[runOf("j", 0, 0, 1)]; !ok {
		t.Error("got the late run given up, want it kept")
	}
	if _, ok := b.p.workers["w"].runs[runOf("j", 0, 1, 1)]; ok {
		t.Error("got the lost run kept, want it over")
	}
}

// A successor never uses an attempt number again.
func TestAttemptsAfterTakeover(t *testing.T) {
	b := newBench(t)
	b.report("w", 1, PollResult{})
	b.submit("j", tasks(1))
	b.p.Tick(b.now)
	b.store(b.p.Seal()) // stored, and the leader dies before it hears so
	n := b.successor()
	n.report("w", 2, PollResult{})
	n.settle()
	if got, want := fmt.Sprint(n.starts("w")), fmt.Sprint([]pv.RunRef{runOf("j", 0, 0, 2)}); got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Steps begin in order, and failures end a job after its attempts.
func TestOrderAndAttempts(t *testing.T) {
	b := newBench(t)
	second := tasks(1)
	second.After = []int{0}
	b.report("w", 1, PollResult{})
	b.submit("j", tasks(1), second)
	b.settle()
	for attempt := 1; attempt <= testQueue.MaxAttempts; attempt++ {
		if got, want := fmt.Sprint(b.starts("w")), fmt.Sprint([]pv.RunRef{runOf("j", 0, 0, attempt)}); got != want {
			t.Fatalf("attempt %d: got %v, want %v", attempt, got, want)
		}
		b.report("w", 1, PollResult{EndsAfter: int64(attempt - 1), Ended: []pv.RunEnd{{Number: int64(attempt), Run: runOf("j", 0, 0, attempt), Kind: pv.EndFailed}}})
		b.settle()
	}
	if state, _ := b.p.State("j"); state != pv.JobFailed {
		t.Errorf("got %s, want %s", state, pv.JobFailed)
	}
	if got := b.starts("w"); len(got) != 0 {
		t.Errorf("got %v after the job failed, want none", got)
	}
}

// No worker is given more than it holds, whatever is being stopped there.
func TestRoomWhileStopping(t *testing.T) {
	b := newBench(t)
	b.report("w", 1, PollResult{})
	b.submit("a", tasks(8))
	b.settle()
	b.starts("w")
	b.p.Cancel(b.now, "a")
	b.submit("b", tasks(8))
	b.settle()
	if got := b.starts("w"); len(got) != 0 {
		t.Errorf("got %v while the room is still taken, want none", got)
	}
}

// A leaving worker gets no new work.
func TestLeavingWorker(t *testing.T) {
	b := newBench(t)
	b.report("w", 1, PollResult{})
	state := b.worker("w", 1)
	state.Draining = true
	b.p.Report(b.now, Report{Worker: state})
	b.submit("j", tasks(1))
	b.settle()
	if got := b.starts("w"); len(got) != 0 {
		t.Errorf("got %v, want none", got)
	}
}

// A worker whose lease has lapsed gets nothing until it is extended, and its
// agent drops former orders with the extension.
func TestLapsedLease(t *testing.T) {
	b := newBench(t)
	b.report("w", 1, PollResult{})
	b.submit("j", tasks(1))
	b.settle()
	b.starts("w")
	b.pass(9 * time.Second) // the lease lapses; no store, no extension
	b.clocks["w"] += 9 * time.Second
	b.report("w", 1, PollResult{})
	b.pass(0)
	if n := len(b.p.workers["w"].runs); n != 0 {
		t.Errorf("got %d runs on a worker without a lease, want none", n)
	}
	o, _ := b.p.Orders(b.now, "w", all)
	if got, want := fmt.Sprint(o.Stops), fmt.Sprint([]pv.RunRef{runOf("j", 0, 0, 1)}); got != want {
		t.Errorf("got stops %v with the extension, want %v", got, want)
	}
}

// Only the first order of a run may be given back unsent: a repeated one may
// have been carried out on behalf of a former leader.
func TestFirstOrders(t *testing.T) {
	b := newBench(t)
	b.report("w", 1, PollResult{})
	b.starts("w") // the whole orders of a new link
	b.submit("j", tasks(1))
	b.settle()
	first, _ := b.p.Orders(b.now, "w", all)
	n := b.successor()
	n.p.Connect(n.now, "w")
	n.report("w", 1, PollResult{})
	again, _ := n.p.Orders(n.now, "w", all)
	if len(first.Starts) != 1 || len(again.Starts) != 1 {
		t.Fatalf("got %d and %d starts, want one each", len(first.Starts), len(again.Starts))
	}
	if !first.Starts[0].FirstSend {
		t.Error("got a first order that isn't marked as one")
	}
	if again.Starts[0].FirstSend {
		t.Error("got a repeated order marked as first")
	}
}

// While starts are withheld they wait, and leases are extended all the same.
func TestWithheldStarts(t *testing.T) {
	b := newBench(t)
	b.report("w", 1, PollResult{})
	b.starts("w")
	b.submit("j", tasks(1))
	b.settle()
	b.now = b.now.Add(time.Second)
	o, ok := b.p.Orders(b.now, "w", Permissions{RenewLease: true})
	if !ok || len(o.Starts) != 0 || o.Authority.Until == 0 {
		t.Errorf("got %d starts and the lease until %v, want none and an extension", len(o.Starts), o.Authority.Until)
	}
	if got := b.starts("w"); len(got) != 1 {
		t.Errorf("got %v, want the start that waited", got)
	}
	b.p.Connect(b.now, "w")
	if _, ok := b.p.Orders(b.now, "w", Permissions{RenewLease: true}); ok {
		t.Error("got whole orders without starts, want none")
	}
}

// A successor that hears of a worker's goodbye gives its tasks to others at
// once, without the wait for workers that it never reached.
func TestDepartedWorker(t *testing.T) {
	b := newBench(t)
	b.report("w", 1, PollResult{})
	b.submit("j", tasks(1))
	b.settle()
	b.starts("w")
	n := b.successor()
	n.p.Report(n.now, Report{Worker: n.worker("w", 1), Deregistered: true})
	for range 8 {
		n.report("v", 1, PollResult{})
		n.starts("v")
		n.pass(100 * time.Millisecond)
	}
	if got := len(n.p.workers["v"].runs); got != 1 {
		t.Errorf("got %d runs on the other worker, want 1", got)
	}
}

// When not all can be done in time, jobs go by the work that remains for what
// finishing them is worth: a small one before a large one that came first, and
// one that is nearly done before both.
func TestOrderByRemainingWork(t *testing.T) {
	b := newBench(t)
	b.report("w", 1, PollResult{})
	b.starts("w")
	begun, large, small := tasks(9), tasks(24), tasks(4)
	for _, s := range []*pv.Step{&begun, &large, &small} {
		s.Size.MilliCores = 4000
	}
	b.submit("c", begun)
	for n := 1; n <= 8; n += 2 {
		b.pass(100 * time.Millisecond)
		var ends []pv.RunEnd
		for i, r := range b.starts("w") {
			ends = append(ends, pv.RunEnd{Number: int64(n + i), Run: r, Kind: pv.EndDone})
		}
		if n == 7 {
			b.submit("a", large)
			b.submit("b", small)
		}
		b.report("w", 1, PollResult{Ended: ends, EndsAfter: int64(n - 1)})
	}
	b.settle()
	got := b.starts("w")
	want := []pv.RunRef{runOf("c", 0, 8, 1), runOf("b", 0, 0, 1)}
	if !slices.Equal(got, want) {
		t.Errorf("got starts %v, want %v", got, want)
	}
}

// A worker that answers at the address of another, which was born earlier, is
// the proof that the other is gone: its tasks start again at once, also under a
// leader that knows the other only from the store.
func TestWorkerReplacedAtItsAddress(t *testing.T) {
	old, next := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
	for name, c := range map[string]struct {
		address   netip.AddrPort
		life      int64
		successor bool
		want      int
	}{
		"same address":              {address: old, life: 2, want: 1},
		"same address, new leader":  {address: old, life: 2, successor: true, want: 1},
		"other address":             {address: next, life: 2, want: 0},
		"same address, born before": {address: old, life: 0, want: 0},
		"no address, new leader":    {life: 2, successor: true, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.address = old
			b.report("w", 1, PollResult{})
			b.starts("w")
			b.submit("j", tasks(1))
			b.settle()
			b.starts("w")
			if c.successor {
				b = b.successor()
			}
			b.address = c.address
			for range 3 {
				b.report("v", c.life, PollResult{})
				b.starts("v")
				b.pass(100 * time.Millisecond)
			}
			if got := len(b.p.workers["v"].runs); got != c.want {
				t.Errorf("got %d runs on the new worker, want %d", got, c.want)
			}
		})
	}
}

// A goodbye that a worker's agent left in writing frees its tasks under a leader
// that reaches neither; a later life under the same id isn't meant by it.
func TestDepartureInWriting(t *testing.T) {
	for name, c := range map[string]struct {
		life int64
		want int
	}{"that life": {1, 1}, "the life before": {0, 0}} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.report("w", 1, PollResult{})
			b.starts("w")
			b.submit("j", tasks(1))
			b.settle()
			b.starts("w")
			n := b.successor()
			n.p.Deregister(n.now, pv.Deregistration{Worker: "w", Incarnation: c.life})
			for range 8 {
				n.report("v", 1, PollResult{})
				n.starts("v")
				n.pass(100 * time.Millisecond)
			}
			if got := len(n.p.workers["v"].runs); got != c.want {
				t.Errorf("got %d runs on the other worker, want %d", got, c.want)
			}
		})
	}
}

// The goodbye of a former life doesn't take a worker's later life out of use.
func TestDepartureOfFormerLife(t *testing.T) {
	b := newBench(t)
	b.report("w", 2, PollResult{})
	b.starts("w")
	b.p.Deregister(b.now, pv.Deregistration{Worker: "w", Incarnation: 1})
	b.submit("j", tasks(1))
	b.settle()
	if got := len(b.p.workers["w"].runs); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}
