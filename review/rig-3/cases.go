package main

// This file defines the cases.

import (
	"strings"
	"sync"
	"time"
)

// Bounds of the rules, as under `bounds` in the settings.
const (
	finishTime = 14 * time.Second // finish_s
	standTime  = 3 * time.Second  // for which a submission may have nothing running
	lastsTime  = 6 * time.Second  // from the last run of a task that lasts
	calmTime   = 4 * time.Second  // contactMs: before the time that is judged
)

func labels(racks ...string) [][]string {
	var out [][]string
	for _, rack := range racks {
		out = append(out, []string{"a", rack})
	}
	return out
}

// startUp waits until a first submission has run to its end.
func (s *site) startUp() {
	id := s.mustSubmit(job{Spec: "first", Phases: []phase{{Count: 2, CPU: 480, MemoryMB: 960, EstimateMS: 300}}})
	if !s.awaitState(id, "completed", 10*time.Second) {
		fail("the first submission wasn't completed")
	}
}

// unfinished reports whether a submission has tasks that haven't ended done, and returns the number
// of its runs.
func (f *fleet) unfinished(id string) (open bool, running int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := 0
	for _, p := range f.jobs[id].Phases {
		left += p.Count
	}
	for task := range f.done {
		if jobOf(task) == id {
			left--
		}
	}
	return left > 0, f.open[id]
}

// largeBatch: all gateways are killed while requesters hand in submissions with a spec of the
// largest size.
func largeBatch(log *recorder, trouble bool) bool {
	const (
		rate    = 32 // submissions a second: 18.8 of a site's sheet, in a burst of 1.7
		traffic = 16 * time.Second
		killAt  = 4 * time.Second
		down    = 5 * time.Second
	)
	s := newSite(log, 3, labels("r1-1", "r2-1", "r3-1"), 4)
	defer s.close()
	s.startUp()
	var mu sync.Mutex
	var accepted []string
	var group sync.WaitGroup
	spec := strings.Repeat("<", 4000)
	started := time.Now()
	group.Go(func() {
		ticker := time.NewTicker(time.Second / rate)
		defer ticker.Stop()
		for n := 0; time.Since(started) < traffic; n++ {
			<-ticker.C
			group.Go(func() {
				if id, ok := s.submit(n, job{Spec: spec, Phases: []phase{{Count: 2, CPU: 480, MemoryMB: 960, EstimateMS: 640}}}); ok {
					mu.Lock()
					accepted = append(accepted, id)
					mu.Unlock()
				}
			})
		}
	})
	time.Sleep(killAt)
	if trouble {
		for _, g := range s.gateways {
			g.kill()
		}
		time.Sleep(down)
		for _, g := range s.gateways {
			g.start()
		}
	}
	group.Wait()
	log.note("requester", "end of the traffic: %d submissions accepted", len(accepted))
	time.Sleep(finishTime)
	var waiting []string
	for _, id := range accepted {
		if open, _ := s.fleet.unfinished(id); open {
			waiting = append(waiting, id)
		}
	}
	stood := map[string]bool{}
	for _, id := range waiting {
		stood[id] = true
	}
	for end := time.Now().Add(standTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for id := range stood {
			if open, running := s.fleet.unfinished(id); !open || running > 0 {
				delete(stood, id)
			}
		}
	}
	lost, unanswered := len(stood), 0
	for i, id := range waiting {
		if i == 10 {
			break
		}
		a := s.state(id)
		log.note("requester", "GET %s: %d %s", id, a.status, a.state)
		if a.status == 0 || a.status == 503 || a.status == 410 {
			unanswered++
		}
	}
	log.note("judge", "%d of %d accepted submissions have had nothing running for 3 s on idle workers, %d s after the end of the traffic; of up to 10 of them %d weren't known or got no answer; the store refused %d appends beyond its limits", lost, len(accepted), int(finishTime.Seconds()), unanswered, s.store.refusals())
	return lost == 0 && unanswered == 0
}

// gang: a worker fails all that it starts, and gets the whole gang.
func gang(log *recorder, trouble bool) bool {
	s := newSite(log, 2, labels("r1-1", "r2-1", "r3-1", "r4-1", "r5-1", "r6-1", "r7-1"), 4)
	defer s.close()
	s.startUp()
	if trouble {
		s.workers[0].setGrey(true)
		log.note("worker-1", "fails all that it starts from now on")
	}
	id := s.mustSubmit(job{Spec: "gang", Phases: []phase{{Count: 6, CPU: 480, MemoryMB: 960, EstimateMS: 1000, Gang: true}}})
	state := ""
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end) && state != "completed" && state != "failed"; time.Sleep(100 * time.Millisecond) {
		if a := s.state(id); a.status == 200 && a.state != state {
			state = a.state
			log.note("requester", "GET %s: %s", id, state)
		}
	}
	s.fleet.mu.Lock()
	ends := s.fleet.ends[id]
	attempts := 0
	for task, starts := range s.fleet.starts {
		if jobOf(task) == id {
			attempts = max(attempts, starts)
		}
	}
	s.fleet.mu.Unlock()
	log.note("judge", "%s is shown as %s; its runs ended %v; no task was started more than %d times; attempts is 4", id, state, ends, attempts)
	return state != "failed" || attempts >= 4
}

func (w *worker) setGrey(grey bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.grey = grey
}

// watchLasting reports whether a submission that lasts is at work, over a span of time of which it
// may miss lastsTime.
func (s *site) watchLasting(id string, span time.Duration) bool {
	ok := true
	idleSince := time.Now()
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if _, running := s.fleet.unfinished(id); running > 0 {
			idleSince = time.Now()
		}
		if time.Since(idleSince) > lastsTime+standTime+calmTime {
			ok = false
		}
	}
	return ok
}

// lowBorn: a worker goes down and up while its machine's time of day jumps back.
func lowBorn(log *recorder, trouble bool) bool {
	s := newSite(log, 2, labels("r1-1", "r2-1", "r3-1", "r4-1", "r5-1", "r6-1", "r7-1"), 4)
	defer s.close()
	s.startUp()
	id := s.mustSubmit(job{Spec: "watch", Phases: []phase{{Count: 1, CPU: 6400, MemoryMB: 13000, EstimateMS: 400, Persistent: true, RequiredLabel: "r7-1"}}})
	time.Sleep(3 * time.Second)
	w := s.workers[6]
	w.crash()
	time.Sleep(700 * time.Millisecond)
	w.start(time.Now())
	time.Sleep(700 * time.Millisecond)
	if trouble {
		log.note("worker-7", "the time of day of its machine jumps back by 2,400 ms for 6 s")
	}
	w.crash()
	time.Sleep(700 * time.Millisecond)
	if trouble {
		w.start(time.Now().Add(-2400 * time.Millisecond))
	} else {
		w.start(time.Now())
	}
	held := s.watchLasting(id, 30*time.Second)
	a := s.state(id)
	_, running := s.fleet.unfinished(id)
	log.note("judge", "%s is shown as %q (%d); runs at work: %d", id, a.state, a.status, running)
	return held
}

// flap: a worker goes down and up by turns, and a task that lasts has to run there.
func flap(log *recorder, trouble bool) bool {
	const (
		period = 920 * time.Millisecond  // gap_s
		length = 7310 * time.Millisecond // for_s
	)
	s := newSite(log, 2, labels("r1-1", "r1-1", "r1-1", "r2-1", "r2-1", "r2-1", "r3-1"), 4)
	defer s.close()
	s.startUp()
	id := s.mustSubmit(job{Spec: "watch", Phases: []phase{{Count: 1, CPU: 6400, MemoryMB: 13000, EstimateMS: 400, Persistent: true, RequiredLabel: "r3-1"}}})
	time.Sleep(3 * time.Second)
	w := s.workers[6]
	for end := time.Now().Add(length); trouble && time.Now().Before(end); {
		w.crash()
		time.Sleep(period / 2)
		w.start(time.Now())
		time.Sleep(period / 2)
	}
	held := s.watchLasting(id, lastsTime+standTime+calmTime+2*time.Second)
	a := s.state(id)
	s.fleet.mu.Lock()
	ends := s.fleet.ends[id]
	s.fleet.mu.Unlock()
	log.note("judge", "%s is shown as %q (%d); its runs ended %v", id, a.state, a.status, ends)
	return held && a.state != "failed"
}

// perServer: a gang with maxPerServer is placed again after a worker has crashed.
func perServer(log *recorder, trouble bool) bool {
	s := newSite(log, 2, labels("r1-1", "r2-1", "r3-1"), 4)
	defer s.close()
	s.startUp()
	s.mustSubmit(job{Spec: "plan", Phases: []phase{{Count: 3, CPU: 20000, MemoryMB: 6400, EstimateMS: 4000, MaxPerServer: 1}}})
	id := s.mustSubmit(job{Spec: "gang", Phases: []phase{{Count: 3, CPU: 10000, MemoryMB: 6400, EstimateMS: 4000, Gang: true, MaxPerServer: 1}}})
	time.Sleep(time.Second)
	if trouble {
		s.workers[2].crash()
		time.AfterFunc(4500*time.Millisecond, func() { s.workers[2].start(time.Now()) })
	}
	most := 0
	for end := time.Now().Add(14 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		s.fleet.mu.Lock()
		for _, w := range s.workers {
			n := 0
			for task := range w.runs {
				if jobOf(task) == id {
					n++
				}
			}
			if n > most {
				most = n
				log.note("judge", "%s runs %d tasks of %s, whose maxPerServer is 1", w.name, n, id)
			}
		}
		s.fleet.mu.Unlock()
	}
	return most <= 1
}
