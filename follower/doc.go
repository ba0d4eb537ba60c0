// Package follower follows the configuration stream and keeps the configuration
// in force: both lists at one version. The version never decreases.
package follower
