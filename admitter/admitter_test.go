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
	c := New(Settings{Places: 10, QueueTotal: 40, QueuePlan: 25, FirstGuess: 10 * time.Millisecond})
	c.Configure(now, &pv.Configuration{
		Version: 1,
		Plans: pv.Plans{Plans: []pv.Plan{
			{Name: "quick", Class: pv.Urgent}, {Name: "flood", Class: pv.Urgent}, {Name: "slow", Class: pv.Heavy},
		}},
		Allowances: pv.Allowances{Allowances: []pv.Allowance{
			{Plan: "quick", RequestsPerSec: 600, Burst: 600}, {Plan: "flood", RequestsPerSec: 200, Burst: 200}, {Plan: "slow", RequestsPerSec: 200, Burst: 200},
		}},
	}, 1)
	return c
}

// Whatever is offered, ended or withdrawn: places and queues keep their bounds,
// every waiting ticket is decided once, and none is admitted after its deadline.
func TestBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		c := newCore(now)
		var busy []string
		waiting := map[*Ticket]bool{}
		name := func() string { return rapid.SampledFrom([]string{"quick", "flood", "slow"}).Draw(t, "plan") }
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				k := &Ticket{Plan: name(), Deadline: now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)}
				k.Decided = func(reason pv.Reason) {
					if !waiting[k] {
						t.Fatalf("decided a ticket that doesn't wait")
					}
					delete(waiting, k)
					if reason == pv.NoReason {
						busy = append(busy, k.Plan)
						if now.After(k.Deadline) {
							t.Fatalf("admitted %s after its deadline", now.Sub(k.Deadline))
						}
					}
				}
				switch d := c.Offer(now, k); {
				case d.Admitted:
					busy = append(busy, k.Plan)
				case d.Waiting:
					waiting[k] = true
				}
			},
			"done": func(*rapid.T) {
				if len(busy) > 0 {
					plan := busy[0]
					busy = busy[1:]
					c.Done(now, plan, 10*time.Millisecond)
				}
			},
			"withdraw": func(*rapid.T) {
				for k := range waiting {
					if c.Withdraw(k) {
						delete(waiting, k)
					}
					return
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
				c.Expire(now)
			},
			"": func(t *rapid.T) {
				b, w := c.Load()
				if b != len(busy) || w != len(waiting) || b > 10 || w > 40 {
					t.Fatalf("got %d busy %d waiting, want %d and %d within 10 and 40", b, w, len(busy), len(waiting))
				}
			},
		})
	})
}

// A flood that fills places and queue costs another plan of the same class
// nothing of its guaranteed share.
func TestFloodKeepsOthersShare(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newCore(now)
	late := now.Add(time.Hour)
	for range 60 {
		c.Offer(now, &Ticket{Plan: "flood", Deadline: late, Decided: func(pv.Reason) {}})
	}
	admitted := 0
	for range 6 {
		c.Offer(now, &Ticket{Plan: "quick", Deadline: late, Decided: func(pv.Reason) { admitted++ }})
	}
	for range 6 {
		c.Done(now, "flood", time.Millisecond)
	}
	if got, want := admitted, 6; got != want {
		t.Errorf("admitted of the guaranteed plan after 6 places came free: got %d, want %d", got, want)
	}
}

func TestRefusals(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newCore(now)
	if got := c.Offer(now, &Ticket{Plan: "nobody", Deadline: now.Add(time.Hour)}).Reason; got != pv.ReasonNoPlan {
		t.Errorf("unknown plan: got %s, want %s", got, pv.ReasonNoPlan)
	}
	if got := c.Offer(now, &Ticket{Plan: "quick", Deadline: now.Add(time.Millisecond)}).Reason; got != pv.ReasonDeadline {
		t.Errorf("too late: got %s, want %s", got, pv.ReasonDeadline)
	}
	for range 200 {
		c.Spend(now, "slow")
	}
	if got := c.Offer(now, &Ticket{Plan: "slow", Deadline: now.Add(time.Hour)}).Reason; got != pv.ReasonRate {
		t.Errorf("over the rate: got %s, want %s", got, pv.ReasonRate)
	}
}
