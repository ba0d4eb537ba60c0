// Package connector implements the platform's interfaces over HTTP: the log
// service, the fleet service, the workers, and the endpoint of an agent.
package connector
