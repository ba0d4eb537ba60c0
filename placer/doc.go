// Package placer chooses workers for tasks. It learns what kinds really use
// and what pairs of kinds cost each other, and weighs both as the site does.
package placer
