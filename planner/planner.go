package planner

// This file defines the planner: its calls, and the batches that it seals.
//
// The state in memory runs ahead of the store by the changes since the last
// sealed batch and by the batch that is being stored. No order and no answer
// leaves before its batch is stored; a planner whose batch is refused because
// of a higher epoch is dropped whole.

import (
	"slices"
	"time"

	"github.com/zeebo/errs"

	pv "persimmonvalve"
)

// Error is the class of this package's errors.
var Error = errs.Class("planner")

// Event is one decision, for the log.
type Event struct {
	Text        string // short sentence
	Job         pv.JobID
	Run         pv.RunRef // zero for events of a whole job
	Worker      pv.WorkerID
	Reason      string
	Incarnation int64
	Token       int64
	Age         time.Duration // of the worker's last report, where that decided
}

// Planner plans the jobs of one site. It isn't safe for concurrent use.
type Planner struct {
	settings Settings
	epoch    int64
	jobs     map[pv.JobID]*job
	active   []*job // not ended
	workers  map[pv.WorkerID]*worker
	queues   map[string]pv.Queue

	interference interference
	passAt       time.Time           // of the last pass over what waits
	pressesAt    time.Time           // when the presses were last stored
	meanWork     map[string]meanWork // by queue

	dirty     []*job
	removed   []pv.KeyedRecord
	newRuns   []*run
	newStops  []*run
	mustPlace bool
	placedAt  time.Time
	movedAt   time.Time
	swept     time.Time
	events    []Event
}

// New returns a planner without jobs for the leader of an epoch.
func New(settings Settings, epoch int64) *Planner {
	return &Planner{
		settings: settings, epoch: epoch,
		jobs: map[pv.JobID]*job{}, workers: map[pv.WorkerID]*worker{}, queues: map[string]pv.Queue{}, interference: newInterference(), meanWork: map[string]meanWork{},
	}
}

// SetQueues takes over the operator's newest queues.
func (p *Planner) SetQueues(queues []pv.Queue) {
	for _, q := range queues {
		p.queues[q.Name] = q
	}
	for _, j := range p.active {
		if q, ok := p.queues[j.queue.Name]; ok {
			j.queue = q
		}
	}
	p.mustPlace = true
}

// Submit accepts a job. It reports whether the job is new; its caller may be
// told only once the next batch is stored.
func (p *Planner) Submit(now time.Time, spec pv.Job, raw []byte, queue pv.Queue) bool {
	if _, ok := p.jobs[spec.ID]; ok {
		return false
	}
	if q, ok := p.queues[queue.Name]; ok {
		queue = q
	}
	j := newJob(spec, raw, queue, now)
	p.jobs[spec.ID] = j
	p.noteWork(j)
	p.active = append(p.active, j)
	p.touch(j)
	p.mustPlace = true
	p.event(Event{Text: "job accepted", Job: spec.ID, Reason: queue.Name})
	return true
}

// Cancel ends a job on its caller's wish. It reports whether the job is known.
func (p *Planner) Cancel(now time.Time, id pv.JobID) bool {
	j, ok := p.jobs[id]
	if !ok {
		return false
	}
	if !j.state.Ended() {
		p.end(now, j, pv.JobCancelled, "cancelledByCaller")
	}
	return true
}

// State returns a job's state as it is stored, empty for a job whose first
// record isn't yet, and false for a job that isn't known.
func (p *Planner) State(id pv.JobID) (pv.JobState, bool) {
	j, ok := p.jobs[id]
	if !ok {
		return "", false
	}
	return j.shown, true
}

// Pending counts the queue's jobs of which no task has begun.
func (p *Planner) Pending(queue string) int64 {
	n := int64(0)
	for _, j := range p.active {
		if j.queue.Name == queue && j.state == pv.JobQueued {
			n++
		}
	}
	return n
}

// Jobs returns the numbers of jobs that haven't ended and of all that are kept.
func (p *Planner) Jobs() (active, kept int) { return len(p.active), len(p.jobs) }

func (p *Planner) touch(j *job) {
	if !j.dirty {
		j.dirty = true
		p.dirty = append(p.dirty, j)
	}
}

func (p *Planner) event(e Event) { p.events = append(p.events, e) }

// Events returns and forgets the decisions since the last call.
func (p *Planner) Events() []Event {
	out := p.events
	p.events = nil
	return out
}

// end gives a job its final state and stops its runs.
func (p *Planner) end(now time.Time, j *job, state pv.JobState, reason string) {
	j.state, j.ended = state, now
	p.active = slices.DeleteFunc(p.active, func(a *job) bool { return a == j })
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if t.run != nil {
				p.stop(t.run)
			}
		}
	}
	p.touch(j)
	p.mustPlace = true
	p.event(Event{Text: "job " + string(state), Job: j.spec.ID, Reason: reason})
}

func (p *Planner) stop(r *run) {
	if r.stopping {
		return
	}
	r.stopping = true
	p.newStops = append(p.newStops, r)
}

// moveEvery is the pause between two looks at slow fillers.
const moveEvery = 500 * time.Millisecond

// Tick moves what only time moves: lapsed leases, due occurrences, ended jobs
// past their time, tasks that wait.
func (p *Planner) Tick(now time.Time) {
	for _, w := range p.workers {
		if len(w.runs) > 0 && w.lapsed(now, p.settings) {
			p.loseRuns(now, w, "leaseLapsed")
		}
	}
	if now.Sub(p.swept) > time.Second {
		p.swept = now
		p.sweep(now)
	}
	if since := now.Sub(p.placedAt); p.mustPlace && since >= p.settings.MinPlaceInterval || since > p.settings.MaxPlaceInterval {
		p.place(now)
		if now.Sub(p.movedAt) > moveEvery {
			p.movedAt = now
			p.moveFillers(now)
		}
		p.placedAt, p.mustPlace = now, false
	}
}

// sweep forgets ended jobs and workers that are long gone.
func (p *Planner) sweep(now time.Time) {
	for id, j := range p.jobs {
		if j.state.Ended() && j.runs == 0 && now.Sub(j.ended) > p.settings.EndedRetention {
			delete(p.jobs, id)
			p.removed = append(p.removed, j.removal()...)
		}
	}
	for id, w := range p.workers {
		if len(w.runs) == 0 && !w.connected && now.Sub(w.heard) > p.settings.EndedRetention {
			delete(p.workers, id)
		}
	}
}

// loseRuns ends all runs of a worker that provably runs nothing. Its agent may
// still hold orders to start them, and is told to drop these before, or with,
// the next extension of the lease.
func (p *Planner) loseRuns(now time.Time, w *worker, reason string) {
	for _, r := range w.runs {
		w.stops = append(w.stops, r)
		p.finishRun(now, r, pv.EndVanished, "", reason)
	}
}

// Batch is a set of changes that are stored together, and what may be sent
// once they are.
type Batch struct {
	Records []pv.KeyedRecord
	starts  []*run
	stops   []*run
	acks    map[*worker]ackMark
	shown   []shownState
}

type shownState struct {
	job   *job
	state pv.JobState
}

type ackMark struct{ life, number int64 }

// Seal returns the changes since the last call, nil when there are none.
func (p *Planner) Seal() *Batch {
	b := &Batch{starts: p.newRuns, stops: p.newStops, acks: map[*worker]ackMark{}}
	for _, j := range p.dirty {
		b.Records = append(b.Records, j.records()...)
		b.shown = append(b.shown, shownState{j, j.state})
		j.dirty, j.stored = false, true
	}
	b.Records = append(b.Records, p.removed...)
	b.Records = append(b.Records, p.pressesRecord(p.passAt)...)
	for _, w := range p.workers {
		if w.endSeen > w.endAcked {
			b.acks[w] = ackMark{life: w.state.Incarnation, number: w.endSeen}
		}
	}
	p.dirty, p.removed, p.newRuns, p.newStops = nil, nil, nil, nil
	if len(b.Records) == 0 && len(b.starts) == 0 && len(b.stops) == 0 && len(b.acks) == 0 {
		return nil
	}
	return b
}

// Committed releases the orders of a batch that is stored.
func (p *Planner) Committed(b *Batch) {
	for _, s := range b.shown {
		s.job.shown = s.state
	}
	for _, r := range b.starts {
		r.committed = true
		if r.task.run == r && !r.stopping {
			r.worker.starts = append(r.worker.starts, r)
		}
	}
	for _, r := range b.stops {
		if r.task.run == r {
			r.worker.stops = append(r.worker.stops, r)
		}
	}
	for w, a := range b.acks {
		if w.state.Incarnation == a.life {
			w.endAcked = max(w.endAcked, a.number)
		}
	}
}
