// Package entry implements the entry process, which serves callers and operators
// behind the platform's load balancer. An entry admits, rate-limits, routes and
// retries requests, and hands submitted tasks over to the cells, the groups of
// workers that are scheduled together. Submissions and non-idempotent requests are
// first recorded in the home of their key; each home is a stream that owns a fixed
// part of all keys. An entry keeps no durable state.
package entry
