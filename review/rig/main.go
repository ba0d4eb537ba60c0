// Command rig runs the cases of the review: stand-ins of the platform's store, of workers
// and of requesters, around the project's own programs as separate processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseTimeout bounds a case, which may take 120 s.
const caseTimeout = 118 * time.Second

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		workerMain(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(exitNotRun)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		fail("the case was ended by a signal")
	}()
	time.AfterFunc(caseTimeout, func() { fail("the case takes longer than %v", caseTimeout) })
	cases[os.Args[1]](os.Getenv("TROUBLE") != "0", os.Args[2])
}
