package retrier

import (
	"math/rand/v2"
	"testing"
	"time"

	pv "persimmonvalve"
)

func TestNext(t *testing.T) {
	now := time.Unix(1000, 0)
	distant := now.Add(time.Hour)
	mayHaveRun, notRun := Failure{Reason: pv.ReasonCut}, Failure{Reason: pv.ReasonEndpointFul, NotRun: true}
	tests := []struct {
		name    string
		request Request
		failure Failure
		want    pv.Reason
	}{
		{"idempotent work that may have run", Request{Tries: 1, Limit: 3, Idempotent: true, Deadline: distant}, mayHaveRun, pv.NoReason},
		{"other work that may have run", Request{Tries: 1, Limit: 3, Deadline: distant}, mayHaveRun, pv.ReasonCut},
		{"other work that hasn't run", Request{Tries: 1, Limit: 3, Deadline: distant}, notRun, pv.NoReason},
		{"limit", Request{Tries: 4, Limit: 3, Idempotent: true, Deadline: distant}, mayHaveRun, pv.ReasonAttempts},
		{"deadline", Request{Tries: 1, Limit: 3, Idempotent: true, Deadline: now.Add(-time.Second)}, mayHaveRun, pv.ReasonDeadline},
	}
	for _, s := range tests {
		c := New(DefaultSettings(), rand.New(rand.NewPCG(1, 1)))
		if _, got := c.Next(now, s.request, s.failure); got != s.want {
			t.Errorf("%s: got %q, want %q", s.name, got, s.want)
		}
	}
}

// When all requests fail, the retries must not exceed a tenth of the first
// attempts plus the initial budget, so that there is no retry storm.
func TestBudgetLimitsRetries(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(DefaultSettings(), rand.New(rand.NewPCG(1, 1)))
	retries := 0
	const requests = 10000
	for range requests {
		c.First()
		for attempts := 1; ; attempts++ {
			if _, reason := c.Next(now, Request{Tries: attempts, Limit: 10, Idempotent: true, Deadline: now.Add(time.Hour)}, Failure{Reason: pv.ReasonCut}); reason != pv.NoReason {
				break
			}
			retries++
		}
	}
	if got, limit := retries, requests/10+50; got > limit {
		t.Errorf("retries: got %d, want at most %d", got, limit)
	}
}
