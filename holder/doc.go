// Package holder lets a process read a stream, claim the stream's next term when
// the current holder is silent or has handed its term over, append records in
// batches while it holds the term, and read them back with their verdicts.
package holder
