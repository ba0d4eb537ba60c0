package standin

import (
	"errors"
	"testing"
	"time"

	pv "persimmonvalve"
)

func leased(t *testing.T, now time.Time) *WorkerCore {
	t.Helper()
	w := NewWorkerCore(pv.WorkerInfo{ID: "w", Capacity: pv.Resources{MilliCores: 4000, Slots: 4}}, Declared{}, now)
	lease := pv.LeaseRequest{Lease: pv.LeaseID{Cell: "c", Term: 1}, Until: 10 * time.Second}
	report, err := w.Lease(now, lease)
	if err != nil {
		t.Fatal(err)
	}
	start := pv.StartCommand{Lease: lease.Lease, Incarnation: report.Incarnation, Attempt: pv.AttemptID{Task: "t", Attempt: 1},
		Spec: pv.TaskSpec{ID: "t", Size: pv.Resources{MilliCores: 1000}}}
	if err := w.Start(now, start); err != nil {
		t.Fatal(err)
	}
	return w
}

// What the design assumes of a worker: it stops with its lease, and neither the
// lapsed lease nor a lower one is taken again.
func TestLapse(t *testing.T) {
	now := time.Unix(1000, 0)
	w := leased(t, now)
	late := now.Add(11 * time.Second)
	if got := w.Running(late); len(got) != 0 {
		t.Errorf("running after the lease: got %v, want none", got)
	}
	for _, id := range []pv.LeaseID{{Cell: "c", Term: 1}, {Cell: "c", Term: 0, Epoch: 9}} {
		if _, err := w.Lease(late, pv.LeaseRequest{Lease: id, Until: time.Minute}); !errors.Is(err, pv.ErrRefused) {
			t.Errorf("lease %v: got %v, want refused", id, err)
		}
	}
}

// Use is reported with a lag.
func TestLag(t *testing.T) {
	now := time.Unix(1000, 0)
	w := leased(t, now)
	w.Lag = 5 * time.Second
	w.Advance(now.Add(time.Second))
	first := w.Report(now.Add(time.Second)).Runs[0].Used
	w.runs[pv.AttemptID{Task: "t", Attempt: 1}].throttle = 0.5
	if got := w.Report(now.Add(3 * time.Second)).Runs[0].Used; got != first {
		t.Errorf("within the lag: got %v, want %v as before", got, first)
	}
	if got, want := w.Report(now.Add(7 * time.Second)).Runs[0].Used.MilliCores, int64(500); got != want {
		t.Errorf("after the lag: got %d, want %d", got, want)
	}
}
