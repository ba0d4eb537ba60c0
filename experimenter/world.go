package experimenter

// This file defines one run: a virtual clock, an event queue, and the product's
// cores between the fakes.

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

var epoch = time.Unix(1_000_000, 0)

// Sizes and intervals of the harness.
const (
	workerCount    = 11
	racksOf        = 3
	cellName       = pv.StreamName("cell/a/0")
	logDelay       = 5 * time.Millisecond // one way
	workerDelay    = time.Millisecond
	tickEvery      = 100 * time.Millisecond
	populateAfter  = 10 * time.Second // the cell is held by then
	advanceEvery   = 500 * time.Millisecond
	quickPerSecond = 150.0
	heavyPerSecond = 0.14
	noisyPerSecond = 0.05
	rushPerSecond  = 0.2
)

var workerCapacity = pv.Resources{MilliCores: 32000, MemoryMB: 125000, Slots: 8}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world is one run of one scenario under one policy.
type world struct {
	site     site
	scenario scenario
	policy   policy
	now      time.Time
	random   *rand.Rand
	queue    events
	seq      int

	truth       *truth
	config      *pv.Configuration
	log         *standin.Log
	workers     map[pv.WorkerID]*standin.WorkerCore
	infos       []pv.WorkerInfo
	down        map[pv.WorkerID]bool
	outage      bool
	remoteRacks int // racks that stand in the other region

	holder    *holder.Core
	scheduler *scheduler.Core
	placer    pv.Placer
	admission *admitter.Core
	routing   *router.Core
	retries   *retrier.Core
	choose    chooser

	servers   map[string]*server
	submitted map[pv.TaskID]time.Time
	counts    map[string]int
	results   *results
}

func newWorld(s site, sc scenario, p policy, seed uint64) *world {
	w := &world{
		site: s, scenario: sc, policy: p, now: epoch,
		random:    rand.New(rand.NewPCG(seed, 1)),
		truth:     newTruth(sc.off),
		config:    configuration(s),
		log:       standin.NewLog(),
		workers:   map[pv.WorkerID]*standin.WorkerCore{},
		down:      map[pv.WorkerID]bool{},
		servers:   map[string]*server{},
		submitted: map[pv.TaskID]time.Time{},
		counts:    map[string]int{},
		results:   newResults(),
	}
	if sc.setUp != nil {
		sc.setUp(w)
	}
	w.addWorkers()
	w.addCores(seed)
	return w
}

func (w *world) addWorkers() {
	for i := range workerCount {
		rack := i / racksOf
		place := pv.Place{Region: "near", Zone: "a", Rack: fmt.Sprintf("rack-%d", rack)}
		if rack < w.remoteRacks {
			place.Region, place.Zone = "far", "z"
		}
		info := pv.WorkerInfo{ID: pv.WorkerID(fmt.Sprintf("w%02d", i)), Place: place, Capacity: workerCapacity}
		w.infos = append(w.infos, info)
		w.workers[info.ID] = standin.NewWorkerCore(info, w.truth, w.now)
	}
}

func (w *world) addCores(seed uint64) {
	hs := holder.DefaultSettings()
	hs.Me, hs.Member = "holder", "holder"
	w.holder = holder.New(hs, w.now)
	w.holder.SetCandidate(true, 0)
	w.admission = admitter.New(admitter.DefaultSettings())
	w.admission.Configure(w.now, w.config, 1)
	self := pv.Member{Name: "entry", Place: pv.Place{Region: "near", Zone: "a"}}
	w.routing = router.New(router.DefaultSettings(), self, rand.New(rand.NewPCG(seed, 2)))
	w.retries = retrier.New(retrier.DefaultSettings(), rand.New(rand.NewPCG(seed, 3)))
	w.placer = w.policy.placer(w)
	w.choose = w.policy.route(w)
}

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, do: f})
}

// every runs f now and then for the whole run.
func (w *world) every(d time.Duration, f func()) {
	w.after(d, func() {
		f()
		w.every(d, f)
	})
}

// arrivals runs f at random times with a mean rate.
func (w *world) arrivals(perSecond func() float64, f func()) {
	w.after(w.exponential(1/perSecond()), func() {
		f()
		w.arrivals(perSecond, f)
	})
}

func (w *world) exponential(seconds float64) time.Duration {
	return time.Duration(w.random.ExpFloat64() * seconds * float64(time.Second))
}

// run lets the world run and returns its results.
func (w *world) run() *results {
	w.every(tickEvery, w.tick)
	w.every(advanceEvery, w.advance)
	w.every(time.Second, w.sample)
	w.after(populateAfter, w.populate)
	w.arrivals(func() float64 { return quickPerSecond }, func() { w.arrive(planService) })
	for _, a := range w.scenario.at {
		w.after(warmUp+a.at, func() { a.do(w) })
	}
	w.after(warmUp, func() { w.results.begin(w) })
	end := epoch.Add(warmUp + measured)
	for w.queue.Len() > 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at.After(end) {
			break
		}
		w.now = e.at
		e.do()
	}
	w.now = end
	w.results.end(w)
	return w.results
}

// populate submits the standing load and starts the arrivals of tasks.
func (w *world) populate() {
	for range workerCount {
		w.submit(planService)
	}
	for range 8 {
		w.submit(planStanding)
	}
	for range 70 {
		w.submit(planHeavy)
	}
	fixed := func(rate float64) func() float64 { return func() float64 { return rate } }
	w.arrivals(fixed(heavyPerSecond), func() { w.submit(planHeavy) })
	w.arrivals(fixed(noisyPerSecond), func() { w.submit(planVillage) })
	w.arrivals(fixed(rushPerSecond), func() { w.submit(planUrgent) })
}

func (w *world) submit(name string) {
	plan, _ := w.config.PlanByName(name)
	w.counts[name]++
	id := pv.TaskID(fmt.Sprintf("%s-%05d", name, w.counts[name]))
	w.submitted[id] = w.now
	w.holder.Propose(w.now, recorder.Record{Accept: &recorder.Accept{Spec: pv.TaskSpec{
		ID: id, Plan: name, Customer: plan.Customer, Kind: plan.TaskKind, Class: plan.Class,
		Size: plan.Size, RunTime: plan.RunTime, Retries: plan.RetryLimit, Submitted: w.now,
	}}}, nil)
}

// flood submits many tasks of a plan within ten seconds.
func (w *world) flood(plan string, n int) {
	for i := range n {
		w.after(time.Duration(i)*10*time.Second/time.Duration(n), func() { w.submit(plan) })
	}
}

// floodQuick sends quick requests of another plan for some time.
func (w *world) floodQuick(perSecond float64, until time.Time) {
	w.after(w.exponential(1/perSecond), func() {
		w.arrive(planQuickFlood)
		if w.now.Before(until) {
			w.floodQuick(perSecond, until)
		}
	})
}

// cancelHalf cancels every second task of the heavy plan that hasn't ended.
func (w *world) cancelHalf() {
	for i, t := range w.holder.Ledger().SortedTasks() {
		if t.Spec.Plan == planHeavy && t.Phase != recorder.Ended && i%2 == 0 {
			w.holder.Propose(w.now, recorder.Record{Cancel: &recorder.Cancel{Task: t.Spec.ID}}, nil)
		}
	}
}

func (w *world) failAll(n int, fail bool) {
	for _, info := range w.infos[:n] {
		w.workers[info.ID].FailAll = fail
	}
}

// rackDown cuts a rack off; its workers come back empty.
func (w *world) rackDown(rack int, down bool) {
	for _, info := range w.infos {
		if info.Place.Rack != fmt.Sprintf("rack-%d", rack) {
			continue
		}
		w.down[info.ID] = down
		if !down {
			w.workers[info.ID].Restart(w.now)
		}
	}
}

// tick lets the holder and the scheduler work.
func (w *world) tick() {
	w.admission.Expire(w.now)
	w.driveLog()
	if !w.holder.Holding(w.now) {
		return
	}
	if w.scheduler == nil {
		w.takeOver()
	}
	for _, call := range w.scheduler.Tick(w.now, w.holder.Writable(w.now)) {
		w.after(workerDelay, func() { w.serveCall(call) })
	}
	w.driveLog()
}

func (w *world) takeOver() {
	settings := scheduler.DefaultSettings()
	settings.Passive = w.policy.passive
	from, clean := w.holder.TakenOver()
	w.scheduler = scheduler.New(settings, cellName, w.holder.Ledger(), w.placer, w.holder.Propose, from, clean)
	w.scheduler.SetFleet(w.infos)
	w.scheduler.Configure(w.config, func(plan string) (pv.Allowance, bool) { return w.config.AllowanceOf(plan) })
}

// driveLog hands the holder's next job to the fake log.
func (w *world) driveLog() {
	job, ok := w.holder.Next(w.now)
	if !ok {
		return
	}
	w.after(2*logDelay, func() {
		r := holder.JobResult{AppendErr: pv.ErrUnavailable, ReadErr: pv.ErrUnavailable}
		if !w.outage {
			ctx := context.Background()
			r.AppendErr = nil
			if job.Append != nil {
				r.Appended, r.AppendErr = w.log.Append(ctx, cellName, job.Append)
			}
			r.Batch, r.ReadErr = w.log.Read(ctx, cellName, job.From, job.Limit)
		}
		for _, e := range w.holder.Done(w.now, job, r) {
			if w.scheduler != nil {
				w.scheduler.Note(e)
			}
		}
		w.driveLog()
	})
}

// serveCall lets a worker serve a call; one that is down never answers.
func (w *world) serveCall(call scheduler.Call) {
	if w.down[call.Worker.ID] {
		return
	}
	worker := w.workers[call.Worker.ID]
	r := scheduler.CallResult{ID: call.ID}
	switch {
	case call.Lease != nil:
		r.Report, r.Err = worker.Lease(w.now, *call.Lease)
	case call.Start != nil:
		r.Err = worker.Start(w.now, *call.Start)
		w.started(call.Start.Attempt, r.Err)
	case call.Stop != nil:
		r.Run, r.Err = worker.Stop(w.now, *call.Stop)
	case call.Throttle != nil:
		r.Err = worker.Throttle(w.now, *call.Throttle)
	}
	w.after(workerDelay, func() { w.scheduler.Answer(w.now, r) })
}

// started notes the delay of an urgent task's first start.
func (w *world) started(a pv.AttemptID, err error) {
	t, ok := w.holder.Ledger().Tasks[a.Task]
	if err == nil && ok && a.Attempt == 1 && t.Spec.Plan == planUrgent && w.results.measuring {
		w.results.urgentStart.RecordValue(w.now.Sub(w.submitted[a.Task]).Milliseconds())
	}
}

// advance moves the workers on and finds the endpoints that run now.
func (w *world) advance() {
	var members []pv.Member
	seen := map[string]bool{}
	for i, info := range w.infos {
		worker := w.workers[info.ID]
		for _, a := range worker.Running(w.now) {
			t, ok := w.holder.Ledger().Tasks[a.Task]
			if !ok || t.Spec.Plan != planService || w.down[info.ID] {
				continue
			}
			name := fmt.Sprintf("%s#%d", a.Task, a.Attempt)
			seen[name] = true
			w.updateServer(name, info, worker, a)
			members = append(members, pv.Member{
				Name: name, Role: pv.RoleAgent, Service: serviceName, Place: info.Place, Incarnation: pv.Incarnation(name),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1),
			})
		}
	}
	for name, s := range w.servers {
		if !seen[name] {
			s.vanish(w)
			delete(w.servers, name)
		}
	}
	w.routing.SetMembers(w.now, members)
	if !w.policy.passive {
		w.admission.SetPlaces(w.now, 2*w.routing.Slots(w.now))
	}
	for _, e := range w.routing.Endpoints() {
		s := w.servers[e.Member.Name]
		w.routing.Report(w.now, e.Member.Name, s.busy+len(s.queue), endpointSlots, false)
	}
}
