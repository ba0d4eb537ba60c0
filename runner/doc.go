// Package runner holds what all programs share: settings from flags and
// environment, logs, the address for health and metrics, and signals.
package runner
