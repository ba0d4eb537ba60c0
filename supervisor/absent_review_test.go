package supervisor

import (
	"testing"
	"time"

	"persimmonvalve/internal/pipenet"
)

// A run that was reported as absent before its start is started when full orders, sent
// before the leader received the report, list it again: the leader has started its task
// elsewhere, or ended its job, and never stops it.
func TestAbsentRunIsNotStartedUnderSameToken(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		h.sendOrders(10, 1, 90_000, 0, true)
		time.Sleep(time.Second)
		h.worker.mu.Lock()
		h.worker.down = true
		h.worker.mu.Unlock()
		time.Sleep(3 * time.Second)
		h.sendOrders(10, 1, 90_000, 0, false, testRun)
		if got := len(h.absentRuns()); got != 1 {
			t.Fatalf("got %d runs reported absent, want 1", got)
		}
		h.worker.mu.Lock()
		h.worker.down = false
		h.worker.mu.Unlock()
		for range 30 {
			h.sendOrders(10, 1, 90_000, 0, true, testRun)
			time.Sleep(50 * time.Millisecond)
		}
		h.worker.mu.Lock()
		defer h.worker.mu.Unlock()
		if len(h.worker.starts) != 0 {
			t.Errorf("got starts %v after the run was reported absent, want none", h.worker.starts)
		}
	})
}
