package scheduler

// This file defines the model under which a cell is fuzzed: several holders
// over one faulty log and a few workers, with every message delayed, lost,
// duplicated or reordered at the fuzzer's choice. The oracle looks at the fake
// workers themselves.

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	pv "persimmonvalve"
	"persimmonvalve/holder"
	"persimmonvalve/internal/fuzz"
	"persimmonvalve/recorder"
	"persimmonvalve/standin"
)

func TestMain(m *testing.M) {
	fuzz.SetFlags()
	m.Run()
}

const (
	modelLease     = 4 * time.Second
	modelAuthority = 10 * time.Second
	modelCell      = pv.StreamName("cell/a/0")
)

type firstFit struct{ lie int64 }

func (f firstFit) Reserve(spec pv.TaskSpec) pv.Resources { return spec.Size.Scale(f.lie, 1) }

func (f firstFit) Place(_ pv.TaskSpec, reserve pv.Resources, candidates []pv.Candidate) (int, bool) {
	for i, c := range candidates {
		if reserve.Fits(c.Free) {
			return i, true
		}
	}
	return 0, false
}

func (f firstFit) Observe(time.Time, pv.Observation) {}

// instance is one process that may hold the cell.
type instance struct {
	name      string
	lives     int
	holder    *holder.Core
	scheduler *Core
	paused    bool
	jobs      []job // its log jobs in flight; one at most unless it restarted
	cutLog    bool
	cutFrom   map[int]bool // workers that it can't reach
}

type job struct {
	owner  *holder.Core
	job    holder.Job
	result *holder.JobResult // set once the log has served it
}

// message is a worker call on its way, or its answer on the way back.
type message struct {
	from   *instance
	to     *Core
	worker int
	call   Call
	answer *CallResult
}

type model struct {
	t         *rapid.T
	now       time.Time
	log       *standin.Log
	instances []*instance
	workers   []*standin.WorkerCore
	capacity  pv.Resources
	late      [][][]byte // appends that were given up but may still take effect
	messages  []message
	submitted int
	outage    bool
	settings  Settings
	holding   holder.Settings
	placer    pv.Placer
	rates     []float64 // of the workers' clocks
	specs     map[pv.TaskID]pv.TaskSpec
	places    map[pv.AttemptID]int // the worker on which an attempt ran
	ended     map[pv.TaskID]pv.Outcome
	states    map[pv.Offset]string
	faults    map[string]int
}

func newModel(t *rapid.T) *model {
	m := &model{
		t:        t,
		now:      time.Unix(1_000_000, 0),
		log:      standin.NewLog(),
		capacity: pv.Resources{MilliCores: 3000, MemoryMB: 3000, Slots: 3},
		settings: DefaultSettings(),
		holding:  holder.DefaultSettings(),
		placer:   firstFit{lie: 1},
		rates:    []float64{1, 0.98, 1.02},
		specs:    map[pv.TaskID]pv.TaskSpec{},
		places:   map[pv.AttemptID]int{},
		ended:    map[pv.TaskID]pv.Outcome{},
		states:   map[pv.Offset]string{},
		faults:   map[string]int{},
	}
	m.settings.Lease = modelLease
	m.settings.RenewEvery = time.Second
	m.settings.Drift = 300 * time.Millisecond
	m.settings.Authority = modelAuthority
	m.settings.CallTimeout = 1500 * time.Millisecond
	m.holding.Authority = modelAuthority
	m.holding.Renew = 500 * time.Millisecond
	m.holding.Silence = 2 * time.Second
	m.holding.Stagger = 300 * time.Millisecond
	m.holding.Poll = 300 * time.Millisecond
	m.holding.AppendRate = 1000
	m.holding.SnapshotEvery = 5 * time.Second
	return m
}

func (m *model) populate(instances, workers int) {
	for i := range instances {
		in := &instance{name: fmt.Sprintf("i%d", i), cutFrom: map[int]bool{}}
		m.instances = append(m.instances, in)
		m.boot(in)
	}
	for i := range workers {
		info := pv.WorkerInfo{ID: pv.WorkerID(fmt.Sprintf("w%d", i)), Address: netip.AddrPort{}, Capacity: m.capacity}
		w := standin.NewWorkerCore(info, standin.Declared{}, m.now)
		w.Rate = m.rates[i%len(m.rates)]
		w.CheckpointEvery = time.Second
		m.workers = append(m.workers, w)
	}
}

func (m *model) boot(in *instance) {
	in.lives++
	s := m.holding
	s.Me = pv.Incarnation(fmt.Sprintf("%s.%d", in.name, in.lives))
	in.holder = holder.New(s, m.now)
	in.holder.SetCandidate(true, 0)
	in.scheduler = nil
}

func (m *model) infos() []pv.WorkerInfo {
	var infos []pv.WorkerInfo
	for _, w := range m.workers {
		infos = append(infos, w.Info)
	}
	return infos
}

// run lets one instance think: log job, then the scheduler while it holds.
func (m *model) run(in *instance) {
	if in.paused {
		return
	}
	if j, ok := in.holder.Next(m.now); ok {
		in.jobs = append(in.jobs, job{owner: in.holder, job: j})
	}
	if !in.holder.Holding(m.now) {
		// The scheduler is kept: a second one in the same term would start
		// its lease epochs anew.
		return
	}
	if in.scheduler == nil || in.scheduler.term != in.holder.Term() {
		from, clean := in.holder.TakenOver()
		in.scheduler = New(m.settings, modelCell, in.holder.Ledger(), m.placer, in.holder.Propose, from, clean)
		in.scheduler.Configure(&pv.Configuration{}, func(string) (pv.Allowance, bool) {
			return pv.Allowance{Ceiling: m.capacity.Scale(100, 1)}, true
		})
	}
	in.scheduler.SetFleet(m.infos())
	for _, c := range in.scheduler.Tick(m.now, in.holder.Writable(m.now)) {
		m.messages = append(m.messages, message{from: in, to: in.scheduler, worker: m.index(c.Worker.ID), call: c})
	}
}

func (m *model) index(id pv.WorkerID) int {
	for i, w := range m.workers {
		if w.Info.ID == id {
			return i
		}
	}
	return -1
}

// serve lets the log serve a job, with the given fault.
func (m *model) serve(in *instance, j *job, fault string) {
	cut := m.outage || in.cutLog
	r := &holder.JobResult{}
	ctx := context.Background()
	if j.job.Append != nil {
		switch {
		case cut || fault == "lost":
			r.AppendErr = pv.ErrUnavailable
		case fault == "late":
			m.late = append(m.late, j.job.Append)
			r.AppendErr = pv.ErrUnavailable
		default:
			r.Appended, _ = m.log.Append(ctx, modelCell, j.job.Append)
			if fault == "ack" {
				r.AppendErr = pv.ErrUnavailable
			}
		}
	}
	if cut || fault == "read" {
		r.ReadErr = pv.ErrUnavailable
	} else {
		r.Batch, r.ReadErr = m.log.Read(ctx, modelCell, j.job.From, j.job.Limit)
	}
	j.result = r
}

// finish hands a served job back to its instance.
func (m *model) finish(in *instance, j job) {
	if j.owner != in.holder {
		return // of a former life
	}
	for _, e := range in.holder.Done(m.now, j.job, *j.result) {
		if in.scheduler != nil {
			in.scheduler.Note(e)
		}
		m.see(e)
	}
	m.compare(in.holder.Ledger())
}

// see checks the entries of the ledger: an end is final.
func (m *model) see(e recorder.Entry) {
	if e.Verdict != recorder.Valid {
		return
	}
	if end := e.Record.End; end != nil {
		task := end.Attempt.Task
		if was, ok := m.ended[task]; ok && was != end.Outcome {
			m.t.Fatalf("task %s ended as %s, then as %s", task, was, end.Outcome)
		}
		m.ended[task] = end.Outcome
	}
}

// compare checks that every reader has the same state at the same offset.
func (m *model) compare(l *recorder.Ledger) {
	if !l.Ready() {
		return
	}
	data, err := json.Marshal(l.State)
	if err != nil {
		m.t.Fatal(err)
	}
	if was, ok := m.states[l.Next()]; ok && was != string(data) {
		m.t.Fatalf("two states at offset %d:\n%s\n%s", l.Next(), was, data)
	}
	m.states[l.Next()] = string(data)
	for plan, a := range l.Accounts {
		if gap := a.Gap(); gap != 0 {
			m.t.Fatalf("account of %s doesn't close: gap %d", plan, gap)
		}
	}
}

// deliver moves a message one way: to the worker, or back to its sender.
func (m *model) deliver(msg message) (message, bool) {
	if msg.answer != nil {
		msg.to.Answer(m.now, *msg.answer)
		return message{}, false
	}
	w := m.workers[msg.worker]
	r := CallResult{ID: msg.call.ID}
	switch {
	case msg.call.Lease != nil:
		r.Report, r.Err = w.Lease(m.now, *msg.call.Lease)
	case msg.call.Start != nil:
		r.Err = w.Start(m.now, *msg.call.Start)
	case msg.call.Stop != nil:
		r.Run, r.Err = w.Stop(m.now, *msg.call.Stop)
	case msg.call.Throttle != nil:
		r.Err = w.Throttle(m.now, *msg.call.Throttle)
	}
	msg.answer = &r
	return msg, true
}

// check is the oracle.
func (m *model) check() {
	where := map[pv.TaskID]pv.WorkerID{}
	for i, w := range m.workers {
		var sum pv.Resources
		for _, a := range w.Running(m.now) {
			if other, ok := where[a.Task]; ok {
				m.t.Fatalf("task %s runs on %s and on %s", a.Task, other, w.Info.ID)
			}
			where[a.Task] = w.Info.ID
			if first, ok := m.places[a]; ok && first != i {
				m.t.Fatalf("attempt %v ran on worker %d and again on %d", a, first, i)
			}
			m.places[a] = i
			if outcome, ok := m.ended[a.Task]; ok {
				m.t.Fatalf("task %s runs on %s after it ended as %s: %+v", a.Task, w.Info.ID, outcome, w.Report(m.now))
			}
			sum = sum.Add(m.specs[a.Task].Size)
		}
		if !sum.Fits(m.capacity) {
			m.t.Fatalf("worker %s runs %v, holds %v", w.Info.ID, sum, m.capacity)
		}
	}
}

func (m *model) submit(size int64, runTime time.Duration) {
	for _, in := range m.instances {
		if in.paused || !in.holder.Holding(m.now) {
			continue
		}
		m.submitted++
		id := pv.TaskID(fmt.Sprintf("t%d", m.submitted))
		spec := pv.TaskSpec{
			ID: id, Plan: "p", Customer: "c", Kind: "k", Class: pv.Heavy, Retries: 1, RunTime: runTime,
			Size: pv.Resources{MilliCores: size, MemoryMB: size, Slots: 1},
		}
		m.specs[id] = spec
		in.holder.Propose(m.now, recorder.Record{Accept: &recorder.Accept{Spec: spec}}, nil)
	}
}

func (m *model) cancel(n int) {
	for _, in := range m.instances {
		if !in.paused && in.holder.Holding(m.now) {
			id := pv.TaskID(fmt.Sprintf("t%d", n))
			in.holder.Propose(m.now, recorder.Record{Cancel: &recorder.Cancel{Task: id}}, nil)
		}
	}
}

// settle lets everything work without faults until all tasks have ended.
func (m *model) settle() {
	m.outage = false
	m.log.SetFaults(standin.LogFaults{})
	for _, in := range m.instances {
		in.paused = false
		in.cutLog = false
		in.cutFrom = map[int]bool{}
	}
	const step = 100 * time.Millisecond
	for range int((modelAuthority + 300*time.Second) / step) {
		m.now = m.now.Add(step)
		m.replaceLeft()
		m.round()
		m.check()
		if m.allEnded() {
			return
		}
	}
	m.t.Fatalf("not all tasks ended: %s", m.describe()+m.views())
}

// views returns what the holder knows of its workers beside what they are.
func (m *model) views() string {
	text := ""
	for _, in := range m.instances {
		if in.scheduler == nil || !in.holder.Holding(m.now) {
			continue
		}
		for _, id := range in.scheduler.order {
			w := in.scheduler.workers[id]
			text += fmt.Sprintf("\n%s %s epoch=%d met=%v fresh=%v lapsed=%v lapsedAt=%s until=%s unanswered=%v call=%d pending=%v",
				in.name, id, w.epoch, w.met, w.fresh, w.lapsed, w.lapsedAt.Sub(m.now), w.until, w.unanswered, w.leaseCall, in.scheduler.pending)
		}
	}
	for _, w := range m.workers {
		text += fmt.Sprintf("\n%+v", w.Report(m.now))
	}
	return text
}

// replaceLeft starts a new process in place of each that has left, as the
// platform does. An instance may learn only now that it was superseded while
// it was leaving: a trace showed all three of them waiting to be replaced.
func (m *model) replaceLeft() {
	for _, in := range m.instances {
		if in.holder.Left() {
			m.boot(in)
		}
	}
}

func (m *model) round() {
	for _, in := range m.instances {
		m.run(in)
		jobs := in.jobs
		in.jobs = nil
		for _, j := range jobs {
			if j.result == nil {
				m.serve(in, &j, "")
			}
			m.finish(in, j)
		}
	}
	messages := m.messages
	m.messages = nil
	for _, msg := range messages {
		if msg.from.cutFrom[msg.worker] {
			continue
		}
		if back, ok := m.deliver(msg); ok && !msg.from.paused {
			m.deliver(back)
		}
	}
}

func (m *model) allEnded() bool {
	for _, in := range m.instances {
		if !in.holder.Holding(m.now) {
			continue
		}
		for _, t := range in.holder.Ledger().Tasks {
			if t.Phase != recorder.Ended {
				return false
			}
		}
		return true
	}
	return false
}

func (m *model) describe() string {
	for _, in := range m.instances {
		if in.holder.Holding(m.now) {
			data, _ := json.Marshal(in.holder.Ledger().State)
			return string(data)
		}
	}
	text := "no holder;"
	for _, in := range m.instances {
		l := in.holder.Ledger()
		text += fmt.Sprintf(" %s ready=%v next=%d term=%d closed=%v left=%v;", in.name, l.Ready(), l.Next(), l.Term, l.Closed, in.holder.Left())
	}
	b, _ := m.log.Read(context.Background(), modelCell, 0, 1)
	return fmt.Sprintf("%s horizon=%d", text, b.Horizon)
}
