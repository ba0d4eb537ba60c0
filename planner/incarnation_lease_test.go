package planner

import (
	"testing"
	"time"
)

// TWICE: a call that was meant for a former incarnation gave the next one a lease of MaxLease.
// The leader took it for lapsed LeaseDuration after its last poll result.
func TestLeaseLeftByCallsForFormerIncarnations(t *testing.T) {
	s := DefaultSettings()
	drift := func(d time.Duration) time.Duration { return s.maxRealTime(d) }
	firstRead := firstClock + time.Second // by the first poll of a harness
	for _, c := range []struct {
		name        string
		fencedSince time.Duration
		wait        time.Duration // from the last poll result until the lease has certainly lapsed
	}{
		{"fenced by this answer", firstRead, drift(s.MaxLease)},
		{"fenced before", firstRead - time.Second, drift(s.MaxLease - time.Second)},
		{"fenced long before", firstRead - s.MaxLease, drift(s.LeaseDuration)},
		{"not known", -1, drift(s.MaxLease)},
		{"in the future", firstRead + time.Hour, drift(s.MaxLease)},
	} {
		for _, takeover := range []bool{false, true} {
			h := newHarness(t)
			if takeover {
				h = h.successor()
			}
			h.reportPoll("w", 1, PollResult{FencedSince: c.fencedSince})
			h.sendOrders("w")
			h.submit("j", stepWithTasks(1))
			h.tickAndCommit()
			h.sendOrders("w")
			readAt := h.p.workers["w"].lease.readAt
			for len(h.p.workers["w"].runs) > 0 && h.now.Sub(readAt) < time.Minute {
				h.advance(10 * time.Millisecond)
			}
			if got := h.now.Sub(readAt); got < c.wait || got > c.wait+s.LapseMargin+50*time.Millisecond {
				t.Errorf("%s, takeover %t: got the run ended %v after the last poll result, want %v and at most the margin more", c.name, takeover, got, c.wait)
			}
		}
	}
}

// A worker that has answered a poll lately may get runs, whatever lease a call for a former
// incarnation may have left: that isn't one to count on.
func TestLeaseOfFormerIncarnationGrantsNothing(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{FencedSince: -1})
	h.now = h.now.Add(h.p.settings.LeaseDuration - minRemainingLease)
	if got, want := h.p.workers["w"].lease.remaining(h.now), minRemainingLease; got != want {
		t.Errorf("got %v of the lease left, want %v, which was granted", got, want)
	}
}
