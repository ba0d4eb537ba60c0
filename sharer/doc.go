// Package sharer orders waiting work of several plans by class, guarantee and
// weighted max-min share.
package sharer
