// Command rig-3 plays the cases of the third review against the project's programs. It exits with
// 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases are the cases by name. Each reports whether the rule held.
var cases = map[string]func(log *recorder, trouble bool) bool{
	"large-batch": largeBatch,
	"gang":        gang,
	"low-born":    lowBorn,
	"flap":        flap,
	"per-server":  perServer,
}

func main() {
	if len(os.Args) != 3 {
		fail("usage: rig-3 CASE FOLDER")
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fail("no case %s", os.Args[1])
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fail("%v", err)
	}
	log := &recorder{file: file, started: time.Now()}
	time.AfterFunc(118*time.Second, func() { fail("the case took too long") })
	trouble := os.Getenv("TROUBLE") != "0"
	log.note("case", "%s, with the disruption: %t", os.Args[1], trouble)
	held := play(log, trouble)
	log.note("case", "the rule held: %t", held)
	fmt.Printf("%s: the rule held: %t\n", os.Args[1], held)
	if !held {
		os.Exit(1)
	}
}
