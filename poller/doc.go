// Package poller reads a stream of the log periodically and passes new records to
// the event loop.
package poller
