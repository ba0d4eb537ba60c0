// Package persimmonvalve defines the domain types of the scheduler and the
// interfaces behind which the platform is met.
//
// The packages below the root each do one job. They depend on the root and
// never on a stand-in's transport, so that another platform needs only new
// adapters.
package persimmonvalve
