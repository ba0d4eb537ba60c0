// Package recorder holds the ledger of one stream: a state machine that is a
// pure function of the stream's records in offset order, and so the same at
// every reader, whatever duplicates, lost acknowledgements or superseded
// writers put into the stream.
package recorder
