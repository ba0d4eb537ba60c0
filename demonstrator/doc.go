// Package demonstrator assembles a whole site in one process: stand-ins of the
// platform, and the real entries and agents over their real transports on
// loopback.
package demonstrator
