package supervisor

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Orders looked younger than they are by the delay of another reading than theirs, or older
// beside a clock that runs slow.
func TestClockReadingsUnderDriftAndDelay(t *testing.T) {
	const interval = 500 * time.Millisecond // between two readings
	for _, rate := range []float64{1, 0.98} {
		random := rand.New(rand.NewPCG(1, 1))
		start := time.Unix(0, 0)
		var readings clockReadings
		clocks, arrivals := []time.Duration{}, []time.Time{}
		for i := range 7200 {
			clock := time.Duration(float64(i+1) * rate * float64(interval))
			delay := time.Duration(random.Int64N(int64(5 * time.Millisecond)))
			if i%8 > 3 { // four readings of eight
				delay += 400 * time.Millisecond
			}
			now := start.Add(time.Duration(i)*interval + delay)
			readings.add(now, clock)
			clocks, arrivals = append(clocks, clock.Truncate(time.Millisecond)), append(arrivals, now)
			for named := max(0, i-12); named <= i; named++ {
				got, ok := readings.arrival(clocks[named])
				kept := now.Sub(arrivals[named]) <= clockReadingRetention
				if ok != kept || ok && !got.Equal(arrivals[named]) {
					t.Fatalf("rate %v, reading %d of %d: got %v, %t, want %v, %t", rate, named, i, got, ok, arrivals[named], kept)
				}
			}
		}
	}
}

// Orders looked younger than they are, by the delay of a later poll result: it had the same
// reading of the worker's clock, in milliseconds, as the one that the orders name.
func TestAgeOfOrdersCountsFromFirstOfEqualReadings(t *testing.T) {
	first := time.Unix(0, 0)
	const clock, delay = 10 * time.Second, 1200 * time.Millisecond
	var readings clockReadings
	readings.add(first, clock)
	readings.add(first.Add(delay), clock) // the worker answered 0.3 ms later, the network 1.2 s later
	got, ok := readings.arrival(clock)
	if !ok || !got.Equal(first) {
		t.Errorf("got a reading received after %v, %t, want it received after 0s", got.Sub(first), ok)
	}
}
