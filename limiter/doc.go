// Package limiter bounds the memory and the connections of an HTTP server whose callers may
// stay outside its limits. All connections of a process share one budget for the requests that
// haven't been handled yet. When it is short, the connection is closed that has held the most
// for the longest without completing its request, not the newcomer with a small one.
//
// Files:
//   - conn.go: connections and the phases of their requests
//   - limiter.go: the budget, and the choice of the connection to close
package limiter
