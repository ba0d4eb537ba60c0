package persimmonvalve

// This file defines the interface of placement policies. The cell's scheduler, the
// experiments and the baselines share it, so that they run the same decisions.

import "time"

// Neighbour is an attempt that is started on a worker.
type Neighbour struct {
	Kind    string // task kind
	Class   Class
	Reserve Resources // resources reserved for the attempt
}

// Candidate is a worker on which a task may be placed.
type Candidate struct {
	Worker   WorkerID
	Location Location
	Capacity Resources
	Free     Resources // capacity less the reservations of started attempts
	Running  []Neighbour
}

// Observation is the measured behaviour of one attempt in a worker's report.
type Observation struct {
	Worker     WorkerID
	Kind       string // task kind
	Class      Class
	Declared   Resources
	Used       Resources
	Slowdown   float64 // run time divided by the undisturbed run time
	Neighbours []Neighbour
}

// Placer chooses workers for tasks and adapts to the observations in reports.
type Placer interface {
	// Reserve returns the resources to reserve on a worker for the task.
	Reserve(spec TaskSpec) Resources
	// Place returns the index of the best candidate; it reports false if the task
	// fits none of them.
	Place(spec TaskSpec, reserve Resources, candidates []Candidate) (int, bool)
	// Observe adds the observation of one attempt.
	Observe(now time.Time, o Observation)
}

// InterferenceEstimator is an optional interface of a Placer that estimates how
// much tasks of different kinds slow each other down.
type InterferenceEstimator interface {
	// AddedSlowdown returns what a task of kind neighbour adds to the slowdown of
	// one of kind victim on the same worker, where the slowdown is the run time
	// divided by the undisturbed run time; 0 is no effect.
	AddedSlowdown(victim, neighbour string) float64
}
