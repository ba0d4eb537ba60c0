// Package pipenet is a network in memory for tests under a paused clock: its
// connections are pipes, which such a clock can wait for.
package pipenet
