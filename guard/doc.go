// Package guard limits the requests that one endpoint runs at once, and those that
// it accepts, running and queued. A request that it refuses hasn't run.
package guard
