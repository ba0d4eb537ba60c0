package planner

import (
	"encoding/json"
	"testing"
	"time"

	pv "persimmonvalve"
)

// A stored job that no submission check would accept ended each leader that read it, one
// after the other (index out of range in newJob), or took all its memory. It is skipped,
// and the others are restored.
func TestRestoreSkipsOddJob(t *testing.T) {
	record := func(key, value string) pv.KeyedRecord {
		return pv.KeyedRecord{Key: key, Value: []byte(value)}
	}
	state := `{"state":"queued","tasks":"apart"}`
	sound := []pv.KeyedRecord{
		record("job/sound", `{"job":{"id":"sound","steps":[{"count":1,"size":{"milliCores":1}}]},"queue":{"name":"q"},"accepted":1}`),
		record("state/sound", state),
	}
	for name, job := range map[string]string{
		"predecessor out of range": `{"id":"odd","steps":[{"count":1,"after":[7]}]}`,
		"step after itself":        `{"id":"odd","steps":[{"count":1,"after":[0]}]}`,
		"negative predecessor":     `{"id":"odd","steps":[{"count":1},{"count":1,"after":[-2]}]}`,
		"negative size":            `{"id":"odd","steps":[{"count":1,"size":{"milliCores":-1}}]}`,
		"other id":                 `{"id":"other","steps":[{"count":1}]}`,
		"no steps":                 `{"id":"odd"}`,
	} {
		t.Run(name, func(t *testing.T) {
			defer func() {
				if r := recover(); r != nil {
					t.Errorf("got panic %v, want the job skipped", r)
				}
			}()
			p := New(DefaultSettings(), 1)
			records := append([]pv.KeyedRecord{record("job/odd", `{"job":`+job+`,"queue":{"name":"q"},"accepted":1}`), record("state/odd", state)}, sound...)
			if got := p.Restore(time.Unix(1000, 0), records, Predecessors{}); len(got) != 1 {
				t.Errorf("got errors %v, want one", got)
			}
			if _, ok := p.State("sound"); !ok || len(p.jobs) != 1 {
				t.Errorf("got %d jobs, want the sound one alone", len(p.jobs))
			}
		})
	}
}

// A stored state that names no state, and task records that repeat a task or hold numbers
// out of range, don't leave runs or jobs that never end.
func TestRestoreSkipsOddState(t *testing.T) {
	spec, err := json.Marshal(specRecord{Job: []byte(`{"id":"j","steps":[{"count":1}]}`), AcceptedUnixMS: 1})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ state, tasks string }{
		"unknown state":    {`{"state":"asleep","tasks":"apart"}`, `[]`},
		"no state":         {`{"tasks":"apart"}`, `[]`},
		"task twice":       {`{"state":"running","tasks":"apart"}`, `[{"index":0,"attempt":1,"worker":"w","life":1},{"index":0,"attempt":2,"worker":"w","life":1}]`},
		"negative attempt": {`{"state":"running","tasks":"apart"}`, `[{"index":0,"attempt":-1,"worker":"w","life":1}]`},
		"attempt too high": {`{"state":"running","tasks":"apart"}`, `[{"index":0,"attempt":4294967297,"worker":"w","life":1}]`},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(DefaultSettings(), 1)
			got := p.Restore(time.Unix(1000, 0), []pv.KeyedRecord{
				{Key: "job/j", Value: spec}, {Key: "state/j", Value: []byte(c.state)}, {Key: "tasks/j/0/0", Value: []byte(c.tasks)},
			}, Predecessors{})
			if len(got) == 0 {
				t.Errorf("got no error, want the odd record reported")
			}
		})
	}
}

// FuzzRestore checks that a leader doesn't panic on any stored records, nor when it goes on
// with what it restored from them.
func FuzzRestore(f *testing.F) {
	f.Add([]byte(`{"job":{"id":"j","steps":[{"count":2,"size":{"milliCores":1}},{"count":1,"after":[0]}]},"queue":{"name":"q"},"accepted":1}`),
		[]byte(`{"state":"running","tasks":"apart"}`), []byte(`[{"index":0,"attempt":1,"worker":"w","life":1}]`), []byte(`[{"filler":"a","serving":"b","perCore":0.5}]`), []byte(`{"epoch":1,"life":1,"remainingMs":5000}`))
	f.Add([]byte(`{"job":{"id":"j","steps":[{"count":1}]},"queue":{"name":"q","deadlineFactor":1e308},"accepted":9223372036854775807}`),
		[]byte(`{"state":"asleep","ended":9223372036854775807,"tasks":[{"step":0,"index":0,"attempt":-1}],"gangs":[9223372036854775807]}`), []byte(`[{"index":0,"attempt":4294967297,"worker":"w"}]`), []byte(`null`), []byte(`{"epoch":9223372036854775807,"life":-1,"remainingMs":9223372036854775807}`))
	f.Add([]byte(`{"job":{"id":"j","steps":[{"count":1,"after":[7]}]},"queue":{"name":"q"},"accepted":1}`), []byte(`{"state":"queued","tasks":"apart"}`), []byte(`[]`), []byte(`[]`), []byte(`null`))
	f.Fuzz(func(t *testing.T, spec, state, tasks, coefficients, lease []byte) {
		p := New(DefaultSettings(), 1)
		now := time.Unix(1000, 0)
		p.Restore(now, []pv.KeyedRecord{{Key: "job/j", Value: spec}, {Key: "state/j", Value: state}, {Key: "tasks/j/0/0", Value: tasks}, {Key: coefficientsKey, Value: coefficients}, {Key: leasePrefix + "w", Value: lease}}, Predecessors{})
		for i := range 5 {
			p.Tick(now.Add(time.Duration(i) * time.Second))
			for b := p.NextBatch(); b != nil; b = p.NextBatch() {
				p.Committed(b)
			}
			p.PendingJobs("q")
		}
	})
}
