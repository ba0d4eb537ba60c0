package planner

// This file defines the work of jobs and the ratio by which their steps are ordered:
//
//	work per gain = remaining work / (work of the job + fixedGainRatio * mean work)
//
// The submitter's gain from a finished job has a fixed part and a part in proportion
// to the job's work. Among jobs that can meet their objectives, those with the
// lowest ratio go first: more jobs finish in time when not all can, and started
// jobs finish before others start.

import "time"

// fixedGainRatio is the fixed part of a mean job's gain divided by the part in
// proportion to its work.
const fixedGainRatio = 0.43

// coresPerAccelerator converts accelerators to cores in estimates of work.
const coresPerAccelerator = 8

// workTotal is the total work of a queue's jobs and their number; the mean work of a
// job is their quotient.
type workTotal struct {
	coreSeconds float64
	jobs        float64
}

// taskCoreSeconds returns the estimated work of one task of the step.
func (s *step) taskCoreSeconds() float64 {
	cores := float64(s.spec.Size.MilliCores)/1000 + coresPerAccelerator*float64(s.spec.Size.Accelerators)
	return cores * max(s.spec.Estimate, time.Millisecond).Seconds()
}

// setCoreSeconds sets the work of one occurrence of the job.
func (j *job) setCoreSeconds() {
	j.coreSeconds = 0
	for _, s := range j.steps {
		j.coreSeconds += s.taskCoreSeconds() * float64(len(s.tasks))
	}
	j.coreSeconds /= float64(max(1, j.spec.Occurrences))
}

// addWork sets a job's work and adds it to the total of its queue.
func (p *Planner) addWork(j *job) {
	j.setCoreSeconds()
	m := p.workTotals[j.queue.Name]
	p.workTotals[j.queue.Name] = workTotal{coreSeconds: m.coreSeconds + j.coreSeconds, jobs: m.jobs + 1}
}

// workPerGain returns the remaining work of the step's occurrence divided by the
// gain from the job; it is 0 for standing steps.
func (p *Planner) workPerGain(s *step) float64 {
	if s.spec.Standing {
		return 0
	}
	remaining := 0.0
	for _, other := range s.job.steps {
		if other.occurrence != s.occurrence || other.openTasks == 0 {
			continue
		}
		tasks := float64(other.openTasks)
		for _, t := range other.tasks {
			if t.run != nil && !t.finished {
				tasks -= float64(t.run.progressPercent) / 100
			}
		}
		remaining += other.taskCoreSeconds() * tasks
	}
	m := p.workTotals[s.job.queue.Name]
	return remaining / (s.job.coreSeconds + fixedGainRatio*m.coreSeconds/max(1, m.jobs))
}
