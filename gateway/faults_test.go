package gateway_test

// This file defines fault injection into a site in memory and the tests under it.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/gateway"
	"persimmonvalve/internal/pipenet"
	"persimmonvalve/standin"
)

// fault is a kind of fault to inject; undo, if not nil, is called some seconds later.
type fault struct {
	name   string
	inject func(s *siteHarness, r *rand.Rand) (undo func())
}

// storeFault returns the inject function of a fault of the store.
func storeFault(change func(f *standin.KeyedStoreFaults)) func(*siteHarness, *rand.Rand) func() {
	return func(s *siteHarness, _ *rand.Rand) func() {
		f := s.store.Faults()
		change(&f)
		s.store.SetFaults(f)
		return func() { s.store.SetFaults(standin.KeyedStoreFaults{}) }
	}
}

func (s *siteHarness) replaceGateway(i int) {
	s.kill(s.gateways[i])
	s.gateways[i] = s.startGateway(i)
}

// newWorkerID returns an id that no worker has had.
func (s *siteHarness) newWorkerID() pv.WorkerID {
	s.lastSerial++
	return pv.WorkerID(fmt.Sprintf("w-%d", s.lastSerial))
}

// leaderIndex returns the index of the leading gateway, 0 if none leads.
func (s *siteHarness) leaderIndex() int {
	for i, p := range s.gateways {
		if p.leader.Leading() {
			return i
		}
	}
	return 0
}

var faults = []fault{
	{"leader killed", func(s *siteHarness, _ *rand.Rand) func() { s.replaceGateway(s.leaderIndex()); return nil }},
	{"all gateways killed", func(s *siteHarness, _ *rand.Rand) func() {
		for i := range s.gateways {
			s.replaceGateway(i)
		}
		return nil
	}},
	{"agent killed", func(s *siteHarness, r *rand.Rand) func() {
		i := r.IntN(workerCount)
		s.kill(s.supervisors[i])
		s.supervisors[i] = s.startSupervisor(i)
		return nil
	}},
	{"all processes killed", func(s *siteHarness, _ *rand.Rand) func() {
		for i := range s.gateways {
			s.replaceGateway(i)
		}
		for i := range s.supervisors {
			s.kill(s.supervisors[i])
			s.supervisors[i] = s.startSupervisor(i)
		}
		return nil
	}},
	{"store down", storeFault(func(f *standin.KeyedStoreFaults) { f.Down = true })},
	{"store slow", storeFault(func(f *standin.KeyedStoreFaults) { f.Delay = 250 * time.Millisecond })},
	{"answers lost", storeFault(func(f *standin.KeyedStoreFaults) { f.LostAnswerFraction = 0.3 })},
	{"appends late", storeFault(func(f *standin.KeyedStoreFaults) { f.DelayedAppendFraction = 0.3 })},
	{"store refuses the leader", func(s *siteHarness, _ *rand.Rand) func() {
		s.store.SetFaults(standin.KeyedStoreFaults{RefusedProcesses: map[string]bool{s.gateways[s.leaderIndex()].name: true}})
		return func() { s.store.SetFaults(standin.KeyedStoreFaults{}) }
	}},
	{"leader cut off", func(s *siteHarness, _ *rand.Rand) func() {
		name := s.gateways[s.leaderIndex()].name
		s.network.Isolate(name, true)
		return func() { s.network.Isolate(name, false) }
	}},
	{"agent cut off", func(s *siteHarness, r *rand.Rand) func() {
		name := s.supervisors[r.IntN(workerCount)].name
		s.network.Isolate(name, true)
		return func() { s.network.Isolate(name, false) }
	}},
	{"connections reset", func(s *siteHarness, _ *rand.Rand) func() { s.network.CloseConnections(); return nil }},
	{"worker restarted", func(s *siteHarness, r *rand.Rand) func() {
		w := s.workers[r.IntN(workerCount)]
		w.Crash()
		return w.Restart
	}},
	{"worker restarted at once", func(s *siteHarness, r *rand.Rand) func() {
		w := s.workers[r.IntN(workerCount)]
		w.Crash()
		w.Restart()
		return nil
	}},
	{"worker replaced", func(s *siteHarness, r *rand.Rand) func() {
		w := s.workers[r.IntN(workerCount)]
		w.Crash()
		return func() { w.Replace(s.newWorkerID()) }
	}},
	{"all power lost", func(s *siteHarness, _ *rand.Rand) func() {
		for i := range s.gateways {
			s.replaceGateway(i)
		}
		for i, w := range s.workers {
			s.kill(s.supervisors[i])
			w.Replace(s.newWorkerID())
			s.supervisors[i] = s.startSupervisor(i)
		}
		return nil
	}},
	{"worker departs, its agent stops, the leader is killed", func(s *siteHarness, r *rand.Rand) func() {
		i := r.IntN(workerCount)
		w := s.workers[i]
		w.SetDraining(true)
		time.Sleep(500 * time.Millisecond)
		state, _ := w.Heartbeat()
		w.Crash()
		s.supervisors[i].deregister(pv.Deregistration{Worker: state.ID, Incarnation: state.Incarnation})
		time.Sleep(300 * time.Millisecond)
		s.kill(s.supervisors[i])
		s.replaceGateway(s.leaderIndex())
		return func() {
			s.kill(s.supervisors[i]) // another fault may have restarted it meanwhile
			w.Replace(s.newWorkerID())
			s.supervisors[i] = s.startSupervisor(i)
		}
	}},
	{"orders late", func(s *siteHarness, _ *rand.Rand) func() {
		for _, w := range s.workers {
			w.SetFaults(standin.JobWorkerFaults{DelayedOrderFraction: 0.1})
		}
		return func() {
			for _, w := range s.workers {
				w.SetFaults(standin.JobWorkerFaults{})
			}
		}
	}},
	{"worker drains and stops draining", func(s *siteHarness, r *rand.Rand) func() {
		w := s.workers[r.IntN(workerCount)]
		w.SetDraining(true)
		return func() { w.SetDraining(false) }
	}},
	{"leader stopped", func(s *siteHarness, _ *rand.Rand) func() {
		i := s.leaderIndex()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := s.gateways[i].stop(ctx); err != nil {
			s.t.Errorf("stop: %v", err)
		}
		s.gateways[i] = s.startGateway(i)
		return nil
	}},
}

// runUnderFaults submits and cancels jobs for 30 s while it injects overlapping faults,
// and checks all jobs after 45 s without faults.
func runUnderFaults(t *testing.T, seed uint64, kinds []fault) {
	pipenet.Bubble(t, func(t *testing.T) {
		s := newSiteHarness(t, seed)
		defer s.close()
		random := rand.New(rand.NewPCG(seed, 99))
		s.waitForLeader()
		time.Sleep(time.Second)
		cancelled := map[pv.JobID]bool{}
		var mu sync.Mutex
		var calls sync.WaitGroup
		var undo []func()
		injected := ""
		for i := range 60 {
			job := testJob(i, random)
			gateways := append([]*process(nil), s.gateways...)
			wantCancel := random.IntN(8) == 0
			calls.Add(1)
			go func() {
				defer calls.Done()
				for try := range 5 {
					if s.submit(gateways[(i+try)%gatewayCount], job).Result == gateway.Done {
						if a := s.state(gateways[(i+try+1)%gatewayCount], job.ID); a.Result == gateway.UnknownJob {
							s.t.Errorf("job %s was accepted: got %s at another gateway right after, want a known job", job.ID, a.Result)
						}
						break
					}
					time.Sleep(time.Second)
				}
				if wantCancel {
					mu.Lock()
					cancelled[job.ID] = true
					mu.Unlock()
					s.cancelJob(gateways[i%gatewayCount], job.ID)
				}
			}()
			if random.IntN(6) == 0 {
				k := kinds[random.IntN(len(kinds))]
				injected += fmt.Sprintf("%v %s\n", time.Duration(i)*500*time.Millisecond, k.name)
				if u := k.inject(s, random); u != nil {
					undo = append(undo, u)
				}
			}
			if len(undo) > 0 && random.IntN(8) == 0 {
				undo[0]()
				undo = undo[1:]
			}
			time.Sleep(500 * time.Millisecond)
		}
		for _, u := range undo {
			u()
		}
		calls.Wait()
		time.Sleep(45 * time.Second)
		s.checkJobs(cancelled)
		if t.Failed() {
			t.Logf("seed %d:\n%s", seed, injected)
		}
	})
}

// With faults of all kinds mixed, no accepted job is lost, and no job that was refused
// at each attempt runs. PVALVE_SITE_SEED sets the first seed and PVALVE_SITE_RUNS the
// number of seeds.
func TestSiteUnderMixedFaults(t *testing.T) {
	first, count := siteSeeds(t)
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runUnderFaults(t, seed, faults) })
	}
}

// The same holds for each kind of fault alone, injected repeatedly.
func TestSiteUnderEachFault(t *testing.T) {
	for i, k := range faults {
		t.Run(k.name, func(t *testing.T) { runUnderFaults(t, uint64(1000+i), []fault{k}) })
	}
}
