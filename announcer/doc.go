// Package announcer defines the membership stream: which processes exist, which
// have deregistered, and which process holds which stream. The stream does not
// carry liveness, which is observed on the sessions that carry traffic.
package announcer
