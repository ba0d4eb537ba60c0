package planner

// This file defines what a leader knows of the lease of one incarnation of a worker.
//
// A lease ends at a reading of the incarnation's own clock. When a poll result with reading c
// arrives at time t, the clock has reached c by t, so it reaches the lease end u by
//
//	t + (u - c) / (1 - MaxClockDrift)
//
// Delayed calls for this incarnation can't extend its lease past the highest u that was sent to
// it. Calls that were meant for a former incarnation under the same id may reach this one too:
// in flight when the worker restarted, repeated afterwards, or carried out late. Their lease
// ends are readings of another clock, so they can be any; the worker shortens them to MaxLease
// from its reading at that time. They take effect until it has answered a poll under a fencing
// token of its own. If it had done so by reading f, they end its lease by
//
//	f + MaxLease

import "time"

// incarnationLease is what a leader knows of the lease of one incarnation of a worker. All its
// readings are of that incarnation's clock, so a new incarnation begins with the zero value.
type incarnationLease struct {
	clock   time.Duration // last reading
	readAt  time.Time     // when it arrived; zero before the first
	granted time.Duration // latest end that this leader has sent, or will send with the first orders
	longest time.Duration // the lease ends by this reading, whoever has sent it
}

// known reports whether a reading of the incarnation's clock has arrived.
func (l *incarnationLease) known() bool { return !l.readAt.IsZero() }

// read records a poll result of the incarnation under a token of its own.
func (l *incarnationLease) read(now time.Time, poll *PollResult, s Settings) {
	if !l.known() {
		fenced := poll.FencedSince
		if fenced <= 0 || fenced > poll.Clock {
			fenced = poll.Clock
		}
		// A former leader renewed the lease at most to LeaseDuration after its last reading
		// of this clock, and that reading isn't later than this one.
		l.granted = poll.Clock + s.LeaseDuration
		l.longest = max(l.granted, fenced+s.MaxLease)
	}
	l.clock, l.readAt = poll.Clock, now
}

// renew extends the lease to LeaseDuration after the last reading and returns its end.
func (l *incarnationLease) renew(s Settings) time.Duration {
	end := l.clock + s.LeaseDuration
	l.granted = max(l.granted, end)
	l.longest = max(l.longest, end)
	return end
}

// remaining returns the time for which the incarnation holds the lease that this leader has
// granted; its clock may be slow.
func (l *incarnationLease) remaining(now time.Time) time.Duration {
	return l.granted - l.clock - now.Sub(l.readAt)
}

// lapseTime returns when the lease has certainly lapsed.
func (l *incarnationLease) lapseTime(s Settings) time.Time {
	return l.readAt.Add(s.maxRealTime(l.longest-l.clock) + s.LapseMargin)
}
