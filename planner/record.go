package planner

// This file defines the records of jobs. A job has two: its submission, written
// once, and its state, rewritten with each change. Both are JSON, so that analysts
// can read them without this project's programs.

import (
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	pv "persimmonvalve"
)

// Prefixes of the records' keys.
const (
	specPrefix  = "job/"
	statePrefix = "state/"
)

type specRecord struct {
	Job            json.RawMessage `json:"job"`
	Queue          pv.Queue        `json:"queue"`
	AcceptedUnixMS int64           `json:"accepted"` // Unix milliseconds
}

type stateRecord struct {
	State        pv.JobState  `json:"state"`
	EndedUnixMS  int64        `json:"ended,omitempty"` // Unix milliseconds
	Tasks        []taskRecord `json:"tasks,omitempty"` // those with an attempt
	GangFailures []int        `json:"gangs,omitempty"` // failures of each step; absent when all are 0
}

type taskRecord struct {
	Step        int         `json:"step"`  // position among the steps of all occurrences
	Index       int         `json:"index"` // of the task in its step
	Attempt     int         `json:"attempt"`
	Failures    int         `json:"failures,omitempty"`
	Finished    bool        `json:"done,omitempty"`
	Worker      pv.WorkerID `json:"worker,omitempty"`  // of a run that may exist
	Incarnation int64       `json:"life,omitempty"`    // of that worker
	Address     string      `json:"address,omitempty"` // of that worker
	Checkpoint  string      `json:"checkpoint,omitempty"`
}

// records returns the records to store for the job's current state.
func (j *job) records() []pv.KeyedRecord {
	var out []pv.KeyedRecord
	if !j.specStored {
		out = append(out, pv.KeyedRecord{Key: specPrefix + string(j.spec.ID), Value: encode(specRecord{
			Job: j.rawSpec, Queue: j.queue, AcceptedUnixMS: j.acceptedAt.UnixMilli(),
		})})
	}
	state := stateRecord{State: j.state}
	if !j.endedAt.IsZero() {
		state.EndedUnixMS = j.endedAt.UnixMilli()
	}
	failed := false
	for i, s := range j.steps {
		state.GangFailures = append(state.GangFailures, s.gangFailures)
		failed = failed || s.gangFailures > 0
		for _, t := range s.tasks {
			if t.attempt == 0 {
				continue
			}
			r := taskRecord{Step: i, Index: t.index, Attempt: t.attempt, Failures: t.failures, Finished: t.finished}
			if !t.finished {
				r.Checkpoint = t.checkpoint
			}
			if t.run != nil {
				r.Worker, r.Incarnation = t.run.worker.state.ID, t.run.incarnation
				if a := t.run.worker.state.Address; a.IsValid() {
					r.Address = a.String()
				}
			}
			state.Tasks = append(state.Tasks, r)
		}
	}
	if !failed {
		state.GangFailures = nil
	}
	return append(out, pv.KeyedRecord{Key: statePrefix + string(j.spec.ID), Value: encode(state)})
}

// removal returns the tombstones of the job's records.
func (j *job) removal() []pv.KeyedRecord {
	return []pv.KeyedRecord{{Key: statePrefix + string(j.spec.ID)}, {Key: specPrefix + string(j.spec.ID)}}
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(Error.Wrap(err)) // all types of records can be encoded
	}
	return data
}

// Restore loads jobs and interference coefficients from the newest record of each key
// of the jobs topic. It returns an error for each record that it can't decode and skips
// that record.
func (p *Planner) Restore(now time.Time, records []pv.KeyedRecord) []error {
	var errors []error
	states := map[string][]byte{}
	for _, r := range records {
		if id, ok := strings.CutPrefix(r.Key, statePrefix); ok {
			states[id] = r.Value
		}
		if r.Key == coefficientsKey {
			if err := p.restoreCoefficients(r.Value); err != nil {
				errors = append(errors, Error.New("restore interference coefficients: %w", err))
			}
		}
	}
	for _, r := range records {
		id, ok := strings.CutPrefix(r.Key, specPrefix)
		if !ok || len(r.Value) == 0 {
			continue
		}
		if err := p.restoreJob(now, r.Value, states[id]); err != nil {
			errors = append(errors, Error.New("restore job %s: %w", id, err))
		}
	}
	p.placementDue = true
	return errors
}

func (p *Planner) restoreJob(now time.Time, specData, stateData []byte) error {
	var spec specRecord
	if err := json.Unmarshal(specData, &spec); err != nil {
		return err
	}
	var submitted pv.Job
	if err := json.Unmarshal(spec.Job, &submitted); err != nil {
		return err
	}
	var state stateRecord
	if err := json.Unmarshal(stateData, &state); err != nil {
		return err
	}
	j := newJob(submitted, spec.Job, spec.Queue, time.UnixMilli(spec.AcceptedUnixMS))
	j.specStored = true
	j.state, j.committedState = state.State, state.State
	if state.EndedUnixMS > 0 {
		j.endedAt = time.UnixMilli(state.EndedUnixMS)
	}
	for i, n := range state.GangFailures {
		if i < len(j.steps) {
			j.steps[i].gangFailures = n
		}
	}
	for _, r := range state.Tasks {
		if r.Step >= len(j.steps) || r.Index >= len(j.steps[r.Step].tasks) {
			return Error.New("state record lists step %d task %d, which the job spec does not have", r.Step, r.Index)
		}
		t := j.steps[r.Step].tasks[r.Index]
		t.attempt, t.failures, t.checkpoint = r.Attempt, r.Failures, r.Checkpoint
		if r.Finished {
			t.markFinished()
		}
		if r.Worker != "" {
			w := p.worker(now, r.Worker)
			if a, err := netip.ParseAddrPort(r.Address); err == nil && !w.stateKnown {
				w.state.Address = a
			}
			restored := &run{task: t, attempt: r.Attempt, worker: w, incarnation: r.Incarnation, committed: true, stopping: j.state.Ended()}
			p.addRun(restored)
		}
	}
	p.jobs[submitted.ID] = j
	p.addWork(j)
	if !j.state.Ended() {
		p.active = append(p.active, j)
	}
	return nil
}
