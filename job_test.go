package persimmonvalve_test

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

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

// Numbers and lists that a caller chose freely: a long list of predecessors took the
// leader's memory for each occurrence, also of every later leader, and sums of sizes and
// times overflowed.
func TestOddNumbersInJob(t *testing.T) {
	const huge = math.MaxInt64
	predecessors := make([]int, 10000) // 10,000 times step 0
	for name, change := range map[string]func(*pv.Job){
		"predecessors": func(j *pv.Job) { j.Steps[1].After = predecessors },
		"milliCores":   func(j *pv.Job) { j.Steps[0].Size.MilliCores = huge },
		"memory":       func(j *pv.Job) { j.Steps[0].Size.MemoryMB = huge },
		"accelerators": func(j *pv.Job) { j.Steps[0].Size.Accelerators = huge },
		"estimate":     func(j *pv.Job) { j.Steps[0].Estimate = huge },
		"target":       func(j *pv.Job) { j.Steps[0].LatencyTarget = huge },
		"no target":    func(j *pv.Job) { j.Steps[0].LatencyTarget = -1 },
		"mayMiss":      func(j *pv.Job) { j.Steps[0].MaxUnavailable = -1 },
		"interval":     func(j *pv.Job) { j.Occurrences, j.Interval = 2, huge },
		"image":        func(j *pv.Job) { j.Steps[0].Image = strings.Repeat("x", 1<<16) },
		"label":        func(j *pv.Job) { j.Steps[0].RequiredLabel = strings.Repeat("x", 1<<16) },
		"rack":         func(j *pv.Job) { j.Steps[0].DataRack = strings.Repeat("x", 1<<16) },
	} {
		job := pv.Job{ID: "j", Steps: []pv.Step{{Count: 1}, {Count: 1, After: []int{0}}}}
		if problem := job.Check(); problem != "" {
			t.Fatalf("got %q for a sound job, want no problem", problem)
		}
		change(&job)
		if job.Check() == "" {
			t.Errorf("%s: got no problem, want one", name)
		}
	}
}

// A job whose record the store refuses would hold up the commits of every leader that has
// it. The largest job fits into a record.
func TestLargestJobFitsIntoRecord(t *testing.T) {
	job := pv.Job{ID: pv.JobID(strings.Repeat("<", pv.MaxJobIDBytes)), Payload: strings.Repeat("<", pv.MaxJobPayloadBytes), FirstDue: time.Unix(0, 999999999), Interval: pv.MaxJobSpan / 10, Occurrences: 10}
	for i := range pv.MaxJobSteps {
		s := pv.Step{
			Count: 15, Size: pv.Resources{MilliCores: pv.MaxResourceAmount, MemoryMB: pv.MaxResourceAmount, Accelerators: pv.MaxResourceAmount, Slots: pv.MaxResourceAmount},
			Estimate: pv.MaxJobDuration, Checkpointable: true, Gang: true, SameRack: true, MaxPerWorker: math.MaxInt, Speculative: true, Standing: true,
			LatencyTarget: pv.MaxJobDuration, Filler: true, MaxUnavailable: math.MaxInt,
			Image: strings.Repeat("<", (pv.MaxJobTextBytes-pv.MaxJobPayloadBytes)/pv.MaxJobSteps),
		}
		for a := range i {
			s.After = append(s.After, a)
		}
		job.Steps = append(job.Steps, s)
	}
	if problem := job.Check(); problem != "" {
		t.Fatalf("got %q, want a valid job", problem)
	}
	data, err := json.Marshal(job)
	if err != nil || len(data) > pv.MaxJobEncodedBytes || len(data) < pv.MaxJobEncodedBytes*9/10 {
		t.Errorf("got %d bytes, %v, want at most %d and not much less", len(data), err, pv.MaxJobEncodedBytes)
	}
}

// The memory of a job is at least that of its tasks, also if it has few bytes as JSON.
func TestMemoryOfJob(t *testing.T) {
	for name, c := range map[string]struct {
		job  pv.Job
		want int64
	}{
		"many tasks":       {pv.Job{Steps: []pv.Step{{Count: 10000}}}, 2 << 20},
		"many occurrences": {pv.Job{Steps: []pv.Step{{Count: 1}}, Occurrences: 1000}, 800 << 10},
	} {
		if got := c.job.MemoryBytes(100); got < c.want || got > 2*c.want {
			t.Errorf("%s: got %d bytes, want %d to twice as many", name, got, c.want)
		}
	}
}
