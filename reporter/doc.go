// Package reporter computes the report from the streams of the log: for each plan
// the sums of submitted, waiting, running and ended work and the quantiles of wait
// and run times, and the history of one task.
//
// Files:
//   - history.go: history of one task
//   - items.go: single tasks and requests, and histograms of their times
//   - report.go: sums and quantiles by plan
package reporter
