// Package kernel provides the registry of a program's services: services are
// registered under a name, looked up by it, and stopped in reverse order. It also
// provides the event loop, the goroutine that owns a program's control state.
package kernel
