// Package standin provides in-memory fakes of the platform for tests,
// experiments and the demo: a log service, a keyed store, workers and endpoints,
// each with the faults that the real ones have, which can be injected. Production
// code does not depend on it.
//
// Files:
//   - direct.go: calls to workers without HTTP
//   - endpoint.go: fake endpoint
//   - http.go: HTTP handlers of the fakes
//   - job_worker.go: fake worker for the tasks of jobs
//   - keyed.go: fake store with keyed topics
//   - log.go: fake log service
//   - run_audit.go: audit of runs against the scheduling invariants
//   - worker.go: fake worker for the tasks of cells
package standin
