package planner

// This file defines the records of jobs. A job has one of its submission, written once,
// one of its state, and one for each group of tasksPerRecord tasks of a step with an
// attempt. A change rewrites the records that it concerns alone: the state of a job with
// hundreds of tasks, written as a whole with each start and end, would fill the link of
// a small machine. All are JSON, so that analysts can read them without this project's
// programs.
//
// Earlier versions kept the tasks in the state record, as a list. Such a record is still
// read. Theirs in turn fail to decode the text that takes the list's place and skip the
// job, rather than take its tasks as never started.

import (
	"encoding/json"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	pv "persimmonvalve"
)

// Prefixes of the records' keys.
const (
	specPrefix  = "job/"
	statePrefix = "state/"
	tasksPrefix = "tasks/" // then the job, the step's position and the group
)

// tasksPerRecord is the number of tasks in one record.
const tasksPerRecord = 4

func groupOf(t *task) int { return t.index / tasksPerRecord }

func (s *step) markGroupDirty(group int) {
	if s.dirtyGroups == nil {
		s.dirtyGroups = map[int]bool{}
		s.job.dirtySteps = append(s.job.dirtySteps, s)
	}
	s.dirtyGroups[group] = true
}

func tasksKey(id pv.JobID, position, group int) string {
	return tasksPrefix + string(id) + "/" + strconv.Itoa(position) + "/" + strconv.Itoa(group)
}

// parseTasksKey is the inverse of tasksKey. A job's id may contain slashes.
func parseTasksKey(key string) (id pv.JobID, position, group int, ok bool) {
	rest, ok := strings.CutPrefix(key, tasksPrefix)
	if !ok {
		return "", 0, 0, false
	}
	groupAt := strings.LastIndexByte(rest, '/')
	if groupAt < 0 {
		return "", 0, 0, false
	}
	positionAt := strings.LastIndexByte(rest[:groupAt], '/')
	if positionAt < 0 {
		return "", 0, 0, false
	}
	position, err := strconv.Atoi(rest[positionAt+1 : groupAt])
	if err != nil {
		return "", 0, 0, false
	}
	group, err = strconv.Atoi(rest[groupAt+1:])
	return pv.JobID(rest[:positionAt]), position, group, err == nil
}

type specRecord struct {
	Job            json.RawMessage `json:"job"`
	Queue          pv.Queue        `json:"queue"`
	AcceptedUnixMS int64           `json:"accepted"` // Unix milliseconds
}

type stateRecord struct {
	State       pv.JobState     `json:"state"`
	EndedUnixMS int64           `json:"ended,omitempty"` // Unix milliseconds
	Tasks       json.RawMessage `json:"tasks,omitempty"` // tasksApart; a list of taskRecord in records of earlier versions
	// GangFailures are the failed attempts of each step's gang, and GangAttempts the last ones of
	// them; both are absent when all are 0. Earlier versions wrote no GangAttempts, and counted
	// members instead of attempts.
	GangFailures []int `json:"gangs,omitempty"`
	GangAttempts []int `json:"gangAttempts,omitempty"`
}

// tasksApart states, in place of the tasks, that they have records of their own.
var tasksApart = json.RawMessage(`"apart"`)

type taskRecord struct {
	Step         int         `json:"step,omitempty"` // position among the steps of all occurrences; only in records of earlier versions
	Index        int         `json:"index"`          // of the task in its step
	Attempt      int         `json:"attempt"`
	Failures     int         `json:"failures,omitempty"`
	Finished     bool        `json:"done,omitempty"`
	Worker       pv.WorkerID `json:"worker,omitempty"`  // of a run that may exist
	Incarnation  int64       `json:"life,omitempty"`    // of that worker
	Address      string      `json:"address,omitempty"` // of that worker
	Checkpoint   string      `json:"checkpoint,omitempty"`
	Crashes      int         `json:"crashes,omitempty"` // of workers, see crashes.go
	CrashAddress string      `json:"crashAddress,omitempty"`
	StartCrashes int         `json:"startCrashes,omitempty"` // of workers on the task's start
}

// records returns the records to store for the job's current state.
func (j *job) records() []pv.KeyedRecord {
	var out []pv.KeyedRecord
	if !j.specStored {
		out = append(out, pv.KeyedRecord{Key: specPrefix + string(j.spec.ID), Value: encode(specRecord{
			Job: j.rawSpec, Queue: j.queue, AcceptedUnixMS: j.acceptedAt.UnixMilli(),
		})})
	}
	for _, s := range j.dirtySteps {
		for group := range s.dirtyGroups {
			out = append(out, s.groupRecord(group))
		}
		s.dirtyGroups = nil
	}
	j.dirtySteps = nil
	if j.state.Ended() && j.openRuns == 0 {
		out = append(out, j.removeTasks()...)
	}
	if !j.stateDirty {
		return out
	}
	j.stateDirty = false
	state := stateRecord{State: j.state, Tasks: tasksApart}
	if !j.endedAt.IsZero() {
		state.EndedUnixMS = j.endedAt.UnixMilli()
	}
	failed := false
	for _, s := range j.steps {
		state.GangFailures = append(state.GangFailures, s.gangFailures.attempts)
		state.GangAttempts = append(state.GangAttempts, s.gangFailures.lastAttempt)
		failed = failed || s.gangFailures.attempts > 0
	}
	if !failed {
		state.GangFailures, state.GangAttempts = nil, nil
	}
	return append(out, pv.KeyedRecord{Key: statePrefix + string(j.spec.ID), Value: encode(state)})
}

// groupRecord returns the record of a group of the step's tasks.
func (s *step) groupRecord(group int) pv.KeyedRecord {
	var tasks []taskRecord
	first := group * tasksPerRecord
	for _, t := range s.tasks[first:min(first+tasksPerRecord, len(s.tasks))] {
		if t.attempt == 0 {
			continue
		}
		r := taskRecord{Index: t.index, Attempt: t.attempt, Failures: t.failures, Finished: t.finished, Crashes: t.crashes, StartCrashes: t.startCrashes}
		if t.crashAddress.IsValid() {
			r.CrashAddress = t.crashAddress.String()
		}
		if !t.finished {
			r.Checkpoint = t.checkpoint
		}
		t.storedCheckpoint = t.checkpoint
		if t.run != nil {
			r.Worker, r.Incarnation = t.run.worker.state.ID, t.run.incarnation
			if a := t.run.worker.state.Address; a.IsValid() {
				r.Address = a.String()
			}
		}
		tasks = append(tasks, r)
	}
	s.storedGroups[group] = true
	return pv.KeyedRecord{Key: tasksKey(s.job.spec.ID, s.position, group), Value: encode(tasks)}
}

// removeTasks returns the tombstones of the job's task records.
func (j *job) removeTasks() []pv.KeyedRecord {
	var out []pv.KeyedRecord
	for _, s := range j.steps {
		for group := range s.storedGroups {
			out = append(out, pv.KeyedRecord{Key: tasksKey(j.spec.ID, s.position, group)})
		}
		clear(s.storedGroups)
	}
	return out
}

// removal returns the tombstones of the job's records.
func (j *job) removal() []pv.KeyedRecord {
	return append(j.removeTasks(), pv.KeyedRecord{Key: statePrefix + string(j.spec.ID)}, pv.KeyedRecord{Key: specPrefix + string(j.spec.ID)})
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(Error.Wrap(err)) // all types of records can be encoded
	}
	return data
}

// Restore loads jobs, lease records and interference coefficients from the newest record of
// each key of the jobs topic. It returns an error for each record that it can't decode and skips
// that record.
func (p *Planner) Restore(now time.Time, records []pv.KeyedRecord, predecessors Predecessors) []error {
	var errors []error
	states := map[string][]byte{}
	groups := map[pv.JobID][]storedGroup{}
	for _, r := range records {
		if id, position, group, ok := parseTasksKey(r.Key); ok && len(r.Value) > 0 {
			groups[id] = append(groups[id], storedGroup{position, group, r.Value})
		}
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
		if err := p.restoreJob(now, pv.JobID(id), r.Value, states[id], groups[pv.JobID(id)]); err != nil {
			errors = append(errors, Error.New("restore job %s: %w", id, err))
		}
	}
	for _, r := range records {
		if strings.HasPrefix(r.Key, leasePrefix) && len(r.Value) > 0 {
			if err := p.restoreLease(now, r, predecessors.LeaseRecordsSince); err != nil {
				errors = append(errors, Error.New("restore %s: %w", r.Key, err))
			}
		}
	}
	if !predecessors.LastAppendBy.IsZero() {
		for _, w := range p.workers {
			w.limitOrphanDeadline(predecessors.LastAppendBy.Add(p.settings.OrphanTimeout()))
		}
	}
	p.placementDue = true
	return errors
}

// storedGroup is the record of a group of tasks as it was read.
type storedGroup struct {
	position, group int
	value           []byte // list of taskRecord
}

// restoreJob restores a job from its records. Records that this program can't have written
// are an error: a leader must not fail on them.
func (p *Planner) restoreJob(now time.Time, id pv.JobID, specData, stateData []byte, groups []storedGroup) error {
	var spec specRecord
	if err := json.Unmarshal(specData, &spec); err != nil {
		return err
	}
	var submitted pv.Job
	if err := json.Unmarshal(spec.Job, &submitted); err != nil {
		return err
	}
	if submitted.ID != id {
		return Error.New("the job has the id %s", submitted.ID)
	}
	if problem := submitted.Check(); problem != "" {
		return Error.New("%s", problem)
	}
	var state stateRecord
	if err := json.Unmarshal(stateData, &state); err != nil {
		return err
	}
	if !state.State.Ended() && state.State != pv.JobQueued && state.State != pv.JobRunning {
		return Error.New("state record has the unknown state %q", state.State)
	}
	j := newJob(submitted, spec.Job, spec.Queue, time.UnixMilli(spec.AcceptedUnixMS))
	j.specStored = true
	j.state, j.committedState = state.State, state.State
	if state.EndedUnixMS > 0 {
		j.endedAt = time.UnixMilli(state.EndedUnixMS)
	}
	var tasks []taskRecord
	if len(state.Tasks) > 0 && state.Tasks[0] == '[' { // written by an earlier version
		if err := json.Unmarshal(state.Tasks, &tasks); err != nil {
			return err
		}
		j.stateDirty = true // the job's next change writes all its records anew
	}
	earlier := len(tasks)
	for _, g := range groups {
		var members []taskRecord
		if err := json.Unmarshal(g.value, &members); err != nil {
			return Error.New("record of step %d, group %d: %w", g.position, g.group, err)
		}
		for _, r := range members {
			r.Step = g.position
			tasks = append(tasks, r)
		}
	}
	seen := map[[2]int]bool{}
	for _, r := range tasks {
		if seen[[2]int{r.Step, r.Index}] {
			return Error.New("state record lists step %d task %d twice", r.Step, r.Index)
		}
		seen[[2]int{r.Step, r.Index}] = true
		if r.Attempt < 0 || r.Attempt > math.MaxInt32 {
			return Error.New("state record has the attempt %d for step %d task %d", r.Attempt, r.Step, r.Index)
		}
		if r.Step < 0 || r.Step >= len(j.steps) || r.Index < 0 || r.Index >= len(j.steps[r.Step].tasks) {
			return Error.New("state record lists step %d task %d, which the job spec does not have", r.Step, r.Index)
		}
	}
	for i, r := range tasks {
		s := j.steps[r.Step]
		t := s.tasks[r.Index]
		if i < earlier {
			s.markGroupDirty(groupOf(t))
		} else {
			s.storedGroups[groupOf(t)] = true
		}
		t.attempt, t.failures, t.checkpoint, t.storedCheckpoint = r.Attempt, r.Failures, r.Checkpoint, r.Checkpoint
		t.crashes, t.startCrashes, t.suspected = r.Crashes, r.StartCrashes, r.Crashes > 0
		if a, err := netip.ParseAddrPort(r.CrashAddress); err == nil {
			t.crashAddress = a
		}
		if r.Finished {
			t.markFinished()
		}
		if r.Worker != "" {
			w := p.worker(now, r.Worker)
			if a, err := netip.ParseAddrPort(r.Address); err == nil && !w.stateKnown && r.Incarnation >= w.addressIncarnation {
				w.state.Address, w.addressIncarnation = a, r.Incarnation
			}
			restored := &run{task: t, attempt: r.Attempt, worker: w, incarnation: r.Incarnation, committed: true, stopping: j.state.Ended()}
			p.addRun(restored)
		}
	}
	for i, n := range state.GangFailures {
		if i >= len(j.steps) {
			break
		}
		last := 0
		if i < len(state.GangAttempts) {
			last = state.GangAttempts[i]
		}
		j.steps[i].restoreGangFailures(n, last)
	}
	p.keep(j)
	p.addWork(j)
	if !j.state.Ended() {
		p.active = append(p.active, j)
	}
	return nil
}
