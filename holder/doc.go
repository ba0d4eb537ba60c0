// Package holder keeps one stream's term: it watches the stream, claims the
// next term when the holder is silent, and writes records in group commits
// whose fate it learns by reading them back.
package holder
