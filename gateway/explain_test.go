package gateway_test

import (
	"encoding/json"
	"testing"
	"time"

	"persimmonvalve/gateway"
	"persimmonvalve/internal/pipenet"
	"persimmonvalve/planner"
)

// Any gateway explains where a job would go, and submits nothing.
func TestGatewayExplains(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		s := newSiteHarness(t, 1)
		defer s.close()
		s.waitForLeader()
		time.Sleep(3 * time.Second)
		for _, p := range s.gateways {
			answer, err := p.gateway.Explain(t.Context(), steadyJob(1), siteQueue)
			var got planner.Explanation
			if err != nil || answer.Result != gateway.Done || json.Unmarshal([]byte(answer.Detail), &got) != nil || len(got.Steps) != 1 || got.Steps[0].Chosen == "" || len(got.Steps[0].Workers) != workerCount {
				t.Errorf("got %+v, %v, want a worker chosen of %d", answer, err, workerCount)
			}
		}
		if a := s.state(s.gateways[0], steadyJob(1).ID); a.Result != gateway.UnknownJob {
			t.Errorf("got state %+v of the explained job, want %s", a, gateway.UnknownJob)
		}
	})
}
