package persimmonvalve_test

import (
	"strings"
	"testing"

	pv "persimmonvalve"
)

// An id that would exceed the store's limit on keys is refused; the longest one is not.
func TestJobIDLength(t *testing.T) {
	for length, wantProblem := range map[int]bool{0: true, 1: false, pv.MaxJobIDBytes: false, pv.MaxJobIDBytes + 1: true} {
		job := pv.Job{ID: pv.JobID(strings.Repeat("a", length)), Steps: []pv.Step{{Count: 1}}}
		if got := job.Check(); (got != "") != wantProblem {
			t.Errorf("id of %d bytes: got problem %q, want a problem: %t", length, got, wantProblem)
		}
	}
}

// An id that isn't valid UTF-8 is refused: the job's record would name another job, and
// the accepted job would never run.
func TestJobIDEncoding(t *testing.T) {
	for id, wantProblem := range map[pv.JobID]bool{"5c0e7a21d94b36f8": false, "a/ä": false, "a\xff": true, "\xc3": true} {
		if got := id.Check(); (got != "") != wantProblem {
			t.Errorf("id %q: got problem %q, want a problem: %t", id, got, wantProblem)
		}
		job := pv.Job{ID: id, Steps: []pv.Step{{Count: 1}}}
		if got := job.Check(); (got != "") != wantProblem {
			t.Errorf("job %q: got problem %q, want a problem: %t", id, got, wantProblem)
		}
	}
}
