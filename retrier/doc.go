// Package retrier decides whether and when a request is tried again: only what
// provably didn't run or is idempotent, within a budget and the deadline.
package retrier
