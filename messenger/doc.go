// Package messenger carries protobuf frames with a length prefix between the
// processes of a site. A Client has one yamux session per address and one stream
// per call, which a Server answers. A Link is one long-lived stream between the
// leader and another process, which accepts it with a LeaderAcceptor. The package
// also converts reports and orders to and from protobuf messages.
package messenger
