package gateway_test

// This file defines tests of cancellations right after the acknowledgement of their jobs,
// on workers that leave orders unanswered.

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

// faultNamed returns the kind of fault with a name.
func faultNamed(t *testing.T, name string) fault {
	t.Helper()
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}
	t.Fatalf("got no fault %q, want one", name)
	return fault{}
}

// runCancellations submits jobs of 24 tasks for 8 s on workers that leave two of five
// orders unanswered, and cancels three of four jobs within 300 ms of their
// acknowledgement. Meanwhile it injects the fault, if it isn't nil, twice for 2 s.
// It checks all jobs after 60 s without faults.
func runCancellations(t *testing.T, seed uint64, f *fault) {
	pipenet.Bubble(t, func(t *testing.T) {
		s := newSiteHarnessOfCapacity(t, seed, workerCount, 32*taskMilliCores)
		defer s.close()
		random := rand.New(rand.NewPCG(seed, 99))
		s.waitForLeader()
		time.Sleep(time.Second)
		for _, w := range s.workers {
			w.SetFaults(standin.JobWorkerFaults{DelayedOrderFraction: 0.4})
		}
		cancelled := map[pv.JobID]bool{}
		confirmed := 0
		var mu sync.Mutex
		var calls sync.WaitGroup
		var undo func()
		for i := range 40 {
			job := pv.Job{ID: pv.JobID(fmt.Sprintf("%016x", i)), Payload: "p", Steps: []pv.Step{{
				Count: 24, Size: pv.Resources{MilliCores: taskMilliCores, MemoryMB: 100}, Estimate: taskRunTime,
			}}}
			gateways := append([]*process(nil), s.gateways...)
			wantCancel, delay := i%4 != 0, time.Duration(random.IntN(300))*time.Millisecond
			calls.Add(1)
			go func() {
				defer calls.Done()
				for try := 0; s.submit(gateways[(i+try)%gatewayCount], job).Result != gateway.Done; try++ {
					if try == 5 {
						return
					}
					time.Sleep(500 * time.Millisecond)
				}
				if !wantCancel {
					return
				}
				time.Sleep(delay)
				mu.Lock()
				cancelled[job.ID] = true
				mu.Unlock()
				for try := range 5 {
					if s.cancelJob(gateways[(i+try)%gatewayCount], job.ID) {
						mu.Lock()
						confirmed++
						mu.Unlock()
						return
					}
					time.Sleep(500 * time.Millisecond)
				}
			}()
			if f != nil && (i == 10 || i == 25) {
				undo = f.inject(s, random)
			}
			if undo != nil && (i == 20 || i == 35) {
				undo()
				undo = nil
			}
			time.Sleep(200 * time.Millisecond)
		}
		for _, w := range s.workers {
			w.SetFaults(standin.JobWorkerFaults{})
		}
		calls.Wait()
		time.Sleep(60 * time.Second)
		s.checkJobs(cancelled)
		if confirmed < 10 {
			t.Errorf("got %d cancellations confirmed, want 10 or more", confirmed)
		}
	})
}

// Starts that waited in a supervisor behind unanswered ones were sent more than 3 s after
// the acknowledged cancellation of their job. PVALVE_SITE_SEED sets the first seed and
// PVALVE_SITE_RUNS the number of seeds.
func TestCancellationsBesideUnansweredOrders(t *testing.T) {
	first, count := siteSeedsOr(t, cancellationRuns)
	kinds := []string{"", "leader killed", "leader stopped", "leader cut off", "store down", "store refuses the leader", "store slow", "answers lost", "appends late", "connections reset", "agent cut off", "agent killed"}
	for _, name := range kinds {
		var f *fault
		label := "no further fault"
		if name != "" {
			k := faultNamed(t, name)
			f, label = &k, name
		}
		t.Run(label, func(t *testing.T) {
			for seed := first; seed < first+count; seed++ {
				t.Run(fmt.Sprint(seed), func(t *testing.T) { runCancellations(t, seed, f) })
			}
		})
	}
}
