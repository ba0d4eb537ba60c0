// Package router chooses the endpoint for a request among a bounded subset, by
// requests in progress and latency, availability zone and the paid link.
package router
