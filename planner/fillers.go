package planner

// This file defines where fillers run: on workers where they reach most of their
// full speed, and on others only after a wait (slowStarts).

import "time"

// fillerSpeed estimates the speed of one more filler of the image and size, as a
// fraction of full speed.
func (p *Planner) fillerSpeed(w *worker, image string, milliCores int64) float64 {
	share := w.fillerCoreShare(milliCores)
	if share == 0 {
		return 0
	}
	return share * p.expectedThrottling(w, image, float64(milliCores)/1000).cpuLimit / max(1, p.avoided[w])
}

// fillerCoreShare returns the fraction of their cores that the worker's fillers get
// with one more filler of the size, before throttling.
func (w *worker) fillerCoreShare(milliCores int64) float64 {
	idle := int64(servingIdleFraction * float64(w.servingMilliCores))
	free := w.state.Capacity.MilliCores - w.reserved.MilliCores + idle
	return min(1, fraction(max(0, free), w.fillerMilliCores+milliCores))
}

// Parameters of the placement of fillers.
const (
	servingIdleFraction = 0.5                     // fraction of their reserved cores that serving tasks leave idle on average
	minStartSpeed       = 0.75                    // lowest speed, as a fraction of full speed, at which a filler starts without waiting
	maxFillerWait       = 1200 * time.Millisecond // wait after which a filler may start on the best worker, however slow; it must start within 3 s
	maxIdleReserved     = 0.55                    // fraction of a service's cores; submitters regard a service as idle up to 0.5
)

// mostlyIdleServices returns the services of which the reserved fraction of their workers'
// cores is below maxIdleReserved. A job of such a service shouldn't wait without running tasks.
func mostlyIdleServices(workers []*worker) map[string]bool {
	reserved, capacity := map[string]int64{}, map[string]int64{}
	for _, w := range workers {
		reserved[w.state.Service] += w.reserved.MilliCores
		capacity[w.state.Service] += w.state.Capacity.MilliCores
	}
	idle := map[string]bool{}
	for service := range capacity {
		idle[service] = fraction(reserved[service], capacity[service]) < maxIdleReserved
	}
	return idle
}

// slowStarts decides in one placement pass which fillers start on a worker where they would
// be slow. A filler that ends by itself can wait for the capacity that the end of another
// brings. It may start slowly if its job would otherwise make no progress on a mostly idle
// service. The wait of a standing filler has no such end: its siblings, and the serving tasks
// that it would disturb, may run for as long as it. So it rests on nothing but its own wait.
type slowStarts struct {
	now          time.Time
	idleServices map[string]bool
	progressing  map[*job]bool // whether the jobs asked for make progress
}

func newSlowStarts(now time.Time, workers []*worker) *slowStarts {
	return &slowStarts{now: now, idleServices: mostlyIdleServices(workers), progressing: map[*job]bool{}}
}

// allowed reports whether a waiting filler may start on a worker where it would be slow.
func (s *slowStarts) allowed(t *task) bool {
	if s.now.Sub(t.waitingSince) < maxFillerWait {
		return false
	}
	return t.step.spec.Standing || s.idleServices[t.step.job.queue.Service] && !s.progresses(t.step.job)
}

func (s *slowStarts) progresses(j *job) bool {
	progresses, known := s.progressing[j]
	if !known {
		progresses = j.inProgress(s.now)
		s.progressing[j] = progresses
	}
	return progresses
}

// noteStart records that a task is started in this pass.
func (s *slowStarts) noteStart(t *task) {
	if !t.step.spec.Standing {
		s.progressing[t.step.job] = true
	}
}

// progressTimeout is the age of a worker's last poll result at which its runs may be
// lost, and the time that an assigned run has to start.
const progressTimeout = time.Second

// inProgress reports whether a run of the job that ends by itself has started or was
// assigned within progressTimeout. Runs on silent workers don't count: they may be lost
// long before the lease of the worker lapses.
func (j *job) inProgress(now time.Time) bool {
	if j.openRuns == 0 {
		return false
	}
	for _, s := range j.steps {
		if s.spec.Standing {
			continue
		}
		for _, t := range s.tasks {
			r := t.run
			if r == nil || r.stopping || now.Sub(r.worker.lease.readAt) >= progressTimeout {
				continue
			}
			if r.observed || now.Sub(r.assignedAt) < progressTimeout {
				return true
			}
		}
	}
	return false
}
