package planner

// This file explains where a job would go now, without submitting it. The explanation is made by
// the functions that decide: the order of the waiting steps, the check of each worker, and the
// score by which one is chosen.

import (
	"cmp"
	"slices"
	"time"

	pv "persimmonvalve"
)

// Explanation says where the tasks of a job would go if it were submitted now, and why.
type Explanation struct {
	Queue    string            `json:"queue"`
	Priority int               `json:"priority"`
	Steps    []StepExplanation `json:"steps"` // that could start at once
}

// StepExplanation explains the placement of one step.
type StepExplanation struct {
	Step        int                 `json:"step"`
	Kind        string              `json:"kind"` // batch, filler, standing or gang
	Tasks       int                 `json:"tasks"`
	CanBeInTime bool                `json:"canBeInTime"` // by its estimate, if it started at once
	WorkPerGain float64             `json:"workPerGain"` // orders steps of one priority; lower goes first
	StepsAhead  int                 `json:"stepsAhead"`  // waiting steps that are placed before it
	TasksAhead  int                 `json:"tasksAhead"`  // their waiting tasks
	Chosen      pv.WorkerID         `json:"chosen,omitempty"`
	Waits       string              `json:"waits,omitempty"` // why the first task would wait
	Workers     []WorkerExplanation `json:"workers"`         // the best first
}

// WorkerExplanation says whether a worker could get the step's first task.
type WorkerExplanation struct {
	Worker pv.WorkerID `json:"worker"`
	Zone   string      `json:"zone"`
	Reason string      `json:"reason,omitempty"` // why it can't; empty if it can
	Score  float64     `json:"score"`            // the highest is chosen; 0 if it can't
	Speed  float64     `json:"speed,omitempty"`  // expected for a filler, as a fraction of full speed
}

// Explain says where the job's tasks would go now. It changes nothing.
func (p *Planner) Explain(now time.Time, spec pv.Job, queue pv.Queue) Explanation {
	if q, ok := p.queues[queue.Name]; ok {
		queue = q
	}
	j := newJob(spec, nil, queue, now)
	j.setCoreSeconds()
	out := Explanation{Queue: queue.Name, Priority: queue.Priority}
	workers := p.schedulableWorkers(now)
	waiting := p.readySteps(now)
	for _, s := range j.steps {
		if s.ready(now) {
			out.Steps = append(out.Steps, p.explainStep(now, s, workers, waiting))
		}
	}
	return out
}

func (p *Planner) explainStep(now time.Time, s *step, workers []*worker, waiting []readyStep) StepExplanation {
	rank := p.rank(now, s)
	out := StepExplanation{Step: s.index, Kind: kindOf(s.spec), Tasks: len(s.tasks), CanBeInTime: rank.latenessClass == 0, WorkPerGain: rank.workPerGain}
	for _, o := range waiting {
		if compareReady(o, rank) >= 0 {
			continue
		}
		out.StepsAhead++
		for _, t := range o.step.tasks {
			if t.waiting() {
				out.TasksAhead++
			}
		}
	}
	first := s.tasks[0]
	for _, w := range p.workers {
		e := WorkerExplanation{Worker: w.state.ID, Zone: w.state.Location.Zone, Reason: cmp.Or(p.unavailability(now, w), w.misfit(first))}
		if e.Reason == "" {
			e.Score = p.score(w, s)
		}
		if e.Reason == "" && s.spec.Filler {
			e.Speed = p.fillerSpeed(w, s.spec.Image, s.spec.Size.MilliCores)
		}
		out.Workers = append(out.Workers, e)
	}
	slices.SortFunc(out.Workers, func(a, b WorkerExplanation) int {
		return cmp.Or(compareBool(a.Reason != "", b.Reason != ""), cmp.Compare(b.Score, a.Score), cmp.Compare(a.Worker, b.Worker))
	})
	w := p.chooseWorker(first, workers)
	switch {
	case w == nil:
		out.Waits = "no worker may get it"
	case s.spec.Filler && p.fillerSpeed(w, s.spec.Image, s.spec.Size.MilliCores) < minStartSpeed:
		out.Chosen, out.Waits = w.state.ID, "it would be slow on the best worker"
	default:
		out.Chosen = w.state.ID
	}
	return out
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
