package planner

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	pv "persimmonvalve"
)

// newBusyPlanner returns a planner with workers, a serving job and filler jobs, none of
// them placed yet.
func newBusyPlanner(t testing.TB, workers, jobs, fillersPerJob int) (*Planner, time.Time) {
	t.Helper()
	now := time.Unix(1_800_000_000, 0)
	p := New(DefaultSettings(), 1)
	for i := range workers {
		s := pv.WorkerState{ID: pv.WorkerID(fmt.Sprintf("w%03d", i)), Service: "s", Incarnation: 1, Capacity: pv.Resources{MilliCores: 32000, MemoryMB: 128000}}
		p.Report(now, Report{Worker: s})
		p.Report(now, Report{Worker: s, FencingToken: p.worker(now, s.ID).fencingToken, Poll: &PollResult{Clock: time.Second}})
		p.Orders(now, s.ID, allPermissions)
	}
	submit := func(id string, step pv.Step) {
		job := pv.Job{ID: pv.JobID(id), Steps: []pv.Step{step}}
		raw, err := json.Marshal(job)
		if err != nil {
			t.Fatal(err)
		}
		p.Submit(now, job, raw, testQueue)
	}
	submit("serving", pv.Step{Count: 4 * workers, Size: pv.Resources{MilliCores: 6000, MemoryMB: 100}, Standing: true, Image: "s", LatencyTarget: 100 * time.Millisecond})
	for i := range jobs {
		submit(fmt.Sprintf("j%03d", i), pv.Step{Count: fillersPerJob, Size: pv.Resources{MilliCores: 3500, MemoryMB: 6400}, Filler: true, Image: fmt.Sprint("f", i%9), Estimate: 2 * time.Second})
	}
	return p, now
}

// BenchmarkPlace measures one placement pass over the waiting tasks of a large site.
func BenchmarkPlace(b *testing.B) {
	p, now := newBusyPlanner(b, 70, 80, 40)
	p.place(now) // place what fits; the rest waits during the measured passes
	p.place(now.Add(maxFillerWait))
	b.ReportAllocs()
	for b.Loop() {
		p.place(now.Add(maxFillerWait))
	}
}
