// Package agent is the process beside an endpoint: it announces and guards the
// endpoint, and may hold the terms of streams and then schedules cells and
// keeps homes.
package agent
