package planner

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	pv "persimmonvalve"
)

var testQueue = pv.Queue{Name: "q", Service: "s", MaxAttempts: 3, DeadlineFactor: 2, Grace: time.Second}

// firstClock is the reading of a worker's clock when its polls by the tests begin. Its supervisor
// has polled it for long before, unless a test says otherwise.
const firstClock = time.Minute

var allPermissions = Permissions{RenewLease: true, StartRuns: true}

// harness drives a planner with reports made by the test.
type harness struct {
	t        *testing.T
	p        *Planner
	now      time.Time
	clocks   map[pv.WorkerID]time.Duration
	records  map[string][]byte
	address  netip.AddrPort         // of workers that report
	services map[pv.WorkerID]string // of workers that aren't of the test queue's service
	zones    map[pv.WorkerID]string // of workers
}

func newHarness(t *testing.T) *harness {
	now := time.Unix(1_800_000_000, 0)
	return &harness{t: t, p: New(DefaultSettings(), 1), now: now, clocks: map[pv.WorkerID]time.Duration{}, records: map[string][]byte{}, services: map[pv.WorkerID]string{}}
}

func (h *harness) workerState(id string, incarnation int64) pv.WorkerState {
	service := cmp.Or(h.services[pv.WorkerID(id)], testQueue.Service)
	return pv.WorkerState{ID: pv.WorkerID(id), Service: service, Incarnation: incarnation, Location: pv.Location{Zone: h.zones[pv.WorkerID(id)]}, Capacity: pv.Resources{MilliCores: 8000, MemoryMB: 8000}, Address: h.address}
}

// reportPoll reports a poll of the worker under its current token.
func (h *harness) reportPoll(id string, incarnation int64, poll PollResult) {
	w := h.p.worker(h.now, pv.WorkerID(id))
	if !w.stateKnown || w.state.Incarnation != incarnation {
		h.p.Report(h.now, Report{Worker: h.workerState(id, incarnation)})
	}
	h.clocks[pv.WorkerID(id)] += time.Second
	poll.Clock = firstClock + h.clocks[pv.WorkerID(id)]
	if poll.FencedSince == 0 {
		poll.FencedSince = firstClock - h.p.settings.MaxLease
	}
	h.p.Report(h.now, Report{Worker: h.workerState(id, incarnation), FencingToken: w.fencingToken, Poll: &poll})
}

// tickAndCommit runs a tick and commits the sealed batches.
func (h *harness) tickAndCommit() {
	h.now = h.now.Add(h.p.settings.MinPlaceInterval)
	h.p.Tick(h.now)
	for batch := h.p.NextBatch(); batch != nil; batch = h.p.NextBatch() {
		h.store(batch)
		h.p.Committed(batch)
	}
}

func (h *harness) store(batch *Batch) {
	for _, r := range batch.Records {
		h.records[r.Key] = r.Value
	}
}

func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.tickAndCommit()
}

func (h *harness) submit(id string, steps ...pv.Step) { h.submitTo(testQueue, id, steps...) }

func (h *harness) submitTo(queue pv.Queue, id string, steps ...pv.Step) {
	job := pv.Job{ID: pv.JobID(id), Steps: steps}
	raw, err := json.Marshal(job)
	if err != nil {
		h.t.Fatal(err)
	}
	h.p.Submit(h.now, job, raw, queue)
}

// sendOrders takes the worker's orders and returns the runs that they start.
func (h *harness) sendOrders(id string) []pv.RunRef {
	o, _ := h.p.Orders(h.now, pv.WorkerID(id), allPermissions)
	var out []pv.RunRef
	for _, s := range o.Starts {
		out = append(out, s.Run)
	}
	return out
}

func stepWithTasks(count int) pv.Step {
	return pv.Step{Count: count, Size: pv.Resources{MilliCores: 1000, MemoryMB: 10}, Estimate: time.Second}
}

func runOf(job string, step, index, attempt int) pv.RunRef {
	return pv.RunRef{Task: pv.TaskRef{Job: pv.JobID(job), Step: step, Index: index}, Attempt: attempt}
}

// successor returns a harness with a new leader's planner, restored from the records.
func (h *harness) successor() *harness {
	next := &harness{t: h.t, p: New(DefaultSettings(), h.p.epoch+1), now: h.now, clocks: h.clocks, records: maps.Clone(h.records)}
	for _, err := range next.p.Restore(next.now, h.storedRecords(), Predecessors{}) {
		h.t.Error(err)
	}
	return next
}

// A start is sent only after its record is stored.
func TestStartWaitsForStore(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.submit("j", stepWithTasks(1))
	h.p.Tick(h.now)
	batch := h.p.NextBatch()
	if got := h.sendOrders("w"); len(got) != 0 {
		t.Errorf("got %v before the batch is stored, want none", got)
	}
	h.p.Committed(batch)
	if got, want := fmt.Sprint(h.sendOrders("w")), fmt.Sprint([]pv.RunRef{runOf("j", 0, 0, 1)}); got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// An end is acknowledged, and its job reported as finished, only after the end's
// effect is stored.
func TestEndWaitsForStore(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.submit("j", stepWithTasks(1))
	h.tickAndCommit()
	h.sendOrders("w")
	h.reportPoll("w", 1, PollResult{Ended: []pv.RunEnd{{Sequence: 7, Run: runOf("j", 0, 0, 1), Kind: pv.EndSucceeded}}})
	h.p.Tick(h.now)
	batch := h.p.NextBatch()
	if o, _ := h.p.Orders(h.now, "w", allPermissions); o.Acknowledged != 0 {
		t.Errorf("got %d acknowledged before the batch is stored, want 0", o.Acknowledged)
	}
	if state, _ := h.p.State("j"); state == pv.JobFinished {
		t.Errorf("got %s before the batch is stored, want another", state)
	}
	h.p.Committed(batch)
	if o, _ := h.p.Orders(h.now, "w", allPermissions); o.Acknowledged != 7 {
		t.Errorf("got %d acknowledged, want 7", o.Acknowledged)
	}
	if state, _ := h.p.State("j"); state != pv.JobFinished {
		t.Errorf("got %s, want %s", state, pv.JobFinished)
	}
}

// When a report omits ends because they went to another leader, no end is
// acknowledged and full orders are sent, so that the supervisor reports all ends.
func TestReportWithoutEarlierEnds(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.submit("j", stepWithTasks(2))
	h.tickAndCommit()
	next := h.successor()
	next.reportPoll("w", 1, PollResult{})
	next.sendOrders("w")
	next.reportPoll("w", 1, PollResult{EndsAbove: 3, Ended: []pv.RunEnd{{Sequence: 4, Run: runOf("j", 0, 1, 1), Kind: pv.EndSucceeded}}})
	next.tickAndCommit()
	o, ok := next.p.Orders(next.now, "w", allPermissions)
	if !ok || o.Acknowledged != 0 || !o.Full {
		t.Errorf("got acknowledged %d, full orders %v, want 0 and true", o.Acknowledged, o.Full)
	}
}

// If a worker dies but its supervisor doesn't, the worker's tasks restart elsewhere within
// the lease: renewals that use an old reading of its clock must not prolong it.
func TestLostWorkerWithLiveSupervisor(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	standing := stepWithTasks(1)
	standing.Standing = true
	h.submit("j", standing)
	h.tickAndCommit()
	if got := len(h.sendOrders("w")); got != 1 {
		t.Fatalf("got %d starts, want 1", got)
	}
	const bound = 7 * time.Second // a standing task must be back within 9 s
	for range int(bound / (100 * time.Millisecond)) {
		h.reportPoll("v", 1, PollResult{})
		h.sendOrders("v") // renews its lease
		h.advance(100 * time.Millisecond)
		h.sendOrders("w") // its supervisor takes the leader's orders
	}
	if got := h.p.workers["v"].runs; len(got) != 1 {
		t.Errorf("got %d runs on the other worker after %v, want 1", len(got), bound)
	}
}

// A task isn't started elsewhere before the lease of its worker has certainly
// lapsed, not even by a new leader that has no poll result of the worker.
func TestNoSecondRunWithinLease(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.submit("j", stepWithTasks(1))
	h.tickAndCommit()
	h.sendOrders("w")
	lease := h.p.workers["w"].lease.granted - h.p.workers["w"].lease.clock
	next := h.successor() // of a leader that has just renewed the lease
	began := h.now
	for h.now.Sub(began) < time.Duration(float64(lease)/(1-h.p.settings.MaxClockDrift)) {
		h.reportPoll("v", 1, PollResult{})
		h.sendOrders("v") // renews its lease
		h.advance(100 * time.Millisecond)
		if n := len(h.p.workers["v"].runs); n > 0 {
			t.Fatalf("got a run elsewhere after %v, want none within the lease of %v", h.now.Sub(began), lease)
		}
	}
	began = next.now
	for next.now.Sub(began) < next.p.settings.OrphanTimeout() {
		next.reportPoll("v", 1, PollResult{})
		next.sendOrders("v")
		next.advance(100 * time.Millisecond)
		if len(next.p.workers["v"].runs) > 0 && next.now.Sub(began) <= next.p.settings.LeaderLease()+next.p.settings.LeaseDuration {
			t.Fatalf("got a run elsewhere %v after the takeover, want none before the last lease from the former leader has lapsed", next.now.Sub(began))
		}
	}
}

// Runs of a worker's former incarnation end only after the new incarnation is polled
// under a new token; a run that the new incarnation lists continues there.
func TestLateStartOnNewIncarnation(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.submit("j", stepWithTasks(2))
	h.tickAndCommit()
	h.sendOrders("w")
	before := h.p.workers["w"].fencingToken
	h.p.Report(h.now, Report{Worker: h.workerState("w", 2)})
	if got := h.p.workers["w"].fencingToken; got <= before {
		t.Errorf("got token %d for the new incarnation, want above %d", got, before)
	}
	if n := len(h.p.workers["w"].runs); n != 2 {
		t.Errorf("got %d runs before the new incarnation was polled, want 2", n)
	}
	h.reportPoll("w", 2, PollResult{Running: []pv.RunStatus{{Run: runOf("j", 0, 0, 1)}}})
	if _, ok := h.p.workers["w"].runs[runOf("j", 0, 0, 1)]; !ok {
		t.Error("got the listed run removed, want it kept")
	}
	if _, ok := h.p.workers["w"].runs[runOf("j", 0, 1, 1)]; ok {
		t.Error("got the unlisted run kept, want it removed")
	}
}

// A new leader doesn't reuse attempt numbers.
func TestAttemptsAfterTakeover(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.submit("j", stepWithTasks(1))
	h.p.Tick(h.now)
	h.store(h.p.NextBatch()) // stored, but the leader dies before the store's answer
	next := h.successor()
	next.reportPoll("w", 2, PollResult{})
	next.tickAndCommit()
	if got, want := fmt.Sprint(next.sendOrders("w")), fmt.Sprint([]pv.RunRef{runOf("j", 0, 0, 2)}); got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Steps start in order, and a job fails after MaxAttempts failures of a task.
func TestOrderAndAttempts(t *testing.T) {
	h := newHarness(t)
	second := stepWithTasks(1)
	second.After = []int{0}
	h.reportPoll("w", 1, PollResult{})
	h.submit("j", stepWithTasks(1), second)
	h.tickAndCommit()
	for attempt := 1; attempt <= testQueue.MaxAttempts; attempt++ {
		if got, want := fmt.Sprint(h.sendOrders("w")), fmt.Sprint([]pv.RunRef{runOf("j", 0, 0, attempt)}); got != want {
			t.Fatalf("attempt %d: got %v, want %v", attempt, got, want)
		}
		h.reportPoll("w", 1, PollResult{EndsAbove: int64(attempt - 1), Ended: []pv.RunEnd{{Sequence: int64(attempt), Run: runOf("j", 0, 0, attempt), Kind: pv.EndFailed}}})
		h.tickAndCommit()
	}
	if state, _ := h.p.State("j"); state != pv.JobFailed {
		t.Errorf("got %s, want %s", state, pv.JobFailed)
	}
	if got := h.sendOrders("w"); len(got) != 0 {
		t.Errorf("got %v after the job failed, want none", got)
	}
}

// Runs that are being stopped keep their capacity until their end is reported.
func TestCapacityWhileStopping(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.submit("a", stepWithTasks(8))
	h.tickAndCommit()
	h.sendOrders("w")
	h.p.Cancel(h.now, "a")
	h.submit("b", stepWithTasks(8))
	h.tickAndCommit()
	if got := h.sendOrders("w"); len(got) != 0 {
		t.Errorf("got starts %v while the capacity is still reserved, want none", got)
	}
}

// A draining worker gets no new runs.
func TestDrainingWorker(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	state := h.workerState("w", 1)
	state.Draining = true
	h.p.Report(h.now, Report{Worker: state})
	h.submit("j", stepWithTasks(1))
	h.tickAndCommit()
	if got := h.sendOrders("w"); len(got) != 0 {
		t.Errorf("got %v, want none", got)
	}
}

// The runs of a worker with a lapsed lease are ended, and its supervisor gets stops for
// them with the next lease renewal.
func TestLapsedLease(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.submit("j", stepWithTasks(1))
	h.tickAndCommit()
	h.sendOrders("w")
	h.advance(9 * time.Second) // the lease lapses without a renewal, as when the store is lost
	h.clocks["w"] += 9 * time.Second
	h.reportPoll("w", 1, PollResult{})
	h.advance(0)
	if n := len(h.p.workers["w"].runs); n != 0 {
		t.Errorf("got %d runs on a worker without a lease, want none", n)
	}
	o, _ := h.p.Orders(h.now, "w", allPermissions)
	if got, want := fmt.Sprint(o.Stops), fmt.Sprint([]pv.RunRef{runOf("j", 0, 0, 1)}); got != want {
		t.Errorf("got stops %v with the lease renewal, want %v", got, want)
	}
}

// Only the first order to start a run is marked FirstSend: a repeated one may have
// been carried out for a former leader, so the supervisor must not report its run as absent
// when it can't send the start.
func TestFirstSend(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.sendOrders("w") // full orders of a new connection
	h.submit("j", stepWithTasks(1))
	h.tickAndCommit()
	first, _ := h.p.Orders(h.now, "w", allPermissions)
	next := h.successor()
	next.p.Connect(next.now, "w")
	next.reportPoll("w", 1, PollResult{})
	again, _ := next.p.Orders(next.now, "w", allPermissions)
	if len(first.Starts) != 1 || len(again.Starts) != 1 {
		t.Fatalf("got %d and %d starts, want one each", len(first.Starts), len(again.Starts))
	}
	if !first.Starts[0].FirstSend {
		t.Error("got FirstSend false in the first order, want true")
	}
	if again.Starts[0].FirstSend {
		t.Error("got FirstSend true in a repeated order, want false")
	}
}

// Without the permission to start runs, starts are kept for later and leases are
// still renewed.
func TestWithheldStarts(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.sendOrders("w")
	h.submit("j", stepWithTasks(1))
	h.tickAndCommit()
	h.now = h.now.Add(time.Second)
	o, ok := h.p.Orders(h.now, "w", Permissions{RenewLease: true})
	if !ok || len(o.Starts) != 0 || o.Lease.End == 0 {
		t.Errorf("got %d starts and the lease until %v, want none and a renewed lease", len(o.Starts), o.Lease.End)
	}
	if got := h.sendOrders("w"); len(got) != 1 {
		t.Errorf("got %v, want the start that waited", got)
	}
	h.p.Connect(h.now, "w")
	if _, ok := h.p.Orders(h.now, "w", Permissions{RenewLease: true}); ok {
		t.Error("got full orders without the permission to start runs, want none")
	}
}

// After a worker's deregistration, a new leader restarts its tasks elsewhere at
// once, without OrphanTimeout.
func TestDeregisteredWorker(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.submit("j", stepWithTasks(1))
	h.tickAndCommit()
	h.sendOrders("w")
	next := h.successor()
	next.p.Report(next.now, Report{Worker: next.workerState("w", 1), Deregistered: true})
	for range 8 {
		next.reportPoll("v", 1, PollResult{})
		next.sendOrders("v")
		next.advance(100 * time.Millisecond)
	}
	if got := len(next.p.workers["v"].runs); got != 1 {
		t.Errorf("got %d runs on the other worker, want 1", got)
	}
}

// When not all jobs can finish in time, they are ordered by remaining work per gain:
// a small job before a large one that was submitted earlier, and a nearly finished
// job before both.
func TestOrderByRemainingWork(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.sendOrders("w")
	started, large, small := stepWithTasks(9), stepWithTasks(24), stepWithTasks(4)
	for _, s := range []*pv.Step{&started, &large, &small} {
		s.Size.MilliCores = 4000
	}
	h.submit("c", started)
	for n := 1; n <= 8; n += 2 {
		h.advance(100 * time.Millisecond)
		var ends []pv.RunEnd
		for i, r := range h.sendOrders("w") {
			ends = append(ends, pv.RunEnd{Sequence: int64(n + i), Run: r, Kind: pv.EndSucceeded})
		}
		if n == 7 {
			h.submit("a", large)
			h.submit("b", small)
		}
		h.reportPoll("w", 1, PollResult{Ended: ends, EndsAbove: int64(n - 1)})
	}
	h.tickAndCommit()
	got := h.sendOrders("w")
	want := []pv.RunRef{runOf("c", 0, 8, 1), runOf("b", 0, 0, 1)}
	if !slices.Equal(got, want) {
		t.Errorf("got starts %v, want %v", got, want)
	}
}

// A worker that answers at the address of an earlier worker proves that the earlier
// one is gone: its tasks restart at once, even under a new leader that has the earlier
// worker only from the store's records.
func TestWorkerReplacedAtItsAddress(t *testing.T) {
	old, next := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
	for name, c := range map[string]struct {
		address     netip.AddrPort
		incarnation int64
		successor   bool
		want        int
	}{
		"same address":                      {address: old, incarnation: 2, want: 1},
		"same address, new leader":          {address: old, incarnation: 2, successor: true, want: 1},
		"other address":                     {address: next, incarnation: 2, want: 0},
		"same address, earlier incarnation": {address: old, incarnation: 0, want: 0},
		"no address, new leader":            {incarnation: 2, successor: true, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.address = old
			h.reportPoll("w", 1, PollResult{})
			h.sendOrders("w")
			h.submit("j", stepWithTasks(1))
			h.tickAndCommit()
			h.sendOrders("w")
			if c.successor {
				h = h.successor()
			}
			h.address = c.address
			for range 3 {
				h.reportPoll("v", c.incarnation, PollResult{})
				h.sendOrders("v")
				h.advance(100 * time.Millisecond)
			}
			if got := len(h.p.workers["v"].runs); got != c.want {
				t.Errorf("got %d runs on the new worker, want %d", got, c.want)
			}
		})
	}
}

// A deregistration stored in the directory frees the worker's tasks under a leader
// that can reach neither the worker nor its supervisor. It doesn't apply to a later
// incarnation of the worker.
func TestStoredDeregistration(t *testing.T) {
	for name, c := range map[string]struct {
		incarnation int64
		want        int
	}{"that incarnation": {1, 1}, "the incarnation before": {0, 0}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.reportPoll("w", 1, PollResult{})
			h.sendOrders("w")
			h.submit("j", stepWithTasks(1))
			h.tickAndCommit()
			h.sendOrders("w")
			next := h.successor()
			next.p.Deregister(next.now, pv.Deregistration{Worker: "w", Incarnation: c.incarnation})
			for range 8 {
				next.reportPoll("v", 1, PollResult{})
				next.sendOrders("v")
				next.advance(100 * time.Millisecond)
			}
			if got := len(next.p.workers["v"].runs); got != c.want {
				t.Errorf("got %d runs on the other worker, want %d", got, c.want)
			}
		})
	}
}

// A deregistration of a former incarnation has no effect on the current one.
func TestDeregistrationOfFormerIncarnation(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 2, PollResult{})
	h.sendOrders("w")
	h.p.Deregister(h.now, pv.Deregistration{Worker: "w", Incarnation: 1})
	h.submit("j", stepWithTasks(1))
	h.tickAndCommit()
	if got := len(h.p.workers["w"].runs); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}

// A supervisor reports the deregistrations of its former workers to each new leader. One of a
// worker that had meanwhile started again, under the same id and beside another supervisor,
// ended the runs of its present incarnation.
func TestReportedDeregistrationOfFormerIncarnation(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 2, PollResult{})
	h.sendOrders("w")
	h.submit("j", stepWithTasks(1))
	h.tickAndCommit()
	h.sendOrders("w")
	next := h.successor()
	next.p.Report(next.now, Report{Worker: next.workerState("w", 1), Deregistered: true})
	next.advance(time.Second)
	if got := len(next.p.workers["w"].runs); got != 1 {
		t.Errorf("got %d runs on the worker, want 1", got)
	}
}

// The end of a stopped run names why it was stopped, for logs and metrics.
func TestReasonOfStoppedRun(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.submit("j", stepWithTasks(2))
	h.tickAndCommit()
	h.sendOrders("w")
	h.reportPoll("w", 1, PollResult{Running: []pv.RunStatus{{Run: runOf("j", 0, 0, 1)}}, Ended: []pv.RunEnd{{Sequence: 1, Run: runOf("j", 0, 1, 1), Kind: pv.EndStopped}}})
	h.p.Cancel(h.now, "j")
	h.tickAndCommit()
	h.reportPoll("w", 1, PollResult{EndsAbove: 1, Ended: []pv.RunEnd{{Sequence: 2, Run: runOf("j", 0, 0, 1), Kind: pv.EndStopped}}})
	var got []string
	for _, e := range h.p.Events() {
		if e.Kind == "run stopped" {
			got = append(got, e.Reason)
		}
	}
	if want := []string{"supervisorStopped", "cancelledByCaller"}; !slices.Equal(got, want) {
		t.Errorf("got reasons %v, want %v", got, want)
	}
}

// A job whose cancellation was accepted while its submission, without an answer, was
// still under way doesn't start when the submission takes effect.
func TestCancellationBeforeLateSubmission(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.sendOrders("w")
	h.p.CancelAhead(h.now, "j")
	h.advance(6 * time.Second) // the longest time after which the store carries an append out
	h.reportPoll("w", 1, PollResult{})
	h.sendOrders("w")
	h.submit("j", stepWithTasks(2))
	h.tickAndCommit()
	if got := h.sendOrders("w"); len(got) != 0 {
		t.Errorf("got starts %v, want none", got)
	}
	if state, ok := h.p.State("j"); !ok || state != pv.JobCancelled {
		t.Errorf("got state %q, want %s", state, pv.JobCancelled)
	}
}

// A worker that had stopped answering was given runs until its last poll was 2 s old. Its
// supervisor reported each as absent, so that they used up dozens of attempts.
func TestNoRunsForWorkerThatStoppedAnswering(t *testing.T) {
	reports := map[string]Report{
		"unanswered poll": {Unanswered: true},
		"absent run":      {Absent: []pv.RunRef{runOf("first", 0, 0, 1)}},
	}
	for name, report := range reports {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.reportPoll("w", 1, PollResult{})
			h.submit("first", stepWithTasks(1))
			h.tickAndCommit()
			if got := len(h.sendOrders("w")); got != 1 {
				t.Fatalf("got %d starts on an answering worker, want 1", got)
			}
			report.Worker, report.FencingToken = h.workerState("w", 1), h.p.worker(h.now, "w").fencingToken
			h.p.Report(h.now, report)
			h.submit("second", stepWithTasks(1))
			h.advance(100 * time.Millisecond)
			if got := h.sendOrders("w"); len(got) != 0 {
				t.Errorf("got starts %v on a worker that stopped answering, want none", got)
			}
			h.reportPoll("w", 1, PollResult{})
			h.advance(100 * time.Millisecond)
			if got := h.sendOrders("w"); len(got) == 0 {
				t.Error("got no start once the worker answers again, want some")
			}
		})
	}
}

// The memory of jobs is counted until they are removed.
func TestMemoryOfJobs(t *testing.T) {
	p, now := New(DefaultSettings(), 1), time.Now()
	spec := pv.Job{ID: "j", Steps: []pv.Step{{Count: 3}}}
	raw := []byte(`{}`)
	p.Submit(now, spec, raw, pv.Queue{})
	p.Submit(now, spec, raw, pv.Queue{}) // a repeat
	if got, want := p.JobBytes(), spec.MemoryBytes(len(raw)); got != want {
		t.Errorf("got %d bytes of jobs, want %d", got, want)
	}
	p.Cancel(now, spec.ID)
	p.expire(now.Add(p.settings.EndedRetention + time.Second))
	if got := p.JobBytes(); got != 0 {
		t.Errorf("got %d bytes of jobs after their removal, want 0", got)
	}
}
