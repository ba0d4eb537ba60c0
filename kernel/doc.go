// Package kernel is the micro-kernel of every program: services register under
// a name, find each other by it, and stop in reverse order. It also runs the
// one goroutine that owns control state.
package kernel
