package planner

// This file defines where fillers go: where they get most of their speed, and
// elsewhere only when their job would otherwise stand still on an idle fleet.

import "time"

// fillerSpeed estimates the share of full speed at which one more filler of an
// image and size would work.
func (p *Planner) fillerSpeed(w *worker, image string, size int64) float64 {
	share := w.fillerShare(size)
	if share == 0 {
		return 0
	}
	return share * p.pacedTo(w, image, float64(size)/1000).pace
}

// fillerShare is the share of its cores that one more filler would get.
func (w *worker) fillerShare(size int64) float64 {
	idle := int64(servingIdle * float64(w.served))
	free := w.state.Capacity.MilliCores - w.used.MilliCores + idle
	return min(1, fraction(max(0, free), w.filler+size))
}

// Bounds of where fillers go.
const (
	servingIdle    = 0.5                     // share of their cores that serving tasks leave idle on average
	goodSpeed      = 0.75                    // a filler starts at once where it gets this
	fillerWait     = 1200 * time.Millisecond // then it starts wherever it is fastest; it may not wait 3 s
	idleShare      = 0.55                    // of the fleet's cores; half counts as idle to callers
	moveGain       = 0.5                     // a filler that saves its progress moves for this much more speed
	movesPerPass   = 4
	workersPerMove = 3                       // for each move of a pass on a large fleet
	moveAfter      = 1500 * time.Millisecond // of a run: its pace is known by then
	movePercent    = 70                      // of its work, from which on it stays: resuming takes time too
)

// moveFillers stops fillers that are slow where they are and would be fast
// elsewhere. They resume from what the stop saves.
func (p *Planner) moveFillers(now time.Time) {
	workers := p.usableWorkers(now)
	taken := map[*worker]int64{}
	moves := 0
	for _, w := range workers {
		if w.filler == 0 {
			continue
		}
		for _, r := range w.runs {
			s := r.task.step
			if !s.spec.Filler || !s.spec.Checkpoints || s.spec.Gang || r.stopping || !r.begun ||
				r.task.moved || r.percent > movePercent || now.Sub(r.started) < moveAfter {
				continue
			}
			speed := fraction(r.using, s.spec.Size.MilliCores)
			if speed > 1-moveGain {
				continue
			}
			for _, o := range workers {
				if o != w && o.fits(r.task) && p.fillerSpeed(o, s.spec.Image, taken[o]+s.spec.Size.MilliCores) > speed+moveGain {
					taken[o] += s.spec.Size.MilliCores
					r.task.moved = true
					p.stop(r)
					p.event(Event{Text: "filler moves", Job: s.job.spec.ID, Run: r.ref(), Worker: w.state.ID, Incarnation: r.life, Reason: "slowThere"})
					moves++
					break
				}
			}
			if moves >= max(movesPerPass, len(workers)/workersPerMove) {
				return
			}
		}
	}
}

// mostlyIdle reports whether so little of the usable workers is reserved that a
// job with nothing running would wait beside free room.
func mostlyIdle(workers []*worker) bool {
	used, capacity := int64(0), int64(0)
	for _, w := range workers {
		used += w.used.MilliCores
		capacity += w.state.Capacity.MilliCores
	}
	return fraction(used, capacity) < idleShare
}

// quietAfter is the age of a worker's report from which on its runs may be lost.
const quietAfter = time.Second

// progresses reports whether some run of the job is at work or was just ordered.
// A run on a worker that fell silent may be lost long before that is proved.
func (j *job) progresses(now time.Time) bool {
	if j.runs == 0 {
		return false
	}
	for _, s := range j.steps {
		for _, t := range s.tasks {
			r := t.run
			if r == nil || r.stopping || now.Sub(r.worker.clockAt) >= quietAfter {
				continue
			}
			if r.begun || now.Sub(r.started) < quietAfter {
				return true
			}
		}
	}
	return false
}
