package gateway_test

import (
	"testing"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/gateway"
	"persimmonvalve/internal/pipenet"
)

// A deregistration that arrives after its worker has started again under its id ended the runs
// of the new incarnation, which went on beside their second attempts, and no further task was
// placed there.
func TestLateDeregistrationOnSite(t *testing.T) {
	for name, c := range map[string]struct {
		named    bool // the deregistration names its incarnation
		restarts int
		inject   func(s *siteHarness, i int) // before the deregistration arrives; nil is nothing
	}{
		"named":              {true, 1, nil},
		"not named":          {false, 1, nil},
		"two restarts":       {true, 2, nil},
		"leader killed":      {true, 1, func(s *siteHarness, _ int) { s.replaceGateway(s.leaderIndex()) }},
		"supervisor killed":  {true, 1, func(s *siteHarness, i int) { s.replaceSupervisor(i) }},
		"supervisor cut off": {true, 1, func(s *siteHarness, i int) { s.network.Isolate(s.supervisors[i].name, true) }},
	} {
		t.Run(name, func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				s := newSiteHarness(t, 1)
				defer s.close()
				i := s.startStandingJob()
				w := s.workers[i]
				w.SetDraining(true)
				time.Sleep(time.Second)
				former, _ := w.Heartbeat()
				w.SetDraining(false)
				for range c.restarts {
					w.Restart()
					time.Sleep(3 * time.Second)
				}
				submit := func(id pv.JobID) {
					t.Helper()
					if got := s.submit(s.gateways[0], standingJob(id, len(s.workers))).Result; got != gateway.Done {
						t.Fatalf("submission: got %s, want done", got)
					}
					time.Sleep(2 * time.Second)
				}
				submit("on all workers")
				if c.inject != nil {
					c.inject(s, i)
					time.Sleep(time.Second)
				}
				starts := s.runAudit.TotalStarts()
				late := pv.Deregistration{Worker: former.ID}
				if c.named {
					late.Incarnation = former.Incarnation
				}
				s.supervisors[i].deregister(late)
				time.Sleep(500 * time.Millisecond)
				s.network.Isolate(s.supervisors[i].name, false)
				time.Sleep(6 * time.Second)
				if got := s.runAudit.TotalStarts(); got != starts {
					t.Errorf("got %d starts after the deregistration, want none", got-starts)
				}
				submit("on all workers again")
				if got, want := s.runAudit.RunningCount("on all workers again"), len(s.workers); got != want {
					t.Errorf("got %d tasks running of a job with a task for each worker, want %d", got, want)
				}
				for _, f := range s.runAudit.Violations() {
					t.Error(f)
				}
			})
		})
	}
}
