// Package supervisor implements the supervisor of a worker. It runs on the worker's
// machine and is the only sender of orders to the worker. It starts and stops runs as
// the leader orders, renews the worker's lease up to the end that the leader allows,
// reports running and ended runs, and throttles fillers so that serving tasks meet
// their latency targets. It stores nothing: a new process gets its state from the
// leader and the worker.
package supervisor
