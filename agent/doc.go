// Package agent implements the process that runs next to an endpoint. It
// announces the endpoint, limits its concurrent requests, and is a candidate for
// the terms of streams: as a holder it schedules a cell or serves a home.
//
// Files:
//   - agent.go: services, their start order and the graceful stop
//   - handle.go: handlers of the frames that entries send
//   - metrics.go: Prometheus counters
//   - settings.go: settings and dependencies
//   - stream.go: the streams whose terms the agent may hold
//   - view.go: read-only queries on the state of a stream
package agent
