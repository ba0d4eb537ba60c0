// Package runner implements what all programs share: settings from flags and
// environment variables, the logger, the admin server for health checks and
// metrics, and signals.
package runner
