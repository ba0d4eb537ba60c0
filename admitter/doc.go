// Package admitter decides at an entry which request runs now, which waits and
// which is refused at once, so that a flood of one kind costs the others
// nothing of their guaranteed share.
package admitter
