package scheduler

import (
	"regexp"
	"testing"
	"time"

	"pgregory.net/rapid"

	pv "persimmonvalve"
	"persimmonvalve/internal/fuzz"
)

// driveModel runs the model with a random mix of faults after mutate has changed
// it, and adds its counts to totals.
func driveModel(t *rapid.T, mutate func(*model), totals map[string]int) {
	m := newModel(t)
	mutate(m)
	m.populate(3, 3)
	for range 30 {
		m.now = m.now.Add(m.holderSettings.PollInterval)
		m.runRound()
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
	m.runUntilAllEnded()
	for event, n := range m.eventCounts {
		totals[event] += n
	}
	totals["tasks"] += m.submitted
	totals["attempts"] += len(m.attemptWorkers)
}

// TestCellUnderFaults drives three holders and three workers through a random mix
// of faults and checks the cell's guarantees after every step.
func TestCellUnderFaults(t *testing.T) {
	totals := map[string]int{}
	rapid.Check(t, func(t *rapid.T) { driveModel(t, func(*model) {}, totals) })
	t.Logf("steps, events, tasks and attempts: %v", totals)
}

// TestMutantsAreCaught tests the oracle: each mutant breaks one mechanism, and the
// same model with the same seed must fail.
func TestMutantsAreCaught(t *testing.T) {
	fuzz.FixChecks("400")
	defer fuzz.SetFlags()
	mutants := []struct {
		name   string
		mutate func(*model)
		want   string // regexp of the oracle's failure message
	}{
		{
			name:   "a successor doesn't wait for its predecessor's authority",
			mutate: func(m *model) { m.schedulerSettings.AuthorityTimeout = -modelLeaseDuration },
			want:   `runs on w\d|ran on worker`,
		},
		{
			name:   "a worker's clock drifts more than the margin",
			mutate: func(m *model) { m.clockRates = []float64{0.5} },
			want:   `runs on w\d|ran on worker`,
		},
		{
			name:   "starts reserve nothing",
			mutate: func(m *model) { m.placer = firstFit{reserveFactor: 0} },
			want:   `worker w\d runs`,
		},
		{
			name:   "a holder never loses its authority",
			mutate: func(m *model) { m.holderSettings.AuthorityTimeout = 24 * time.Hour },
			want:   `runs on w\d|ran on worker`,
		},
		{
			name:   "retention is shorter than the pause between snapshots",
			mutate: func(m *model) { m.holderSettings.SnapshotInterval = 24 * time.Hour },
			want:   `not all tasks ended`,
		},
	}
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			totals := map[string]int{}
			caught, text := fuzz.FindsFailure(func(t *rapid.T) { driveModel(t, m.mutate, totals) })
			if !caught || !regexp.MustCompile(m.want).MatchString(text) {
				t.Errorf("got caught=%v with message %.300s, want a failure that matches %s", caught, text, m.want)
			}
			t.Logf("steps until the mutant was caught, shrinking included: %d", totals["steps"])
		})
	}
}

var _ pv.Placer = firstFit{}
