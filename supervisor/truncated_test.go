package supervisor

import (
	"slices"
	"testing"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/internal/pipenet"
)

// A worker lists a limited number of ends at a time. A run that was in neither of its lists
// counted as vanished, or as absent after a stop, while its end waited behind the listed
// ones: a task that was done ran again.
func TestRunBehindTruncatedEnds(t *testing.T) {
	done, stopped := pv.RunRef{Task: pv.TaskRef{Job: "done"}, Attempt: 1}, pv.RunRef{Task: pv.TaskRef{Job: "stopped"}, Attempt: 1}
	pipenet.Bubble(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		set := func(runs pv.WorkerRuns) {
			h.worker.mu.Lock()
			defer h.worker.mu.Unlock()
			runs.Incarnation = 1
			h.worker.runs = runs
		}
		set(pv.WorkerRuns{Running: []pv.RunStatus{{Run: done}, {Run: stopped}}})
		h.sendOrders(10, 1, 5000, 0, true, done, stopped)
		time.Sleep(time.Second)
		other := pv.RunEnd{Sequence: 1, Run: pv.RunRef{Task: pv.TaskRef{Job: "other"}, Attempt: 1}, Kind: pv.EndSucceeded}
		set(pv.WorkerRuns{Ended: []pv.RunEnd{other}, EndsTruncated: true})
		h.sendOrders(10, 1, 5000, 0, true, done) // without the other run, which is stopped
		time.Sleep(5 * time.Second)
		if got := h.absentRuns(); len(got) != 0 {
			t.Errorf("got %v reported absent while the worker's ends are truncated, want none", got)
		}
		h.mu.Lock()
		last := h.reports[len(h.reports)-1]
		h.mu.Unlock()
		if !last.Runs.EndsTruncated {
			t.Error("got a report that doesn't state that ends are truncated, want one that does")
		}
		set(pv.WorkerRuns{Ended: []pv.RunEnd{{Sequence: 2, Run: done, Kind: pv.EndSucceeded}}})
		time.Sleep(2 * time.Second)
		if got, want := h.absentRuns(), []pv.RunRef{stopped}; !slices.Equal(got, want) {
			t.Errorf("got %v reported absent once all ends are listed, want %v", got, want)
		}
	})
}
