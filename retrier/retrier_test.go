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
	mayHaveRun, notRun := Failure{Reason: pv.ReasonAnswerIncomplete}, Failure{Reason: pv.ReasonEndpointFull, NotRun: true}
	tests := []struct {
		name    string
		request Request
		failure Failure
		want    pv.Reason
	}{
		{"idempotent work that may have run", Request{Attempts: 1, RetryLimit: 3, Idempotent: true, Deadline: distant}, mayHaveRun, pv.NoReason},
		{"non-idempotent work that may have run", Request{Attempts: 1, RetryLimit: 3, Deadline: distant}, mayHaveRun, pv.ReasonAnswerIncomplete},
		{"non-idempotent work that hasn't run", Request{Attempts: 1, RetryLimit: 3, Deadline: distant}, notRun, pv.NoReason},
		{"limit", Request{Attempts: 4, RetryLimit: 3, Idempotent: true, Deadline: distant}, mayHaveRun, pv.ReasonAttemptsExhausted},
		{"deadline", Request{Attempts: 1, RetryLimit: 3, Idempotent: true, Deadline: now.Add(-time.Second)}, mayHaveRun, pv.ReasonDeadlineTooClose},
	}
	for _, s := range tests {
		c := New(DefaultSettings(), rand.New(rand.NewPCG(1, 1)))
		if _, got := c.NextBackoff(now, s.request, s.failure); got != s.want {
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
		c.RecordFirstAttempt()
		for attempts := 1; ; attempts++ {
			if _, reason := c.NextBackoff(now, Request{Attempts: attempts, RetryLimit: 10, Idempotent: true, Deadline: now.Add(time.Hour)}, Failure{Reason: pv.ReasonAnswerIncomplete}); reason != pv.NoReason {
				break
			}
			retries++
		}
	}
	if got, limit := retries, requests/10+50; got > limit {
		t.Errorf("retries: got %d, want at most %d", got, limit)
	}
}
