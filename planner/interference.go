package planner

// This file defines what fillers do to serving tasks beside them, learned from
// reports. A serving task's tail latency, as a share of its target, is taken to
// be a base plus a sum over the fillers on its worker: the weight of the pair
// of images, times the filler's cores, times its pace. Each report moves base
// and weights a step towards what was seen (normalised least mean squares).

import (
	"maps"

	pv "persimmonvalve"
)

// Parameters of learning.
const (
	priorBase   = 0.25   // share of a target without fillers
	priorWeight = 0.06   // share of a target for each unit of filler
	fillerUnit  = 4000.0 // millicores
	learnRate   = 0.15   // share of an error that one report corrects
	mostShare   = 4.0    // larger shares of a target are taken as this
	safeShare   = 0.6    // share of a target up to which fillers may bring a task
)

type imagePair struct{ filler, serving string }

// interference is what was learned.
type interference struct {
	base   map[string]float64
	weight map[imagePair]float64
}

func newInterference() interference {
	return interference{base: map[string]float64{}, weight: map[imagePair]float64{}}
}

func (i interference) baseOf(serving string) float64 {
	if b, ok := i.base[serving]; ok {
		return b
	}
	return priorBase
}

func (i interference) weightOf(p imagePair) float64 {
	if w, ok := i.weight[p]; ok {
		return w
	}
	return priorWeight
}

// learn takes in the share of its target at which a serving task was while
// fillers of the given images worked beside it, in units times pace.
func (i interference) learn(serving string, share float64, fillers map[string]float64) {
	share = min(share, mostShare)
	predicted, norm := i.baseOf(serving), 1.0
	for image, x := range fillers {
		predicted += i.weightOf(imagePair{image, serving}) * x
		norm += x * x
	}
	step := learnRate * (share - predicted) / norm
	i.base[serving] = max(0, i.baseOf(serving)+step)
	for image, x := range fillers {
		p := imagePair{image, serving}
		i.weight[p] = max(0, i.weightOf(p)+step*x)
	}
}

// safePace returns the share of full pace at which fillers that press a serving
// task so much would keep it below its target.
func (i interference) safePace(serving string, press float64) float64 {
	base := i.baseOf(serving)
	if base+press <= safeShare {
		return 1
	}
	return max(0, safeShare-base) / press
}

// mix is what the runs of a worker are to each other.
type mix struct {
	fillers map[string]float64 // units at full pace, by image
	serving map[string]float64 // press of these fillers on each image with a target
	version int64              // of what was learned, for the presses
}

// mix returns the worker's mix, made anew when its runs or what was learned
// have changed.
func (p *Planner) mix(w *worker) *mix {
	if w.mix != nil && w.mix.version == p.learned {
		return w.mix
	}
	m := &mix{fillers: map[string]float64{}, serving: map[string]float64{}, version: p.learned}
	for _, r := range w.runs {
		switch s := r.task.step.spec; {
		case s.Filler:
			m.fillers[s.Image] += float64(s.Size.MilliCores) / fillerUnit
		case s.LatencyTarget > 0:
			m.serving[s.Image] = 0
		}
	}
	for serving := range m.serving {
		for image, x := range m.fillers {
			m.serving[serving] += p.interference.weightOf(imagePair{image, serving}) * x
		}
	}
	w.mix = m
	return m
}

// learnFrom takes in what a look told of a worker's serving tasks.
func (p *Planner) learnFrom(w *worker, running []pv.RunStatus) {
	if w.serving == 0 || len(running) == 0 {
		return
	}
	fillers := maps.Clone(p.mix(w).fillers)
	for image := range fillers {
		fillers[image] *= float64(w.pace) / 100
	}
	for _, s := range running {
		r, ok := w.runs[s.Run]
		if !ok || r.task.step.spec.LatencyTarget <= 0 || s.Figure <= 0 {
			continue
		}
		spec := r.task.step.spec
		p.interference.learn(spec.Image, float64(s.Figure)/float64(spec.LatencyTarget.Milliseconds()), fillers)
	}
	p.learned++
}

// pacedTo returns the share of full pace that fillers could keep on a worker
// with one more of an image.
func (p *Planner) pacedTo(w *worker, image string, millicores int64) float64 {
	if w.serving == 0 {
		return 1
	}
	units := float64(millicores) / fillerUnit
	pace := 1.0
	for serving, press := range p.mix(w).serving {
		pace = min(pace, p.interference.safePace(serving, press+p.interference.weightOf(imagePair{image, serving})*units))
	}
	return pace
}
