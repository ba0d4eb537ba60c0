// Package entry is the process behind the platform's balancer: it serves
// callers and operators, admits, limits, routes and retries requests, and
// drives submissions to the cells. It keeps nothing that must last.
package entry
