package standin

import (
	"errors"
	"testing"
	"time"

	pv "persimmonvalve"
)

func newLeasedWorker(t *testing.T, now time.Time) *WorkerCore {
	t.Helper()
	w := NewWorkerCore(pv.WorkerInfo{ID: "w", Capacity: pv.Resources{MilliCores: 4000, Slots: 4}}, DeclaredTruth{}, now)
	request := pv.LeaseRequest{Lease: pv.LeaseID{Cell: "c", Term: 1}, LeaseEnd: 10 * time.Second}
	report, err := w.Lease(now, request)
	if err != nil {
		t.Fatal(err)
	}
	command := pv.StartCommand{Lease: request.Lease, Incarnation: report.Incarnation, Attempt: pv.AttemptID{Task: "t", Attempt: 1},
		Spec: pv.TaskSpec{ID: "t", Size: pv.Resources{MilliCores: 1000}}}
	if err := w.Start(now, command); err != nil {
		t.Fatal(err)
	}
	return w
}

// A worker stops its runs when its lease lapses, and refuses the lapsed lease id
// and lower ones from then on.
func TestLeaseLapse(t *testing.T) {
	now := time.Unix(1000, 0)
	w := newLeasedWorker(t, now)
	afterLease := now.Add(11 * time.Second)
	if got := w.Running(afterLease); len(got) != 0 {
		t.Errorf("runs after the lease has lapsed: got %v, want none", got)
	}
	for _, id := range []pv.LeaseID{{Cell: "c", Term: 1}, {Cell: "c", Term: 0, Epoch: 9}} {
		if _, err := w.Lease(afterLease, pv.LeaseRequest{Lease: id, LeaseEnd: time.Minute}); !errors.Is(err, pv.ErrRefused) {
			t.Errorf("lease %v after the lapse: got %v, want ErrRefused", id, err)
		}
	}
}

// A report repeats the measured use until the measurement interval has passed.
func TestMeasurementInterval(t *testing.T) {
	now := time.Unix(1000, 0)
	w := newLeasedWorker(t, now)
	w.MeasurementInterval = 5 * time.Second
	w.Advance(now.Add(time.Second))
	measured := w.Report(now.Add(time.Second)).Runs[0].Used
	w.runs[pv.AttemptID{Task: "t", Attempt: 1}].speedFraction = 0.5
	if got := w.Report(now.Add(3 * time.Second)).Runs[0].Used; got != measured {
		t.Errorf("within the measurement interval: got %v, want the earlier %v", got, measured)
	}
	if got, want := w.Report(now.Add(7 * time.Second)).Runs[0].Used.MilliCores, int64(500); got != want {
		t.Errorf("millicores after the measurement interval: got %d, want %d", got, want)
	}
}
