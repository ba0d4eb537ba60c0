// Package agent implements the process that runs next to an endpoint. It
// announces the endpoint, limits its concurrent requests, and is a candidate for
// the terms of streams: as a holder it schedules a cell or serves a home.
package agent
