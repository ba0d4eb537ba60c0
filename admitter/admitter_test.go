package admitter

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	pv "persimmonvalve"
	"persimmonvalve/internal/fuzz"
)

func TestMain(m *testing.M) {
	fuzz.SetFlags()
	m.Run()
}

func newCore(now time.Time) *Core {
	c := New(Settings{MaxConcurrencyLimit: 10, MaxQueued: 40, MaxQueuedPerPlan: 25, InitialServiceTime: 10 * time.Millisecond})
	c.Configure(now, &pv.Configuration{
		Version: 1,
		Plans: pv.Plans{Plans: []pv.Plan{
			{Name: "quick", Class: pv.ClassUrgent}, {Name: "flood", Class: pv.ClassUrgent}, {Name: "slow", Class: pv.ClassHeavy},
		}},
		Allowances: pv.Allowances{Allowances: []pv.Allowance{
			{Plan: "quick", RequestsPerSecond: 600, Burst: 600}, {Plan: "flood", RequestsPerSecond: 200, Burst: 200}, {Plan: "slow", RequestsPerSecond: 200, Burst: 200},
		}},
	}, 1)
	return c
}

// Under any sequence of offers, ends and withdrawals, the limits of concurrency
// and of the queues hold, every queued ticket is decided at most once, and no
// ticket is admitted after its deadline.
func TestBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		c := newCore(now)
		var inProgress []string
		queued := map[*Ticket]bool{}
		name := func() string { return rapid.SampledFrom([]string{"quick", "flood", "slow"}).Draw(t, "plan") }
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				ticket := &Ticket{Plan: name(), Deadline: now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)}
				ticket.OnDecision = func(reason pv.Reason) {
					if !queued[ticket] {
						t.Fatalf("decided a ticket that is not queued")
					}
					delete(queued, ticket)
					if reason == pv.NoReason {
						inProgress = append(inProgress, ticket.Plan)
						if now.After(ticket.Deadline) {
							t.Fatalf("admitted %s after its deadline", now.Sub(ticket.Deadline))
						}
					}
				}
				switch d := c.Offer(now, ticket); {
				case d.Admitted:
					inProgress = append(inProgress, ticket.Plan)
				case d.Queued:
					queued[ticket] = true
				}
			},
			"done": func(*rapid.T) {
				if len(inProgress) > 0 {
					plan := inProgress[0]
					inProgress = inProgress[1:]
					c.RequestEnded(now, plan, 10*time.Millisecond)
				}
			},
			"withdraw": func(*rapid.T) {
				for ticket := range queued {
					if c.Withdraw(ticket) {
						delete(queued, ticket)
					}
					return
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
				c.Expire(now)
			},
			"": func(t *rapid.T) {
				inProgressCount, queuedCount := c.Load()
				if inProgressCount != len(inProgress) || queuedCount != len(queued) || inProgressCount > 10 || queuedCount > 40 {
					t.Fatalf("got %d in progress and %d queued, want %d and %d, at most 10 and 40", inProgressCount, queuedCount, len(inProgress), len(queued))
				}
			},
		})
	})
}

// A plan whose requests fill the concurrency limit and the queue takes nothing
// from the guaranteed share of another plan of the same class.
func TestFloodKeepsOthersShare(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newCore(now)
	distant := now.Add(time.Hour)
	for range 60 {
		c.Offer(now, &Ticket{Plan: "flood", Deadline: distant, OnDecision: func(pv.Reason) {}})
	}
	admitted := 0
	for range 6 {
		c.Offer(now, &Ticket{Plan: "quick", Deadline: distant, OnDecision: func(pv.Reason) { admitted++ }})
	}
	for range 6 {
		c.RequestEnded(now, "flood", time.Millisecond)
	}
	if got, want := admitted, 6; got != want {
		t.Errorf("admitted requests of the guaranteed plan after 6 others ended: got %d, want %d", got, want)
	}
}

func TestRefusals(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newCore(now)
	if got := c.Offer(now, &Ticket{Plan: "nobody", Deadline: now.Add(time.Hour)}).Reason; got != pv.ReasonUnknownPlan {
		t.Errorf("unknown plan: got %s, want %s", got, pv.ReasonUnknownPlan)
	}
	if got := c.Offer(now, &Ticket{Plan: "quick", Deadline: now.Add(time.Millisecond)}).Reason; got != pv.ReasonDeadlineTooClose {
		t.Errorf("deadline too close: got %s, want %s", got, pv.ReasonDeadlineTooClose)
	}
	for range 200 {
		c.ConsumeRate(now, "slow")
	}
	if got := c.Offer(now, &Ticket{Plan: "slow", Deadline: now.Add(time.Hour)}).Reason; got != pv.ReasonRateExceeded {
		t.Errorf("over the rate: got %s, want %s", got, pv.ReasonRateExceeded)
	}
}
