package gateway_test

// This file defines tests of evacuated zones, each beside one failure: no start in the zone
// later than the bound, and no job is lost.

import (
	"fmt"
	"testing"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/gateway"
	"persimmonvalve/internal/pipenet"
	"persimmonvalve/leader"
	"persimmonvalve/standin"
)

// evacuationBound is the bound that the users' platform promises its operators.
const evacuationBound = 5 * time.Second

var evacuationZones = []string{"z1", "z2"}

// evacuation is an interval in which a zone is evacuated.
type evacuation struct {
	zone     string
	from, to time.Duration // since the start of the load
}

// operate writes the requests of the evacuations to the store at their times.
func (s *siteHarness) operate(startedAt time.Time, evacuations []evacuation) {
	operator := s.store.ClientFor("operator")
	for _, e := range evacuations {
		go func() {
			record := pv.KeyedRecord{Key: "evacuate/" + e.zone, Value: []byte(`{}`)}
			time.Sleep(time.Until(startedAt.Add(e.from)))
			if err := operator.Put(s.t.Context(), "keyed.op", []pv.KeyedRecord{record}); err != nil {
				s.t.Error(err)
			}
			record.Value = nil
			time.Sleep(time.Until(startedAt.Add(e.to)))
			if err := operator.Put(s.t.Context(), "keyed.op", []pv.KeyedRecord{record}); err != nil {
				s.t.Error(err)
			}
		}()
	}
}

// checkEvacuations checks that no start was sent to a zone later than the bound after its
// evacuation and before it was taken back. It returns the number of starts in the zone
// between the two, and after.
func (s *siteHarness) checkEvacuations(startedAt time.Time, evacuations []evacuation, bound time.Duration) (within, after int) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range evacuations {
		for i, starts := range s.acceptedStarts {
			if evacuationZones[i%len(evacuationZones)] != e.zone {
				continue
			}
			for _, at := range starts {
				since := at.Sub(startedAt)
				switch {
				case since > e.from+bound && since < e.to:
					s.t.Errorf("got a start in %s at %v, want none from %v to %v", e.zone, since, e.from+bound, e.to)
				case since > e.from && since < e.to:
					within++
				case since > e.to:
					after++
				}
			}
		}
	}
	return within, after
}

func TestEvacuationBesideFailures(t *testing.T) {
	const loadTime = 20 * time.Second
	oneZone := []evacuation{{"z1", 5 * time.Second, 15 * time.Second}}
	for name, c := range map[string]struct {
		evacuations []evacuation
		bound       time.Duration
		fail        func(s *siteHarness) // shortly before the first request
	}{
		"none":        {oneZone, evacuationBound / 2, func(*siteHarness) {}},
		"leader ends": {oneZone, evacuationBound, func(s *siteHarness) { s.kill(s.leadingGateway()) }},
		"store slow":  {oneZone, evacuationBound, func(s *siteHarness) { s.store.SetFaults(standin.KeyedStoreFaults{Delay: 250 * time.Millisecond}) }},
		"leader can't read": {oneZone, evacuationBound, func(s *siteHarness) {
			leading := s.leadingGateway().name
			s.mu.Lock()
			defer s.mu.Unlock()
			s.storeCallHangs = func(process string, topic pv.Topic, _ bool) bool { return process == leading && topic == "keyed.op" }
		}},
		"store refuses the leader": {oneZone, evacuationBound, func(s *siteHarness) {
			s.store.SetFaults(standin.KeyedStoreFaults{RefusedProcesses: map[string]bool{s.leadingGateway().name: true}})
		}},
		"two zones in turn":        {[]evacuation{{"z1", 4 * time.Second, 9 * time.Second}, {"z2", 10 * time.Second, 15 * time.Second}}, evacuationBound / 2, func(*siteHarness) {}},
		"repeated within a second": {[]evacuation{{"z1", 4 * time.Second, 8 * time.Second}, {"z1", 8500 * time.Millisecond, 15 * time.Second}}, evacuationBound / 2, func(*siteHarness) {}},
		"all zones":                {[]evacuation{{"z1", 4 * time.Second, 14 * time.Second}, {"z2", 5 * time.Second, 12 * time.Second}}, evacuationBound / 2, func(*siteHarness) {}},
	} {
		t.Run(name, func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				s := newSiteHarnessInZones(t, 1, workerCount, workerMilliCores, evacuationZones, evacuationBound)
				defer s.close()
				s.waitForLeader()
				time.Sleep(3 * time.Second)
				startedAt := time.Now()
				s.operate(startedAt, c.evacuations)
				failed := false
				for i := 0; time.Since(startedAt) < loadTime; i++ {
					if !failed && time.Since(startedAt) > c.evacuations[0].from-700*time.Millisecond {
						failed = true
						c.fail(s)
					}
					go s.submit(s.gateways[i%gatewayCount], steadyJob(i))
					time.Sleep(150 * time.Millisecond)
				}
				s.store.SetFaults(standin.KeyedStoreFaults{})
				s.mu.Lock()
				s.storeCallHangs = nil
				s.mu.Unlock()
				time.Sleep(20 * time.Second)
				_, after := s.checkEvacuations(startedAt, c.evacuations, c.bound)
				if after == 0 {
					t.Error("got no start after the zone was taken back, want some")
				}
				s.gateways = s.gatewaysAlive()
				s.checkJobs(nil)
			})
		})
	}
}

// steadyJob returns a job of two tasks. One each 150 ms is more than one zone can take.
func steadyJob(i int) pv.Job {
	return pv.Job{ID: pv.JobID(fmt.Sprintf("%016x", i)), Payload: "p", Steps: []pv.Step{{Count: 2, Size: pv.Resources{MilliCores: taskMilliCores, MemoryMB: 100}, Estimate: taskRunTime}}}
}

// leadingGateway returns the gateway that leads.
func (s *siteHarness) leadingGateway() *process {
	for _, p := range s.gateways {
		if p.leader.Leading() {
			return p
		}
	}
	s.t.Fatal("got no leader, want one")
	return nil
}

// gatewaysAlive returns the gateways that answer, first.
func (s *siteHarness) gatewaysAlive() []*process {
	var alive []*process
	for _, p := range s.gateways {
		if s.state(p, "neverSubmitted").Result == gateway.UnknownJob {
			alive = append(alive, p)
		}
	}
	if len(alive) == 0 {
		s.t.Fatal("got no gateway that answers, want some")
	}
	return alive
}

// The shortest bound leaves supervisors the time for which they carry out orders.
func TestShortestEvacuationBound(t *testing.T) {
	const startPermission = 1100 * time.Millisecond
	if left := leader.MinEvacuationBound / 2; left < startPermission {
		t.Errorf("got %v left of the shortest bound, want %v or more", left, startPermission)
	}
}
