package supervisor

// This file defines how the age of orders is determined. Orders name the reading of the
// worker's clock that their leader had received last, so they were sent after the
// supervisor received that reading.

import (
	"slices"
	"time"
)

// clockReadingRetention is how long readings are kept; orders that name an older one permit
// nothing any more.
const clockReadingRetention = 4 * time.Second

// clockReadings are the readings of the worker's clock that arrived with poll results in the
// last clockReadingRetention, in order.
type clockReadings []clockReading

type clockReading struct {
	clock      time.Duration
	receivedAt time.Time
}

// add adds a reading that has just arrived.
func (r *clockReadings) add(now time.Time, clock time.Duration) {
	*r = slices.DeleteFunc(*r, func(o clockReading) bool { return now.Sub(o.receivedAt) > clockReadingRetention })
	*r = append(*r, clockReading{clock.Truncate(time.Millisecond), now}) // orders name it in milliseconds
}

// receivedAt returns when the newest reading that isn't later than the given one was
// received. It returns false if none is kept.
func (r clockReadings) receivedAt(clock time.Duration) (time.Time, bool) {
	for _, o := range slices.Backward(r) {
		if o.clock <= clock {
			return o.receivedAt, true
		}
	}
	return time.Time{}, false
}
