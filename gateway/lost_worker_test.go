package gateway_test

// This file defines tests of workers that are lost or cut off while several leaders follow
// each other: how long their tasks are down, and that none runs twice.

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

// standingJob returns a job with tasks that run until they are stopped.
func standingJob(id pv.JobID, tasks int) pv.Job {
	return pv.Job{ID: id, Payload: "p", Steps: []pv.Step{{Count: tasks, Size: pv.Resources{MilliCores: 100, MemoryMB: 100}, Estimate: time.Second, Standing: true, MaxPerWorker: 1}}}
}

// startStandingJob submits a standing job with a task for each worker but the last, and
// returns the index of a worker with one of them.
func (s *siteHarness) startStandingJob() int {
	s.t.Helper()
	for _, w := range s.workers {
		w.SetRunTimes(func(pv.TaskRef) time.Duration { return 0 })
	}
	s.waitForLeader()
	time.Sleep(3 * time.Second)
	if got := s.submit(s.gateways[0], standingJob("standing", len(s.workers)-1)).Result; got != gateway.Done {
		s.t.Fatalf("submission: got %s, want done", got)
	}
	time.Sleep(2 * time.Second)
	for i := range s.workers {
		if s.workers[i].RunningCount() > 0 {
			return i
		}
	}
	s.t.Fatal("got no worker with a task, want some")
	return 0
}

// Each leader waited for a lost worker's lease anew, so that its tasks were down for longer
// with each change of the leader.
func TestLostWorkerAndLeadersInARow(t *testing.T) {
	const (
		maxDownTime   = 9 * time.Second // of a task, if there is no other disruption
		maxAfterFault = 7 * time.Second // of a task, after the last disruption
	)
	for _, killed := range [][]time.Duration{ // when the present leader is killed, since the loss
		nil,
		{4800 * time.Millisecond},
		{2 * time.Second, 5 * time.Second},
		{2 * time.Second, 4 * time.Second, 6 * time.Second, 8 * time.Second},
		{3 * time.Second, 3500 * time.Millisecond, 4 * time.Second},
		{0, 4 * time.Second, 8 * time.Second},
	} {
		limit := maxDownTime
		if len(killed) > 0 {
			limit = max(limit, killed[len(killed)-1]+maxAfterFault)
		}
		t.Run(fmt.Sprint(killed), func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				s := newSiteHarness(t, 1)
				defer s.close()
				lost := s.startStandingJob()
				tasks := len(s.workers) - 1
				lostAt := time.Now()
				s.workers[lost].Crash()
				s.kill(s.supervisors[lost])
				for _, at := range killed {
					time.Sleep(time.Until(lostAt.Add(at)))
					s.replaceGateway(s.leaderIndex())
				}
				for s.runAudit.RunningCount("standing") < tasks && time.Since(lostAt) < time.Minute {
					time.Sleep(50 * time.Millisecond)
				}
				if got := time.Since(lostAt); got > limit {
					t.Errorf("got all tasks running %v after the loss, want at most %v", got, limit)
				}
				for _, f := range s.runAudit.Violations() {
					t.Error(f)
				}
			})
		})
	}
}

// Workers are cut off and run on while leaders follow each other, beside store outages. What a
// leader concludes of their leases must hold for whatever its predecessors have renewed.
func TestCutOffWorkersAndLeadersInARow(t *testing.T) {
	first, count := siteSeeds(t)
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				s := newSiteHarness(t, seed)
				defer s.close()
				random := rand.New(rand.NewPCG(seed, 37))
				s.startStandingJob()
				between := func(low, high time.Duration) time.Duration {
					return low + time.Duration(random.Int64N(int64(high-low)))
				}
				injected := ""
				for range 30 {
					switch random.IntN(8) {
					case 0, 1, 2:
						p, d := s.supervisors[random.IntN(workerCount)], between(500*time.Millisecond, 9*time.Second)
						injected += fmt.Sprintf("%s is cut off for %v\n", p.name, d)
						s.network.Isolate(p.name, true)
						time.AfterFunc(d, func() { s.network.Isolate(p.name, false) })
					case 3, 4:
						injected += "leader killed\n"
						s.replaceGateway(s.leaderIndex())
					case 5:
						p, d := s.gateways[s.leaderIndex()], between(500*time.Millisecond, 5*time.Second)
						injected += fmt.Sprintf("leader %s is cut off for %v\n", p.name, d)
						s.network.Isolate(p.name, true)
						time.AfterFunc(d, func() { s.network.Isolate(p.name, false) })
					case 6:
						injected += "store down\n"
						s.store.SetFaults(standin.KeyedStoreFaults{Down: true})
						time.Sleep(between(200*time.Millisecond, 4500*time.Millisecond))
						s.store.SetFaults(standin.KeyedStoreFaults{})
					case 7:
						injected += "appends late\n"
						s.store.SetFaults(standin.KeyedStoreFaults{DelayedAppendFraction: 0.3, LostAnswerFraction: 0.2})
						time.Sleep(between(200*time.Millisecond, 2*time.Second))
						s.store.SetFaults(standin.KeyedStoreFaults{})
					}
					time.Sleep(between(0, 3*time.Second))
				}
				time.Sleep(30 * time.Second)
				for _, f := range s.runAudit.Violations() {
					t.Error(f)
				}
				if got, want := s.runAudit.RunningCount("standing"), len(s.workers)-1; got != want {
					t.Errorf("got %d tasks running in the end, want %d", got, want)
				}
				if t.Failed() {
					t.Logf("seed %d:\n%s", seed, injected)
				}
			})
		})
	}
}
