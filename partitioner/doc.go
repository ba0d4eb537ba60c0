// Package partitioner maps keys, workers, plans and members to streams by stable
// hashes, so that all processes compute the same mapping without communication.
package partitioner
