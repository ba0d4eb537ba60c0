// Package logsink writes log lines without ever blocking who logs: lines wait
// in a bounded buffer, and what doesn't fit is dropped and counted.
package logsink
