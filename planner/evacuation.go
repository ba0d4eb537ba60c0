package planner

// This file defines the evacuation of availability zones at the operator's request: their
// workers get no new runs. Runs that have started there continue, since ending them would
// cost their submitters work and the request doesn't ask for it. An assigned run that isn't
// known to have started is withdrawn: it is stopped, and its task starts elsewhere once the
// stop is proved. If it belongs to a gang, the whole gang is withdrawn.
//
// Workers of a zone that is taken back may be cold, and slow for seconds. They are the last choice
// until they show that they aren't slow (speed.go).
//
// While a zone is evacuated, orders to its workers permit no starts, so that the permission of
// earlier orders runs out even if the withdrawal can't be stored.

import (
	"time"

	pv "persimmonvalve"
)

// EvacuationChange is the beginning or the end of a zone's evacuation.
type EvacuationChange struct {
	Zone          string
	Evacuated     bool
	Workers       int // known workers in the zone
	RunsLeft      int // that have started there, or may have
	RunsWithdrawn int // that are stopped before they are known to have started
}

// SetEvacuations sets the zones that are evacuated, and returns the changes.
func (p *Planner) SetEvacuations(now time.Time, e pv.Evacuations) []EvacuationChange {
	next := map[string]bool{}
	for _, zone := range e.Zones {
		next[zone] = true
	}
	former := p.evacuated
	p.evacuated = next
	var changes []EvacuationChange
	for zone := range former {
		if next[zone] {
			continue
		}
		changes = append(changes, p.zoneChange(zone, false))
		p.placementDue = true
		for _, w := range p.workers {
			if w.stateKnown && w.state.Location.Zone == zone {
				w.returnedAt, w.speed = now, workerSpeed{}
			}
		}
	}
	for zone := range next {
		if former[zone] {
			continue
		}
		withdrawn := 0
		for _, w := range p.workers {
			if w.stateKnown && w.state.Location.Zone == zone {
				withdrawn += p.withdrawUnstartedRuns(w)
			}
		}
		change := p.zoneChange(zone, true)
		change.RunsWithdrawn = withdrawn
		changes = append(changes, change)
	}
	return changes
}

func (p *Planner) zoneChange(zone string, evacuated bool) EvacuationChange {
	c := EvacuationChange{Zone: zone, Evacuated: evacuated}
	for _, w := range p.workers {
		if w.stateKnown && w.state.Location.Zone == zone {
			c.Workers++
			c.RunsLeft += w.runsLeft()
		}
	}
	return c
}

// runsLeft returns the number of the worker's runs that aren't being stopped.
func (w *worker) runsLeft() int {
	n := 0
	for _, r := range w.runs {
		if !r.stopping {
			n++
		}
	}
	return n
}

// RunsInEvacuatedZones returns the number of runs in evacuated zones that aren't being stopped.
func (p *Planner) RunsInEvacuatedZones() int {
	n := 0
	for _, w := range p.workers {
		if p.inEvacuatedZone(w) {
			n += w.runsLeft()
		}
	}
	return n
}

// inEvacuatedZone reports whether the worker is known to be in an evacuated zone.
func (p *Planner) inEvacuatedZone(w *worker) bool {
	return w.stateKnown && p.evacuated[w.state.Location.Zone]
}

// withdrawUnstartedRuns stops the runs of a worker that aren't known to have started, with the
// gangs that they belong to, and returns their number. A run of a former leader counts as
// started until the worker has answered a poll under this leader's token: the answer lists all
// runs that have started.
func (p *Planner) withdrawUnstartedRuns(w *worker) int {
	n := 0
	for _, r := range w.runs {
		restored := r.assignedAt.IsZero()
		if r.observed || r.stopping || restored && !w.fencingTokenConfirmed {
			continue
		}
		if !r.task.step.spec.Gang {
			n += p.withdraw(r)
			continue
		}
		for _, member := range r.task.step.tasks {
			if member.run != nil {
				n += p.withdraw(member.run)
			}
		}
	}
	return n
}

// withdraw stops a run, and returns 1 unless it is being stopped already.
func (p *Planner) withdraw(r *run) int {
	if r.stopping {
		return 0
	}
	p.stopRun(r, "zoneEvacuated")
	p.addEvent(Event{Kind: "run withdrawn", Job: r.task.step.job.spec.ID, Run: r.ref(), Worker: r.worker.state.ID, Incarnation: r.incarnation, Reason: "zoneEvacuated"})
	return 1
}
