package planner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	pv "persimmonvalve"
)

// newZonedHarness returns a harness with worker a in zone z1 and worker b in zone z2, which
// have answered a poll and received their orders.
func newZonedHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.zones = map[pv.WorkerID]string{"a": "z1", "b": "z2"}
	for _, id := range []string{"a", "b"} {
		h.reportPoll(id, 1, PollResult{})
		h.sendOrders(id)
	}
	return h
}

func (h *harness) evacuate(zones ...string) []EvacuationChange {
	return h.p.SetEvacuations(h.now, pv.Evacuations{Zones: zones})
}

// runsOn returns the worker's runs that aren't being stopped.
func (h *harness) runsOn(id string) []string {
	var out []string
	for ref, r := range h.p.workers[pv.WorkerID(id)].runs {
		if !r.stopping {
			out = append(out, ref.String())
		}
	}
	slices.Sort(out)
	return out
}

// Work keeps coming while a zone is evacuated: all of it goes to the other zone, and what has
// started in the zone continues there.
func TestSteadyLoadBesideEvacuation(t *testing.T) {
	h := newZonedHarness(t)
	h.submit("j", stepWithTasks(4))
	h.tickAndCommit()
	for _, id := range []string{"a", "b"} {
		started := []pv.RunStatus{}
		for _, r := range h.sendOrders(id) {
			started = append(started, pv.RunStatus{Run: r})
		}
		h.reportPoll(id, 1, PollResult{Running: started})
	}
	before := h.runsOn("a")
	if len(before) == 0 {
		t.Fatal("got no runs in the zone before the evacuation, want some")
	}
	if got := h.evacuate("z1"); len(got) != 1 || got[0].RunsLeft != len(before) || got[0].RunsWithdrawn != 0 || got[0].Workers != 1 {
		t.Errorf("got changes %+v, want %d runs left there", got, len(before))
	}
	h.submit("k", stepWithTasks(3))
	for range 5 {
		h.tickAndCommit()
		if o, ok := h.p.Orders(h.now, "a", allPermissions); ok && (len(o.Starts) > 0 || len(o.Stops) > 0 || !o.StartsWithheld) {
			t.Errorf("got orders %+v for the evacuated zone, want starts withheld and no stops", o)
		}
		h.now = h.now.Add(leaseRenewalInterval)
	}
	if got := h.runsOn("a"); !slices.Equal(got, before) {
		t.Errorf("got runs %v in the zone, want %v", got, before)
	}
	if h.evacuate(); len(h.p.evacuated) != 0 {
		t.Errorf("got evacuated zones %v, want none", h.p.evacuated)
	}
	h.reportPoll("a", 1, PollResult{})
	h.sendOrders("a")
	h.submit("l", stepWithTasks(12))
	h.tickAndCommit()
	if got := h.sendOrders("a"); len(got) == 0 {
		t.Error("got no start after the zone was taken back, want some")
	}
}

// Starts that were assigned but not carried out when the zone is evacuated are withdrawn. They
// start elsewhere once they are known not to run.
func TestAssignedRunsAreWithdrawn(t *testing.T) {
	h := newZonedHarness(t)
	h.submit("j", stepWithTasks(16))
	h.p.Tick(h.now)
	inFlight := h.p.NextBatch() // the store has these runs, but their orders aren't sent yet
	assigned := len(h.runsOn("a"))
	changes := h.evacuate("z1")
	if len(changes) != 1 || changes[0].RunsWithdrawn != assigned || assigned == 0 {
		t.Fatalf("got changes %+v, want %d runs withdrawn", changes, assigned)
	}
	h.store(inFlight)
	h.p.Committed(inFlight)
	h.tickAndCommit()
	o, _ := h.p.Orders(h.now, "a", allPermissions)
	if len(o.Starts) != 0 || len(o.Stops) != assigned {
		t.Errorf("got %d starts and %d stops, want 0 and %d", len(o.Starts), len(o.Stops), assigned)
	}
	h.reportPoll("b", 1, PollResult{Ended: endsOf(h.sendOrders("b"))})
	h.tickAndCommit()
	if got := h.sendOrders("b"); len(got) != 0 {
		t.Errorf("got starts %v before the withdrawn runs are known to be absent, want none", got)
	}
	h.p.Report(h.now, Report{Worker: h.workerState("a", 1), FencingToken: h.p.worker(h.now, "a").fencingToken, Absent: o.Stops})
	h.tickAndCommit()
	if got := h.sendOrders("b"); len(got) != assigned {
		t.Errorf("got %d starts in the other zone, want %d", len(got), assigned)
	}
}

func endsOf(runs []pv.RunRef) []pv.RunEnd {
	var out []pv.RunEnd
	for i, r := range runs {
		out = append(out, pv.RunEnd{Sequence: int64(i + 1), Run: r, Kind: pv.EndSucceeded})
	}
	return out
}

// A gang of which one member hasn't started in the zone is withdrawn as a whole: the others
// would end alone.
func TestGangAcrossEvacuatedZone(t *testing.T) {
	h := newZonedHarness(t)
	gang := stepWithTasks(2)
	gang.Gang, gang.Size.MilliCores = true, 5000 // one fits on a worker
	h.submit("g", gang)
	h.tickAndCommit()
	onB := h.sendOrders("b")
	if len(onB) != 1 || len(h.sendOrders("a")) != 1 {
		t.Fatalf("got starts %v on b, want one on each worker", onB)
	}
	h.reportPoll("b", 1, PollResult{Running: []pv.RunStatus{{Run: onB[0]}}})
	if got := h.evacuate("z1"); len(got) != 1 || got[0].RunsWithdrawn != 2 {
		t.Errorf("got changes %+v, want 2 runs withdrawn", got)
	}
	h.tickAndCommit()
	if o, _ := h.p.Orders(h.now, "b", allPermissions); !slices.Equal(o.Stops, onB) {
		t.Errorf("got stops %v for the member in the other zone, want %v", o.Stops, onB)
	}
}

// A leader is elected while a zone is evacuated. It doesn't repeat the starts of its
// predecessor in the zone; runs that the workers list continue, the others are withdrawn.
func TestEvacuationAsLeaderChanges(t *testing.T) {
	h := newZonedHarness(t)
	h.submit("j", stepWithTasks(16))
	h.tickAndCommit()
	ordered := h.sendOrders("a")
	if len(ordered) < 2 {
		t.Fatalf("got %d starts in the zone, want 2 or more", len(ordered))
	}
	next := h.successor()
	next.zones = h.zones
	next.evacuate("z1")
	next.p.Connect(next.now, "a")
	next.p.Report(next.now, Report{Worker: next.workerState("a", 1)})
	o, ok := next.p.Orders(next.now, "a", allPermissions)
	if !ok || !o.Full || !o.StartsWithheld || len(o.Starts) != len(ordered) {
		t.Errorf("got orders %+v, want full ones that keep %d runs and withhold starts", o, len(ordered))
	}
	next.reportPoll("a", 1, PollResult{Running: []pv.RunStatus{{Run: ordered[0]}}})
	next.tickAndCommit()
	o, _ = next.p.Orders(next.now, "a", allPermissions)
	if len(o.Stops) != len(ordered)-1 || slices.Contains(o.Stops, ordered[0]) {
		t.Errorf("got stops %v, want those of all runs but %v", o.Stops, ordered[0])
	}
	if got, want := next.runsOn("a"), []string{ordered[0].String()}; !slices.Equal(got, want) {
		t.Errorf("got runs %v in the zone, want %v", got, want)
	}
}

// All zones of a service are evacuated: jobs are accepted and wait, and start when one zone is
// taken back.
func TestLastZoneEvacuated(t *testing.T) {
	h := newZonedHarness(t)
	h.evacuate("z1", "z2")
	standing := stepWithTasks(1)
	standing.Standing = true
	h.submit("standing", standing)
	h.submit("j", stepWithTasks(2))
	for range 10 {
		h.reportPoll("a", 1, PollResult{})
		h.reportPoll("b", 1, PollResult{})
		h.advance(200 * time.Millisecond)
		if got := fmt.Sprint(h.sendOrders("a"), h.sendOrders("b")); got != "[] []" {
			t.Fatalf("got starts %s, want none", got)
		}
	}
	if got, _ := h.p.State("j"); got != pv.JobQueued {
		t.Errorf("got state %s, want %s", got, pv.JobQueued)
	}
	h.evacuate("z1")
	h.advance(time.Millisecond)
	if got := len(h.sendOrders("b")); got != 3 || len(h.sendOrders("a")) != 0 {
		t.Errorf("got %d starts in the zone that was taken back, want 3 and none in the other", got)
	}
}

// A zone is taken back and evacuated again within a second.
func TestEvacuationRepeatedWithinASecond(t *testing.T) {
	h := newZonedHarness(t)
	h.evacuate("z1")
	h.submit("j", stepWithTasks(16))
	h.tickAndCommit()
	h.evacuate()
	h.tickAndCommit()
	assigned := len(h.runsOn("a"))
	if got := h.evacuate("z1"); len(got) != 1 || got[0].RunsWithdrawn != assigned || assigned == 0 {
		t.Errorf("got changes %+v, want %d runs withdrawn", got, assigned)
	}
	h.tickAndCommit()
	if got := h.sendOrders("a"); len(got) != 0 {
		t.Errorf("got starts %v, want none", got)
	}
}

// A zone is taken back while jobs arrive: its workers may be cold, so that the jobs start in the
// other zone while there is room, and there once that is used up or the time is over.
func TestColdZoneTakenBack(t *testing.T) {
	h := newZonedHarness(t)
	h.evacuate("z1")
	h.advance(time.Second)
	h.evacuate()
	h.submit("j", stepWithTasks(6))
	h.tickAndCommit()
	if got := len(h.runsOn("a")); got != 0 {
		t.Errorf("got %d of 6 tasks in the zone that was just taken back, want none", got)
	}
	h.submit("k", stepWithTasks(6))
	h.tickAndCommit()
	if got := len(h.runsOn("a")); got != 4 {
		t.Errorf("got %d tasks in the zone with the other one full, want 4", got)
	}
	h.pollEach("a", "b")
	h.advance(maxColdTime)
	h.pollEach("a", "b")
	h.submit("l", stepWithTasks(2))
	h.tickAndCommit()
	if got := len(h.runsOn("a")); got != 6 {
		t.Errorf("got %d tasks in the zone after %v, want 6", got, maxColdTime)
	}
}

// Without evacuations, and with those of zones without workers, a planner makes the same
// batches and orders as one that was never told of any.
func TestNoEvacuationsChangeNothing(t *testing.T) {
	decisions := func(zones []string) string {
		h := newZonedHarness(t)
		out := ""
		for i := range 5 {
			if zones != nil {
				h.evacuate(zones[:i%(len(zones)+1)]...)
			}
			h.submit(fmt.Sprint("j", i), stepWithTasks(6))
			h.tickAndCommit()
			for _, id := range []string{"a", "b"} {
				o, ok := h.p.Orders(h.now, pv.WorkerID(id), allPermissions)
				out += fmt.Sprintln(id, ok, o.Starts, o.Stops, o.StartsWithheld, o.Lease)
			}
		}
		return out + fmt.Sprint(h.records)
	}
	want := decisions(nil)
	for _, zones := range [][]string{{}, {"unknown", ""}} {
		if got := decisions(zones); got != want {
			t.Errorf("zones %q: got decisions\n%s\nwant\n%s", zones, got, want)
		}
	}
}
