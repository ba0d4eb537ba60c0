// Package follower keeps the configuration that is in force: both lists at one
// version of the configuration stream, never an older one than was seen.
package follower
