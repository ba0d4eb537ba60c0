// Package messenger carries protobuf frames with a length prefix between the
// processes of a site, and converts reports and orders to and from protobuf messages.
// A Client has one yamux session per address and one stream per call, which a Server
// answers. A Link is one long-lived stream between the leader and another process,
// which accepts it with a LeaderAcceptor.
//
// Files:
//   - acceptor.go: acceptance of leaders' links
//   - client.go: calls to other processes
//   - codec.go: encoding of frames
//   - convert.go: conversion of reports and orders
//   - link.go: links between the leader and another process
//   - server.go: answers to calls
package messenger
