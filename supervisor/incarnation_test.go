package supervisor

// This file defines tests of messages of a former incarnation of the worker that arrive
// during the present one.

import (
	"testing"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/internal/pipenet"
)

// heartbeat is a heartbeat of the worker "w".
func heartbeat(incarnation, sequence int64, draining bool) pv.WorkerState {
	return pv.WorkerState{ID: "w", Service: "s", Incarnation: incarnation, Sequence: sequence, Draining: draining, Capacity: pv.Resources{MilliCores: 1000}}
}

// lastReport returns what the supervisor has reported last about the worker.
func (h *harness) lastReport() (state pv.WorkerState, deregistered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := h.reports[len(h.reports)-1]
	return last.Worker, last.Deregistered
}

// A deregistration that was delayed until the worker had started again under its id ended
// the runs of the new incarnation, which went on, and kept it from getting others.
func TestLateDeregistrationOfFormerIncarnation(t *testing.T) {
	for name, c := range map[string]struct {
		named    int64 // incarnation in the deregistration
		draining bool  // the present incarnation drains
		want     bool
	}{
		"former incarnation":             {named: 1},
		"former, the present one drains": {named: 1, draining: true},
		"later than the present one":     {named: 3, draining: true},
		"present incarnation":            {named: 2, want: true},
		"not named":                      {},
		"not named, the present drains":  {draining: true, want: true},
		"present incarnation, it drains": {named: 2, draining: true, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				h.supervisor.Heartbeat(heartbeat(1, 2, true))
				h.supervisor.Heartbeat(heartbeat(2, 1, c.draining))
				time.Sleep(50 * time.Millisecond)
				h.supervisor.Deregister(pv.Deregistration{Worker: "w", Incarnation: c.named})
				time.Sleep(50 * time.Millisecond)
				if state, got := h.lastReport(); got != c.want || state.Incarnation != 2 {
					t.Errorf("got deregistered %v of incarnation %d, want %v of 2", got, state.Incarnation, c.want)
				}
				if got := len(h.supervisor.Deregistrations()) > 0; got != c.want {
					t.Errorf("got a deregistration for the directory %v, want %v", got, c.want)
				}
			})
		})
	}
}

// A restart that a poll showed first left the new incarnation with what the former one had
// said: that it drains or has deregistered, and a heartbeat number above those of the new one.
func TestPollShowsNewIncarnation(t *testing.T) {
	for name, deregister := range map[string]bool{"former one drained": false, "former one deregistered during the poll": true} {
		t.Run(name, func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				h.sendOrders(10, 1, 5000, 0, true)
				h.supervisor.Heartbeat(heartbeat(1, 50, true))
				time.Sleep(time.Second)
				h.worker.mu.Lock()
				h.worker.runs.Incarnation = 2
				h.worker.mu.Unlock()
				if deregister {
					h.supervisor.Deregister(pv.Deregistration{Worker: "w", Incarnation: 1})
				}
				time.Sleep(time.Second)
				if state, deregistered := h.lastReport(); state.Incarnation != 2 || state.Draining || deregistered {
					t.Errorf("got incarnation %d, draining %v, deregistered %v, want 2, neither", state.Incarnation, state.Draining, deregistered)
				}
				h.supervisor.Heartbeat(heartbeat(2, 1, false))
				time.Sleep(50 * time.Millisecond)
				if state, _ := h.lastReport(); state.Capacity.MilliCores != 1000 {
					t.Errorf("got a capacity of %d after the first heartbeat, want 1000", state.Capacity.MilliCores)
				}
			})
		})
	}
}
