// Package announcer keeps the membership stream: which processes there are,
// which leave, and who holds which stream. Liveness is not in the stream; it
// is seen on the sessions that traffic uses anyway.
package announcer
