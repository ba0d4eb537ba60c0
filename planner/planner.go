package planner

// This file defines the planner's methods and the batches that it seals.
//
// The state in memory is ahead of the store by the changes since the last
// sealed batch and by the batch that is being stored. Orders and answers are
// sent only after their batch is stored. When the store refuses a batch because
// of a higher epoch, the whole planner is discarded.

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/errs"

	pv "persimmonvalve"
)

// Error is the class of this package's errors.
var Error = errs.Class("planner")

// Event is a decision or a change of a worker, for logs and metrics.
type Event struct {
	Kind         string // also the value of a metric label
	Job          pv.JobID
	Run          pv.RunRef // zero for events of a whole job
	Worker       pv.WorkerID
	Reason       string // for an assigned run the kind of its step, for an accepted job its queue
	Incarnation  int64
	FencingToken int64
	ReportAge    time.Duration // age of the worker's last poll result; 0 or at least an hour if there is none
	Detail       string        // for logs only
}

// Planner plans the jobs of one site. It isn't safe for concurrent use.
type Planner struct {
	settings Settings
	epoch    int64
	jobs     map[pv.JobID]*job
	jobBytes int64  // of memory, as estimated
	active   []*job // not ended
	workers  map[pv.WorkerID]*worker
	queues   map[string]pv.Queue
	// evacuated holds the zones whose workers get no new runs.
	evacuated map[string]bool
	// avoided holds the slow workers with their slowness, as of the latest placement pass.
	avoided map[*worker]float64

	interference         interference
	passStartedAt        time.Time              // of the latest placement pass
	coefficientsStoredAt time.Time              // when a batch last contained the coefficients
	workTotals           map[string]workTotal   // by queue
	cancelledAhead       map[pv.JobID]time.Time // cancellations of jobs that aren't known yet

	dirtyJobs            []*job
	removedRecords       []pv.KeyedRecord
	newRuns              []*run
	newStops             []*run
	placementDue         bool
	lastPassAt           time.Time
	lastTickAt           time.Time
	tickingSince         time.Time // first tick after the last gap between ticks
	lastLeasePassAt      time.Time
	leaseRecordsDue      map[*worker]bool // whose lease record, or its removal, is to be stored
	lastStragglerPassAt  time.Time
	lastExpiryAt         time.Time
	lastCheckpointPassAt time.Time
	events               []Event
}

// New returns a planner without jobs for the leader of an epoch.
func New(settings Settings, epoch int64) *Planner {
	return &Planner{
		settings: settings, epoch: epoch,
		jobs: map[pv.JobID]*job{}, workers: map[pv.WorkerID]*worker{}, queues: map[string]pv.Queue{}, interference: newInterference(), workTotals: map[string]workTotal{}, cancelledAhead: map[pv.JobID]time.Time{}, leaseRecordsDue: map[*worker]bool{},
	}
}

// SetQueues adds or updates queues; active jobs use their queue's new settings.
func (p *Planner) SetQueues(queues []pv.Queue) {
	for _, q := range queues {
		p.queues[q.Name] = q
	}
	for _, j := range p.active {
		if q, ok := p.queues[j.queue.Name]; ok {
			j.queue = q
		}
	}
	p.placementDue = true
}

// Submit accepts a job and reports whether it is new. The caller may be answered
// only after the next batch is stored.
func (p *Planner) Submit(now time.Time, spec pv.Job, raw []byte, queue pv.Queue) bool {
	if _, ok := p.jobs[spec.ID]; ok {
		return false
	}
	if q, ok := p.queues[queue.Name]; ok {
		queue = q
	}
	j := newJob(spec, raw, queue, now)
	p.keep(j)
	p.addWork(j)
	p.active = append(p.active, j)
	p.markStateDirty(j)
	p.placementDue = true
	p.addEvent(Event{Kind: "job accepted", Job: spec.ID, Reason: queue.Name})
	if _, ok := p.cancelledAhead[spec.ID]; ok {
		delete(p.cancelledAhead, spec.ID)
		p.endJob(now, j, pv.JobCancelled, "cancelledByCaller")
	}
	return true
}

// CancelAhead records the cancellation of a job that isn't known yet: its submission, to
// which nobody had an answer, may still take effect. The job is then accepted as
// cancelled. The cancellation is kept for EndedRetention from the last call on.
func (p *Planner) CancelAhead(now time.Time, id pv.JobID) {
	p.cancelledAhead[id] = now
}

// Cancel ends a job at its submitter's request and reports whether the job is known.
func (p *Planner) Cancel(now time.Time, id pv.JobID) bool {
	j, ok := p.jobs[id]
	if !ok {
		return false
	}
	if !j.state.Ended() {
		p.endJob(now, j, pv.JobCancelled, "cancelledByCaller")
	}
	return true
}

// State returns a job's stored state, which is empty until the job's first record
// is stored. It returns false for an unknown job.
func (p *Planner) State(id pv.JobID) (pv.JobState, bool) {
	j, ok := p.jobs[id]
	if !ok {
		return "", false
	}
	return j.committedState, true
}

// PendingJobs returns the number of the queue's jobs that have not started a task.
func (p *Planner) PendingJobs(queue string) int64 {
	n := int64(0)
	for _, j := range p.active {
		if j.queue.Name == queue && j.state == pv.JobQueued {
			n++
		}
	}
	return n
}

// keep adds a job that isn't known yet.
func (p *Planner) keep(j *job) {
	p.jobs[j.spec.ID] = j
	p.jobBytes += j.memoryBytes()
}

// JobBytes estimates the memory in bytes that all jobs take, also those that have ended.
func (p *Planner) JobBytes() int64 { return p.jobBytes }

// JobCounts returns the number of jobs that have not ended and of all jobs in memory.
func (p *Planner) JobCounts() (active, kept int) { return len(p.active), len(p.jobs) }

func (p *Planner) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		p.dirtyJobs = append(p.dirtyJobs, j)
	}
}

// markStateDirty marks a job's state record as out of date.
func (p *Planner) markStateDirty(j *job) {
	j.stateDirty = true
	p.markDirty(j)
}

// markTaskDirty marks the record with a task as out of date.
func (p *Planner) markTaskDirty(t *task) {
	t.step.markGroupDirty(groupOf(t))
	p.markDirty(t.step.job)
}

func (p *Planner) addEvent(e Event) { p.events = append(p.events, e) }

// Events returns the events since the last call.
func (p *Planner) Events() []Event {
	out := p.events
	p.events = nil
	return out
}

// endJob sets a job's final state and stops its runs.
func (p *Planner) endJob(now time.Time, j *job, state pv.JobState, reason string) {
	j.state, j.endedAt = state, now
	p.active = slices.DeleteFunc(p.active, func(a *job) bool { return a == j })
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if t.run != nil {
				p.stopRun(t.run, cmp.Or(reason, string(state)))
			}
		}
	}
	p.markStateDirty(j)
	p.placementDue = true
	p.addEvent(Event{Kind: "job " + string(state), Job: j.spec.ID, Reason: reason})
}

// stopRun orders a run to stop, unless it has been ordered already. The reason is logged
// with the run's end.
func (p *Planner) stopRun(r *run, reason string) {
	if r.stopping {
		return
	}
	r.stopping, r.stopReason = true, reason
	p.newStops = append(p.newStops, r)
}

// stragglerInterval is the time between two searches for stragglers.
const stragglerInterval = 500 * time.Millisecond

// Tick makes the changes that are due by time: it ends runs whose lease lapsed,
// expires ended jobs and disconnected workers, places waiting tasks, including those
// of due occurrences, and moves stragglers.
func (p *Planner) Tick(now time.Time) {
	for _, w := range p.workers {
		if len(w.runs) > 0 && w.lapsed(now, p.settings) {
			p.endLapsedRuns(now, w)
		}
	}
	p.suspendRenewals(now)
	if now.Sub(p.lastExpiryAt) > time.Second {
		p.lastExpiryAt = now
		p.expire(now)
	}
	if now.Sub(p.lastCheckpointPassAt) > checkpointStoreInterval {
		p.lastCheckpointPassAt = now
		p.storeCheckpoints()
	}
	if since := now.Sub(p.lastPassAt); p.placementDue && since >= p.settings.MinPlaceInterval || since > p.settings.MaxPlaceInterval {
		p.place(now)
		if now.Sub(p.lastStragglerPassAt) > stragglerInterval {
			p.lastStragglerPassAt = now
			p.moveStragglers(now)
		}
		p.lastPassAt, p.placementDue = now, false
	}
}

// checkpointStoreInterval is the time between two passes that store new checkpoints of
// running tasks, which save their work when all processes and workers are lost at once.
const checkpointStoreInterval = 2 * time.Second

// storeCheckpoints marks the records of running tasks that have a new checkpoint.
func (p *Planner) storeCheckpoints() {
	for _, w := range p.workers {
		for _, r := range w.runs {
			if r.task.checkpoint != r.task.storedCheckpoint && !r.task.step.job.state.Ended() {
				p.markTaskDirty(r.task)
			}
		}
	}
}

// expire removes ended jobs without open runs, disconnected workers without runs, and
// cancellations of jobs that never became known, all after EndedRetention.
func (p *Planner) expire(now time.Time) {
	for id, at := range p.cancelledAhead {
		if now.Sub(at) > p.settings.EndedRetention {
			delete(p.cancelledAhead, id)
		}
	}
	for id, j := range p.jobs {
		if j.state.Ended() && j.openRuns == 0 && now.Sub(j.endedAt) > p.settings.EndedRetention {
			delete(p.jobs, id)
			p.jobBytes -= j.memoryBytes()
			p.removedRecords = append(p.removedRecords, j.removal()...)
		}
	}
	for id, w := range p.workers {
		if len(w.runs) == 0 && w.renewal == renewing && !w.connected && now.Sub(w.lastReportAt) > p.settings.EndedRetention {
			delete(p.workers, id)
		}
	}
}

// endLapsedRuns ends all runs of a worker whose lease has lapsed. Its supervisor may
// still hold orders to start them; it gets stops for them no later than the next lease
// renewal.
func (p *Planner) endLapsedRuns(now time.Time, w *worker) {
	for _, r := range w.runs {
		w.unsentStops = append(w.unsentStops, r)
		if r.suspected && !r.leaving {
			w.lapsedRuns = append(w.lapsedRuns, r)
			r.task.suspected = true
		}
		p.finishRun(now, r, pv.EndVanished, "", "leaseLapsed")
	}
}

// Batch is a set of changes that are stored together, with the orders and
// acknowledgements that may be sent afterwards.
type Batch struct {
	Records []pv.KeyedRecord
	starts  []*run
	stops   []*run
	acks    map[*worker]endAck
	states  []batchedState
	resumed []*worker // their lease records are removed
}

type batchedState struct {
	job   *job
	state pv.JobState
}

type endAck struct{ incarnation, sequence int64 }

// NextBatch returns the changes since the last call, or nil if there are none.
func (p *Planner) NextBatch() *Batch {
	b := &Batch{starts: p.newRuns, stops: p.newStops, acks: map[*worker]endAck{}}
	for _, j := range p.dirtyJobs {
		b.Records = append(b.Records, j.records()...)
		b.states = append(b.states, batchedState{j, j.state})
		j.dirty, j.specStored = false, true // records has cleared the other marks
	}
	b.Records = append(b.Records, p.removedRecords...)
	b.Records = append(b.Records, p.coefficientsRecord(p.passStartedAt)...)
	leases, resumed := p.sealLeaseRecords()
	b.Records, b.resumed = append(b.Records, leases...), resumed
	for _, w := range p.workers {
		if w.appliedEnd > w.committedEnd {
			b.acks[w] = endAck{incarnation: w.state.Incarnation, sequence: w.appliedEnd}
		}
	}
	p.dirtyJobs, p.removedRecords, p.newRuns, p.newStops = nil, nil, nil, nil
	if len(b.Records) == 0 && len(b.starts) == 0 && len(b.stops) == 0 && len(b.acks) == 0 {
		return nil
	}
	return b
}

// Committed releases the orders and acknowledgements of a stored batch.
func (p *Planner) Committed(b *Batch) {
	for _, c := range b.states {
		c.job.committedState = c.state
	}
	for _, r := range b.starts {
		r.committed = true
		if r.task.run == r && !r.stopping {
			r.worker.unsentStarts = append(r.worker.unsentStarts, r)
		}
	}
	for _, r := range b.stops {
		if r.task.run == r {
			r.worker.unsentStops = append(r.worker.unsentStops, r)
		}
	}
	for _, w := range b.resumed {
		p.renewalResumed(w)
	}
	for w, a := range b.acks {
		if w.state.Incarnation == a.incarnation {
			w.committedEnd = max(w.committedEnd, a.sequence)
		}
	}
}
