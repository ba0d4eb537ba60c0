// Package meter counts the bytes of connections.
package meter
