// Package scheduler schedules the tasks of one cell, a set of workers that is
// scheduled by the holder of the cell's stream. It decides which task starts on
// which worker, which attempts are stopped, and when an attempt has provably
// ended. It is a state machine without I/O; it returns worker calls as values and
// passes records to a callback.
package scheduler
