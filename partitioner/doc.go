// Package partitioner maps keys, workers, plans and members to streams by
// stable hashes, so that every process comes to the same answer alone.
package partitioner
