package gateway_test

// This file defines tests of workers that restart under their ids and are cut off soon after.

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/gateway"
	"persimmonvalve/internal/pipenet"
	"persimmonvalve/standin"
)

// TWICE: a call that was meant for a former incarnation of a worker reached the next one and
// gave it a lease of MaxLease, by an end that was a reading of another clock. Tasks were started
// elsewhere when the shorter lease that the leader knew of had lapsed.
func TestRestartedWorkersAreCutOff(t *testing.T) {
	testRestartedWorkers(t, standin.JobWorkerFaults{})
}

// TWICE: orders that were sent to a former incarnation are carried out by a later one, up to 12 s
// late, before the supervisor has reached that (KNOWN-RED.txt).
func TestLateOrdersReachRestartedWorkers(t *testing.T) {
	testRestartedWorkers(t, standin.JobWorkerFaults{DelayedOrderFraction: 0.3, DelayedOrdersOutliveCrash: true})
}

// testRestartedWorkers restarts workers under their ids and cuts them off soon after, while
// long tasks run and leaders are killed. A third of the rounds has the given faults.
func testRestartedWorkers(t *testing.T, faults standin.JobWorkerFaults) {
	first, count := siteSeeds(t)
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) { restartWorkers(t, seed, faults) })
		})
	}
}

func restartWorkers(t *testing.T, seed uint64, faults standin.JobWorkerFaults) {
	s := newSiteHarness(t, seed)
	defer s.close()
	random := rand.New(rand.NewPCG(seed, 43))
	for _, w := range s.workers {
		w.SetRunTimes(func(pv.TaskRef) time.Duration { return 7700 * time.Millisecond })
	}
	s.waitForLeader()
	time.Sleep(3 * time.Second)
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	injected, jobs := "", 0
	submit := func() {
		jobs++
		job := pv.Job{ID: pv.JobID(fmt.Sprintf("j%d", jobs)), Payload: "p", Steps: []pv.Step{{Count: 4, Size: pv.Resources{MilliCores: 1000, MemoryMB: 100}, Estimate: 8 * time.Second}}}
		if got := s.submit(s.gateways[0], job).Result; got != gateway.Done {
			injected += fmt.Sprintf("submission of %s: %s\n", job.ID, got)
		}
	}
	for range 12 {
		injectedFaults := standin.JobWorkerFaults{}
		if random.IntN(3) == 0 {
			injectedFaults = faults
		}
		restarted := random.Perm(workerCount)[:1+random.IntN(workerCount-1)]
		injected += fmt.Sprintf("workers %v restart, faults: %+v\n", restarted, injectedFaults)
		for _, w := range s.workers {
			w.SetFaults(injectedFaults)
		}
		submit()
		time.Sleep(between(0, 2*time.Second))
		for _, i := range restarted {
			s.workers[i].Crash()
		}
		time.Sleep(between(100*time.Millisecond, 1200*time.Millisecond))
		for _, i := range restarted {
			s.workers[i].Restart()
		}
		submit()
		if random.IntN(3) == 0 {
			injected += "leader killed\n"
			s.replaceGateway(s.leaderIndex())
		}
		time.Sleep(between(200*time.Millisecond, 3*time.Second))
		for _, i := range restarted {
			s.network.Isolate(s.supervisors[i].name, true)
		}
		submit()
		time.Sleep(between(7*time.Second, 11*time.Second))
		for _, i := range restarted {
			s.network.Isolate(s.supervisors[i].name, false)
		}
		time.Sleep(between(0, 3*time.Second))
	}
	for _, w := range s.workers {
		w.SetFaults(standin.JobWorkerFaults{})
	}
	time.Sleep(60 * time.Second)
	for _, f := range s.runAudit.Violations() {
		t.Error(f)
	}
	for id := range s.accepted {
		for i := range 4 {
			if task := (pv.TaskRef{Job: id, Index: i}); !s.runAudit.TaskSucceeded(task) {
				t.Errorf("got %v not finished, want it finished", task)
			}
		}
	}
	if t.Failed() {
		t.Logf("seed %d:\n%s", seed, injected)
	}
}
