// Package entry implements the process behind the platform's load balancer. An
// entry serves callers and operators, admits, rate-limits, routes and retries
// requests, and hands submitted tasks over to the cells. It keeps no durable
// state.
package entry
