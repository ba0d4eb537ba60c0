package supervisor

// This file defines how the plans of the pacer reach the worker: after each look,
// and at the start of a filler, which begins at full pace.

import (
	"time"

	"go.uber.org/zap"

	pv "persimmonvalve"
)

func (v *Supervisor) adjustPaces(now time.Time, running []pv.RunStatus) {
	var serving []servingTask
	var fillers []fillerTask
	for _, s := range running {
		r, ok := v.runs[s.Run]
		if !ok {
			continue
		}
		o := r.order
		if o.LatencyTarget > 0 && s.Measured > 0 && s.Percent >= fullPace {
			serving = append(serving, servingTask{o.Image, float64(o.LatencyTarget.Milliseconds()) / float64(s.Measured)})
		}
		if o.Filler && r.phase == started {
			fillers = append(fillers, fillerTask{s.Run, o.Image, float64(o.MilliCores) / 1000, float64(s.Measured) / 1000, s.Percent})
		}
	}
	paces := v.pacer.plan(now, serving, fillers)
	sum := 0
	for i, f := range fillers {
		sum += paces[i]
		given, told := v.pacer.given[f.run]
		if !told {
			given = fullPace
		}
		if given != paces[i] {
			v.pace(v.runs[f.run].order, paces[i])
		}
	}
	if len(fillers) == 0 {
		return
	}
	if mean := sum / len(fillers); mean-v.pacer.logged >= logStep || v.pacer.logged-mean >= logStep {
		v.logger.Info("supervisor: fillers paced", zap.Int("meanPercent", mean), zap.Int("before", v.pacer.logged), zap.Float64("worstSlack", worstSlack(serving)), zap.Float64("caution", v.pacer.caution), zap.Int("fillers", len(fillers)), zap.Int("serving", len(serving)))
		v.pacer.logged = mean
	}
}

// logStep is the change of the mean pace, in percent, that is logged.
const logStep = 20

// paceNew paces a filler that has just started, which works at full pace.
func (v *Supervisor) paceNew(o pv.RunOrder) {
	if !o.Filler {
		return
	}
	pace := fullPace
	switch {
	case len(v.pacer.left) > 0:
		pace = v.pacer.step(o.Run, v.pacer.caution*v.pacer.take(o.Image, float64(o.MilliCores)/1000), true)
	case v.serves():
		pace = firstPace
	}
	if pace < fullPace {
		v.pace(o, pace)
	}
}

// serves reports whether the worker has a task with a latency target.
func (v *Supervisor) serves() bool {
	for _, r := range v.runs {
		if r.order.LatencyTarget > 0 {
			return true
		}
	}
	return false
}

// pace queues a call; when there is no room for it the next look makes it.
func (v *Supervisor) pace(o pv.RunOrder, percent int) {
	select {
	case v.calls <- call{worker: v.state.ID, life: v.life, authority: v.authority, order: o, pacing: true, pace: percent}:
		v.pacer.given[o.Run] = percent
	default:
	}
}

func (v *Supervisor) paced(c call, err error) {
	if err == nil {
		return
	}
	v.metrics.paceRetries.Inc()
	v.pacer.given[c.order.Run] = unknownPace
}
