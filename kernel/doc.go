// Package kernel provides the registry of a program's services, its long-lived parts
// (not the services that endpoints provide). Services are registered under a name,
// looked up by it, and stopped in reverse order. The package also provides the event
// loop, the goroutine that owns a program's control state.
package kernel
