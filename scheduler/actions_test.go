package scheduler

// This file defines the model's actions, from which rapid generates runs.

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"persimmonvalve/standin"
)

// actions returns the actions by name. The common ones are listed three times, so
// that they are drawn more often and tasks make progress between the faults.
func (m *model) actions() map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){
		"":       func(*rapid.T) { m.checkRuns() },
		"pass":   m.advance,
		"submit": m.submitAny,
		"cancel": func(t *rapid.T) { m.cancel(rapid.IntRange(1, m.submitted+1).Draw(t, "n")) },
		"fault":  m.injectFault,
	}
	for i := range 3 {
		actions[fmt.Sprintf("rounds %d", i)] = m.runRounds
		actions[fmt.Sprintf("think %d", i)] = func(t *rapid.T) { m.runInstance(m.anyInstance(t)) }
		actions[fmt.Sprintf("serve %d", i)] = m.serveAnyOperation
		actions[fmt.Sprintf("return %d", i)] = m.completeAnyOperation
		actions[fmt.Sprintf("deliver %d", i)] = m.deliverAnyMessage
	}
	return actions
}

func (m *model) countEvent(name string) { m.eventCounts[name]++ }

func (m *model) anyInstance(t *rapid.T) *instance {
	return m.instances[rapid.IntRange(0, len(m.instances)-1).Draw(t, "instance")]
}

func (m *model) advance(t *rapid.T) {
	ms := rapid.IntRange(1, 1500).Draw(t, "ms")
	m.now = m.now.Add(time.Duration(ms) * time.Millisecond)
}

func (m *model) runRounds(t *rapid.T) {
	for range rapid.SampledFrom([]int{1, 5, 20, 60}).Draw(t, "rounds") {
		m.now = m.now.Add(100 * time.Millisecond)
		m.runRound()
		m.checkRuns()
	}
}

func (m *model) submitAny(t *rapid.T) {
	size := rapid.Int64Range(500, 2500).Draw(t, "size")
	seconds := rapid.SampledFrom([]int{1, 5, 20, 90}).Draw(t, "seconds")
	m.submit(size, time.Duration(seconds)*time.Second)
}

func (m *model) serveAnyOperation(t *rapid.T) {
	in := m.anyInstance(t)
	if len(in.operations) == 0 || in.operations[0].result != nil {
		return
	}
	fault := rapid.SampledFrom([]string{"", "", "lost", "late", "ack", "read"}).Draw(t, "how")
	m.serveOperation(in, &in.operations[0], fault)
	m.countEvent("log " + fault)
}

func (m *model) completeAnyOperation(t *rapid.T) {
	in := m.anyInstance(t)
	if len(in.operations) == 0 || in.operations[0].result == nil || in.paused {
		return
	}
	o := in.operations[0]
	in.operations = in.operations[1:]
	m.completeOperation(in, o)
}

func (m *model) deliverAnyMessage(t *rapid.T) {
	if len(m.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
	msg := m.messages[i]
	// move delivers the message, drop loses it, and copy delivers it and keeps it in
	// flight.
	how := rapid.SampledFrom([]string{"move", "move", "move", "drop", "copy"}).Draw(t, "how")
	m.countEvent("message " + how)
	if how != "copy" {
		m.messages = append(m.messages[:i], m.messages[i+1:]...)
	}
	if how == "drop" {
		return
	}
	if answer, ok := m.deliver(msg); ok {
		m.messages = append(m.messages, answer)
	}
}

// injectFault injects one random fault.
func (m *model) injectFault(t *rapid.T) {
	faults := map[string]func(){
		"pause":        func() { in := m.anyInstance(t); in.paused = !in.paused },
		"crash":        func() { m.start(m.anyInstance(t)) },
		"leave":        func() { m.handOverOrRestart(m.anyInstance(t)) },
		"cut from log": func() { in := m.anyInstance(t); in.logUnreachable = !in.logUnreachable },
		"cut from worker": func() {
			in, w := m.anyInstance(t), m.anyWorker(t)
			in.unreachableWorkers[w] = !in.unreachableWorkers[w]
		},
		"split":          func() { m.isolateHolder(t) },
		"worker restart": func() { m.workers[m.anyWorker(t)].Restart(m.now) },
		"worker fails":   func() { w := m.workers[m.anyWorker(t)]; w.FailAll = !w.FailAll },
		"outage":         func() { m.logOutage = !m.logOutage },
		"late append":    func() { m.appendDelayed(t) },
		"retention": func() {
			m.log.SetFaults(standin.LogFaults{RetainedRecords: rapid.IntRange(60, 120).Draw(t, "keep")})
		},
	}
	names := slices.Sorted(maps.Keys(faults))
	name := rapid.SampledFrom(names).Draw(t, "fault")
	m.countEvent(name)
	faults[name]()
}

// isolateHolder partitions the holder from the log and all other instances from
// one worker. In this case only the wait for the predecessor's authority timeout
// keeps a task from running on two workers.
func (m *model) isolateHolder(t *rapid.T) {
	w := m.anyWorker(t)
	for _, in := range m.instances {
		if in.holder.Holding(m.now) {
			in.logUnreachable = true
			in.unreachableWorkers[w] = false
		} else {
			in.unreachableWorkers[w] = true
		}
	}
	for range rapid.SampledFrom([]int{0, 50, 250}).Draw(t, "rounds") {
		m.now = m.now.Add(100 * time.Millisecond)
		m.runRound()
		m.checkRuns()
	}
}

func (m *model) anyWorker(t *rapid.T) int {
	return rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")
}

// handOverOrRestart makes an instance hand its term over, or restarts it if it has.
func (m *model) handOverOrRestart(in *instance) {
	if in.holder.HandoverDone() {
		m.start(in)
		return
	}
	in.holder.StartHandover()
}

// appendDelayed lets one delayed append reach the log.
func (m *model) appendDelayed(t *rapid.T) {
	if len(m.delayedAppends) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.delayedAppends)-1).Draw(t, "late")
	_, _ = m.log.Append(context.Background(), modelCell, m.delayedAppends[i])
	m.delayedAppends = append(m.delayedAppends[:i], m.delayedAppends[i+1:]...)
}
