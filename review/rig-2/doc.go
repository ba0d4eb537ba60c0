//go:build reviewrig

// Command rig-2 runs the scripted cases 6 to 10 of the review. It starts the programs of
// the deploy file as separate processes on loopback addresses, and plays the platform's
// store, the workers and the requesters in its own process.
//
//	rig-2 CASE DIRECTORY
//
// It writes DIRECTORY/record.txt and exits with 0 if the rule held, 1 if it was broken and
// 2 if the case couldn't run. With TROUBLE=0 in the environment the case runs without its
// disruption.
//
// Files:
//   - cases.go: the cases and their checks
//   - main.go: command line, record and exit code
//   - proxy.go: proxy between a worker and its supervisor
//   - requester.go: calls of requesters
//   - site.go: processes, addresses and configuration of a small site
//   - store.go: the platform's store
//   - worker.go: workers
package main
