package planner

// This file defines which waiting task starts next, and where.
//
// Work goes by the queue's priority; within one, work that can still meet its
// objective goes before late work, and late work before work that nobody waits
// for any more; within these, by its cost (cost.go). What does not fit is
// skipped: smaller work may use the room.

import (
	"cmp"
	"slices"
	"time"

	pv "persimmonvalve"
)

// lateFactor is the multiple of its objective after which a job's completion
// is worth nothing to its caller.
const lateFactor = 3

type candidate struct {
	step      *step
	rank      int     // 0 can meet its objective, 1 is late, 2 is past any use
	cost      float64 // remaining work over gain
	objective time.Time
}

func (p *Planner) place(now time.Time) {
	p.passAt = now
	workers := p.usableWorkers(now)
	if len(workers) == 0 {
		return
	}
	full := map[shape]bool{} // sizes that fit nowhere in this pass
	idle := mostlyIdle(workers)
	for _, c := range p.candidates(now) {
		if c.step.spec.Gang {
			p.placeGang(now, c.step, workers)
			continue
		}
		if full[shapeOf(c.step)] {
			continue
		}
		for _, t := range c.step.tasks {
			if t.waiting() && t.waits.IsZero() {
				t.waits = now
			}
		}
		for _, t := range c.step.tasks {
			if !t.waiting() {
				continue
			}
			w := p.choose(t, workers)
			if w != nil && c.step.spec.Filler && p.fillerSpeed(w, c.step.spec.Image, c.step.spec.Size.MilliCores) < goodSpeed &&
				(!idle || now.Sub(t.waits) < fillerWait || c.step.job.progresses(now)) {
				break
			}
			if w == nil {
				full[shapeOf(c.step)] = c.step.spec.PerWorker == 0 && t.avoid == ""
				break
			}
			p.assign(now, t, w, t.attempt+1)
		}
	}
}

// shape is what decides whether a task fits a worker.
type shape struct {
	size    pv.Resources
	label   string
	service string
	filler  bool
}

func shapeOf(s *step) shape {
	return shape{s.spec.Size, s.spec.Label, s.job.queue.Service, s.spec.Filler}
}

func (p *Planner) usableWorkers(now time.Time) []*worker {
	var out []*worker
	for _, w := range p.workers {
		if w.usable(now, p.settings) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *worker) int { return cmp.Compare(a.state.ID, b.state.ID) })
	return out
}

// candidates returns the steps with waiting tasks whose turn has come, in the
// order in which they are served.
func (p *Planner) candidates(now time.Time) []candidate {
	var out []candidate
	for _, j := range p.active {
		for _, s := range j.steps {
			if !s.ready(now) || !s.anyWaiting() {
				continue
			}
			c := candidate{step: s, objective: s.objective(), cost: p.cost(s)}
			past := c.objective.Sub(s.due)
			switch {
			case s.spec.Standing:
			case now.After(s.due.Add(lateFactor * past)):
				c.rank = 2
			case now.Add(s.chain).After(c.objective):
				c.rank = 1
			}
			out = append(out, c)
		}
	}
	slices.SortStableFunc(out, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.step.job.queue.Priority, b.step.job.queue.Priority),
			cmp.Compare(a.rank, b.rank),
			cmp.Compare(a.cost, b.cost),
			a.objective.Compare(b.objective),
			cmp.Compare(a.step.job.spec.ID, b.step.job.spec.ID),
		)
	})
	return out
}

func (s *step) anyWaiting() bool {
	for _, t := range s.tasks {
		if t.waiting() {
			return true
		}
	}
	return false
}

// fits reports whether the worker may get one more task of the step.
func (w *worker) fits(t *task) bool {
	s := t.step
	if w.state.Service != s.job.queue.Service || t.avoid == w.state.ID {
		return false
	}
	if s.spec.Label != "" && !slices.Contains(w.state.Labels, s.spec.Label) {
		return false
	}
	size := s.spec.Size
	if s.spec.Filler {
		size.MilliCores = 0
	}
	if !w.used.Add(size).Fits(w.state.Capacity) {
		return false
	}
	if s.spec.PerWorker > 0 {
		n := 0
		for _, o := range s.tasks {
			if o.run != nil && o.run.worker == w {
				n++
			}
		}
		return n < s.spec.PerWorker
	}
	return true
}

// score orders the workers that fit; the highest wins.
//
// Fillers slow serving tasks beside them, so the two are kept apart: serving
// tasks gather on few workers, other work fills these first, and fillers get
// the workers without serving tasks.
func (p *Planner) score(w *worker, s *step) float64 {
	capacity := w.state.Capacity
	used := w.used.Share(capacity)
	score := -suspicion * float64(w.failStreak)
	switch {
	case s.spec.Filler:
		score += p.fillerSpeed(w, s.spec.Image, s.spec.Size.MilliCores) - roomCost*p.pacedTo(w, s.spec.Image, float64(s.spec.Size.MilliCores)/1000).cost
	case s.spec.LatencyTarget > 0:
		score += used - fraction(w.filler, capacity.MilliCores)
		if w.serving > 0 {
			score += besideServing
		}
	default:
		score += used
		if w.serving > 0 {
			score += besideServing
		}
	}
	if s.spec.DataRack != "" && slices.Contains(w.state.Labels, s.spec.DataRack) {
		score += nearData
	}
	if s.spec.SameRack {
		for _, o := range s.tasks {
			if o.run != nil && o.run.worker.state.Place.Rack == w.state.Place.Rack {
				score += nearData
				break
			}
		}
	}
	return score
}

// Weights of a score, in shares of a worker.
const (
	nearData      = 3.0 // work elsewhere takes half as long again
	besideServing = 1.0
	roomCost      = 0.3 // of all that serving tasks leave to fillers
	suspicion     = 0.4 // for each run in a row that failed there
)

func fraction(part, whole int64) float64 { return float64(part) / float64(max(1, whole)) }

func (p *Planner) choose(t *task, workers []*worker) *worker {
	var best *worker
	var most float64
	plain := t.step.spec.Filler && t.step.spec.DataRack == "" && !t.step.spec.SameRack
	for _, w := range workers {
		if plain && best != nil && w.fillerShare(t.step.spec.Size.MilliCores) <= most {
			continue // it can't win, and its speed takes longer to work out
		}
		if !w.fits(t) {
			continue
		}
		if score := p.score(w, t.step); best == nil || score > most {
			best, most = w, score
		}
	}
	if best == nil && t.avoid != "" {
		t.avoid = "" // nowhere else: the worker that failed it may try again
		return p.choose(t, workers)
	}
	return best
}

func (p *Planner) assign(now time.Time, t *task, w *worker, attempt int) {
	t.attempt, t.waits = attempt, time.Time{}
	r := &run{task: t, attempt: attempt, worker: w, life: w.state.Incarnation, started: now}
	p.attach(r)
	p.newRuns = append(p.newRuns, r)
	p.touch(t.step.job)
	p.event(Event{Text: "run assigned", Job: t.step.job.spec.ID, Run: r.ref(), Worker: w.state.ID, Incarnation: r.life, Token: w.token, Age: now.Sub(w.clockAt), Reason: kindOf(t.step.spec)})
}

// placeGang starts all members of a gang, or none.
func (p *Planner) placeGang(now time.Time, s *step, workers []*worker) {
	if !s.gangWaits() {
		return
	}
	attempt := 0
	for _, t := range s.tasks {
		attempt = max(attempt, t.attempt)
	}
	var taken []*worker
	undo := func() {
		for _, w := range taken {
			w.take(s.spec, -1)
		}
	}
	for _, t := range s.tasks {
		w := p.choose(t, workers)
		if w == nil {
			undo()
			return
		}
		w.take(s.spec, 1)
		taken = append(taken, w)
	}
	undo()
	checkpoint := ""
	for _, t := range s.tasks {
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
	}
	for i, t := range s.tasks {
		t.checkpoint = checkpoint // the value of any member stands for all
		p.assign(now, t, taken[i], attempt+1)
	}
}

// kindOf names a step's treatment in logs and counters.
func kindOf(s *pv.Step) string {
	switch {
	case s.Filler:
		return "filler"
	case s.Standing:
		return "standing"
	case s.Gang:
		return "gang"
	}
	return "batch"
}
