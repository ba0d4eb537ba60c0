package supervisor

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/internal/pipenet"
)

// One heartbeat of another writer, which names another worker with a later start, replaced
// the worker beside the supervisor for good: the worker's own heartbeats looked late, its
// runs were forgotten, and the leader was told of a worker that doesn't exist. The worker
// goes on answering polls and sending heartbeats, so that the supervisor can tell.
func TestHeartbeatOfAnotherWriter(t *testing.T) {
	for name, odd := range map[string]pv.WorkerState{
		"another id":      {ID: "odd", Service: "s", Incarnation: 5, Sequence: 1, Capacity: pv.Resources{MilliCores: 1000}},
		"unknown service": {ID: "odd", Service: "none", Incarnation: 5, Sequence: 1, Capacity: pv.Resources{MilliCores: 1000}},
		"later start":     {ID: "w", Service: "s", Incarnation: 5, Sequence: 1, Capacity: pv.Resources{MilliCores: 1000}},
	} {
		t.Run(name, func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				h.sendOrders(10, 1, 5000, 0, true)
				time.Sleep(time.Second)
				h.supervisor.Heartbeat(odd)
				for i := range 40 {
					h.supervisor.Heartbeat(pv.WorkerState{ID: "w", Service: "s", Incarnation: 1, Sequence: int64(i + 2), Capacity: pv.Resources{MilliCores: 1000}})
					time.Sleep(250 * time.Millisecond)
				}
				h.mu.Lock()
				defer h.mu.Unlock()
				if last := h.reports[len(h.reports)-1]; last.Worker.ID != "w" || last.Worker.Incarnation != 1 || last.Worker.Service != "s" {
					t.Errorf("got a last report on %s %s of %d, want the worker that sends heartbeats", last.Worker.ID, last.Worker.Service, last.Worker.Incarnation)
				}
			})
		})
	}
}

// A worker whose number in one heartbeat was too high is followed again: its later
// heartbeats say that it drains.
func TestHeartbeatWithOddNumber(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		h.sendOrders(10, 1, 5000, 0, true)
		h.supervisor.Heartbeat(pv.WorkerState{ID: "w", Service: "s", Incarnation: 1, Sequence: 1 << 40, Capacity: pv.Resources{MilliCores: 1000}})
		for i := range 40 {
			h.supervisor.Heartbeat(pv.WorkerState{ID: "w", Service: "s", Incarnation: 1, Sequence: int64(i + 2), Draining: true, Capacity: pv.Resources{MilliCores: 1000}})
			time.Sleep(250 * time.Millisecond)
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		if last := h.reports[len(h.reports)-1]; !last.Worker.Draining {
			t.Error("got a worker that doesn't drain after forty heartbeats that say so, want a draining one")
		}
	})
}

// Heartbeats that wait for the event loop are requests in progress, whose number and size the
// server bounds. Queued beside it, a thousand of the largest took all memory of a process.
func TestHeartbeatsWaitForTheirHandling(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		release := make(chan struct{})
		h.supervisor.eventLoop.Post(func() { <-release })
		var mu sync.Mutex
		handled := 0
		for _, call := range []func(){
			func() { h.supervisor.Heartbeat(heartbeat(1, 1, false)) },
			func() { h.supervisor.Deregister(pv.Deregistration{Worker: "w", Incarnation: 1}) },
		} {
			go func() {
				call()
				mu.Lock()
				defer mu.Unlock()
				handled++
			}()
		}
		synctest.Wait()
		mu.Lock()
		if handled != 0 {
			t.Errorf("got %d messages acknowledged before they were handled, want 0", handled)
		}
		mu.Unlock()
		close(release)
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		if handled != 2 {
			t.Errorf("got %d messages acknowledged, want 2", handled)
		}
	})
}
