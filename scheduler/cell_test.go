package scheduler

// This file defines a cell without faults of its log for tests of single decisions.

import (
	"fmt"
	"slices"
	"testing"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/holder"
	"persimmonvalve/recorder"
	"persimmonvalve/standin"
)

// testCell is one scheduler with its ledger and workers that answer calls at once.
type testCell struct {
	t         *testing.T
	now       time.Time
	ledger    *recorder.Ledger
	core      *Core
	workers   []*standin.WorkerCore
	downUntil []time.Time // by worker; before it calls have no effect
	downTime  time.Duration
	records   [][]byte
	seq       int64
	queued    []func()             // proposed records
	starts    map[pv.TaskID]int    // that took effect
	crashes   func(pv.TaskID) bool // whether a task crashes the worker that starts it
	dropped   func(Call) bool      // calls that have no effect and get no answer
}

func newTestCell(t *testing.T, workers int) *testCell {
	c := &testCell{
		t:       t,
		now:     time.Unix(1_800_000_000, 0),
		ledger:  recorder.New(),
		starts:  map[pv.TaskID]int{},
		crashes: func(pv.TaskID) bool { return false },
		dropped: func(Call) bool { return false },
	}
	for i := range workers {
		info := pv.WorkerInfo{ID: pv.WorkerID(fmt.Sprintf("w%d", i)), Capacity: pv.Resources{MilliCores: 8000, MemoryMB: 8000, Slots: 8}}
		c.workers = append(c.workers, standin.NewWorkerCore(info, standin.DeclaredTruth{}, c.now))
	}
	c.downUntil = make([]time.Time, workers)
	c.takeOver(1)
	return c
}

func (c *testCell) takeOver(term pv.Term) {
	c.write(recorder.Record{Header: recorder.Header{Term: term, Holder: "h"}, Claim: &recorder.Claim{Member: "a"}})
	c.seq = 0
	c.core = New(DefaultSettings(), "cell/a/0", c.ledger, firstFit{reserveFactor: 1}, c.propose, c.now, true)
	c.core.Configure(&pv.Configuration{}, func(string) (pv.Allowance, bool) {
		return pv.Allowance{Ceiling: pv.Resources{MilliCores: 80000, MemoryMB: 80000, Slots: 80}}, true
	})
	var infos []pv.WorkerInfo
	for _, w := range c.workers {
		infos = append(infos, w.Info)
	}
	c.core.SetWorkers(infos)
}

func (c *testCell) write(r recorder.Record) recorder.Verdict {
	if r.Claim == nil {
		c.seq++
		r.Header = recorder.Header{Term: c.ledger.Term, Holder: "h", Seq: c.seq}
	}
	r.Time = c.now
	data, err := recorder.Encode(r)
	if err != nil {
		c.t.Fatal(err)
	}
	c.records = append(c.records, data)
	first := pv.Offset(len(c.records) - 1)
	verdict := recorder.Valid
	for _, e := range c.ledger.Feed(pv.Batch{First: first, Records: [][]byte{data}, Next: first + 1}) {
		verdict = e.Verdict
		if c.core != nil && r.Claim == nil {
			c.core.HandleLedgerEntry(e)
		}
	}
	return verdict
}

func (c *testCell) propose(_ time.Time, r recorder.Record, done func(holder.Result)) bool {
	c.queued = append(c.queued, func() {
		verdict := c.write(r)
		if done != nil {
			done(holder.Result{Verdict: verdict, Sent: true})
		}
	})
	return true
}

func (c *testCell) submit(id pv.TaskID, runTime time.Duration) {
	c.write(recorder.Record{Accept: &recorder.Accept{Spec: pv.TaskSpec{
		ID: id, Plan: "p", Customer: "c", Kind: "k", Class: pv.ClassHeavy, RunTime: runTime,
		Size: pv.Resources{MilliCores: 1000, MemoryMB: 1000, Slots: 1},
	}}})
}

// run ticks the scheduler every 100 ms for a duration.
func (c *testCell) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(100 * time.Millisecond) {
		for _, call := range c.core.Tick(c.now, true) {
			c.serve(call)
		}
		queued := c.queued
		c.queued = nil
		for _, write := range queued {
			write()
		}
	}
}

func (c *testCell) serve(call Call) {
	if c.dropped(call) {
		return
	}
	i := slices.IndexFunc(c.workers, func(w *standin.WorkerCore) bool { return w.Info.ID == call.Worker.ID })
	w := c.workers[i]
	r := CallResult{ID: call.ID}
	switch {
	case c.now.Before(c.downUntil[i]):
		r.Err = pv.ErrUnavailable
	case call.Lease != nil:
		r.Report, r.Err = w.Lease(c.now, *call.Lease)
	case call.Start != nil:
		r.Err = c.start(i, *call.Start)
	case call.Stop != nil:
		r.Run, r.Err = w.Stop(c.now, *call.Stop)
	case call.Throttle != nil:
		r.Err = w.Throttle(c.now, *call.Throttle)
	}
	c.core.HandleResult(c.now, r)
}

func (c *testCell) start(i int, command pv.StartCommand) error {
	if err := c.workers[i].Start(c.now, command); err != nil {
		return err
	}
	c.starts[command.Attempt.Task]++
	if !c.crashes(command.Attempt.Task) {
		return nil
	}
	c.crash(i)
	return pv.ErrUnavailable
}

// crash ends a worker's process; another one starts after the cell's down time.
func (c *testCell) crash(i int) {
	c.downUntil[i] = c.now.Add(c.downTime)
	c.workers[i].Restart(c.downUntil[i])
}
