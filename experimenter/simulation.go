package experimenter

// This file defines the simulation of one run: a virtual clock, an event queue,
// and the product's components connected to the fakes.

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/admitter"
	"persimmonvalve/holder"
	"persimmonvalve/recorder"
	"persimmonvalve/retrier"
	"persimmonvalve/router"
	"persimmonvalve/scheduler"
	"persimmonvalve/standin"
)

// startTime is the virtual time at which every simulation starts.
var startTime = time.Unix(1_000_000, 0)

// Sizes, delays, intervals and rates of every simulation.
const (
	workerCount             = 11
	workersPerRack          = 3
	cellName                = pv.StreamName("cell/a/0")
	logDelay                = 5 * time.Millisecond // one way
	workerDelay             = time.Millisecond     // one way
	tickInterval            = 100 * time.Millisecond
	initialLoadDelay        = 10 * time.Second // by then the holder holds the cell's term
	endpointRefreshInterval = 500 * time.Millisecond
	requestsPerSecond       = 150.0
	heavyTasksPerSecond     = 0.14
	noisyTasksPerSecond     = 0.05
	urgentTasksPerSecond    = 0.2
)

var workerCapacity = pv.Resources{MilliCores: 32000, MemoryMB: 125000, Slots: 8}

// event is a function that runs at a virtual time.
type event struct {
	at  time.Time
	seq int // breaks ties in the order of scheduling
	run func()
}

// eventQueue is a heap of events ordered by time, then by sequence number.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is one run of one scenario on one site under one policy.
type simulation struct {
	site     site
	scenario scenario
	policy   policy
	now      time.Time
	rng      *rand.Rand
	queue    eventQueue
	seq      int

	truth       *groundTruth
	config      *pv.Configuration
	log         *standin.Log
	workers     map[pv.WorkerID]*standin.WorkerCore
	fleet       []pv.WorkerInfo
	workerDown  map[pv.WorkerID]bool
	logOutage   bool
	remoteRacks int // number of racks in the other region

	holder         *holder.Core
	scheduler      *scheduler.Core
	placer         pv.Placer
	admitter       *admitter.Core
	router         *router.Core
	retrier        *retrier.Core
	chooseEndpoint endpointChooser

	endpoints      map[string]*fakeEndpoint // by endpoint name
	submittedAt    map[pv.TaskID]time.Time
	submittedCount map[string]int // by plan
	results        *results
}

func newSimulation(s site, sc scenario, p policy, seed uint64) *simulation {
	sim := &simulation{
		site: s, scenario: sc, policy: p, now: startTime,
		rng:            rand.New(rand.NewPCG(seed, 1)),
		truth:          newGroundTruth(sc.declarationError),
		config:         configuration(s),
		log:            standin.NewLog(),
		workers:        map[pv.WorkerID]*standin.WorkerCore{},
		workerDown:     map[pv.WorkerID]bool{},
		endpoints:      map[string]*fakeEndpoint{},
		submittedAt:    map[pv.TaskID]time.Time{},
		submittedCount: map[string]int{},
		results:        newResults(),
	}
	if sc.setUp != nil {
		sc.setUp(sim)
	}
	sim.addWorkers()
	sim.addComponents(seed)
	return sim
}

func (sim *simulation) addWorkers() {
	for i := range workerCount {
		rack := i / workersPerRack
		location := pv.Location{Region: "near", Zone: "a", Rack: fmt.Sprintf("rack-%d", rack)}
		if rack < sim.remoteRacks {
			location.Region, location.Zone = "far", "z"
		}
		info := pv.WorkerInfo{ID: pv.WorkerID(fmt.Sprintf("w%02d", i)), Location: location, Capacity: workerCapacity}
		sim.fleet = append(sim.fleet, info)
		sim.workers[info.ID] = standin.NewWorkerCore(info, sim.truth, sim.now)
	}
}

func (sim *simulation) addComponents(seed uint64) {
	hs := holder.DefaultSettings()
	hs.Incarnation, hs.Member = "holder", "holder"
	sim.holder = holder.New(hs, sim.now)
	sim.holder.SetCandidate(true, 0)
	sim.admitter = admitter.New(admitter.DefaultSettings())
	sim.admitter.Configure(sim.now, sim.config, 1)
	self := pv.Member{Name: "entry", Location: pv.Location{Region: "near", Zone: "a"}}
	sim.router = router.New(router.DefaultSettings(), self, rand.New(rand.NewPCG(seed, 2)))
	sim.retrier = retrier.New(retrier.DefaultSettings(), rand.New(rand.NewPCG(seed, 3)))
	sim.placer = sim.policy.newPlacer(sim)
	sim.chooseEndpoint = sim.policy.newChooser(sim)
}

// after schedules f in d of virtual time.
func (sim *simulation) after(d time.Duration, f func()) {
	sim.seq++
	heap.Push(&sim.queue, event{at: sim.now.Add(d), seq: sim.seq, run: f})
}

// every runs f at intervals of d until the end of the run.
func (sim *simulation) every(d time.Duration, f func()) {
	sim.after(d, func() {
		f()
		sim.every(d, f)
	})
}

// poissonArrivals runs f as a Poisson process with the rate perSecond().
func (sim *simulation) poissonArrivals(perSecond func() float64, f func()) {
	sim.after(sim.exponentialDelay(1/perSecond()), func() {
		f()
		sim.poissonArrivals(perSecond, f)
	})
}

// exponentialDelay returns an exponentially distributed delay with the given mean.
func (sim *simulation) exponentialDelay(meanSeconds float64) time.Duration {
	return time.Duration(sim.rng.ExpFloat64() * meanSeconds * float64(time.Second))
}

// run processes events until the end of the measured time and returns the results.
func (sim *simulation) run() *results {
	sim.every(tickInterval, sim.tick)
	sim.every(endpointRefreshInterval, sim.refreshEndpoints)
	sim.every(time.Second, sim.sampleGuarantees)
	sim.after(initialLoadDelay, sim.startLoad)
	sim.poissonArrivals(func() float64 { return requestsPerSecond }, func() { sim.sendRequest(planService) })
	for _, a := range sim.scenario.actions {
		sim.after(warmUpDuration+a.offset, func() { a.run(sim) })
	}
	sim.after(warmUpDuration, func() { sim.results.startMeasurement(sim) })
	end := startTime.Add(warmUpDuration + measuredDuration)
	for sim.queue.Len() > 0 {
		e := heap.Pop(&sim.queue).(event)
		if e.at.After(end) {
			break
		}
		sim.now = e.at
		e.run()
	}
	sim.now = end
	sim.results.endMeasurement(sim)
	return sim.results
}

// startLoad submits the initial tasks and starts the arrivals of others.
func (sim *simulation) startLoad() {
	for range workerCount {
		sim.submitTask(planService)
	}
	for range 8 {
		sim.submitTask(planStanding)
	}
	for range 70 {
		sim.submitTask(planHeavy)
	}
	constantRate := func(rate float64) func() float64 { return func() float64 { return rate } }
	sim.poissonArrivals(constantRate(heavyTasksPerSecond), func() { sim.submitTask(planHeavy) })
	sim.poissonArrivals(constantRate(noisyTasksPerSecond), func() { sim.submitTask(planNoisy) })
	sim.poissonArrivals(constantRate(urgentTasksPerSecond), func() { sim.submitTask(planUrgent) })
}

func (sim *simulation) submitTask(name string) {
	plan, _ := sim.config.PlanByName(name)
	sim.submittedCount[name]++
	id := pv.TaskID(fmt.Sprintf("%s-%05d", name, sim.submittedCount[name]))
	sim.submittedAt[id] = sim.now
	sim.holder.Propose(sim.now, recorder.Record{Accept: &recorder.Accept{Spec: pv.TaskSpec{
		ID: id, Plan: name, Customer: plan.Customer, Kind: plan.TaskKind, Class: plan.Class,
		Size: plan.Size, RunTime: plan.RunTime, RetryLimit: plan.RetryLimit, SubmittedAt: sim.now,
	}}}, nil)
}

// floodTasks submits n tasks of a plan at even intervals within 10 s.
func (sim *simulation) floodTasks(plan string, n int) {
	for i := range n {
		sim.after(time.Duration(i)*10*time.Second/time.Duration(n), func() { sim.submitTask(plan) })
	}
}

// floodRequests sends requests of the flood plan until the given time.
func (sim *simulation) floodRequests(perSecond float64, until time.Time) {
	sim.after(sim.exponentialDelay(1/perSecond), func() {
		sim.sendRequest(planRequestFlood)
		if sim.now.Before(until) {
			sim.floodRequests(perSecond, until)
		}
	})
}

// cancelHalfOfHeavyTasks cancels about half of the tasks of planHeavy that haven't
// ended: those at even positions among the sorted tasks of the ledger.
func (sim *simulation) cancelHalfOfHeavyTasks() {
	for i, t := range sim.holder.Ledger().SortedTasks() {
		if t.Spec.Plan == planHeavy && t.Phase != recorder.Ended && i%2 == 0 {
			sim.holder.Propose(sim.now, recorder.Record{Cancel: &recorder.Cancel{Task: t.Spec.ID}}, nil)
		}
	}
}

// setFailAll sets whether all tasks fail on the first n workers.
func (sim *simulation) setFailAll(n int, fail bool) {
	for _, info := range sim.fleet[:n] {
		sim.workers[info.ID].FailAll = fail
	}
}

// setRackDown disconnects the workers of a rack, or reconnects them. On
// reconnection they restart without their former runs.
func (sim *simulation) setRackDown(rack int, down bool) {
	for _, info := range sim.fleet {
		if info.Location.Rack != fmt.Sprintf("rack-%d", rack) {
			continue
		}
		sim.workerDown[info.ID] = down
		if !down {
			sim.workers[info.ID].Restart(sim.now)
		}
	}
}

// tick runs the periodic work of admission, holder and scheduler.
func (sim *simulation) tick() {
	sim.admitter.Expire(sim.now)
	sim.runLogOperation()
	if !sim.holder.Holding(sim.now) {
		return
	}
	if sim.scheduler == nil {
		sim.startScheduler()
	}
	for _, call := range sim.scheduler.Tick(sim.now, sim.holder.LogReachable(sim.now)) {
		sim.after(workerDelay, func() { sim.serveCall(call) })
	}
	sim.runLogOperation()
}

// startScheduler creates the scheduler once the holder holds the cell's term.
func (sim *simulation) startScheduler() {
	settings := scheduler.DefaultSettings()
	settings.DisableMitigation = sim.policy.noMitigation
	takenOverAt, cleanTakeover := sim.holder.Takeover()
	sim.scheduler = scheduler.New(settings, cellName, sim.holder.Ledger(), sim.placer, sim.holder.Propose, takenOverAt, cleanTakeover)
	sim.scheduler.SetWorkers(sim.fleet)
	sim.scheduler.Configure(sim.config, func(plan string) (pv.Allowance, bool) { return sim.config.AllowanceOf(plan) })
}

// runLogOperation runs the holder's next operation on the fake log, with a round
// trip of 2 * logDelay, and then those that follow.
func (sim *simulation) runLogOperation() {
	op, ok := sim.holder.Next(sim.now)
	if !ok {
		return
	}
	sim.after(2*logDelay, func() {
		r := holder.LogOperationResult{AppendErr: pv.ErrUnavailable, ReadErr: pv.ErrUnavailable}
		if !sim.logOutage {
			ctx := context.Background()
			r.AppendErr = nil
			if op.Append != nil {
				r.Appended, r.AppendErr = sim.log.Append(ctx, cellName, op.Append)
			}
			r.Batch, r.ReadErr = sim.log.Read(ctx, cellName, op.From, op.Limit)
		}
		for _, e := range sim.holder.HandleResult(sim.now, op, r) {
			if sim.scheduler != nil {
				sim.scheduler.HandleLedgerEntry(e)
			}
		}
		sim.runLogOperation()
	})
}

// serveCall runs a scheduler's call on its worker; a worker that is down doesn't
// answer.
func (sim *simulation) serveCall(call scheduler.Call) {
	if sim.workerDown[call.Worker.ID] {
		return
	}
	worker := sim.workers[call.Worker.ID]
	r := scheduler.CallResult{ID: call.ID}
	switch {
	case call.Lease != nil:
		r.Report, r.Err = worker.Lease(sim.now, *call.Lease)
	case call.Start != nil:
		r.Err = worker.Start(sim.now, *call.Start)
		sim.recordUrgentStart(call.Start.Attempt, r.Err)
	case call.Stop != nil:
		r.Run, r.Err = worker.Stop(sim.now, *call.Stop)
	case call.Throttle != nil:
		r.Err = worker.Throttle(sim.now, *call.Throttle)
	}
	sim.after(workerDelay, func() { sim.scheduler.HandleResult(sim.now, r) })
}

// recordUrgentStart records the time from submission to the first start of a task
// of the urgent plan.
func (sim *simulation) recordUrgentStart(a pv.AttemptID, err error) {
	t, ok := sim.holder.Ledger().Tasks[a.Task]
	if err == nil && ok && a.Attempt == 1 && t.Spec.Plan == planUrgent && sim.results.measuring {
		sim.results.urgentStart.RecordValue(sim.now.Sub(sim.submittedAt[a.Task]).Milliseconds())
	}
}

// refreshEndpoints advances the workers, keeps one endpoint for each service task
// that runs on a worker that isn't down, and updates router and admission with them.
func (sim *simulation) refreshEndpoints() {
	var members []pv.Member
	seen := map[string]bool{}
	for i, info := range sim.fleet {
		worker := sim.workers[info.ID]
		for _, a := range worker.Running(sim.now) {
			t, ok := sim.holder.Ledger().Tasks[a.Task]
			if !ok || t.Spec.Plan != planService || sim.workerDown[info.ID] {
				continue
			}
			name := fmt.Sprintf("%s#%d", a.Task, a.Attempt)
			seen[name] = true
			sim.updateEndpoint(name, info, worker, a)
			members = append(members, pv.Member{
				Name: name, Role: pv.RoleAgent, Service: serviceName, Location: info.Location, Incarnation: pv.Incarnation(name),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1),
			})
		}
	}
	for name, fe := range sim.endpoints {
		if !seen[name] {
			fe.stop(sim)
			delete(sim.endpoints, name)
		}
	}
	sim.router.SetMembers(sim.now, members)
	if !sim.policy.noMitigation {
		sim.admitter.SetConcurrencyLimit(sim.now, 2*sim.router.TotalSlots(sim.now))
	}
	for _, e := range sim.router.Endpoints() {
		fe := sim.endpoints[e.Member.Name]
		sim.router.Report(sim.now, e.Member.Name, fe.busySlots+len(fe.queue), slotsPerEndpoint, false)
	}
}
