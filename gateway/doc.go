// Package gateway forwards callers' calls to the leader. It keeps no state of jobs:
// it returns the leader's answer, or reports that the call was refused or that its
// outcome is unknown.
package gateway
