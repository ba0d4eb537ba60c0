// Package gateway passes submissions, cancellations and queries of jobs to the leader.
// While the leader doesn't answer, it writes submissions and cancellations to the
// inbox. It keeps no state of jobs: it returns the leader's answer, or reports that the
// call was refused or that its outcome is unknown.
package gateway
