// Package gateway carries callers' calls to the leader. It keeps no state of
// jobs: an answer is the leader's, or says truthfully that there is none.
package gateway
