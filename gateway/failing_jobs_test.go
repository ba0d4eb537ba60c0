package gateway_test

// This file defines tests of gangs and tasks that fail.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/gateway"
	"persimmonvalve/internal/pipenet"
	"persimmonvalve/standin"
)

// LOST and BUDGET: a gang or task that fails each time gets just as many attempts as its queue allows,
// although the ends of one attempt come one after the other, from several workers, to several
// leaders.
func TestFailingJobsHaveTheirAttempts(t *testing.T) {
	first, count := siteSeedsOr(t, 10)
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) { runFailingJobs(t, seed) })
		})
	}
}

// runFailingJobs submits gangs of which all members fail, each after a time of its own, and tasks that
// fail, while faults are injected.
func runFailingJobs(t *testing.T, seed uint64) {
	const jobs = 6
	workers := workerCount
	if seed%25 == 0 { // by hand: with so many goroutines the race detector crashes (KNOWN-RED.txt)
		workers = 40 // the largest gangs have 80 members
	}
	s := newSiteHarnessOfSize(t, seed, workers)
	defer s.close()
	random := rand.New(rand.NewPCG(seed, 59))
	runTimes := make([]time.Duration, 2*workers) // by index of the member
	for i := range runTimes {
		runTimes[i] = time.Millisecond + time.Duration(random.Int64N(int64(600*time.Millisecond)))
	}
	for _, w := range s.workers {
		w.SetRunTimes(func(t pv.TaskRef) time.Duration { return runTimes[t.Index] })
		w.SetFaults(standin.JobWorkerFaults{FailedRunFraction: 1})
	}
	kinds := slices.DeleteFunc(slices.Clone(faults), func(k fault) bool { return k.name == "orders late" }) // it would make runs succeed
	s.waitForLeader()
	time.Sleep(3 * time.Second)
	injected := ""
	for i := range jobs {
		step := pv.Step{Count: 1, Size: pv.Resources{MilliCores: taskMilliCores, MemoryMB: 100}, Estimate: time.Second}
		if i%3 > 0 {
			step.Count, step.Gang = 2+random.IntN(len(runTimes)-1), true
		}
		job := pv.Job{ID: pv.JobID(fmt.Sprintf("j%d", i)), Payload: "p", Steps: []pv.Step{step}}
		if got := s.submit(s.gateways[0], job).Result; got != gateway.Done {
			injected += fmt.Sprintf("submission of %s: %s\n", job.ID, got)
		}
		for range 3 {
			time.Sleep(time.Duration(random.Int64N(int64(400 * time.Millisecond))))
			k := kinds[random.IntN(len(kinds))]
			injected += fmt.Sprintf("%s: %s\n", job.ID, k.name)
			if undo := k.inject(s, random); undo != nil {
				time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
				undo()
			}
		}
		time.Sleep(time.Duration(random.Int64N(int64(8 * time.Second))))
	}
	time.Sleep(60 * time.Second)
	for _, f := range s.runAudit.Violations() {
		t.Error(f)
	}
	if len(s.accepted) == 0 {
		t.Error("got no job accepted, want some")
	}
	for id := range s.accepted {
		if a := s.state(s.gateways[0], id); a.Result != gateway.Done || a.State != pv.JobFailed {
			t.Errorf("job %s: got %s, %s, want it failed", id, a.Result, a.State)
		}
		ended, acknowledged := s.runAudit.FailedAttempts(id)
		if ended < siteQueue.MaxAttempts {
			t.Errorf("job %s: got it failed after %d attempts, want %d", id, ended, siteQueue.MaxAttempts)
		}
		if acknowledged > siteQueue.MaxAttempts {
			t.Errorf("job %s: got %d failed attempts, want at most %d", id, acknowledged, siteQueue.MaxAttempts)
		}
	}
	if t.Failed() {
		t.Logf("seed %d:\n%s", seed, injected)
	}
}
