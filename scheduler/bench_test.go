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

// benchCell is a cell whose log and workers are called directly, without delay,
// so that a benchmark measures only the holder's own work.
type benchCell struct {
	now       time.Time
	log       *standin.Log
	holder    *holder.Core
	core      *Core
	workers   map[pv.WorkerID]*standin.WorkerCore
	callBytes int64 // size of worker calls and their answers as JSON
	calls     int64
	submitted int
}

const tasksPerWorker = 11 // 9,200 tasks on 850 workers, rounded up

func newBenchCell(b *testing.B, workers, waiting int) *benchCell {
	b.Helper()
	c := &benchCell{now: time.Unix(1_000_000, 0), log: standin.NewLog(), workers: map[pv.WorkerID]*standin.WorkerCore{}}
	s := holder.DefaultSettings()
	s.Incarnation = "me"
	s.AppendsPerSecond, s.AppendBurst = 1000, 1000
	s.MaxQueueRecords = 1 << 20
	c.holder = holder.New(s, c.now)
	c.holder.SetCandidate(true, 0)
	var infos []pv.WorkerInfo
	for i := range workers {
		info := pv.WorkerInfo{ID: pv.WorkerID(fmt.Sprintf("w%03d", i)), Capacity: pv.Resources{MilliCores: 32000, MemoryMB: 125000, Slots: tasksPerWorker}}
		infos = append(infos, info)
		c.workers[info.ID] = standin.NewWorkerCore(info, standin.DeclaredTruth{}, c.now)
	}
	for !c.holder.Holding(c.now) {
		c.step(time.Second)
	}
	takenOverAt, cleanTakeover := c.holder.Takeover()
	c.core = New(DefaultSettings(), modelCell, c.holder.Ledger(), placer.New(pv.Weights{}), c.holder.Propose, takenOverAt, cleanTakeover)
	c.core.SetWorkers(infos)
	c.core.Configure(&pv.Configuration{}, func(string) (pv.Allowance, bool) {
		return pv.Allowance{Ceiling: pv.Resources{MilliCores: 1 << 40, MemoryMB: 1 << 40, Slots: 1 << 40}}, true
	})
	for range workers*tasksPerWorker + waiting {
		c.submit(time.Hour)
	}
	for range 300 {
		c.step(100 * time.Millisecond)
	}
	return c
}

func (c *benchCell) submit(runTime time.Duration) {
	c.submitted++
	c.holder.Propose(c.now, recorder.Record{Accept: &recorder.Accept{Spec: pv.TaskSpec{
		ID: pv.TaskID(fmt.Sprintf("0199a3c0-7a1b-7cc0-8000-%012d", c.submitted)), Plan: fmt.Sprintf("plan-%d", c.submitted%8), Customer: "c",
		Kind: fmt.Sprintf("kind-%d", c.submitted%8), Class: pv.ClassHeavy, RunTime: runTime,
		Size: pv.Resources{MilliCores: 2000, MemoryMB: 4000, Slots: 1},
	}}}, nil)
}

func (c *benchCell) step(d time.Duration) {
	c.now = c.now.Add(d)
	ctx := context.Background()
	for range 4 {
		op, ok := c.holder.Next(c.now)
		if !ok {
			break
		}
		var r holder.LogOperationResult
		if op.Append != nil {
			r.Appended, r.AppendErr = c.log.Append(ctx, modelCell, op.Append)
		}
		r.Batch, r.ReadErr = c.log.Read(ctx, modelCell, op.From, op.Limit)
		for _, e := range c.holder.HandleResult(c.now, op, r) {
			if c.core != nil {
				c.core.HandleLedgerEntry(e)
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
	var request, response any
	switch {
	case call.Lease != nil:
		r.Report, r.Err = w.Lease(c.now, *call.Lease)
		request, response = call.Lease, r.Report
	case call.Start != nil:
		r.Err = w.Start(c.now, *call.Start)
		request = call.Start
	case call.Stop != nil:
		r.Run, r.Err = w.Stop(c.now, *call.Stop)
		request, response = call.Stop, r.Run
	}
	q, _ := json.Marshal(request)
	a, _ := json.Marshal(response)
	c.callBytes += int64(len(q) + len(a))
	c.calls++
	c.core.HandleResult(c.now, r)
}

// BenchmarkCellSecond measures one second of a cell's holder: ten ticks, with each
// worker's lease renewed every 2 s. It also reports the traffic to the workers
// and the log.
func BenchmarkCellSecond(b *testing.B) {
	for _, workers := range []int{3, 6, 12, 24, 48} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := newBenchCell(b, workers, 0)
			bytesBefore, callsBefore, countersBefore := c.callBytes, c.calls, c.holder.Counters
			for b.Loop() {
				for range 10 {
					c.step(100 * time.Millisecond)
				}
			}
			n := float64(b.N)
			b.ReportMetric(float64(c.callBytes-bytesBefore)/n, "workerB/s")
			b.ReportMetric(float64(c.calls-callsBefore)/n, "workerCalls/s")
			b.ReportMetric(float64(c.holder.Counters.BytesAppended-countersBefore.BytesAppended)/n, "logB/s")
			b.ReportMetric(float64(c.holder.Counters.Appends-countersBefore.Appends)/n, "appends/s")
		})
	}
}

// BenchmarkTickWaiting measures a tick with different numbers of waiting tasks; its
// cost shouldn't depend on them.
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

// BenchmarkPlacement measures one placement decision, including the listing of the
// candidates. All slots of the workers are in use; the task that is placed needs
// none.
func BenchmarkPlacement(b *testing.B) {
	for _, workers := range []int{3, 12, 48} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := newBenchCell(b, workers, 0)
			spec := pv.TaskSpec{ID: "x", Kind: "kind-1", Class: pv.ClassHeavy, Size: pv.Resources{MilliCores: 1, MemoryMB: 1}}
			for b.Loop() {
				candidates := c.core.candidates(c.now)
				c.core.placer.Place(spec, c.core.placer.Reserve(spec), candidates)
			}
		})
	}
}
