package persimmonvalve

// This file defines the interface of the placement policy, so that the cell's
// scheduler, the experiments and the baselines share one set of decisions.

import "time"

// Neighbour is an attempt that runs on a worker.
type Neighbour struct {
	Kind    string
	Class   Class
	Reserve Resources
}

// Candidate is a worker that may take a task.
type Candidate struct {
	Worker   WorkerID
	Place    Place
	Capacity Resources
	Free     Resources // capacity less what valid starts reserve
	Running  []Neighbour
}

// Observation is what a worker's report says of one attempt.
type Observation struct {
	Worker     WorkerID
	Kind       string
	Class      Class
	Declared   Resources
	Used       Resources
	Slowdown   float64 // 1 is undisturbed
	Neighbours []Neighbour
}

// Placer chooses workers for tasks and learns from reports.
type Placer interface {
	// Reserve returns what a start of the task reserves on a worker.
	Reserve(spec TaskSpec) Resources
	// Place returns the index of the best candidate, false when none fits.
	Place(spec TaskSpec, reserve Resources, candidates []Candidate) (int, bool)
	// Observe takes in one attempt of a report.
	Observe(now time.Time, o Observation)
}

// CostEstimator is the optional interface of a placer that knows what kinds
// cost each other.
type CostEstimator interface {
	// Cost returns the slowdown that a neighbour adds to a victim; 0 is none.
	Cost(victim, neighbour string) float64
}
