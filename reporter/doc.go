// Package reporter accounts for all work from the streams of the log: sums by
// customer and plan that close, quantiles, and the story of one task.
package reporter
