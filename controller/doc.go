// Package controller implements the commands of pvalvectl. Each command calls an
// entry, prints tables or JSON, and returns an exit code.
//
// Files:
//   - controller.go: options, output and exit codes
//   - lists.go: commands for the lists of plans and allowances
//   - report.go: commands that print the report, workers, endpoints and cells
//   - tasks.go: commands for tasks and requests
package controller
