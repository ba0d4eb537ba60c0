package experimenter

import (
	"sync"
	"testing"
)

// Guards against results that depend on goroutine scheduling or map order: three
// concurrent runs of one simulation with the same seed must give the same row.
func TestRowIsDeterministicForSeed(t *testing.T) {
	noisy := scenarios()[1]
	var rows [3]Row
	var group sync.WaitGroup
	for i := range rows {
		group.Go(func() {
			sim := newSimulation(sites[0], noisy, policies()[1], 1)
			rows[i] = sim.row(sim.run())
		})
	}
	group.Wait()
	for _, r := range rows[1:] {
		got, want := r.fields(), rows[0].fields()
		for i := range want {
			if got[i] != want[i] {
				t.Errorf("column %s: got %s, want %s as in the first run", header[i], got[i], want[i])
			}
		}
	}
}
