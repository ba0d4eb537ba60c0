// Package supervisor implements the supervisor of a worker. It runs on the worker's
// machine and is the only sender of orders to the worker. It starts and stops runs as
// the leader orders, renews the worker's lease up to the end that the leader allows,
// reports running and ended runs, and throttles fillers so that serving tasks meet
// their latency targets. It stores nothing: a new process gets its state from the
// leader and the worker.
//
// Files:
//   - calls.go: choice of the calls that carry the orders out, and their results
//   - heartbeat.go: choice of the heartbeats that are the worker's
//   - limits.go: transmission of CPU limits to the worker
//   - metrics.go: Prometheus metrics
//   - orders.go: ordered runs
//   - poll.go: poll loop of the worker
//   - supervisor.go: state, and the handlers of the leader's link
//   - throttler.go: computation of CPU limits for fillers
package supervisor
