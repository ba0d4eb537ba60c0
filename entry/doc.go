// Package entry implements the entry process, which serves callers and operators
// behind the platform's load balancer and keeps no durable state. An entry admits,
// rate-limits, routes and retries requests, and transfers submitted tasks to the
// cells, the groups of workers that are scheduled together. Submissions and
// non-idempotent requests are first recorded in the home of their key, a stream that
// owns a fixed part of all keys.
//
// Files:
//   - entry.go: services, periodic work and the graceful stop
//   - failure.go: failures of calls and their HTTP statuses
//   - holders.go: calls to the holder of a stream, with retries
//   - lists.go: reading and publishing the lists of plans and allowances
//   - metrics.go: Prometheus metrics
//   - once.go: at-most-once execution of non-idempotent requests
//   - report.go: the API call that returns the report
//   - requests.go: admission and attempts of a request, and its answer
//   - settings.go: settings and dependencies
//   - show.go: the API calls that show tasks, workers, endpoints and cells
//   - status.go: status calls to agents, which are also heartbeats
//   - tasks.go: submission, transfer and cancellation of tasks
package entry
