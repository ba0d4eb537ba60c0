//go:build reviewrig

package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout is the longest time that a case may take.
const caseTimeout = 110 * time.Second

// record writes what was sent, answered and run to record.txt, with the time since the
// start of the case. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(directory string) (*record, error) {
	file, err := os.Create(filepath.Join(directory, "record.txt"))
	return &record{file: file, start: time.Now()}, err
}

// addf writes a line.
func (r *record) addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// errBroken marks a case whose rule was broken.
var errBroken = errors.New("rule broken")

func brokenf(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errBroken, fmt.Sprintf(format, args...))
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE DIRECTORY")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.file.Close()
	s, err := newSite(rec)
	if err != nil {
		rec.addf("result: not run: %v", err)
		return exitNotRun
	}
	defer s.close()
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-done:
	case <-time.After(caseTimeout):
		err = errors.New("time limit")
	}
	code, text := exitHeld, "held"
	switch {
	case errors.Is(err, errBroken):
		code, text = exitBroken, err.Error()
	case err != nil:
		code, text = exitNotRun, "not run: "+err.Error()
	}
	rec.addf("result: %s", text)
	fmt.Println(os.Args[1]+":", text)
	return code
}
