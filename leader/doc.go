// Package leader implements leader election by conditional appends to the store,
// and runs the planner of a site on the elected process. A new leader fences its
// predecessors at the store, reads the jobs, and opens a link to every process of
// the site.
package leader
