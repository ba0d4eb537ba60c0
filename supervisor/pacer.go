package supervisor

// This file defines how fillers are paced. The tail latencies of the serving
// tasks beside them are compared with their targets at each look: the pace of
// all fillers is cut at once when a target is near, and raised slowly.

import (
	"time"

	"go.uber.org/zap"

	pv "persimmonvalve"
)

// Bounds of pacing.
const (
	fullPace   = 100 // percent
	firstPace  = 30  // percent beside serving tasks, until their figures tell more
	cutAbove   = 0.7 // share of a target from which on fillers are slowed: the figure is half a second old and rough
	raiseBelow = 0.5 // share of a target below which they are sped up
	cutFactor  = 0.4
	raiseStep  = 8 // percent for each look that waited its whole time
	paceEvery  = 400 * time.Millisecond
	// unknownPace is no pace: the next look tells the run again.
	unknownPace = -1
)

type pacer struct {
	pace  int // percent that fillers should have
	at    time.Time
	given map[pv.RunRef]int // percent that each was told, full when absent
}

func newPacer() pacer { return pacer{pace: fullPace, given: map[pv.RunRef]int{}} }

func (p *pacer) forget(r pv.RunRef) { delete(p.given, r) }

// settle begins anew while no fillers run.
func (p *pacer) settle(serving bool) {
	p.pace = fullPace
	if serving {
		p.pace = firstPace
	}
}

// next returns the pace after a look whose worst share of a target is given.
func (p *pacer) next(now time.Time, worst float64) int {
	if now.Sub(p.at) < paceEvery {
		return p.pace
	}
	p.at = now
	switch {
	case worst > cutAbove:
		p.pace = int(float64(p.pace) * cutFactor)
	case worst < raiseBelow:
		p.pace = min(fullPace, p.pace+raiseStep)
	}
	return p.pace
}

func (v *Supervisor) adjustPaces(now time.Time, running []pv.RunStatus) {
	worst := 0.0
	fillers, serving := 0, 0
	for _, s := range running {
		r, ok := v.runs[s.Run]
		if !ok {
			continue
		}
		if target := r.order.LatencyTarget; target > 0 {
			serving++
			worst = max(worst, float64(s.Figure)/float64(target.Milliseconds()))
		}
		if r.order.Filler {
			fillers++
		}
	}
	if fillers == 0 {
		v.pacer.settle(serving > 0)
		return
	}
	before := v.pacer.pace
	pace := v.pacer.next(now, worst)
	if pace != before {
		v.logger.Info("supervisor: fillers paced", zap.Int("percent", pace), zap.Int("before", before), zap.Float64("worstShareOfTarget", worst), zap.Int("fillers", fillers))
	}
	for _, s := range running {
		r, ok := v.runs[s.Run]
		if !ok || !r.order.Filler || r.phase != started {
			continue
		}
		given, told := v.pacer.given[s.Run]
		if !told {
			given = fullPace
		}
		if given == pace {
			continue
		}
		select {
		case v.calls <- call{worker: v.state.ID, life: v.life, authority: v.authority, order: r.order, pacing: true, pace: pace}:
			v.pacer.given[s.Run] = pace
		default:
			return // the next look tries again
		}
	}
}

// paceNew paces a filler that has just started, which works at full pace.
func (v *Supervisor) paceNew(o pv.RunOrder) {
	if !o.Filler || v.pacer.pace == fullPace {
		return
	}
	select {
	case v.calls <- call{worker: v.state.ID, life: v.life, authority: v.authority, order: o, pacing: true, pace: v.pacer.pace}:
		v.pacer.given[o.Run] = v.pacer.pace
	default: // the next look tells it
	}
}

func (v *Supervisor) paced(c call, err error) {
	if err == nil {
		return
	}
	v.metrics.paceRetries.Inc()
	v.pacer.given[c.order.Run] = unknownPace
}
