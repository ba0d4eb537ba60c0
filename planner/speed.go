package planner

// This file defines how fast a worker is, learned by comparison with its peers at the same time:
// the tail latency of a serving task with what the load of its step predicts, and the progress of
// a filler, for the cores that it was given, with that of other tasks of its step. A wrong
// estimate of a job is the same on all workers, and so is a load that slows the whole fleet;
// neither makes a worker slow.

import (
	"fmt"
	"math"
	"time"
)

// Parameters of the estimate.
const (
	slownessSmoothing  = 0.2             // weight of a new sample in the moving average
	maxSampledSlowness = 8.0             // single samples beyond it, or below its inverse, count as it
	slowFrom           = 2.5             // times the duration on its peers, from which a worker is slow
	slowUntil          = 1.5             // and below which it is well again
	minSlowSamples     = 6               // before a worker may count as slow
	slownessMemory     = 5 * time.Second // without a sample, after which a worker counts as well again
	maxSlowShare       = 0.5             // of a service's workers: if more are slow, none is avoided
)

// workerSpeed is what is known of the speed of one incarnation of a worker. A new leader learns it
// again from the polls.
type workerSpeed struct {
	logSlowness float64 // moving average of the logarithm of the samples
	samples     int
	sampledAt   time.Time
	slow        bool
}

// sample records that work took the given multiple of its time on other workers.
func (s *workerSpeed) sample(now time.Time, slowness float64) {
	if math.IsNaN(slowness) {
		return
	}
	value := math.Log(max(1/maxSampledSlowness, min(maxSampledSlowness, slowness)))
	if s.samples == 0 || now.Sub(s.sampledAt) > slownessMemory {
		*s = workerSpeed{logSlowness: value}
	} else {
		s.logSlowness += slownessSmoothing * (value - s.logSlowness)
	}
	s.samples++
	s.sampledAt = now
	switch {
	case !s.slow && s.samples >= minSlowSamples && s.slowness() >= slowFrom:
		s.slow = true
	case s.slow && s.slowness() < slowUntil:
		s.slow = false
	}
}

// slowness returns the multiple of the time on other workers that work takes.
func (s *workerSpeed) slowness() float64 { return math.Exp(s.logSlowness) }

// isSlow reports whether the worker counts as slow.
func (s *workerSpeed) isSlow(now time.Time) bool {
	return s.slow && now.Sub(s.sampledAt) <= slownessMemory
}

// reportSpeed reports a worker that has become slow, or well again.
func (p *Planner) reportSpeed(w *worker, wasSlow bool) {
	if w.speed.slow == wasSlow {
		return
	}
	kind := "worker slow"
	if wasSlow {
		kind = "worker well again"
	}
	p.addEvent(Event{Kind: kind, Worker: w.state.ID, Incarnation: w.state.Incarnation, Detail: fmt.Sprintf("takes %.1f times as long as its peers, by %d samples", w.speed.slowness(), w.speed.samples)})
}

// slowWorkers returns the workers to avoid, with their slowness, which is 1 for those that only
// may be slow. If more than maxSlowShare of a service's workers are to be avoided, all of that
// service are used: there is no better place.
func (p *Planner) slowWorkers(now time.Time) map[*worker]float64 {
	all, slow := map[string]int{}, map[string]int{}
	out := map[*worker]float64{}
	for _, w := range p.workers {
		all[w.state.Service]++
		switch {
		case w.speed.isSlow(now):
			out[w] = w.speed.slowness()
		case w.mayBeCold(now):
			out[w] = 1
		default:
			continue
		}
		slow[w.state.Service]++
	}
	for w := range out {
		if service := w.state.Service; float64(slow[service]) > maxSlowShare*float64(all[service]) {
			delete(out, w)
		}
	}
	return out
}

// maxColdTime is the time after which a worker whose zone was taken back is used like others, if
// nothing runs there that shows its speed.
const maxColdTime = 3 * time.Second

// mayBeCold reports whether the worker's zone was taken back shortly before, and no samples have
// shown since that the worker isn't slow.
func (w *worker) mayBeCold(now time.Time) bool {
	return !w.returnedAt.IsZero() && now.Sub(w.returnedAt) < maxColdTime && w.speed.samples < minSlowSamples
}

// runsBesides reports whether a task of the step runs on another worker that isn't slow. Without
// one nothing tells a slow worker from a rising load of the step.
func (s *step) runsBesides(now time.Time, w *worker) bool {
	for _, t := range s.tasks {
		if t.run != nil && t.run.worker != w && !t.run.worker.speed.isSlow(now) {
			return true
		}
	}
	return false
}

// sampleServing compares the slack of a serving task with the one that is predicted; the ratio is
// one of latencies. A task from which fillers take much tells more about them.
func (w *worker) sampleServing(now time.Time, predicted, loss, measured float64) {
	if predicted > 0 && measured > 0 && loss <= maxSampledLoss {
		w.speed.sample(now, predicted/measured)
	}
}

// maxSampledLoss is the most slack that fillers may take from a serving task whose latency is
// compared.
const maxSampledLoss = 0.2

// sampleFiller compares the time at full speed of a filler's task with the mean of its step, once
// the run has shown it.
func (r *run) sampleFiller(now time.Time) {
	others := r.task.step.fullSpeed
	if r.speedSampled || others.tasks < minSpeedPeers || r.pace.percent-r.pace.firstPercent < minComparedPercent {
		return
	}
	r.speedSampled = true
	r.worker.speed.sample(now, float64(r.wholeByProgress())/float64(others.total/time.Duration(others.tasks)))
}

// A filler is compared with the other tasks of its step if enough of these have ended, and once it
// has made enough progress itself, in percent.
const (
	minSpeedPeers      = 3
	minComparedPercent = 50
)
