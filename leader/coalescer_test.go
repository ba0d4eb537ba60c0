package leader

import (
	"math/rand/v2"
	"testing"
)

// Each item is in one call, which starts after the item came, and few calls are in progress.
func TestCoalescer(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		var c coalescer[int]
		calls, inProgress, added := 0, 0, 0
		seen := map[int]int{}
		c.start = func(items []int) {
			calls++
			inProgress++
			if inProgress > maxCoalescedCalls {
				t.Fatalf("seed %d: got %d calls in progress, want at most %d", seed, inProgress, maxCoalescedCalls)
			}
			for _, item := range items {
				seen[item]++
			}
		}
		end := func() {
			inProgress--
			c.done()
		}
		for range 300 {
			if random.IntN(3) > 0 {
				c.add(added)
				added++
			} else if inProgress > 0 {
				end()
			}
		}
		for inProgress > 0 {
			end()
		}
		for item := range added {
			if seen[item] != 1 {
				t.Fatalf("seed %d: got item %d in %d calls, want 1", seed, item, seen[item])
			}
		}
		if calls >= added {
			t.Errorf("seed %d: got %d calls for %d items, want fewer", seed, calls, added)
		}
	}
}
