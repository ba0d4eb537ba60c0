// Package guard has the last word on one endpoint's slots and connections: a
// request that it refuses hasn't run.
package guard
