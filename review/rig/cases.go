package main

// This file defines the cases. Each runs with the disruption or, if trouble is false,
// without it.

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

var cases = map[string]func(trouble bool, record string){
	"many-ends":             manyEnds,
	"images":                images,
	"frozen-deregistration": frozenDeregistration,
	"late-deregistration":   lateDeregistration,
	"two-leaders":           twoLeaders,
}

// imageName returns a reference of an image by its digest.
func imageName(kind string, i int) string {
	return fmt.Sprintf("images.balanceo.example/%s@sha256:%064x", kind, 0x9e3779b97f4a7c15*uint64(i+1))
}

// manyEnds: the store is down while more tasks end on a worker than it lists at a time.
func manyEnds(trouble bool, record string) {
	s := newSite()
	s.startWorkers()
	s.awaitReady()
	var subs []*submission
	for i := range 10 {
		subs = append(subs, s.submit(lookupPrefix, fmt.Sprintf("ms=%d cpu=20", 6000+400*i), phase{Count: 120, CPU: 20, MemMB: 64, EstimateMS: 6000}))
	}
	time.Sleep(4500 * time.Millisecond)
	if trouble {
		s.note("the store is down")
		s.store.setDown(true)
		time.Sleep(4500 * time.Millisecond)
		s.store.setDown(false)
		s.note("the store is back")
	}
	for _, sub := range subs {
		s.awaitState(sub, 30*time.Second, "completed", "failed")
	}
	s.finish(record, s.checkTwice())
}

// images: two of three gateways are lost while the images that tasks name grow in number.
func images(trouble bool, record string) {
	const (
		watches      = 12
		plansPerS    = 1.6 // of reposition-plan on the site
		planDuration = 62 * time.Second
		lossAfter    = 10 * time.Second
	)
	s := newSite()
	s.startWorkers()
	s.awaitReady()
	var lasting []*submission
	for i := range watches {
		lasting = append(lasting, s.submit(watchPrefix, "tail=4 cpu=400", phase{Count: sideMachines, CPU: 400, MemMB: 512, Persistent: true, MaxPerServer: 1, Image: imageName("depot-watch", i), TargetMS: 40}))
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / plansPerS))
	defer ticker.Stop()
	start, lost := time.Now(), !trouble
	for i := 0; time.Since(start) < planDuration; i++ {
		if !lost && time.Since(start) > lossAfter {
			lost = true
			for _, g := range s.gateways[1:] {
				g.signal(syscall.SIGKILL)
				s.note("gateway %s is removed for good (SIGKILL)", g.name)
			}
			s.setFronts(s.fronts[:1]) // the platform sends no more channels to the others
		}
		go s.submit(planPrefix, "ms=3500 cpu=500", phase{Count: 3, CPU: 500, MemMB: 512, EstimateMS: 3500, MaxPerServer: 1, Fills: true, Image: imageName("reposition-plan", i)})
		<-ticker.C
	}
	s.note("end of the traffic")
	time.Sleep(finishTime)
	s.mu.Lock()
	all := append([]*submission{}, s.submissions...)
	s.mu.Unlock()
	broken := s.checkIdle(4*time.Second, all)
	s.finish(record, broken)
}

// frozenDeregistration: the process beside a worker is frozen while the worker leaves.
func frozenDeregistration(trouble bool, record string) {
	s := newSite()
	s.startWorkers()
	s.awaitReady()
	for range 6 {
		s.submit(lookupPrefix, "ms=25000 cpu=480", phase{Count: 2, CPU: 480, MemMB: 960, EstimateMS: 25000})
	}
	time.Sleep(2 * time.Second)
	leaving := 0
	for i, w := range s.workers {
		if s.runsOn(w.id) > s.runsOn(s.workers[leaving].id) {
			leaving = i
		}
	}
	w, supervisor := s.workers[leaving], s.supervisors[leaving]
	s.note("worker %s is told to leave", w.id)
	w.signal(syscall.SIGUSR1)
	s.awaitEvent(w.id, "draining acknowledged", 5*time.Second)
	if trouble {
		time.Sleep(drainTime) // 0.3 s before the deregistration
		s.note("process %s is frozen", supervisor.name)
		supervisor.signal(syscall.SIGSTOP)
		time.Sleep(2500 * time.Millisecond)
		supervisor.signal(syscall.SIGCONT)
		s.note("process %s wakes again", supervisor.name)
	}
	time.Sleep(8 * time.Second)
	s.finish(record, s.checkTwice())
}

// runsOn returns how many runs a worker has.
func (s *site) runsOn(worker string) int {
	n := 0
	for _, i := range s.intervals() {
		if i.worker == worker && i.how == "at work" {
			n++
		}
	}
	return n
}

// awaitEvent waits until a worker has written an event.
func (s *site) awaitEvent(worker, kind string, timeout time.Duration) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for _, e := range s.events() {
			if e.Worker == worker && e.Kind == kind {
				return
			}
		}
	}
	fail("worker %s: no event %q within %v", worker, kind, timeout)
}

// lateDeregistration: a deregistration that a partition has delayed arrives after the
// worker has started again under its id.
func lateDeregistration(trouble bool, record string) {
	s := newSite("b", "b")
	w := s.workers[sideMachines-1]
	p := newProxy(w.control)
	for _, other := range s.workers[:sideMachines-1] {
		s.startWorker(other, other.control)
	}
	s.startWorker(w, p.address(), "--linger", "2s")
	s.awaitReady()
	s.note("worker %s is told to leave", w.id)
	w.signal(syscall.SIGUSR1)
	s.awaitEvent(w.id, "draining acknowledged", 5*time.Second)
	// The other worker of the kind is busy until the worker is back.
	s.submit(lookupPrefix, "ms=7500 cpu=4000", phase{Count: 8, CPU: 4000, MemMB: 960, EstimateMS: 7500, RequiredLabel: "b"})
	time.Sleep(drainTime - 500*time.Millisecond)
	if trouble {
		s.note("worker %s: its check-ins are cut off", w.id)
		p.cut()
	}
	<-w.done
	s.note("worker %s has ended", w.id)
	time.Sleep(300 * time.Millisecond)
	if trouble {
		s.note("worker %s: the partition ends; what it has held arrives 3 s later", w.id)
		p.heal(3 * time.Second)
	}
	time.Sleep(200 * time.Millisecond)
	s.startWorker(w, p.address(), "--linger", "2s")
	time.Sleep(time.Second)
	s.submit(lookupPrefix, "ms=25000 cpu=480", phase{Count: 4, CPU: 480, MemMB: 960, EstimateMS: 25000, RequiredLabel: "b"})
	time.Sleep(10 * time.Second)
	s.finish(record, s.checkTwice())
}

// twoLeaders: a worker is lost for good, and two leaders follow each other before its lease
// has lapsed for the first of them.
func twoLeaders(trouble bool, record string) {
	s := newSite()
	s.startWorkers()
	s.awaitReady()
	sub := s.submit(watchPrefix, "tail=4 cpu=400", phase{Count: 8, CPU: 400, MemMB: 512, Persistent: true, MaxPerServer: 1, Image: imageName("depot-watch", 0), TargetMS: 40})
	time.Sleep(5 * time.Second)
	at := -1
	for i, w := range s.workers {
		if s.runsOn(w.id) > 0 {
			at = i
		}
	}
	if at < 0 {
		fail("no task of %s runs", sub.id)
	}
	lost := ""
	for _, i := range s.intervals() {
		if i.worker == s.workers[at].id && strings.HasPrefix(i.task, sub.id) {
			lost = i.task
		}
	}
	sur := []int{0, 2} // the gateways in the store's region
	if trouble {
		s.crash(s.workers[at])
	}
	time.Sleep(4800 * time.Millisecond)
	if trouble {
		s.powerOff(sur...)
	}
	time.Sleep(3500 * time.Millisecond)
	if trouble {
		s.powerOn(sur...)
	}
	// Machines are in touch again after contactMs; then 4 s and 3 s have to be calm.
	s.note("no disruption from here on")
	time.Sleep(8 * time.Second)
	from := time.Now()
	time.Sleep(3 * time.Second)
	to := time.Now()
	time.Sleep(6 * time.Second)
	runs := 0
	for _, i := range s.intervals() {
		if i.task == lost && i.from.Before(to) && i.to.After(from) {
			runs++
		}
	}
	var broken []string
	if runs == 0 {
		broken = append(broken, fmt.Sprintf("LOST: task %s is to last and didn't run from %.1f to %.1f, with three workers without a task of its step", lost, from.Sub(s.began).Seconds(), to.Sub(s.began).Seconds()))
	}
	s.finish(record, broken)
}
