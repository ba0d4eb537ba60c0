package scheduler

import (
	"testing"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/recorder"
)

// A stop waited up to 5 s for the answer to a start of its run, and the worker could
// carry out that start meanwhile.
func TestStopIsSentBesideUnansweredStart(t *testing.T) {
	c := newTestCell(t, 1)
	c.dropped = func(call Call) bool { return call.Start != nil }
	c.run(40 * time.Second) // the first lease
	c.submit("t", time.Hour)
	c.run(500 * time.Millisecond)
	if got := c.core.Counters.StartCalls; got != 1 {
		t.Fatalf("got %d start calls, want 1", got)
	}
	c.write(recorder.Record{Cancel: &recorder.Cancel{Task: "t"}})
	c.run(time.Second)
	if got := c.ledger.Tasks["t"].Outcome; got != pv.OutcomeCancelled {
		t.Errorf("1 s after the cancellation: got outcome %q, want %q", got, pv.OutcomeCancelled)
	}
	if got := len(c.workers[0].Running(c.now)); got != 0 {
		t.Errorf("got %d runs, want 0", got)
	}
	if got := c.core.Counters.StopCalls; got != 1 {
		t.Errorf("got %d stop calls, want 1", got)
	}
}
