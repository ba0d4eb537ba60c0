// Package leader implements leader election by conditional appends to the store,
// and runs the planner of a site on the elected process. A new leader fences its
// predecessors at the store, reads the jobs, and opens a link to every process of
// the site.
//
// Files:
//   - claim.go: claim of a term by conditional append
//   - commit.go: commit of batches to the store, with idempotent retries
//   - directory.go: directory of the site's processes; preferred candidates
//   - evacuation.go: evacuated zones
//   - inbox.go: jobs and cancellations stored while no leader can be reached
//   - leader.go: candidacy of a process
//   - metrics.go: Prometheus metrics
//   - peer.go: link to another process, its reports and questions
//   - tail.go: following a keyed topic
//   - term.go: one term of leadership
package leader
