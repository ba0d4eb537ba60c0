package supervisor

// This file defines when the throttler's CPU limits are sent to the worker: after
// each poll, and when a filler has started, since a filler starts without a limit.

import (
	"time"

	"go.uber.org/zap"

	pv "persimmonvalve"
)

// updateCPULimits computes the CPU limits from a poll and sends those that changed.
func (v *Supervisor) updateCPULimits(now time.Time, running []pv.RunStatus) {
	var serving []servingTask
	var fillers []fillerTask
	for _, s := range running {
		r, ok := v.runs[s.Run]
		if !ok {
			continue
		}
		o := r.order
		if o.LatencyTarget > 0 && s.Measured > 0 && s.ProgressPercent >= fullPercent {
			serving = append(serving, servingTask{image: o.Image, slack: float64(o.LatencyTarget.Milliseconds()) / float64(s.Measured), step: stepKey{s.Run.Task.Job, s.Run.Task.Step}, run: s.Run}) // Measured is in milliseconds
		}
		if o.Filler && r.phase == started {
			fillers = append(fillers, fillerTask{s.Run, o.Image, float64(o.MilliCores) / 1000, float64(s.Measured) / 1000, s.ProgressPercent}) // Measured is in millicores
		}
	}
	percents := v.throttler.cpuLimits(now, serving, fillers)
	sum := 0
	for i, f := range fillers {
		sum += percents[i]
		sent, ok := v.throttler.sentPercents[f.run]
		if !ok {
			sent = fullPercent
		}
		if sent != percents[i] {
			v.setCPULimit(f.run, percents[i])
		}
	}
	if len(fillers) == 0 {
		return
	}
	if mean := sum / len(fillers); mean-v.throttler.loggedPercent >= logStepPercent || v.throttler.loggedPercent-mean >= logStepPercent {
		v.logger.Info("supervisor: CPU limits of fillers changed", zap.Int("meanPercent", mean), zap.Int("before", v.throttler.loggedPercent), zap.Float64("worstSlack", worstSlack(serving)), zap.Float64("caution", v.throttler.aimdFactor), zap.Int("fillers", len(fillers)), zap.Int("serving", len(serving)))
		v.throttler.loggedPercent = mean
	}
}

// logStepPercent is the smallest change of the mean CPU limit that is logged.
const logStepPercent = 20

// limitNewFiller sends the CPU limit of a filler that has just started without one.
func (v *Supervisor) limitNewFiller(o pv.RunOrder) {
	if !o.Filler {
		return
	}
	percent := fullPercent
	switch {
	case v.throttler.paused:
		percent = 0
	case len(v.throttler.headrooms) > 0: // the last poll measured the slack of a serving task
		reserved, _ := v.throttler.reserve(o.Image, float64(o.MilliCores)/1000)
		percent = v.throttler.nextPercent(o.Run, v.throttler.aimdFactor*reserved, increaseShare)
	case v.hasServingTask():
		percent = initialLimitPercent
	}
	if percent < fullPercent {
		v.setCPULimit(o.Run, percent)
	}
}

// hasServingTask reports whether a task with a latency target is ordered.
func (v *Supervisor) hasServingTask() bool {
	for _, r := range v.runs {
		if r.order.LatencyTarget > 0 {
			return true
		}
	}
	return false
}

// setCPULimit sets the CPU limit of a filler. It is sent when a call can be made; a later
// limit replaces it until then.
func (v *Supervisor) setCPULimit(ref pv.RunRef, percent int) {
	v.throttler.sentPercents[ref] = percent
	if _, ok := v.unsentLimits[ref]; !ok {
		v.unsentLimits[ref] = time.Now()
	}
}

// longestUnsentLimit returns the filler whose CPU limit has been unsent for the longest
// time, or nil. One limit of a filler is sent at a time, so that an earlier one can't
// replace a later one.
func (v *Supervisor) longestUnsentLimit() *run {
	var first *run
	for ref, since := range v.unsentLimits {
		r, ok := v.runs[ref]
		if !ok || r.phase != started {
			delete(v.unsentLimits, ref)
			continue
		}
		if !r.limitPending && (first == nil || since.Before(v.unsentLimits[first.order.Run])) {
			first = r
		}
	}
	return first
}

func (v *Supervisor) handleCPULimit(c call, err error) {
	if !v.applies(c) {
		return
	}
	c.run.limitPending = false
	if err == nil {
		return
	}
	v.metrics.cpuLimitRetries.Inc()
	if _, replaced := v.unsentLimits[c.order.Run]; !replaced {
		v.throttler.sentPercents[c.order.Run] = unknownPercent
	}
}
