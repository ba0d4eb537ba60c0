// Package planner decides which worker runs which task of which job. It is a
// state machine without I/O or clock: its inputs are submissions, cancellations
// and reports of workers, each with its time of arrival; its outputs are batches
// of records and orders. An order may be sent only after the records of its batch
// are stored, so that the next leader finds a record of every run that may exist.
//
// Files:
//   - coefficients.go: transfer and storage of interference coefficients
//   - evacuation.go: evacuation of zones
//   - explain.go: where a job would go, without submitting it
//   - fillers.go: workers on which fillers run
//   - gang.go: attempts of gangs
//   - interference.go: learning of interference coefficients
//   - job.go: state of jobs, steps, tasks and runs
//   - orders.go: orders to a worker's supervisor
//   - place.go: order of waiting tasks and choice of their workers
//   - planner.go: methods of the planner and its batches
//   - record.go: records of jobs
//   - report.go: effects of workers' reports
//   - settings.go: settings
//   - stragglers.go: fillers that are moved since they lag behind
//   - work.go: work of jobs, and the ratio by which steps are ordered
//   - worker.go: incarnation, reserved capacity and lease of a worker
package planner
