package supervisor

// This file defines how the age of orders is determined. Orders name the reading of the
// worker's clock that their leader had received last, so they were sent after the
// supervisor received that reading.

import (
	"slices"
	"time"
)

// clockReadingRetention is how long readings are kept. Orders that name an older one permit
// nothing any more, and no poll that is still in progress can return it again.
const clockReadingRetention = startPermission + pollWait + pollMargin

// clockReadings are the readings of the worker's clock that arrived with poll results in the
// last clockReadingRetention, in order.
type clockReadings []clockReading

type clockReading struct {
	clock      time.Duration
	receivedAt time.Time
}

// add adds a reading that has just arrived. Of equal ones the first is kept.
func (r *clockReadings) add(now time.Time, clock time.Duration) {
	clock = clock.Truncate(time.Millisecond) // orders name it in milliseconds
	*r = slices.DeleteFunc(*r, func(o clockReading) bool { return now.Sub(o.receivedAt) > clockReadingRetention })
	if _, ok := r.arrival(clock); !ok {
		*r = append(*r, clockReading{clock, now})
	}
}

// arrival returns when a reading was received. It returns false if it isn't known.
func (r clockReadings) arrival(clock time.Duration) (time.Time, bool) {
	for _, o := range r {
		if o.clock == clock {
			return o.receivedAt, true
		}
	}
	return time.Time{}, false
}
