package supervisor

// This file defines how the supervisor's time is derived from readings of the worker's
// clock, which arrive with poll results.

import (
	"slices"
	"time"
)

// clockReadingWindow is how long a reading is used. The worker's clock runs up to 2% slow,
// so that a time derived from an older reading would be more than 80 ms too early.
const clockReadingWindow = 4 * time.Second

// clockReadings are the readings of the worker's clock in the last clockReadingWindow. The
// least delayed of them counts: one that arrives late must not make an earlier value of
// the clock seem later than it was.
type clockReadings []clockReading

type clockReading struct {
	receivedAt time.Time
	clock      time.Duration
}

// add adds a reading that has just arrived.
func (r *clockReadings) add(now time.Time, clock time.Duration) {
	*r = slices.DeleteFunc(*r, func(o clockReading) bool { return now.Sub(o.receivedAt) > clockReadingWindow })
	*r = append(*r, clockReading{now, clock})
}

// timeOf returns the time at which the worker's clock read the given value. It returns
// false if there is no reading.
func (r clockReadings) timeOf(clock time.Duration) (time.Time, bool) {
	var first time.Time
	for _, o := range r {
		if at := o.receivedAt.Add(clock - o.clock); first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first, len(r) > 0
}
