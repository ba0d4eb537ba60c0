package scheduler

// This file defines the steps from which the fuzzer makes its runs.

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"persimmonvalve/standin"
)

// actions returns the fuzzer's steps. Common steps stand several times, so
// that work gets done between the faults.
func (m *model) actions() map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){
		"":       func(*rapid.T) { m.check() },
		"pass":   m.pass,
		"submit": m.submitAny,
		"cancel": func(t *rapid.T) { m.cancel(rapid.IntRange(1, m.submitted+1).Draw(t, "n")) },
		"fault":  m.fault,
	}
	for i := range 3 {
		actions[fmt.Sprintf("rounds %d", i)] = m.rounds
		actions[fmt.Sprintf("think %d", i)] = func(t *rapid.T) { m.run(m.any(t)) }
		actions[fmt.Sprintf("serve %d", i)] = m.serveAny
		actions[fmt.Sprintf("return %d", i)] = m.returnAny
		actions[fmt.Sprintf("deliver %d", i)] = m.deliverAny
	}
	return actions
}

func (m *model) count(name string) { m.faults[name]++ }

func (m *model) any(t *rapid.T) *instance {
	return m.instances[rapid.IntRange(0, len(m.instances)-1).Draw(t, "instance")]
}

func (m *model) pass(t *rapid.T) {
	ms := rapid.IntRange(1, 1500).Draw(t, "ms")
	m.now = m.now.Add(time.Duration(ms) * time.Millisecond)
}

func (m *model) rounds(t *rapid.T) {
	for range rapid.SampledFrom([]int{1, 5, 20, 60}).Draw(t, "rounds") {
		m.now = m.now.Add(100 * time.Millisecond)
		m.round()
		m.check()
	}
}

func (m *model) submitAny(t *rapid.T) {
	size := rapid.Int64Range(500, 2500).Draw(t, "size")
	seconds := rapid.SampledFrom([]int{1, 5, 20, 90}).Draw(t, "seconds")
	m.submit(size, time.Duration(seconds)*time.Second)
}

func (m *model) serveAny(t *rapid.T) {
	in := m.any(t)
	if len(in.jobs) == 0 || in.jobs[0].result != nil {
		return
	}
	fault := rapid.SampledFrom([]string{"", "", "lost", "late", "ack", "read"}).Draw(t, "how")
	m.serve(in, &in.jobs[0], fault)
	m.count("log " + fault)
}

func (m *model) returnAny(t *rapid.T) {
	in := m.any(t)
	if len(in.jobs) == 0 || in.jobs[0].result == nil || in.paused {
		return
	}
	j := in.jobs[0]
	in.jobs = in.jobs[1:]
	m.finish(in, j)
}

func (m *model) deliverAny(t *rapid.T) {
	if len(m.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
	msg := m.messages[i]
	how := rapid.SampledFrom([]string{"move", "move", "move", "drop", "copy"}).Draw(t, "how")
	m.count("message " + how)
	if how != "copy" {
		m.messages = append(m.messages[:i], m.messages[i+1:]...)
	}
	if how == "drop" {
		return
	}
	if back, ok := m.deliver(msg); ok {
		m.messages = append(m.messages, back)
	}
}

func (m *model) fault(t *rapid.T) {
	faults := map[string]func(){
		"pause":        func() { in := m.any(t); in.paused = !in.paused },
		"crash":        func() { m.boot(m.any(t)) },
		"leave":        func() { m.leave(m.any(t)) },
		"cut from log": func() { in := m.any(t); in.cutLog = !in.cutLog },
		"cut from worker": func() {
			in, w := m.any(t), m.anyWorker(t)
			in.cutFrom[w] = !in.cutFrom[w]
		},
		"split":          func() { m.split(t) },
		"worker restart": func() { m.workers[m.anyWorker(t)].Restart(m.now) },
		"worker fails":   func() { w := m.workers[m.anyWorker(t)]; w.FailAll = !w.FailAll },
		"outage":         func() { m.outage = !m.outage },
		"late append":    func() { m.appendLate(t) },
		"retention": func() {
			m.log.SetFaults(standin.LogFaults{Keep: rapid.IntRange(60, 120).Draw(t, "keep")})
		},
	}
	names := slices.Sorted(maps.Keys(faults))
	name := rapid.SampledFrom(names).Draw(t, "fault")
	m.count(name)
	faults[name]()
}

// split cuts the holder off the log and everybody else off one worker, the
// case in which only the predecessor's authority keeps a task in one place.
func (m *model) split(t *rapid.T) {
	w := m.anyWorker(t)
	for _, in := range m.instances {
		if in.holder.Holding(m.now) {
			in.cutLog = true
			in.cutFrom[w] = false
		} else {
			in.cutFrom[w] = true
		}
	}
	for range rapid.SampledFrom([]int{0, 50, 250}).Draw(t, "rounds") {
		m.now = m.now.Add(100 * time.Millisecond)
		m.round()
		m.check()
	}
}

func (m *model) anyWorker(t *rapid.T) int {
	return rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")
}

// leave stops an instance gracefully, or starts it again if it has left.
func (m *model) leave(in *instance) {
	if in.holder.Left() {
		m.boot(in)
		return
	}
	in.holder.Leave()
}

func (m *model) appendLate(t *rapid.T) {
	if len(m.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.late)-1).Draw(t, "late")
	_, _ = m.log.Append(context.Background(), modelCell, m.late[i])
	m.late = append(m.late[:i], m.late[i+1:]...)
}
