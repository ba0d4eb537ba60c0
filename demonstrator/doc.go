// Package demonstrator assembles a whole site in one process: fakes of the platform
// from package standin, and real entries and agents that communicate over
// loopback sockets.
package demonstrator
