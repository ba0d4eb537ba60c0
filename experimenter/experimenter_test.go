package experimenter

import (
	"sync"
	"testing"
)

// The same seed gives the same row on every run.
func TestSameRowForASeed(t *testing.T) {
	noisy := scenarios()[1]
	var rows [3]Row
	var group sync.WaitGroup
	for i := range rows {
		group.Go(func() {
			w := newWorld(sites[0], noisy, policies()[1], 1)
			rows[i] = w.row(w.run())
		})
	}
	group.Wait()
	for _, r := range rows[1:] {
		got, want := r.fields(), rows[0].fields()
		for i := range want {
			if got[i] != want[i] {
				t.Errorf("%s: got %s, want %s", header[i], got[i], want[i])
			}
		}
	}
}
