// Package messenger carries frames between our processes: one yamux session
// for each pair, one stream for each call, protobuf with a length before it.
package messenger
