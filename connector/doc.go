// Package connector holds the adapters to the platform over HTTP: the log
// service, the workers, and the endpoint beside an agent.
package connector
