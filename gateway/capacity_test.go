package gateway_test

// This file defines tests of workers whose capacity shrinks and grows while they run.

import (
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

// fullCapacity is the capacity of a worker that hasn't shrunk.
var fullCapacity = pv.Resources{MilliCores: workerMilliCores, MemoryMB: 64000, Accelerators: 4}

// shrunkCapacityCounts is how long after a shrink the smaller capacity counts: the
// platform's contactMs and one heartbeat.
const shrunkCapacityCounts = 4*time.Second + heartbeatInterval

// newCapacitySite returns a site whose workers have fullCapacity, and whose runs take
// their step's estimate.
func newCapacitySite(t *testing.T, seed uint64, workers int) *siteHarness {
	s := newSiteHarnessOfSize(t, seed, workers)
	s.setCapacities(fullCapacity)
	s.useEstimatesAsRunTimes()
	return s
}

func (s *siteHarness) setCapacities(r pv.Resources) {
	for _, w := range s.workers {
		w.SetCapacity(r)
	}
}

func (s *siteHarness) setWorkerFaults(f standin.JobWorkerFaults) {
	for _, w := range s.workers {
		w.SetFaults(f)
	}
}

func (s *siteHarness) replaceSupervisor(i int) {
	s.kill(s.supervisors[i])
	s.supervisors[i] = s.startSupervisor(i)
}

// shrink returns a part of fullCapacity, often with one resource alone shrunk.
func shrink(random *rand.Rand) pv.Resources {
	out := fullCapacity
	part := int64([]int{2, 4, 16}[random.IntN(3)])
	which := random.IntN(5)
	if which != 1 && which != 2 {
		out.MilliCores /= part
	}
	if which != 0 && which != 2 {
		out.MemoryMB /= part
	}
	if which != 0 && which != 1 {
		out.Accelerators /= part
	}
	return out
}

// capacityJob returns job i, whose tasks need much of one resource each.
func capacityJob(i int, random *rand.Rand) pv.Job {
	j := testJob(i, random)
	for n := range j.Steps {
		st := &j.Steps[n]
		st.Estimate = time.Duration(500+random.IntN(3000)) * time.Millisecond
		switch random.IntN(5) {
		case 0:
			st.Size = pv.Resources{MilliCores: 500, MemoryMB: 15000}
		case 1:
			st.Size = pv.Resources{MilliCores: 500, MemoryMB: 100, Accelerators: 1}
		case 2:
			st.Size = pv.Resources{MilliCores: 1000, MemoryMB: 4000}
			st.Filler = true
		}
	}
	return j
}

// A start brought a worker over a capacity that had shrunk more than contactMs and a
// heartbeat before.
func TestStartsStayWithinShrunkCapacity(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults standin.JobWorkerFaults
		inject func(s *siteHarness, random *rand.Rand) // every 5 s
	}{
		{"no other fault", standin.JobWorkerFaults{}, nil},
		{"unanswered orders", standin.JobWorkerFaults{DelayedOrderFraction: 0.4}, nil},
		{"unanswered starts", standin.JobWorkerFaults{DelayedStartFraction: 0.8}, nil},
		{"leader killed", standin.JobWorkerFaults{DelayedOrderFraction: 0.2}, func(s *siteHarness, _ *rand.Rand) { s.replaceGateway(s.leaderIndex()) }},
		{"supervisor killed", standin.JobWorkerFaults{DelayedOrderFraction: 0.2}, func(s *siteHarness, random *rand.Rand) { s.replaceSupervisor(random.IntN(workerCount)) }},
	} {
		first, count := siteSeedsOr(t, 2)
		for seed := first; seed < first+count; seed++ {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				pipenet.Bubble(t, func(t *testing.T) {
					s := newCapacitySite(t, seed, workerCount)
					defer s.close()
					random := rand.New(rand.NewPCG(seed, 29))
					s.waitForLeader()
					time.Sleep(3 * time.Second)
					s.setWorkerFaults(c.faults)
					var calls sync.WaitGroup
					for i := range 60 {
						if i%3 == 0 {
							w := s.workers[random.IntN(workerCount)]
							if random.IntN(3) == 0 {
								w.SetCapacity(fullCapacity)
							} else {
								w.SetCapacity(shrink(random))
							}
						}
						if i%10 == 5 && c.inject != nil {
							c.inject(s, random)
						}
						job := capacityJob(i, random)
						gateways := append([]*process(nil), s.gateways...)
						calls.Add(1)
						go func() {
							defer calls.Done()
							for try := range 5 {
								if s.submit(gateways[(i+try)%gatewayCount], job).Result == gateway.Done {
									break
								}
								time.Sleep(time.Second)
							}
						}()
						time.Sleep(500 * time.Millisecond)
					}
					calls.Wait()
					time.Sleep(10 * time.Second)
					s.setWorkerFaults(standin.JobWorkerFaults{})
					s.setCapacities(fullCapacity)
					time.Sleep(35 * time.Second)
					s.checkJobs(nil)
					if t.Failed() {
						t.Logf("seed %d", seed)
					}
				})
			})
		}
	}
}

// A start that a worker left unanswered was repeated after the worker's capacity had
// shrunk, and brought the worker over it. The job runs when the capacity has grown again.
func TestUnansweredStartIsNotRepeatedAfterShrink(t *testing.T) {
	for _, c := range []struct {
		name   string
		inject func(s *siteHarness) // right before the worker answers starts again
	}{
		{"repeated by its supervisor", func(*siteHarness) {}},
		{"repeated by the next supervisor", func(s *siteHarness) { s.replaceSupervisor(0) }},
		{"repeated for the next leader", func(s *siteHarness) { s.replaceGateway(s.leaderIndex()) }},
		{"repeated for the next leader by the next supervisor", func(s *siteHarness) {
			s.replaceGateway(s.leaderIndex())
			s.replaceSupervisor(0)
		}},
	} {
		first, count := siteSeedsOr(t, 2)
		for seed := first; seed < first+count; seed++ {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				pipenet.Bubble(t, func(t *testing.T) {
					s := newCapacitySite(t, seed, 1)
					defer s.close()
					s.waitForLeader()
					time.Sleep(3 * time.Second)
					w := s.workers[0]
					job := func(id string, count int, estimate time.Duration) pv.Job {
						return pv.Job{ID: pv.JobID(id), Payload: "p", Steps: []pv.Step{{Count: count, Size: pv.Resources{MilliCores: taskMilliCores, MemoryMB: 100}, Estimate: estimate}}}
					}
					s.submitUntilAccepted(job("fits", 1, 20*time.Second))
					time.Sleep(500 * time.Millisecond)
					// Of several tasks some are likely to be started by none of the delayed orders
					// that were sent before the shrunk capacity counts.
					s.setWorkerFaults(standin.JobWorkerFaults{DelayedStartFraction: 1})
					s.submitUntilAccepted(job("waits", 3, taskRunTime))
					time.Sleep(200 * time.Millisecond)
					w.SetCapacity(pv.Resources{MilliCores: taskMilliCores, MemoryMB: 64000})
					time.Sleep(shrunkCapacityCounts + 100*time.Millisecond)
					c.inject(s)
					s.setWorkerFaults(standin.JobWorkerFaults{})
					time.Sleep(4 * time.Second)
					if a := s.state(s.gateways[0], "fits"); a.State != pv.JobRunning {
						t.Errorf("job that fits: got %q, want running", a.State)
					}
					w.SetCapacity(fullCapacity)
					time.Sleep(25 * time.Second)
					s.checkJobs(nil)
				})
			})
		}
	}
}

// A start that waited for the store was sent after the worker's capacity had shrunk.
func TestStartDelayedByStoreIsNotSentAfterShrink(t *testing.T) {
	first, count := siteSeedsOr(t, 2)
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				s := newCapacitySite(t, seed, 2)
				defer s.close()
				s.waitForLeader()
				time.Sleep(3 * time.Second)
				size := pv.Resources{MilliCores: taskMilliCores, MemoryMB: 100}
				s.submitUntilAccepted(pv.Job{ID: "steps", Payload: "p", Steps: []pv.Step{
					{Count: 6, Size: size, Estimate: taskRunTime},
					{Count: 8, Size: size, Estimate: taskRunTime, After: []int{0}},
				}})
				time.Sleep(200 * time.Millisecond)
				s.store.SetFaults(standin.KeyedStoreFaults{Down: true})
				time.Sleep(taskRunTime + 200*time.Millisecond)
				s.setCapacities(pv.Resources{MilliCores: taskMilliCores, MemoryMB: 64000})
				time.Sleep(shrunkCapacityCounts + 100*time.Millisecond)
				s.store.SetFaults(standin.KeyedStoreFaults{})
				time.Sleep(10 * time.Second)
				s.setCapacities(fullCapacity)
				time.Sleep(15 * time.Second)
				s.checkJobs(nil)
			})
		})
	}
}

// Capacity that had grown again wasn't used: a job with one task for each worker, of all its
// capacity, is done within a heartbeat, its run time and a second after the growth, in which
// the growth is reported and the starts are stored and sent.
func TestGrownCapacityIsUsed(t *testing.T) {
	for _, c := range []struct {
		name   string
		inject func(s *siteHarness) // while the capacity is small
	}{
		{"no other fault", func(*siteHarness) {}},
		{"leader killed", func(s *siteHarness) { s.replaceGateway(s.leaderIndex()) }},
		{"supervisors killed", func(s *siteHarness) {
			for i := range s.supervisors {
				s.replaceSupervisor(i)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				s := newCapacitySite(t, 1, workerCount)
				defer s.close()
				s.waitForLeader()
				time.Sleep(3 * time.Second)
				random := rand.New(rand.NewPCG(1, 30))
				for i := range 5 {
					s.submitUntilAccepted(capacityJob(i, random))
				}
				for part := int64(2); part <= 16; part *= 2 { // from a half to below what runs
					s.setCapacities(fullCapacity.Scale(1, part))
					time.Sleep(500 * time.Millisecond)
				}
				time.Sleep(5 * time.Second)
				c.inject(s)
				time.Sleep(5 * time.Second)
				s.setCapacities(fullCapacity)
				time.Sleep(15 * time.Second)
				s.checkJobs(nil)
				s.setCapacities(fullCapacity.Scale(1, 4))
				time.Sleep(10 * time.Second)
				s.submitUntilAccepted(pv.Job{ID: "whole", Payload: "p", Steps: []pv.Step{{Count: workerCount, Size: fullCapacity, Estimate: taskRunTime, MaxPerWorker: 1}}})
				time.Sleep(3 * time.Second)
				if a := s.state(s.gateways[0], "whole"); a.State != pv.JobQueued {
					t.Errorf("job before the growth: got %q, want queued", a.State)
				}
				grownAt := time.Now()
				s.setCapacities(fullCapacity)
				s.awaitFinished("whole")
				if took, want := time.Since(grownAt), heartbeatInterval+taskRunTime+time.Second; took > want {
					t.Errorf("got the job done %v after the growth, want within %v", took, want)
				}
				s.checkJobs(nil)
			})
		})
	}
}
