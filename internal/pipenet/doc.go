// Package pipenet provides an in-memory network for tests with a fake clock. Its
// connections are pipes: testing/synctest advances the clock while goroutines are
// blocked on pipes, but not while they are blocked on sockets.
package pipenet
