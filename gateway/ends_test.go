package gateway_test

import (
	"fmt"
	"testing"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/gateway"
	"persimmonvalve/internal/pipenet"
	"persimmonvalve/standin"
)

// During a store outage more tasks end on a worker than it lists at a time, beside other
// faults. Those whose end waited behind the listed ones ran again.
func TestMoreEndsThanAWorkerLists(t *testing.T) {
	const jobs, tasksPerJob = 12, 120
	for name, inject := range map[string]func(*siteHarness){
		"store down":                    func(*siteHarness) {},
		"store down, leader killed":     func(s *siteHarness) { s.replaceGateway(s.leaderIndex()) },
		"store down, supervisor killed": func(s *siteHarness) { s.replaceSupervisor(0) },
	} {
		t.Run(name, func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				s := newSiteHarnessOfSize(t, 1, 1)
				defer s.close()
				s.workers[0].SetRunTimes(func(r pv.TaskRef) time.Duration {
					return 6*time.Second + time.Duration(r.Index)*30*time.Millisecond
				})
				s.waitForLeader()
				time.Sleep(3 * time.Second)
				for i := range jobs {
					job := pv.Job{ID: pv.JobID(fmt.Sprintf("%016x", i)), Payload: "p", Steps: []pv.Step{{Count: tasksPerJob, Size: pv.Resources{MilliCores: 1, MemoryMB: 1}, Estimate: 6 * time.Second}}}
					if got := s.submit(s.gateways[0], job).Result; got != gateway.Done {
						t.Fatalf("submission %d: got %s, want done", i, got)
					}
				}
				time.Sleep(5 * time.Second)
				s.store.SetFaults(standin.KeyedStoreFaults{Down: true})
				time.Sleep(3 * time.Second)
				inject(s)
				time.Sleep(1500 * time.Millisecond)
				s.store.SetFaults(standin.KeyedStoreFaults{})
				time.Sleep(30 * time.Second)
				s.checkJobs(nil)
				if got, want := s.runAudit.TotalStarts(), jobs*tasksPerJob; got != want {
					t.Errorf("got %d starts, want %d", got, want)
				}
			})
		})
	}
}
