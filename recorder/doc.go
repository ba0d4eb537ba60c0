// Package recorder implements the ledger of one stream: a deterministic state
// machine over the stream's records in offset order. All readers of a stream
// therefore reach the same state, even if the stream contains duplicates, records
// whose acknowledgement was lost, or records of superseded holders.
package recorder
