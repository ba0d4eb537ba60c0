package planner

// This file defines what fillers do to serving tasks beside them, learned from
// reports. A serving task's slack is its latency target over its tail latency.
// Tail latency behaves like base/(1-utilisation), so slack falls in proportion
// to the task's own load and to the cores that fillers use beside it:
//
//	slack = calm - sum over fillers of press x cores
//
// calm follows the load of the task's step, which is the same on all workers;
// press is learned for each pair of images. Each report moves both a step
// towards what was seen (normalised least mean squares). Cores are taken about
// their mean there: otherwise the load's swing, which calm follows late, would
// be laid on the fillers that are usually present.

import (
	"time"

	pv "persimmonvalve"
)

// Parameters of learning.
const (
	calmRate    = 0.3  // share of an error that one report corrects in calm
	pressRate   = 0.1  // the same in the presses
	usualRate   = 0.05 // the same in the usual cores of a filler's image
	typicalRate = 0.05 // the same in what is typical of an image
	mostPress   = 4.0
	mostSlack   = 8.0 // figures are whole milliseconds: small ones tell little
	mostError   = 1.0
	unknownCalm = 2.0 // of a step without reports
)

// interference is what was learned of fillers' images.
type interference struct {
	press   map[pv.ImagePair]float64
	typical map[string]float64 // of a filler's image beside any serving task
}

func newInterference() interference {
	return interference{press: map[pv.ImagePair]float64{}, typical: map[string]float64{}}
}

func (i interference) pressOf(p pv.ImagePair) float64 {
	if w, ok := i.press[p]; ok {
		return w
	}
	if w, ok := i.typical[p.Filler]; ok {
		return w
	}
	return pv.DefaultInterferenceCoefficient
}

// imageCores is the cores of tasks of one image.
type imageCores struct {
	image string
	cores float64
}

// served is what was learned of a step of serving tasks.
type served struct {
	calm  float64            // slack without fillers
	usual map[string]float64 // mean cores of fillers beside its tasks, by image
}

// learn takes in the slack of a serving task while fillers used so many cores
// beside it.
func (i interference) learn(serving string, s *served, slack float64, fillers []imageCores) {
	slack = min(slack, mostSlack)
	pressed := 0.0
	for _, f := range fillers {
		pressed += i.pressOf(pv.ImagePair{Filler: f.image, Serving: serving}) * f.cores
	}
	if s.usual == nil {
		s.usual = map[string]float64{}
		s.calm = slack + pressed
		return
	}
	off := max(-mostError, min(mostError, slack-(s.calm-pressed)))
	s.calm += calmRate * off
	for image, mean := range s.usual {
		s.usual[image] = mean - usualRate*mean
	}
	for _, f := range fillers {
		s.usual[f.image] += usualRate * f.cores
	}
	norm := 1.0
	for _, f := range fillers {
		d := f.cores - s.usual[f.image]
		norm += d * d
	}
	for _, f := range fillers {
		p := pv.ImagePair{Filler: f.image, Serving: serving}
		w := max(0, min(mostPress, i.pressOf(p)-pressRate*off*(f.cores-s.usual[f.image])/norm))
		i.press[p] = w
		t, ok := i.typical[f.image]
		if !ok {
			t = pv.DefaultInterferenceCoefficient
		}
		i.typical[f.image] = t + typicalRate*(w-t)
	}
}

// mix is what shares a worker, as far as it decides how fast fillers work there.
type mix struct {
	at      time.Time
	fillers []imageCores // as reserved
	serving []*step
	speeds  map[imageCores]speed // of one more filler
}

// mixAge is the age at which a mix is made anew: loads change within seconds.
const mixAge = 200 * time.Millisecond

func (p *Planner) mixOf(w *worker) *mix {
	if w.mix != nil && p.passAt.Sub(w.mix.at) < mixAge {
		return w.mix
	}
	m := &mix{at: p.passAt, speeds: map[imageCores]speed{}}
	for _, r := range w.runs {
		switch s := r.task.step; {
		case s.spec.Filler:
			m.addFiller(s.spec.Image, float64(s.spec.Size.MilliCores)/1000)
		case s.spec.LatencyTarget > 0:
			m.addServing(s)
		}
	}
	w.mix = m
	return m
}

func (m *mix) addFiller(image string, cores float64) {
	for i := range m.fillers {
		if m.fillers[i].image == image {
			m.fillers[i].cores += cores
			return
		}
	}
	m.fillers = append(m.fillers, imageCores{image, cores})
}

func (m *mix) addServing(s *step) {
	for _, o := range m.serving {
		if o == s {
			return
		}
	}
	m.serving = append(m.serving, s)
}

// learnFrom takes in what a look told of a worker's tasks.
func (p *Planner) learnFrom(w *worker, running []pv.RunStatus) {
	if w.serving == 0 {
		return
	}
	var fillers mix
	for _, s := range running {
		if r, ok := w.runs[s.Run]; ok && r.task.step.spec.Filler && s.Measured > 0 {
			fillers.addFiller(r.task.step.spec.Image, float64(s.Measured)/1000)
		}
	}
	for _, s := range running {
		r, ok := w.runs[s.Run]
		if !ok || r.task.step.spec.LatencyTarget <= 0 || s.Measured <= 0 || s.Percent < 100 {
			continue
		}
		of := r.task.step
		slack := float64(of.spec.LatencyTarget.Milliseconds()) / float64(s.Measured)
		p.interference.learn(of.spec.Image, &of.served, slack, fillers.fillers)
	}
}

// speed is what one more filler could do on a worker.
type speed struct {
	pace float64 // share of full pace that it could keep
	cost float64 // share of what serving tasks leave that it would take, up to 1
}

// pacedTo returns how fast one more filler could be on a worker. Fillers that
// press less keep their pace, since they are paced down last.
func (p *Planner) pacedTo(w *worker, image string, cores float64) speed {
	if w.serving == 0 {
		return speed{pace: 1}
	}
	m := p.mixOf(w)
	if speed, ok := m.speeds[imageCores{image, cores}]; ok {
		return speed
	}
	share := w.fillerShare(0)
	out := speed{pace: 1}
	for _, s := range m.serving {
		left := s.served.calm
		if s.served.usual == nil {
			left = unknownCalm
		}
		left -= pv.MinSlack
		own := p.interference.pressOf(pv.ImagePair{Filler: image, Serving: s.spec.Image})
		for _, f := range m.fillers {
			if press := p.interference.pressOf(pv.ImagePair{Filler: f.image, Serving: s.spec.Image}); press <= own {
				left -= press * f.cores * share
			}
		}
		left = max(0, left)
		need := own * cores
		if need > left {
			out = speed{pace: min(out.pace, left/need), cost: 1}
		} else if need > 0 {
			out.cost = max(out.cost, need/left)
		}
	}
	m.speeds[imageCores{image, cores}] = out
	return out
}
