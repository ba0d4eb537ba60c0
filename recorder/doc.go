// Package recorder implements the ledger of one stream: a deterministic state
// machine over the stream's records in offset order. All readers of a stream
// therefore reach the same state, even if the stream contains duplicates, records
// whose acknowledgement was lost, or records of superseded holders.
//
// Files:
//   - bootstrap.go: start of a reader from a snapshot
//   - ledger.go: application of records in order, with a verdict for each
//   - record.go: records and their encoding
//   - requests.go: begin and answer records of idempotency keys
//   - state.go: state of the ledger
//   - tasks.go: records about tasks
package recorder
