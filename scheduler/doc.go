// Package scheduler schedules the tasks of one cell, a set of workers that is
// scheduled by the holder of the cell's stream. It decides which task starts on
// which worker, which attempts are stopped, and when an attempt has provably
// ended. It is a state machine without I/O; it returns worker calls as values and
// passes records to a callback.
//
// Files:
//   - core.go: state and tick
//   - headroom.go: capacity left free for urgent plans
//   - health.go: attribution of failures, and quarantine
//   - index.go: indices over the ledger
//   - mitigate.go: mitigation of interference, and preemption
//   - reconcile.go: reconciliation of workers' reports with the ledger
//   - start.go: start of waiting tasks
//   - worker.go: lease and last report of a worker
package scheduler
