package retrier

import (
	"math/rand/v2"
	"testing"
	"time"

	pv "persimmonvalve"
)

func TestNext(t *testing.T) {
	now := time.Unix(1000, 0)
	late := now.Add(time.Hour)
	cut, notRun := Failure{Reason: pv.ReasonCut}, Failure{Reason: pv.ReasonEndpointFul, NotRun: true}
	tests := []struct {
		name    string
		request Request
		failure Failure
		want    pv.Reason
	}{
		{"idempotent work that may have run", Request{Tries: 1, Limit: 3, Idempotent: true, Deadline: late}, cut, pv.NoReason},
		{"other work that may have run", Request{Tries: 1, Limit: 3, Deadline: late}, cut, pv.ReasonCut},
		{"other work that hasn't run", Request{Tries: 1, Limit: 3, Deadline: late}, notRun, pv.NoReason},
		{"limit", Request{Tries: 4, Limit: 3, Idempotent: true, Deadline: late}, cut, pv.ReasonAttempts},
		{"deadline", Request{Tries: 1, Limit: 3, Idempotent: true, Deadline: now.Add(-time.Second)}, cut, pv.ReasonDeadline},
	}
	for _, s := range tests {
		c := New(DefaultSettings(), rand.New(rand.NewPCG(1, 1)))
		if _, got := c.Next(now, s.request, s.failure); got != s.want {
			t.Errorf("%s: got %q, want %q", s.name, got, s.want)
		}
	}
}

// When everything fails, retries stay a tenth of the first tries beyond the
// saved reserve: there is no storm.
func TestNoStorm(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(DefaultSettings(), rand.New(rand.NewPCG(1, 1)))
	retries := 0
	const first = 10000
	for range first {
		c.First()
		for tries := 1; ; tries++ {
			if _, stop := c.Next(now, Request{Tries: tries, Limit: 10, Idempotent: true, Deadline: now.Add(time.Hour)}, Failure{Reason: pv.ReasonCut}); stop != pv.NoReason {
				break
			}
			retries++
		}
	}
	if got, most := retries, first/10+50; got > most {
		t.Errorf("retries: got %d, want at most %d", got, most)
	}
}
