package supervisor

// This file defines the throttler, which computes the CPU limits of fillers beside
// serving tasks.
//
// Each poll returns the slack of every serving task (latency target / tail latency)
// and the cores that every filler used in the same half second. The leader sends
// the interference coefficients, which it estimates over all workers. For a serving
// task s beside fillers f,
//
//	headroom(s) = slack(s) + sum of coefficient(f, s) * usedCores(f) - pv.MinSlack
//
// Single measurements are rough: every few seconds one task shows half more
// latency than the other tasks of its step, for a second. A filler that takes more than
// smallLoss from a task is limited by the headroom in the latest measurement, the
// momentary headroom; all are limited by an estimate that outliers don't move
// (baseline.go). Without that, one outlier among the tasks of a worker would stop
// all its fillers, also those that disturb hardly anything.
//
// Fillers reserve headroom in ascending order of their cost per core,
//
//	cost(f) = max over s of coefficient(f, s) / headroom(s)
//
// so that a few with a high interference coefficient don't throttle the others.
// Limits decrease at once and increase gradually, but for harmless fillers. An AIMD factor scales all of them:
// it is halved while a target is still missed. A task that stays over its target for
// maxMissTime pauses all fillers beside it, whatever the estimates say.

import (
	"cmp"
	"math"
	"slices"
	"time"

	pv "persimmonvalve"
)

// Constants of the throttler.
const (
	fullPercent         = 100                    // no CPU limit
	initialLimitPercent = 30                     // of a new filler beside serving tasks without a measured value
	limitStepPercent    = 5                      // smaller changes aren't worth a call
	adjustInterval      = 300 * time.Millisecond // between changes of the AIMD factor and increases of limits
	increaseShare       = 0.5                    // of the difference to the computed limit, for each increase of a filler that isn't harmless
	decreaseFactor      = 0.5                    // multiplies the AIMD factor at each change while a target is missed
	factorIncrement     = 0.15                   // added to the AIMD factor at each change while every slack is above pv.MinSlack
	minFactor           = 0.1                    // AIMD factor below which all limits are 0
	// unknownPercent stands for a limit whose call failed; the next poll sends it again.
	unknownPercent = -1
)

// servingTask is a serving task with a measured tail latency.
type servingTask struct {
	image string
	slack float64
	step  stepKey
	run   pv.RunRef
}

// fillerTask is a running filler.
type fillerTask struct {
	run             pv.RunRef
	image           string
	cores           float64 // that it uses at most without a limit
	usedCores       float64 // mean of the last half second
	progressPercent int
}

// throttler computes the CPU limits of the fillers on one worker.
type throttler struct {
	coefficients  map[pv.ImagePair]float64
	aimdFactor    float64 // AIMD factor of all limits, 0 to 1
	adjustedAt    time.Time
	sentPercents  map[pv.RunRef]int // last CPU limit sent for each filler, fullPercent if absent
	baselines     map[stepKey]baselineEstimate
	missedSince   map[pv.RunRef]time.Time // serving tasks over their target, by the first measurement that showed it
	paused        bool                    // a serving task has been over its target for maxMissTime: no filler runs
	headrooms     []slackHeadroom         // estimated, by step; left after the last reservations
	momentary     []slackHeadroom         // by the latest measurement of each task; left after the last reservations
	loggedPercent int                     // mean CPU limit in the last log message
}

// slackHeadroom is the slack of a serving task that fillers may still use up.
type slackHeadroom struct {
	image    string
	headroom float64
}

func newThrottler() throttler {
	return throttler{coefficients: map[pv.ImagePair]float64{}, aimdFactor: 1, sentPercents: map[pv.RunRef]int{}, baselines: map[stepKey]baselineEstimate{}, missedSince: map[pv.RunRef]time.Time{}, loggedPercent: fullPercent}
}

func (t *throttler) forget(r pv.RunRef) { delete(t.sentPercents, r) }

// coefficient returns the slack that one core of a filler image takes from a serving
// image.
func (t *throttler) coefficient(filler, serving string) float64 {
	if c, ok := t.coefficients[pv.ImagePair{Filler: filler, Serving: serving}]; ok {
		return c
	}
	return pv.DefaultInterferenceCoefficient
}

// cpuLimits returns the CPU limit of each filler in percent.
func (t *throttler) cpuLimits(now time.Time, serving []servingTask, fillers []fillerTask) []int {
	worst := math.Inf(1)
	t.headrooms = t.headrooms[:0]
	t.momentary = t.momentary[:0]
	seen := map[stepKey]bool{}
	for _, s := range serving {
		loss := 0.0
		for _, f := range fillers {
			loss += t.coefficient(f.image, s.image) * f.usedCores
		}
		t.momentary = append(t.momentary, slackHeadroom{s.image, s.slack + loss - pv.MinSlack})
		if seen[s.step] {
			continue
		}
		seen[s.step] = true
		baseline := t.updateBaseline(now, s.step, medianSlack(serving, s.step)+loss)
		worst = min(worst, baseline-loss)
		t.headrooms = append(t.headrooms, slackHeadroom{s.image, baseline - pv.MinSlack})
	}
	for step := range t.baselines {
		if !seen[step] {
			delete(t.baselines, step)
		}
	}
	t.updatePause(now, serving)
	adjust := now.Sub(t.adjustedAt) >= adjustInterval
	if adjust {
		t.adjustedAt = now
		switch {
		case worst < 1:
			t.aimdFactor *= decreaseFactor
		case worst > pv.MinSlack:
			t.aimdFactor = min(1, t.aimdFactor+factorIncrement)
		}
	}
	share := coreShare(fillers, t.sentPercents)
	order := make([]int, len(fillers))
	cost := make([]float64, len(fillers))
	for i, f := range fillers {
		order[i] = i
		for _, s := range t.headrooms {
			cost[i] = max(cost[i], t.coefficient(f.image, s.image)/max(s.headroom, minHeadroom))
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(cost[a], cost[b]), cmp.Compare(fillers[b].progressPercent, fillers[a].progressPercent), cmp.Compare(a, b))
	})
	percents := make([]int, len(fillers))
	for _, i := range order {
		f := fillers[i]
		reserved, harmless := t.reserve(f.image, f.cores*share)
		increase := 0.0
		switch {
		case adjust && harmless:
			increase = 1
		case adjust:
			increase = increaseShare
		}
		percents[i] = t.nextPercent(f.run, t.aimdFactor*reserved, increase)
	}
	return percents
}

// maxMissTime is how long a serving task may be over its target before the fillers beside
// it are paused. Measurements follow a task's latency with a delay of half a second, and
// a single outlier shows for about a second.
const maxMissTime = 1200 * time.Millisecond

// updatePause sets whether fillers are paused.
func (t *throttler) updatePause(now time.Time, serving []servingTask) {
	t.paused = false
	missed := map[pv.RunRef]time.Time{}
	for _, s := range serving {
		if s.slack >= 1 {
			continue
		}
		since, ok := t.missedSince[s.run]
		if !ok {
			since = now
		}
		missed[s.run] = since
		t.paused = t.paused || now.Sub(since) >= maxMissTime
	}
	t.missedSince = missed
}

// worstSlack returns the least slack, infinite without serving tasks.
func worstSlack(serving []servingTask) float64 {
	worst := math.Inf(1)
	for _, s := range serving {
		worst = min(worst, s.slack)
	}
	return worst
}

// minHeadroom keeps costs finite for tasks without headroom.
const minHeadroom = 0.01

// smallLoss is the slack that a filler may take from a serving task for it to count as
// harmless: it is throttled by the estimated headroom, not by the momentary one too, and its
// limit rises at once.
const smallLoss = 0.2

// reserve returns the share of cores, 0 to 1, that the headroom of all serving tasks
// admits for a filler, and subtracts it from the headroom. It also reports whether the filler
// is harmless.
func (t *throttler) reserve(image string, cores float64) (limit float64, harmless bool) {
	limit, loss := t.admitted(t.headrooms, image, cores)
	harmless = loss <= smallLoss
	if !harmless {
		momentary, _ := t.admitted(t.momentary, image, cores)
		limit = min(limit, momentary)
	}
	for _, headrooms := range [][]slackHeadroom{t.headrooms, t.momentary} {
		for i := range headrooms {
			headrooms[i].headroom -= limit * cores * t.coefficient(image, headrooms[i].image)
		}
	}
	return limit, harmless
}

// admitted returns the share of cores that the headrooms admit for a filler, and the most
// slack that it would take from a serving task without a limit.
func (t *throttler) admitted(headrooms []slackHeadroom, image string, cores float64) (limit, loss float64) {
	limit = 1
	for _, s := range headrooms {
		need := t.coefficient(image, s.image) * cores
		loss = max(loss, need)
		if need > max(0, s.headroom) {
			limit = min(limit, max(0, s.headroom)/need)
		}
	}
	return limit, loss
}

// nextPercent returns the percentage to send to a filler for a computed limit, a share
// of its cores from 0 to 1. An increase is limited to the given share of the difference.
func (t *throttler) nextPercent(ref pv.RunRef, limit, increase float64) int {
	sent, ok := t.sentPercents[ref]
	if !ok {
		sent = fullPercent
	}
	want := int(limit * fullPercent)
	switch {
	case t.paused || t.aimdFactor < minFactor:
		want = 0
	case want > sent && sent != unknownPercent:
		if increase == 0 {
			return sent
		}
		want = sent + int(math.Ceil(increase*float64(want-sent)))
	}
	want -= want % limitStepPercent
	if want >= fullPercent-limitStepPercent {
		want = fullPercent
	}
	return want
}

// coreShare returns used cores / cores allowed by the CPU limits, over all fillers.
// It is below 1 where other tasks leave too few cores.
func coreShare(fillers []fillerTask, sentPercents map[pv.RunRef]int) float64 {
	used, allowed := 0.0, 0.0
	for _, f := range fillers {
		percent, ok := sentPercents[f.run]
		if !ok {
			percent = fullPercent
		}
		if f.usedCores > 0 && percent > 0 {
			used += f.usedCores
			allowed += f.cores * float64(percent) / fullPercent
		}
	}
	if allowed == 0 {
		return 1
	}
	return max(minCoreShare, min(1, used/allowed))
}

// minCoreShare is the lower bound of coreShare: fillers that have just started have
// used few cores so far.
const minCoreShare = 0.3
