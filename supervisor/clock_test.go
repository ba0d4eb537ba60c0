package supervisor

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A time derived from the worker's clock was later than it was by the delay of one reading.
// It mustn't become earlier and earlier either when the clock runs slow.
func TestClockReadingsUnderDriftAndDelay(t *testing.T) {
	const (
		interval = 500 * time.Millisecond // between two readings
		maxDelay = 5 * time.Millisecond   // of a reading that isn't late
	)
	for _, rate := range []float64{1, 0.98} {
		random := rand.New(rand.NewPCG(1, 1))
		start := time.Unix(0, 0)
		var r clockReadings
		for i := range 7200 {
			readAt := start.Add(time.Duration(i) * interval)
			clock := time.Duration(float64(i) * rate * float64(interval))
			delay := time.Duration(random.Int64N(int64(maxDelay)))
			if i%8 > 3 { // four readings of eight
				delay += 400 * time.Millisecond
			}
			r.add(readAt.Add(delay), clock)
			got, ok := r.timeOf(clock)
			if !ok {
				t.Fatal("got no time after a reading, want one")
			}
			if d := got.Sub(readAt); d > maxDelay || d < -clockReadingWindow*2/100 {
				t.Fatalf("rate %v, reading %d: got a time %v after the reading, want %v to %v", rate, i, d, -clockReadingWindow*2/100, maxDelay)
			}
		}
	}
}
