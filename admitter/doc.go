// Package admitter implements admission control at an entry: each request is
// admitted, queued or refused at once, so that a flood of one plan's requests
// takes nothing from the guaranteed shares of the others.
package admitter
