// Package scheduler decides for one cell: which task starts where, what is
// stopped, and when an attempt has provably ended. It is a state machine
// without I/O; records and worker calls go out as values.
package scheduler
