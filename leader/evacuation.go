package leader

// This file defines how a leader learns which zones are evacuated. Its process follows the
// operator's records and passes on each read. Orders to start runs are sent only if the last
// read began recently enough, so that starts in an evacuated zone end within the bound whoever
// leads: also with a leader that has just been elected or that the store has stopped answering.

import (
	"time"

	"go.uber.org/zap"

	pv "persimmonvalve"
)

// maxEvacuationsAge returns the age of the last read of the evacuations above which no orders
// to start runs are sent; 0 is no limit. A supervisor may carry out earlier orders for 1.1 s
// more, for which the other half of the bound is left.
func (s Settings) maxEvacuationsAge() time.Duration { return s.EvacuationBound / 2 }

// MinEvacuationBound is the shortest EvacuationBound: half of it covers the time for which
// supervisors carry out orders, the other half two reads of the operator's records.
const MinEvacuationBound = 2500 * time.Millisecond

// evacuationsRead is what the last answered read of the operator's records has shown.
type evacuationsRead struct {
	evacuations pv.Evacuations
	startedAt   time.Duration // Dependencies.Clock
	done        bool          // false before the first read
}

// SetEvacuations passes on an answered read of the operator's records, which began at a reading
// of Dependencies.Clock.
func (l *Leader) SetEvacuations(e pv.Evacuations, startedAt time.Duration) {
	read := evacuationsRead{evacuations: e, startedAt: startedAt, done: true}
	l.mu.Lock()
	l.evacuations = read
	t := l.term
	l.mu.Unlock()
	if t != nil {
		t.post(func(now time.Time) { t.applyEvacuations(now, read) })
	}
}

// applyEvacuations passes a read on to the planner, and logs the changes.
func (t *term) applyEvacuations(now time.Time, read evacuationsRead) {
	t.evacuations = read
	for _, c := range t.planner.SetEvacuations(now, read.evacuations) {
		fields := []zap.Field{
			zap.String("zone", c.Zone), zap.Int64("version", int64(read.evacuations.Version)), zap.Int("workers", c.Workers),
			zap.Int("runsLeft", c.RunsLeft), zap.Int("runsWithdrawn", c.RunsWithdrawn), zap.Int64("epoch", t.epoch),
		}
		switch {
		case !c.Evacuated:
			t.logger.Info("leader: zone taken back", fields...)
		case c.Workers == 0:
			t.logger.Warn("leader: zone evacuated, in which no worker is known", fields...)
		default:
			t.logger.Info("leader: zone evacuated", fields...)
		}
	}
	t.metrics.evacuatedZones.Set(float64(len(read.evacuations.Zones)))
	t.metrics.evacuatedRuns.Set(float64(t.planner.RunsInEvacuatedZones()))
}

// evacuationsKnown reports whether the evacuations were read recently enough for orders to
// start runs.
func (t *term) evacuationsKnown() bool {
	limit := t.leader.settings.maxEvacuationsAge()
	return limit == 0 || t.evacuations.done && t.leader.deps.Clock()-t.evacuations.startedAt < limit
}
