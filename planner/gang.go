package planner

// This file defines the attempts of a gang: the tasks of a step that start together, under one
// attempt number, and end together.
//
// The next attempt starts only after all runs of the one before have ended, so ends that match a
// run belong to the latest attempt. Several members may fail in one attempt, on several
// workers, and their ends may reach different leaders: the attempt has failed once.

import (
	"slices"
	"time"

	pv "persimmonvalve"
)

// gangFailures counts the failed attempts of a gang. It is stored, so that a new leader doesn't
// count an attempt again by a member whose end its predecessor hadn't received.
type gangFailures struct {
	attempts    int           // in which at least one member has failed
	lastAttempt int           // the number of the last of them; 0 if there is none
	workers     []pv.WorkerID // on which members failed in that attempt, and which the gang avoids; not stored
	failedAt    time.Time     // when the last end of such a member arrived; not stored
}

// minGangReturnTime is the time from a failure until a gang may return to the worker. Workers that are
// busy, or that a new leader doesn't know yet, may become available meanwhile.
const minGangReturnTime = time.Second

// add records that a member's run has failed, and reports whether it is the first one of its
// attempt, and the first one of its attempt on its worker.
func (f *gangFailures) add(now time.Time, r *run) (firstOfAttempt, firstOnWorker bool) {
	f.failedAt = now
	if r.attempt > f.lastAttempt {
		f.attempts++
		f.lastAttempt, f.workers = r.attempt, nil
		firstOfAttempt = true
	}
	id := r.worker.state.ID
	if slices.Contains(f.workers, id) {
		return firstOfAttempt, false
	}
	f.workers = append(f.workers, id)
	return firstOfAttempt, true
}

// restoreGangFailures sets the number of failed attempts and the last of them from a record. Records of
// earlier versions have the number of failed members, and 0 for the last attempt. As many attempts
// as can have failed then count, up to the last one in which a run has ended, so that the gang
// doesn't get more than its queue allows.
func (s *step) restoreGangFailures(failures, lastAttempt int) {
	if failures <= 0 {
		return
	}
	ended := s.lastAttempt()
	if s.allRunning() {
		ended--
	}
	if lastAttempt <= 0 {
		lastAttempt = ended
	}
	lastAttempt = min(lastAttempt, ended)
	s.gangFailures = gangFailures{attempts: min(failures, lastAttempt), lastAttempt: lastAttempt}
}

// lastAttempt returns the highest attempt number of the step's tasks.
func (s *step) lastAttempt() int {
	attempt := 0
	for _, t := range s.tasks {
		attempt = max(attempt, t.attempt)
	}
	return attempt
}

// allRunning reports whether each task of the step has a run.
func (s *step) allRunning() bool {
	for _, t := range s.tasks {
		if t.run == nil {
			return false
		}
	}
	return true
}

// gangWaiting reports whether no task of the gang has a run.
func (s *step) gangWaiting() bool {
	for _, t := range s.tasks {
		if t.run != nil {
			return false
		}
	}
	return true
}

// placeGang assigns all tasks of a gang, or none.
func (p *Planner) placeGang(now time.Time, s *step, workers []*worker) {
	if !s.gangWaiting() {
		return
	}
	avoided := s.gangFailures.workers
	var chosen []*worker
	release := func() {
		for _, w := range chosen {
			w.adjustReserved(s.spec, -1)
		}
	}
	for _, t := range s.tasks {
		w := p.chooseWorker(t, workers)
		if w == nil {
			release()
			s.gangFailures.workers = avoided // the gang hasn't started on any of them
			return
		}
		w.adjustReserved(s.spec, 1)
		chosen = append(chosen, w)
	}
	release()
	checkpoint := ""
	for _, t := range s.tasks {
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
	}
	attempt := s.lastAttempt() + 1
	for i, t := range s.tasks {
		t.checkpoint = checkpoint // a checkpoint of any task is valid for the whole gang
		p.assign(now, t, chosen[i], attempt)
	}
}
