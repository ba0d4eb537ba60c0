package planner

// This file defines which running tasks are moved to another worker, because they lag behind:
// the step of a job ends with its slowest task. A filler stands still for as long as the serving
// tasks beside it need all of their slack, and any task is slow on a slow worker (speed.go).
//
// A move stops the run, which may save a checkpoint, and starts the task again where it would be
// fast. It pays if the task would end sooner by enough:
//
//	stay = remaining work / present speed
//	move = MoveTime + work that is left there / expected speed there
//
// What is left there is all of the work without a checkpoint. Fillers without one are moved from
// slow workers alone. The work is measured in time at full speed. It follows from the progress that the run has made
// with the cores that it was given, so that a wrong estimate of the submitter is no slow worker.

import (
	"cmp"
	"slices"
	"time"

	pv "persimmonvalve"
)

// pace is the progress of a filler's run and the speed at which it was made. Speeds are fractions
// of full speed. A new leader learns it from the next polls.
type pace struct {
	notedAt      time.Time     // of the last status; zero before the first
	firstPercent int           // in the first status: a resumed run begins with what was saved
	percent      int           // in the last status
	worked       time.Duration // time at full speed in which the work since the first status is done
	speed        float64       // moving average
}

// speedSmoothing is the weight of a new value in the moving average of a run's speed. A value is
// itself a mean over half a second.
const speedSmoothing = 0.6

// note records a status of the run.
func (p *pace) note(now time.Time, percent int, speed float64) {
	speed = min(1, speed)
	if p.notedAt.IsZero() {
		*p = pace{notedAt: now, firstPercent: percent, percent: percent, speed: speed}
		return
	}
	p.worked += time.Duration(speed * float64(now.Sub(p.notedAt)))
	p.speed += speedSmoothing * (speed - p.speed)
	p.notedAt, p.percent = now, percent
}

// Progress, in percent, from which a run tells how long its task takes.
const (
	minMeasuredPercent = 25 // of a run in progress
	minSlowPercent     = 10 // of a run on a slow worker
	minWholeTask       = 50 // of a run that has succeeded
)

// wholeTask returns the time that the whole task takes at full speed, by a run that has just
// succeeded, or 0 if the run was seen for too short a part of it.
func (p *pace) wholeTask(now time.Time) time.Duration {
	seen := 100 - p.firstPercent
	if p.notedAt.IsZero() || seen < minWholeTask {
		return 0
	}
	worked := p.worked + time.Duration(p.speed*float64(now.Sub(p.notedAt)))
	return worked * 100 / time.Duration(seen)
}

// fullSpeedTime sums up the times at full speed of tasks.
type fullSpeedTime struct {
	total time.Duration
	tasks int
}

// add adds the time of a task, unless it is 0.
func (f *fullSpeedTime) add(d time.Duration) {
	if d > 0 {
		f.total += d
		f.tasks++
	}
}

// remaining estimates the time at full speed that the run's task still takes, by its own
// progress, else by the tasks of its step that have succeeded, else by the submitter's estimate.
func (r *run) remaining() time.Duration {
	s, p := r.task.step, r.pace
	whole := s.spec.Estimate
	if p.percent-p.firstPercent >= minMeasuredPercent || p.percent-p.firstPercent >= minSlowPercent && r.worker.speed.slow {
		whole = r.wholeByProgress()
	} else if s.fullSpeed.tasks > 0 {
		whole = s.fullSpeed.total / time.Duration(s.fullSpeed.tasks)
	}
	return whole * time.Duration(100-p.percent) / 100
}

// wholeByProgress returns the time at full speed of the run's task by its own progress.
func (r *run) wholeByProgress() time.Duration {
	return r.pace.worked * 100 / time.Duration(max(1, r.pace.percent-r.pace.firstPercent))
}

// Parameters of moves.
const (
	minMoveRunTime = 1200 * time.Millisecond // age of a run by which its CPU limit has settled
	minMoveGain    = 800 * time.Millisecond  // by which the task has to end sooner
	minMoveShare   = 0.4                     // of the time without a move
	minStaySpeed   = 0.1                     // a filler that stands still goes on when the load of the serving tasks falls
	minMoveLimit   = 4                       // moves per pass on a small fleet
	workersPerMove = 3                       // workers for each move that one pass may make on a large fleet
	// orderTime is the time that orders and reports of a move take, beside StopTime and RestoreTime.
	orderTime = 300 * time.Millisecond
)

// MoveTime returns the time from the stop of a run until its task works again elsewhere.
func (s Settings) MoveTime() time.Duration { return s.StopTime + s.RestoreTime + orderTime }

// straggler is a run that would end sooner if it were fast elsewhere.
type straggler struct {
	run  *run
	left time.Duration // work elsewhere, at full speed
	stay time.Duration // until its end without a move
}

// gain returns by how much sooner the task ends after a move to a worker where it has the speed.
func (s straggler) gain(speed float64, moveTime time.Duration) time.Duration {
	return s.stay - moveTime - time.Duration(float64(s.left)/speed)
}

// moveStragglers stops the runs for which a move pays most.
func (p *Planner) moveStragglers(now time.Time) {
	workers := p.schedulableWorkers(now)
	limit := max(minMoveLimit, len(workers)/workersPerMove)
	planned := map[*worker]plannedMoves{}
	for _, s := range p.stragglers(now, workers, searchesPerMove*limit) {
		to := p.moveTarget(s, workers, planned)
		if to == nil {
			continue
		}
		step := s.run.task.step
		planned[to] = planned[to].add(step.spec)
		p.stopRun(s.run, "slowThere")
		p.addEvent(Event{Kind: kindOf(step.spec) + " moves", Job: step.job.spec.ID, Run: s.run.ref(), Worker: s.run.worker.state.ID, Incarnation: s.run.incarnation, Reason: "slowThere"})
		if limit--; limit == 0 {
			return
		}
	}
}

// plannedMoves are the moves of one pass to a worker.
type plannedMoves struct {
	reserved         pv.Resources
	fillerMilliCores int64
}

func (m plannedMoves) add(s *pv.Step) plannedMoves {
	m.reserved = m.reserved.Add(reservation(s))
	if s.Filler {
		m.fillerMilliCores += s.Size.MilliCores
	}
	return m
}

// searchesPerMove bounds the stragglers for which a pass looks for another worker.
const searchesPerMove = 3

// stragglers returns the runs that would gain most from full speed elsewhere, at most limit.
func (p *Planner) stragglers(now time.Time, workers []*worker, limit int) []straggler {
	var out []straggler
	for _, w := range workers {
		slowness := p.avoided[w]
		if w.fillerMilliCores == 0 && slowness <= 1 {
			continue
		}
		for _, r := range w.runs {
			if !r.mayMove(now, slowness > 1) {
				continue
			}
			remaining := r.remaining()
			s := straggler{run: r, left: remaining, stay: time.Duration(float64(remaining) / max(minStaySpeed, r.pace.speed))}
			if !r.task.step.spec.Checkpointable {
				s.left = remaining * 100 / time.Duration(max(1, 100-r.pace.percent))
			}
			if slowness > 1 {
				s.left = time.Duration(float64(s.left) / slowness) // it was measured on the slow worker
			}
			if s.gain(1, p.settings.MoveTime()) >= minMoveGain {
				out = append(out, s)
			}
		}
	}
	slices.SortFunc(out, func(a, b straggler) int {
		return cmp.Or(cmp.Compare(b.stay, a.stay), cmp.Compare(a.run.ref().String(), b.run.ref().String()))
	})
	return out[:min(limit, len(out))]
}

// mayMove reports whether the run may be a straggler: a filler with checkpoints, or any run on a
// slow worker that has shown its progress there.
func (r *run) mayMove(now time.Time, onSlowWorker bool) bool {
	spec := r.task.step.spec
	if spec.Standing || spec.Gang || r.stopping || r.pace.notedAt.IsZero() {
		return false
	}
	if onSlowWorker {
		return r.pace.percent-r.pace.firstPercent >= minSlowPercent
	}
	return spec.Filler && spec.Checkpointable && now.Sub(r.assignedAt) >= minMoveRunTime
}

// moveTarget returns a worker to which a move pays, or nil.
func (p *Planner) moveTarget(s straggler, workers []*worker, planned map[*worker]plannedMoves) *worker {
	spec := s.run.task.step.spec
	for _, w := range workers {
		if w == s.run.worker || p.avoided[w] > 0 || !w.fits(s.run.task) {
			continue
		}
		with := planned[w].add(spec)
		if !w.reserved.Add(with.reserved).Fits(w.state.Capacity) {
			continue
		}
		speed := 1.0
		if spec.Filler {
			speed = p.fillerSpeed(w, spec.Image, with.fillerMilliCores)
		}
		if speed < minStartSpeed {
			continue
		}
		if gain := s.gain(speed, p.settings.MoveTime()); gain >= minMoveGain && float64(gain) >= minMoveShare*float64(s.stay) {
			return w
		}
	}
	return nil
}
