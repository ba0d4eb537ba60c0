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
			v.queueCPULimit(v.runs[f.run].order, percents[i])
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
		percent = v.throttler.nextPercent(o.Run, v.throttler.aimdFactor*v.throttler.reserve(o.Image, float64(o.MilliCores)/1000), true)
	case v.hasServingTask():
		percent = initialLimitPercent
	}
	if percent < fullPercent {
		v.queueCPULimit(o, percent)
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

// queueCPULimit queues a call. If the queue is full, the limit is sent after the next poll.
func (v *Supervisor) queueCPULimit(o pv.RunOrder, percent int) {
	select {
	case v.calls <- call{dueAt: time.Now(), worker: v.state.ID, incarnation: v.leaseIncarnation, lease: v.lease, order: o, setCPULimit: true, cpuLimitPercent: percent}:
		v.throttler.sentPercents[o.Run] = percent
	default:
	}
}

func (v *Supervisor) handleCPULimit(c call, err error) {
	if err == nil {
		return
	}
	v.metrics.cpuLimitRetries.Inc()
	v.throttler.sentPercents[c.order.Run] = unknownPercent
}
