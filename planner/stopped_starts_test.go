package planner

import (
	"slices"
	"testing"
	"time"

	pv "persimmonvalve"
)

// A run that has been stopped or has ended while its start waited, for the store or for the
// permission to start runs, was started. Each wait has a check of its own, which the others
// don't replace.
func TestNoStartOfRunStoppedMeanwhile(t *testing.T) {
	first := runOf("j", 0, 0, 1)
	cancel := func(h *harness) { h.p.Cancel(h.now, "j") }
	withheld := func(h *harness) { h.p.Orders(h.now, "w", Permissions{RenewLease: true}) }
	for _, c := range []struct {
		name      string
		stored    func(h *harness) // while the start's batch is being stored
		held      func(h *harness) // after it is stored, before the orders
		wantQueue int              // starts that wait once the batch is stored
		wantStop  bool             // in the orders
	}{
		{name: "cancelled while its batch is being stored", stored: cancel, wantQueue: 0},
		{name: "cancelled while the start is withheld", held: func(h *harness) { withheld(h); cancel(h) }, wantQueue: 1},
		{name: "cancelled before full orders", held: func(h *harness) { cancel(h); h.p.Connect(h.now, "w") }, wantQueue: 1, wantStop: true},
		{name: "of a former incarnation", stored: func(h *harness) {
			h.p.Report(h.now, Report{Worker: h.workerState("w", 2)})
			h.sendOrders("w") // full orders of the new incarnation
		}, wantQueue: 1},
		{name: "lapsed while the start is withheld", held: func(h *harness) {
			withheld(h)
			h.advance(9 * time.Second)
		}, wantQueue: 1, wantStop: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.reportPoll("w", 1, PollResult{})
			h.sendOrders("w")
			h.submit("j", stepWithTasks(1))
			h.p.Tick(h.now)
			batch := h.p.NextBatch()
			if c.stored != nil {
				c.stored(h)
			}
			h.p.Committed(batch)
			if got := len(h.p.workers["w"].unsentStarts); got != c.wantQueue {
				t.Errorf("got %d starts that wait, want %d", got, c.wantQueue)
			}
			if c.held != nil {
				c.held(h)
			}
			o, _ := h.p.Orders(h.now, "w", allPermissions)
			for _, s := range o.Starts {
				if s.Run == first {
					t.Errorf("got a start of %v, want none", first)
				}
			}
			if got := slices.Contains(o.Stops, first); got != c.wantStop {
				t.Errorf("got a stop of %v %t, want %t", first, got, c.wantStop)
			}
		})
	}
}

// A run that the worker's supervisor can't have received yet isn't in full orders: the order
// to start it is sent once its record is stored, and not twice.
func TestFullOrdersWithoutUnstoredRuns(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.sendOrders("w")
	h.submit("j", stepWithTasks(1))
	h.p.Tick(h.now)
	batch := h.p.NextBatch()
	h.p.Connect(h.now, "w")
	if got := h.sendOrders("w"); len(got) != 0 {
		t.Errorf("got starts %v in full orders before their batch is stored, want none", got)
	}
	h.p.Committed(batch)
	if got, want := h.sendOrders("w"), []pv.RunRef{runOf("j", 0, 0, 1)}; !slices.Equal(got, want) {
		t.Errorf("got starts %v, want %v", got, want)
	}
}
