// Package poller reads a stream of the log again and again and hands what is
// new to the control goroutine.
package poller
