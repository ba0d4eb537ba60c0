package supervisor

import (
	"testing"
	"time"
)

// Fillers begin slowly beside serving tasks, are cut well below the target, and
// sped up step by step.
func TestPacer(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := newPacer()
	p.settle(false)
	if p.pace != fullPace {
		t.Errorf("got %d percent without serving tasks, want %d", p.pace, fullPace)
	}
	p.settle(true)
	if p.pace != firstPace {
		t.Errorf("got %d percent beside serving tasks at first, want %d", p.pace, firstPace)
	}
	look := func(worst float64) int {
		now = now.Add(time.Second)
		return p.next(now, worst)
	}
	if got := look(0.2); got <= firstPace {
		t.Errorf("got %d percent far below the target, want above %d", got, firstPace)
	}
	before := p.pace
	if got := look(0.75); got >= before {
		t.Errorf("got %d percent near the target, want below %d", got, before)
	}
	for range 8 {
		look(1.5)
	}
	if p.pace != 0 {
		t.Errorf("got %d percent far above the target, want 0", p.pace)
	}
	for range 30 {
		look(0.1)
	}
	if p.pace != fullPace {
		t.Errorf("got %d percent after a quiet time, want %d", p.pace, fullPace)
	}
}
