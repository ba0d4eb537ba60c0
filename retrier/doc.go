// Package retrier decides whether and when a request is retried: only if it is
// idempotent or provably didn't run, and only within the retry budget and its
// deadline.
package retrier
