// Package guard enforces the limits of slots and connections of one endpoint. A
// request that it refuses hasn't run.
package guard
