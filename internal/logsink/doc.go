// Package logsink writes log lines without blocking the goroutines that log: lines
// are kept in a bounded buffer, and lines that don't fit are dropped and counted.
package logsink
