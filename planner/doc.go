// Package planner decides which worker runs which task of which job. It is a
// state machine without I/O or clock: its inputs are submissions, cancellations
// and reports of workers, each with its time of arrival; its outputs are batches
// of records and orders. An order may be sent only after the records of its batch
// are stored, so that the next leader finds a record of every run that may exist.
package planner
