package supervisor

// This file defines how fast fillers work beside serving tasks.
//
// Each look tells the slack of every serving task (target over tail latency) and
// the cores that every filler used in the same half second. With what a core of
// each takes from the slack, which the leader learns from all workers, what a
// task would have without fillers follows, and with it what may be given to
// fillers. Those that take the least for a core get theirs first, so that a few
// that disturb much don't slow the others. Paces fall at once and rise slowly;
// a target that is missed all the same halves all of them.

import (
	"cmp"
	"math"
	"slices"
	"time"

	pv "persimmonvalve"
)

// Bounds of pacing.
const (
	fullPace  = 100 // percent
	firstPace = 30  // percent beside serving tasks, until their figures tell more
	paceStep  = 5   // percent; smaller changes aren't worth a call
	riseEvery = 300 * time.Millisecond
	riseShare = 0.5  // of what is missing, for each rise
	cutFactor = 0.5  // of all paces, while a target is missed
	recovery  = 0.15 // of full pace, for each rise with every target kept
	leastCut  = 0.1  // below it fillers stand still
	// unknownPace is no pace: the next look tells the run again.
	unknownPace = -1
)

type servingTask struct {
	image string
	slack float64
}

type fillerTask struct {
	run     pv.RunRef
	image   string
	cores   float64 // that it may use
	using   float64 // cores in the last half second
	percent int     // of its work
}

type pacer struct {
	presses map[pv.ImagePair]float64
	caution float64 // share of the paces that fillers get
	riseAt  time.Time
	given   map[pv.RunRef]int // percent that each was told, full when absent
	left    []room            // after the last plan
	logged  int               // mean percent in the last log line
}

// room is the slack of a serving task that fillers may still take.
type room struct {
	image string
	slack float64
}

func newPacer() pacer {
	return pacer{presses: map[pv.ImagePair]float64{}, caution: 1, given: map[pv.RunRef]int{}, logged: fullPace}
}

func (p *pacer) forget(r pv.RunRef) { delete(p.given, r) }

func (p *pacer) press(filler, serving string) float64 {
	if w, ok := p.presses[pv.ImagePair{Filler: filler, Serving: serving}]; ok {
		return w
	}
	return pv.DefaultInterferenceCoefficient
}

// plan returns the percentage at which each filler should work.
func (p *pacer) plan(now time.Time, serving []servingTask, fillers []fillerTask) []int {
	worst := worstSlack(serving)
	p.left = p.left[:0]
	for _, s := range serving {
		slack := s.slack
		for _, f := range fillers {
			slack += p.press(f.image, s.image) * f.using
		}
		p.left = append(p.left, room{s.image, slack - pv.MinSlack})
	}
	rise := now.Sub(p.riseAt) >= riseEvery
	if rise {
		p.riseAt = now
		switch {
		case worst < 1:
			p.caution *= cutFactor
		case worst > pv.MinSlack:
			p.caution = min(1, p.caution+recovery)
		}
	}
	share := shareOf(fillers, p.given)
	order := make([]int, len(fillers))
	cost := make([]float64, len(fillers))
	for i, f := range fillers {
		order[i] = i
		for _, s := range p.left {
			cost[i] = max(cost[i], p.press(f.image, s.image)/max(s.slack, leastRoom))
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(cost[a], cost[b]), cmp.Compare(fillers[b].percent, fillers[a].percent), cmp.Compare(a, b))
	})
	paces := make([]int, len(fillers))
	for _, i := range order {
		f := fillers[i]
		pace := p.caution * p.take(f.image, f.cores*share)
		paces[i] = p.step(f.run, pace, rise)
	}
	return paces
}

// worstSlack returns the least slack, infinite without serving tasks.
func worstSlack(serving []servingTask) float64 {
	worst := math.Inf(1)
	for _, s := range serving {
		worst = min(worst, s.slack)
	}
	return worst
}

// leastRoom keeps costs finite where nothing is left.
const leastRoom = 0.01

// take returns the share of full pace for which room is left, and takes it.
func (p *pacer) take(image string, cores float64) float64 {
	pace := 1.0
	for _, s := range p.left {
		if need := p.press(image, s.image) * cores; need > max(0, s.slack) {
			pace = min(pace, max(0, s.slack)/need)
		}
	}
	for i := range p.left {
		p.left[i].slack -= pace * cores * p.press(image, p.left[i].image)
	}
	return pace
}

// step returns the percentage to tell a filler on its way to a pace.
func (p *pacer) step(run pv.RunRef, pace float64, rise bool) int {
	given, told := p.given[run]
	if !told {
		given = fullPace
	}
	want := int(pace * fullPace)
	switch {
	case p.caution < leastCut:
		want = 0
	case want > given && given != unknownPace:
		if !rise {
			return given
		}
		want = given + int(math.Ceil(riseShare*float64(want-given)))
	}
	want -= want % paceStep
	if want >= fullPace-paceStep {
		want = fullPace
	}
	return want
}

// shareOf returns the share of the cores allowed to them that fillers got: less
// than all where other tasks leave too few.
func shareOf(fillers []fillerTask, given map[pv.RunRef]int) float64 {
	used, allowed := 0.0, 0.0
	for _, f := range fillers {
		pace, told := given[f.run]
		if !told {
			pace = fullPace
		}
		if f.using > 0 && pace > 0 {
			used += f.using
			allowed += f.cores * float64(pace) / fullPace
		}
	}
	if allowed == 0 {
		return 1
	}
	return max(leastShare, min(1, used/allowed))
}

// leastShare bounds what shareOf makes of fillers that have only just begun.
const leastShare = 0.3
