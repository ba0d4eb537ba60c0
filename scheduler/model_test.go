package scheduler

// This file defines the model for the fuzz tests of a cell: several holders with
// one faulty log and a few fake workers. Messages are delayed, lost, duplicated or
// reordered at random. The oracle checks the state of the fake workers directly.

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
	modelLeaseDuration    = 4 * time.Second
	modelAuthorityTimeout = 10 * time.Second
	modelCell             = pv.StreamName("cell/a/0")
)

// firstFit places a task on the first worker with enough free capacity. It
// reserves reserveFactor times the task's size.
type firstFit struct{ reserveFactor int64 }

func (f firstFit) Reserve(spec pv.TaskSpec) pv.Resources { return spec.Size.Scale(f.reserveFactor, 1) }

func (f firstFit) Place(_ pv.TaskSpec, reserve pv.Resources, candidates []pv.Candidate) (int, bool) {
	for i, c := range candidates {
		if reserve.Fits(c.Free) {
			return i, true
		}
	}
	return 0, false
}

func (f firstFit) Observe(time.Time, pv.Observation) {}

// instance is a process that may hold the cell's term.
type instance struct {
	name               string
	incarnations       int
	holder             *holder.Core
	scheduler          *Core
	paused             bool
	operations         []logOperation // in flight; at most one unless the instance restarted
	logUnreachable     bool
	unreachableWorkers map[int]bool // by worker index
}

// logOperation is a log operation of one holder core.
type logOperation struct {
	owner  *holder.Core
	op     holder.LogOperation
	result *holder.LogOperationResult // nil until the log has served the operation
}

// message is a worker call in flight, or its answer if answer is set.
type message struct {
	instance *instance
	sender   *Core
	worker   int
	call     Call
	answer   *CallResult
}

// model is the state of a fuzzed cell.
type model struct {
	t                 *rapid.T
	now               time.Time
	log               *standin.Log
	instances         []*instance
	workers           []*standin.WorkerCore
	workerCapacity    pv.Resources
	delayedAppends    [][][]byte // appends that timed out but may still reach the log
	messages          []message
	submitted         int
	logOutage         bool
	schedulerSettings Settings
	holderSettings    holder.Settings
	placer            pv.Placer
	clockRates        []float64 // rates of the workers' clocks against real time
	specs             map[pv.TaskID]pv.TaskSpec
	attemptWorkers    map[pv.AttemptID]int     // index of the worker on which an attempt ran
	outcomes          map[pv.TaskID]pv.Outcome // of ended tasks
	statesByOffset    map[pv.Offset]string     // ledger state as JSON
	eventCounts       map[string]int
}

func newModel(t *rapid.T) *model {
	m := &model{
		t:                 t,
		now:               time.Unix(1_000_000, 0),
		log:               standin.NewLog(),
		workerCapacity:    pv.Resources{MilliCores: 3000, MemoryMB: 3000, Slots: 3},
		schedulerSettings: DefaultSettings(),
		holderSettings:    holder.DefaultSettings(),
		placer:            firstFit{reserveFactor: 1},
		clockRates:        []float64{1, 0.98, 1.02},
		specs:             map[pv.TaskID]pv.TaskSpec{},
		attemptWorkers:    map[pv.AttemptID]int{},
		outcomes:          map[pv.TaskID]pv.Outcome{},
		statesByOffset:    map[pv.Offset]string{},
		eventCounts:       map[string]int{},
	}
	m.schedulerSettings.LeaseDuration = modelLeaseDuration
	m.schedulerSettings.LeaseRenewalInterval = time.Second
	m.schedulerSettings.LapseMargin = 300 * time.Millisecond
	m.schedulerSettings.AuthorityTimeout = modelAuthorityTimeout
	m.schedulerSettings.CallTimeout = 1500 * time.Millisecond
	m.holderSettings.AuthorityTimeout = modelAuthorityTimeout
	m.holderSettings.MaxRecordInterval = 500 * time.Millisecond
	m.holderSettings.SuspicionTimeout = 2 * time.Second
	m.holderSettings.StaggerPerRank = 300 * time.Millisecond
	m.holderSettings.PollInterval = 300 * time.Millisecond
	m.holderSettings.AppendsPerSecond = 1000
	m.holderSettings.SnapshotInterval = 5 * time.Second
	return m
}

func (m *model) populate(instances, workers int) {
	for i := range instances {
		in := &instance{name: fmt.Sprintf("i%d", i), unreachableWorkers: map[int]bool{}}
		m.instances = append(m.instances, in)
		m.start(in)
	}
	for i := range workers {
		info := pv.WorkerInfo{ID: pv.WorkerID(fmt.Sprintf("w%d", i)), Address: netip.AddrPort{}, Capacity: m.workerCapacity}
		w := standin.NewWorkerCore(info, standin.DeclaredTruth{}, m.now)
		w.ClockRate = m.clockRates[i%len(m.clockRates)]
		w.CheckpointInterval = time.Second
		m.workers = append(m.workers, w)
	}
}

func (m *model) start(in *instance) {
	in.incarnations++
	s := m.holderSettings
	s.Incarnation = pv.Incarnation(fmt.Sprintf("%s.%d", in.name, in.incarnations))
	in.holder = holder.New(s, m.now)
	in.holder.SetCandidate(true, 0)
	in.scheduler = nil
}

func (m *model) workerInfos() []pv.WorkerInfo {
	var infos []pv.WorkerInfo
	for _, w := range m.workers {
		infos = append(infos, w.Info)
	}
	return infos
}

// runInstance takes the next log operation of an instance and, while it holds the term,
// ticks its scheduler.
func (m *model) runInstance(in *instance) {
	if in.paused {
		return
	}
	if op, ok := in.holder.Next(m.now); ok {
		in.operations = append(in.operations, logOperation{owner: in.holder, op: op})
	}
	if !in.holder.Holding(m.now) {
		// Keep the scheduler: a second one in the same term would restart the
		// lease epochs.
		return
	}
	if in.scheduler == nil || in.scheduler.term != in.holder.Term() {
		takenOverAt, cleanTakeover := in.holder.Takeover()
		in.scheduler = New(m.schedulerSettings, modelCell, in.holder.Ledger(), m.placer, in.holder.Propose, takenOverAt, cleanTakeover)
		in.scheduler.Configure(&pv.Configuration{}, func(string) (pv.Allowance, bool) {
			return pv.Allowance{Ceiling: m.workerCapacity.Scale(100, 1)}, true
		})
	}
	in.scheduler.SetWorkers(m.workerInfos())
	for _, c := range in.scheduler.Tick(m.now, in.holder.LogReachable(m.now)) {
		m.messages = append(m.messages, message{instance: in, sender: in.scheduler, worker: m.workerIndex(c.Worker.ID), call: c})
	}
}

func (m *model) workerIndex(id pv.WorkerID) int {
	for i, w := range m.workers {
		if w.Info.ID == id {
			return i
		}
	}
	return -1
}

// serveOperation lets the log serve an operation with the given fault:
//
//	lost  the append has no effect and fails
//	late  the append fails but may take effect later
//	ack   the append takes effect, but its acknowledgement is lost
//	read  the read fails
func (m *model) serveOperation(in *instance, o *logOperation, fault string) {
	cut := m.logOutage || in.logUnreachable
	r := &holder.LogOperationResult{}
	ctx := context.Background()
	if o.op.Append != nil {
		switch {
		case cut || fault == "lost":
			r.AppendErr = pv.ErrUnavailable
		case fault == "late":
			m.delayedAppends = append(m.delayedAppends, o.op.Append)
			r.AppendErr = pv.ErrUnavailable
		default:
			r.Appended, _ = m.log.Append(ctx, modelCell, o.op.Append)
			if fault == "ack" {
				r.AppendErr = pv.ErrUnavailable
			}
		}
	}
	if cut || fault == "read" {
		r.ReadErr = pv.ErrUnavailable
	} else {
		r.Batch, r.ReadErr = m.log.Read(ctx, modelCell, o.op.From, o.op.Limit)
	}
	o.result = r
}

// completeOperation returns a served operation to its instance and checks the ledger.
func (m *model) completeOperation(in *instance, o logOperation) {
	if o.owner != in.holder {
		return // of a former incarnation
	}
	for _, e := range in.holder.HandleResult(m.now, o.op, *o.result) {
		if in.scheduler != nil {
			in.scheduler.HandleLedgerEntry(e)
		}
		m.checkEntry(e)
	}
	m.checkState(in.holder.Ledger())
}

// checkEntry checks that a task ends only once, or with the same outcome.
func (m *model) checkEntry(e recorder.LedgerEntry) {
	if e.Verdict != recorder.Valid {
		return
	}
	if end := e.Record.End; end != nil {
		task := end.Attempt.Task
		if previous, ok := m.outcomes[task]; ok && previous != end.Outcome {
			m.t.Fatalf("task %s ended with outcome %s and later with %s", task, previous, end.Outcome)
		}
		m.outcomes[task] = end.Outcome
	}
}

// checkState checks that all readers have the same state at the same offset, and
// that every plan's account is balanced: each submitted task is counted as waiting,
// running or ended.
func (m *model) checkState(l *recorder.Ledger) {
	if !l.Ready() {
		return
	}
	data, err := json.Marshal(l.State)
	if err != nil {
		m.t.Fatal(err)
	}
	if previous, ok := m.statesByOffset[l.Next()]; ok && previous != string(data) {
		m.t.Fatalf("ledger states differ between readers at offset %d:\n%s\n%s", l.Next(), previous, data)
	}
	m.statesByOffset[l.Next()] = string(data)
	for plan, a := range l.Accounts {
		if imbalance := a.Imbalance(); imbalance != 0 {
			m.t.Fatalf("account of plan %s: got imbalance %d, want 0", plan, imbalance)
		}
	}
}

// deliver delivers a call to its worker and returns the answer as a message, or
// delivers an answer to its scheduler.
func (m *model) deliver(msg message) (message, bool) {
	if msg.answer != nil {
		msg.sender.HandleResult(m.now, *msg.answer)
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

// checkRuns is the oracle: no task runs on two workers, no attempt changes its
// worker, no ended task runs, and no worker runs more than its capacity.
func (m *model) checkRuns() {
	runningOn := map[pv.TaskID]pv.WorkerID{}
	for i, w := range m.workers {
		var sum pv.Resources
		for _, a := range w.Running(m.now) {
			if other, ok := runningOn[a.Task]; ok {
				m.t.Fatalf("task %s runs on %s and on %s", a.Task, other, w.Info.ID)
			}
			runningOn[a.Task] = w.Info.ID
			if first, ok := m.attemptWorkers[a]; ok && first != i {
				m.t.Fatalf("attempt %v ran on worker %d and again on %d", a, first, i)
			}
			m.attemptWorkers[a] = i
			if outcome, ok := m.outcomes[a.Task]; ok {
				m.t.Fatalf("task %s runs on %s after it ended as %s: %+v", a.Task, w.Info.ID, outcome, w.Report(m.now))
			}
			sum = sum.Add(m.specs[a.Task].Size)
		}
		if !sum.Fits(m.workerCapacity) {
			m.t.Fatalf("worker %s runs tasks with a total size of %v, above its capacity of %v", w.Info.ID, sum, m.workerCapacity)
		}
	}
}

// submit proposes a task to every instance that holds the term.
func (m *model) submit(size int64, runTime time.Duration) {
	for _, in := range m.instances {
		if in.paused || !in.holder.Holding(m.now) {
			continue
		}
		m.submitted++
		id := pv.TaskID(fmt.Sprintf("t%d", m.submitted))
		spec := pv.TaskSpec{
			ID: id, Plan: "p", Customer: "c", Kind: "k", Class: pv.ClassHeavy, RetryLimit: 1, RunTime: runTime,
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

// runUntilAllEnded runs the model without faults until all tasks have ended.
func (m *model) runUntilAllEnded() {
	m.logOutage = false
	m.log.SetFaults(standin.LogFaults{})
	for _, in := range m.instances {
		in.paused = false
		in.logUnreachable = false
		in.unreachableWorkers = map[int]bool{}
	}
	const step = 100 * time.Millisecond
	for range int((modelAuthorityTimeout + 300*time.Second) / step) {
		m.now = m.now.Add(step)
		m.restartHandedOver()
		m.runRound()
		m.checkRuns()
		if m.allEnded() {
			return
		}
	}
	m.t.Fatalf("not all tasks ended: %s", m.describeLedger()+m.describeWorkers())
}

// describeWorkers returns the holder's state of each worker and the workers' own
// reports.
func (m *model) describeWorkers() string {
	text := ""
	for _, in := range m.instances {
		if in.scheduler == nil || !in.holder.Holding(m.now) {
			continue
		}
		for _, id := range in.scheduler.workerIDs {
			w := in.scheduler.workers[id]
			text += fmt.Sprintf("\n%s %s epoch=%d reportedInEpoch=%v reportCurrent=%v lapsed=%v leaseLapsesIn=%s leaseEnd=%s renewalUnanswered=%v leaseCallID=%d pending=%v",
				in.name, id, w.epoch, w.reportedInEpoch, w.reportCurrent, w.lapsed, w.leaseLapsedAt.Sub(m.now), w.leaseEnd, w.renewalUnanswered, w.leaseCallID, in.scheduler.pending)
		}
	}
	for _, w := range m.workers {
		text += fmt.Sprintf("\n%+v", w.Report(m.now))
	}
	return text
}

// restartHandedOver restarts every instance that was asked to hand over and doesn't
// hold the term any more, as the platform does. While faults are injected, an instance
// in handover may be unable to read from the log that its term was superseded; it then
// completes its handover only here. Without the restarts, one trace ended with all
// three instances out of service.
func (m *model) restartHandedOver() {
	for _, in := range m.instances {
		if in.holder.HandoverDone() {
			m.start(in)
		}
	}
}

// runRound runs every instance once, without log faults, and delivers all
// messages to reachable workers.
func (m *model) runRound() {
	for _, in := range m.instances {
		m.runInstance(in)
		operations := in.operations
		in.operations = nil
		for _, o := range operations {
			if o.result == nil {
				m.serveOperation(in, &o, "")
			}
			m.completeOperation(in, o)
		}
	}
	messages := m.messages
	m.messages = nil
	for _, msg := range messages {
		if msg.instance.unreachableWorkers[msg.worker] {
			continue
		}
		if answer, ok := m.deliver(msg); ok && !msg.instance.paused {
			m.deliver(answer)
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

// describeLedger returns the holder's ledger, or the state of all instances and
// the log if none holds the term.
func (m *model) describeLedger() string {
	for _, in := range m.instances {
		if in.holder.Holding(m.now) {
			data, _ := json.Marshal(in.holder.Ledger().State)
			return string(data)
		}
	}
	text := "no holder;"
	for _, in := range m.instances {
		l := in.holder.Ledger()
		text += fmt.Sprintf(" %s ready=%v next=%d term=%d closed=%v left=%v;", in.name, l.Ready(), l.Next(), l.Term, l.HandedOver, in.holder.HandoverDone())
	}
	b, _ := m.log.Read(context.Background(), modelCell, 0, 1)
	return fmt.Sprintf("%s horizon=%d", text, b.OldestOffset)
}
