// Package meter counts the bytes sent and received on network connections.
package meter
