package supervisor

// This file defines the estimate of the slack that serving tasks would have without
// fillers, the baseline. It follows the load, which is the same for all tasks of a step
// and changes by up to some 0.6 of slack a second. The estimate therefore takes the median
// over the step's tasks and follows it at a limited rate, so that an outlier of one task
// moves it little.

import (
	"slices"
	"time"

	pv "persimmonvalve"
)

// stepKey identifies the step of a serving task. All tasks of a step have the same load.
type stepKey struct {
	job  pv.JobID
	step int
}

// baselineEstimate is the estimated slack that the tasks of a step on this worker would
// have without fillers.
type baselineEstimate struct {
	slack     float64
	updatedAt time.Time
}

// maxBaselineRate limits how fast an estimate follows the measurements, in slack per
// second.
const maxBaselineRate = 1.0

// medianSlack returns the median slack of a step's tasks, the lower one of two.
func medianSlack(serving []servingTask, step stepKey) float64 {
	var slacks []float64
	for _, s := range serving {
		if s.step == step {
			slacks = append(slacks, s.slack)
		}
	}
	slices.Sort(slacks)
	return slacks[(len(slacks)-1)/2]
}

// updateBaseline moves the estimate of a step's baseline towards a measured value, at
// most by maxBaselineRate, and returns it.
func (t *throttler) updateBaseline(now time.Time, step stepKey, measured float64) float64 {
	e, ok := t.baselines[step]
	if !ok {
		e = baselineEstimate{measured, now}
	}
	limit := maxBaselineRate * now.Sub(e.updatedAt).Seconds()
	e = baselineEstimate{e.slack + max(-limit, min(limit, measured-e.slack)), now}
	t.baselines[step] = e
	return e.slack
}
