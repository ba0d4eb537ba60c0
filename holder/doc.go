// Package holder implements the holder of a stream's term: it reads the stream,
// claims the next term when the current holder is silent, writes records in
// batches, and reads them back to learn their verdicts.
package holder
