// Package accountant counts the requests that aren't recorded one by one in the log:
// idempotent requests, and requests that an entry refused. Entries keep totals in
// memory and append the increments to the accounts stream every few seconds.
package accountant
