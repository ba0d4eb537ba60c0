package planner

// This file defines what reports of workers change: lives, leases, ends.

import (
	"time"

	pv "persimmonvalve"
)

// PollResult is the part of a report that comes from a poll of the worker.
type PollResult struct {
	Clock   time.Duration
	Running []pv.RunStatus
	Ended   []pv.RunEnd // that aren't acknowledged
	// EndsAfter is the number after which Ended holds every listed end.
	EndsAfter int64
}

// Report is what an agent says of the worker beside it.
type Report struct {
	Worker       pv.WorkerState
	Deregistered bool // the worker has deregistered
	Token        int64
	Absent       []pv.RunRef // not on the worker, and can't start there any more under the token or an earlier one
	Poll         *PollResult // nil when the worker didn't answer under the token
}

// Connect tells that the agent of a worker has a link to this leader.
func (p *Planner) Connect(now time.Time, id pv.WorkerID) {
	w := p.worker(now, id)
	w.connected, w.whole = true, true
}

// Disconnect tells that the link is gone.
func (p *Planner) Disconnect(id pv.WorkerID) {
	if w, ok := p.workers[id]; ok {
		w.connected = false
	}
}

// Report takes in what an agent reports.
func (p *Planner) Report(now time.Time, r Report) {
	w := p.worker(now, r.Worker.ID)
	if r.Worker.Incarnation < w.state.Incarnation && w.known {
		return // of a life that is over
	}
	if r.Worker.Incarnation != w.state.Incarnation || !w.known {
		w.begin(r.Worker.Incarnation, p.epoch)
		w.lapse = now.Add(p.settings.OrphanWait)
		p.event(Event{Text: "worker begins", Worker: r.Worker.ID, Incarnation: r.Worker.Incarnation, Token: w.token})
	}
	if r.Worker.Draining && !w.state.Draining {
		p.event(Event{Text: "worker leaves", Worker: r.Worker.ID, Incarnation: r.Worker.Incarnation})
	}
	w.heard = now
	w.connected = !r.Deregistered
	w.state = r.Worker
	if r.Deregistered && w.departed.IsZero() {
		w.departed = now
		p.event(Event{Text: "worker departed", Worker: r.Worker.ID, Incarnation: r.Worker.Incarnation})
	}
	if r.Token != w.token {
		return // the agent has yet to hear of the token of this leader and life
	}
	if r.Poll != nil {
		p.look(now, w, r.Poll)
	}
	for _, g := range r.Absent {
		if r, ok := w.runs[g]; ok && r.life == w.state.Incarnation {
			p.finishRun(now, r, pv.EndVanished, "", "neverStarted")
		}
	}
}

// Deregister takes in a worker's deregistration that was stored in the directory.
// It doesn't apply to a later incarnation of the worker.
func (p *Planner) Deregister(now time.Time, d pv.Deregistration) {
	w, ok := p.workers[d.Worker]
	if !ok || !w.departed.IsZero() || w.known && w.state.Incarnation != d.Incarnation {
		return
	}
	for _, r := range w.runs {
		if r.life > d.Incarnation {
			return
		}
	}
	w.departed = now
	p.event(Event{Text: "worker departed", Worker: d.Worker, Incarnation: d.Incarnation, Reason: "leftInWriting"})
}

func (p *Planner) look(now time.Time, w *worker, l *PollResult) {
	if w.clockAt.IsZero() {
		// Leases that a former leader extended end no later than its last
		// reading of this clock plus the same LeaseDuration.
		w.lastGrant = max(w.lastGrant, l.Clock+p.settings.LeaseDuration)
	}
	w.clock, w.clockAt = l.Clock, now
	if l.EndsAfter > w.endSeen {
		w.whole = true // ends were told to somebody else: the agent has to tell all again
		return
	}
	for _, e := range l.Ended {
		w.endSeen = max(w.endSeen, e.Number)
		if r, ok := w.runs[e.Run]; ok {
			r.begun = true
			p.finishRun(now, r, e.Kind, e.Checkpoint, "")
		}
	}
	for _, s := range l.Running {
		r, ok := w.runs[s.Run]
		if !ok {
			continue // the agent stops what isn't in its whole orders
		}
		p.observe(r, s)
	}
	p.learnFrom(w, l.Running)
	if w.fenced {
		return
	}
	// From here on nothing of a former life or leader can begin on this life:
	// what it doesn't run is over.
	w.fenced = true
	p.mustPlace = true
	for _, r := range w.runs {
		if r.life != w.state.Incarnation {
			p.finishRun(now, r, pv.EndVanished, "", "workerRestarted")
		}
	}
	p.endReplaced(now, w)
}

// endReplaced ends the runs of workers that were born before w and were called
// where w has answered just now: two living workers never share an address.
func (p *Planner) endReplaced(now time.Time, w *worker) {
	if !w.state.Address.IsValid() {
		return
	}
	for _, o := range p.workers {
		if o == w || o.state.Address != w.state.Address {
			continue
		}
		for _, r := range o.runs {
			if r.life < w.state.Incarnation {
				o.stops = append(o.stops, r)
				p.finishRun(now, r, pv.EndVanished, "", "workerReplaced")
			}
		}
	}
}

// observe notes the progress of a run. A run of a former life that the worker
// lists was ordered then and carried out late: it goes on in this life.
func (p *Planner) observe(r *run, s pv.RunStatus) {
	j := r.task.step.job
	if r.life != r.worker.state.Incarnation {
		r.life = r.worker.state.Incarnation
		p.touch(j)
	}
	r.begun = true
	r.percent = s.Percent
	if r.task.step.spec.Filler {
		r.using = s.Measured
	}
	if s.Checkpoint != "" {
		r.task.checkpoint = s.Checkpoint
	}
	if j.state == pv.JobQueued {
		j.state = pv.JobRunning
		p.touch(j)
	}
}

// finishRun ends a run whose end is proved.
func (p *Planner) finishRun(now time.Time, r *run, kind pv.EndKind, checkpoint, reason string) {
	t, s, j := r.task, r.task.step, r.task.step.job
	p.event(Event{Text: "run " + string(kind), Job: j.spec.ID, Run: r.ref(), Worker: r.worker.state.ID, Reason: reason, Incarnation: r.life, Age: now.Sub(r.worker.clockAt)})
	p.detach(r)
	p.touch(j)
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
	if r.begun && j.state == pv.JobQueued {
		j.state = pv.JobRunning
	}
	switch kind {
	case pv.EndDone:
		r.worker.failStreak = 0
		if !s.spec.Standing {
			p.finishTask(now, t)
		}
	case pv.EndFailed:
		p.failTask(now, r)
	}
}

func (p *Planner) finishTask(now time.Time, t *task) {
	s, j := t.step, t.step.job
	t.finish()
	if s.spec.Gang {
		for _, o := range s.tasks { // the end of one member stands for all
			o.finish()
		}
	}
	if j.open == 0 && !j.state.Ended() {
		p.end(now, j, pv.JobFinished, "")
	}
}

func (t *task) finish() {
	if t.done {
		return
	}
	t.done = true
	t.step.open--
	t.step.job.open--
}

// suspectAfter is the number of runs that must fail in a row on a worker
// before it is taken to be at fault.
const suspectAfter = 3

func (p *Planner) failTask(now time.Time, r *run) {
	t, s, j := r.task, r.task.step, r.task.step.job
	t.avoid = r.worker.state.ID
	r.worker.failStreak++
	if r.worker.failStreak >= suspectAfter {
		r.worker.quarantine = now.Add(p.settings.QuarantineDuration)
		r.worker.failStreak = suspectAfter - 1 // one more failure is enough after it
		p.event(Event{Text: "worker quarantined", Worker: r.worker.state.ID, Incarnation: r.worker.state.Incarnation})
	}
	if s.spec.Standing || j.state.Ended() {
		return
	}
	failures := &t.failures
	if s.spec.Gang {
		failures = &s.failures
	}
	*failures++
	if *failures >= max(1, j.queue.MaxAttempts) {
		p.end(now, j, pv.JobFailed, "attemptsExhausted")
	}
}
