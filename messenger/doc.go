// Package messenger carries protobuf frames with a length prefix between the
// processes of a site. A Client has one yamux session per address and one stream
// per call; a Link is one long-lived stream between the leader and another process.
package messenger
