package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/holder"
	"persimmonvalve/placer"
	"persimmonvalve/recorder"
	"persimmonvalve/standin"
)

// benchCell is a cell with a log that answers at once and workers without a
// network, so that what is measured is the holder's own work.
type benchCell struct {
	now     time.Time
	log     *standin.Log
	holder  *holder.Core
	core    *Core
	workers map[pv.WorkerID]*standin.WorkerCore
	bytes   int64 // of worker calls, as JSON
	calls   int64
	n       int
}

const tasksOnWorker = 11 // 9,200 tasks on 850 workers

func newBenchCell(b *testing.B, workers, waiting int) *benchCell {
	b.Helper()
	c := &benchCell{now: time.Unix(1_000_000, 0), log: standin.NewLog(), workers: map[pv.WorkerID]*standin.WorkerCore{}}
	s := holder.DefaultSettings()
	s.Me = "me"
	s.AppendRate, s.AppendBurst = 1000, 1000
	s.MaxQueue = 1 << 20
	c.holder = holder.New(s, c.now)
	c.holder.SetCandidate(true, 0)
	var infos []pv.WorkerInfo
	for i := range workers {
		info := pv.WorkerInfo{ID: pv.WorkerID(fmt.Sprintf("w%03d", i)), Capacity: pv.Resources{MilliCores: 32000, MemoryMB: 125000, Slots: tasksOnWorker}}
		infos = append(infos, info)
		c.workers[info.ID] = standin.NewWorkerCore(info, standin.Declared{}, c.now)
	}
	for !c.holder.Holding(c.now) {
		c.step(time.Second)
	}
	from, clean := c.holder.TakenOver()
	c.core = New(DefaultSettings(), modelCell, c.holder.Ledger(), placer.New(pv.Weights{}), c.holder.Propose, from, clean)
	c.core.SetFleet(infos)
	c.core.Configure(&pv.Configuration{}, func(string) (pv.Allowance, bool) {
		return pv.Allowance{Ceiling: pv.Resources{MilliCores: 1 << 40, MemoryMB: 1 << 40, Slots: 1 << 40}}, true
	})
	for range workers*tasksOnWorker + waiting {
		c.submit(time.Hour)
	}
	for range 300 {
		c.step(100 * time.Millisecond)
	}
	return c
}

func (c *benchCell) submit(run time.Duration) {
	c.n++
	c.holder.Propose(c.now, recorder.Record{Accept: &recorder.Accept{Spec: pv.TaskSpec{
		ID: pv.TaskID(fmt.Sprintf("0199a3c0-7a1b-7cc0-8000-%012d", c.n)), Plan: fmt.Sprintf("plan-%d", c.n%8), Customer: "c",
		Kind: fmt.Sprintf("kind-%d", c.n%8), Class: pv.Heavy, RunTime: run,
		Size: pv.Resources{MilliCores: 2000, MemoryMB: 4000, Slots: 1},
	}}}, nil)
}

func (c *benchCell) step(d time.Duration) {
	c.now = c.now.Add(d)
	ctx := context.Background()
	for range 4 {
		job, ok := c.holder.Next(c.now)
		if !ok {
			break
		}
		var r holder.JobResult
		if job.Append != nil {
			r.Appended, r.AppendErr = c.log.Append(ctx, modelCell, job.Append)
		}
		r.Batch, r.ReadErr = c.log.Read(ctx, modelCell, job.From, job.Limit)
		for _, e := range c.holder.Done(c.now, job, r) {
			if c.core != nil {
				c.core.Note(e)
			}
		}
	}
	if c.core == nil {
		return
	}
	for _, call := range c.core.Tick(c.now, true) {
		c.serve(call)
	}
}

func (c *benchCell) serve(call Call) {
	w := c.workers[call.Worker.ID]
	r := CallResult{ID: call.ID}
	var question, answer any
	switch {
	case call.Lease != nil:
		r.Report, r.Err = w.Lease(c.now, *call.Lease)
		question, answer = call.Lease, r.Report
	case call.Start != nil:
		r.Err = w.Start(c.now, *call.Start)
		question = call.Start
	case call.Stop != nil:
		r.Run, r.Err = w.Stop(c.now, *call.Stop)
		question, answer = call.Stop, r.Run
	}
	q, _ := json.Marshal(question)
	a, _ := json.Marshal(answer)
	c.bytes += int64(len(q) + len(a))
	c.calls++
	c.core.Answer(c.now, r)
}

// BenchmarkCellSecond is one second of a cell's holder: ten ticks, with every
// worker's lease renewed each two seconds. It reports what crosses the network.
func BenchmarkCellSecond(b *testing.B) {
	for _, workers := range []int{3, 6, 12, 24, 48} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := newBenchCell(b, workers, 0)
			before, calls, log := c.bytes, c.calls, c.holder.Counters
			for b.Loop() {
				for range 10 {
					c.step(100 * time.Millisecond)
				}
			}
			n := float64(b.N)
			b.ReportMetric(float64(c.bytes-before)/n, "workerB/s")
			b.ReportMetric(float64(c.calls-calls)/n, "workerCalls/s")
			b.ReportMetric(float64(c.holder.Counters.Bytes-log.Bytes)/n, "logB/s")
			b.ReportMetric(float64(c.holder.Counters.Appends-log.Appends)/n, "appends/s")
		})
	}
}

// BenchmarkTickWaiting shows that a tick's cost doesn't follow what waits.
func BenchmarkTickWaiting(b *testing.B) {
	for _, waiting := range []int{0, 1000, 10000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			c := newBenchCell(b, 12, waiting)
			for b.Loop() {
				c.core.Tick(c.now, true)
			}
		})
	}
}

// BenchmarkPlacement is one placement decision with its candidates, full
// workers included.
func BenchmarkPlacement(b *testing.B) {
	for _, workers := range []int{3, 12, 48} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := newBenchCell(b, workers, 0)
			spec := pv.TaskSpec{ID: "x", Kind: "kind-1", Class: pv.Heavy, Size: pv.Resources{MilliCores: 1, MemoryMB: 1}}
			for b.Loop() {
				candidates := c.core.candidates(c.now)
				c.core.placer.Place(spec, c.core.placer.Reserve(spec), candidates)
			}
		})
	}
}
