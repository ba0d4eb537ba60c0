package scheduler

import (
	"regexp"
	"testing"
	"time"

	"pgregory.net/rapid"

	pv "persimmonvalve"
	"persimmonvalve/internal/fuzz"
)

// drive runs the model with any mix of faults; mutate breaks something first.
func drive(t *rapid.T, mutate func(*model), totals map[string]int) {
	m := newModel(t)
	mutate(m)
	m.populate(3, 3)
	for range 30 {
		m.now = m.now.Add(m.holding.Poll)
		m.round()
	}
	actions := m.actions()
	for name, action := range actions {
		actions[name] = func(t *rapid.T) {
			if name != "" {
				totals["steps"]++
			}
			action(t)
		}
	}
	t.Repeat(actions)
	m.settle()
	for fault, n := range m.faults {
		totals[fault] += n
	}
	totals["tasks"] += m.submitted
	totals["attempts"] += len(m.places)
}

// TestCellUnderFaults drives three holders and three workers through any mix
// of faults and checks the promises at every step.
func TestCellUnderFaults(t *testing.T) {
	totals := map[string]int{}
	rapid.Check(t, func(t *rapid.T) { drive(t, func(*model) {}, totals) })
	t.Logf("steps and faults: %v", totals)
}

// TestMutantsAreCaught shows that the oracle bites: each mutant breaks one
// mechanism, and the same model with the same seed must notice.
func TestMutantsAreCaught(t *testing.T) {
	fuzz.LimitChecks("400")
	defer fuzz.SetFlags()
	mutants := []struct {
		name   string
		mutate func(*model)
		want   string // of the oracle's complaint
	}{
		{
			name:   "a successor doesn't wait for its predecessor's authority",
			mutate: func(m *model) { m.settings.Authority = -modelLease },
			want:   `runs on w\d|ran on worker`,
		},
		{
			name:   "a worker's clock drifts more than the margin",
			mutate: func(m *model) { m.rates = []float64{0.5} },
			want:   `runs on w\d|ran on worker`,
		},
		{
			name:   "starts reserve nothing",
			mutate: func(m *model) { m.placer = firstFit{lie: 0} },
			want:   `worker w\d runs`,
		},
		{
			name:   "a holder never loses its authority",
			mutate: func(m *model) { m.holding.Authority = 24 * time.Hour },
			want:   `runs on w\d|ran on worker`,
		},
		{
			name:   "retention is shorter than the pause between snapshots",
			mutate: func(m *model) { m.holding.SnapshotEvery = 24 * time.Hour },
			want:   `not all tasks ended`,
		},
	}
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			totals := map[string]int{}
			caught, text := fuzz.Caught(func(t *rapid.T) { drive(t, m.mutate, totals) })
			if !caught || !regexp.MustCompile(m.want).MatchString(text) {
				t.Errorf("got caught=%v %.300s, want %s", caught, text, m.want)
			}
			t.Logf("caught, %d steps with shrinking", totals["steps"])
		})
	}
}

var _ pv.Placer = firstFit{}
