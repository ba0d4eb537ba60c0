// Package planner decides which worker runs which task of which job. It is a
// state machine without I/O or clock: submissions, cancellations and reports of
// workers go in with the time at which they came, and batches of records and
// orders come out. An order may be sent only after the records of its batch
// are stored, so that a successor knows every run that may exist.
package planner
