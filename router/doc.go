// Package router selects the endpoint for a request from a bounded subset of a
// service's endpoints, by requests in progress, latency, availability zone and
// the byte budget of the paid link between regions.
package router
