// Package leader runs the planner of a site on whichever process holds the term
// at the store. A new leader fences its predecessors at the store, reads
// the jobs, and opens a link to every process of the site.
package leader
