// Package supervisor runs on the machine beside a worker and is the only one to
// give it orders. It carries out what the leader decided, keeps the worker's
// lease alive within the leader's grant, reports what runs and what ended, and
// paces fillers so that serving tasks keep their latency targets. It keeps
// nothing: a new process learns all from the leader and the worker.
package supervisor
