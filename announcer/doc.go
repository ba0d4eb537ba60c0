// Package announcer defines the membership stream: which processes exist, which
// have deregistered, and which process holds which stream. Liveness is not part
// of the stream; it is determined from the sessions between processes.
package announcer
