// Package sharer determines the order in which plans are served, by guarantee,
// class and weighted max-min fairness, and divides resources into parts.
package sharer
