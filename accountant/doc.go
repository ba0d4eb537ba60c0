// Package accountant keeps the account of requests that never touch a home's
// stream: quick requests, and what an entry refuses. Entries sum up in memory
// and append the difference to the accounts stream every few seconds.
package accountant
