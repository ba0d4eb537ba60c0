// Package persimmonvalve defines the domain types of the scheduler and the
// interfaces through which it uses the platform.
//
// The packages below the root depend on these interfaces and never on the
// transport of a platform or of a stand-in, so that supporting another platform
// needs only new adapters.
package persimmonvalve
