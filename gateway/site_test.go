package gateway_test

// This file defines the harness of a site in memory: real gateways, leaders and
// supervisors over pipes, and fakes of the store and the workers with injected faults,
// under the fake clock of a synctest bubble. The oracle records runs at the workers;
// the harness records the callers' answers.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/gateway"
	"persimmonvalve/internal/pipenet"
	"persimmonvalve/leader"
	"persimmonvalve/planner"
	"persimmonvalve/platform"
	"persimmonvalve/standin"
	"persimmonvalve/supervisor"
)

const (
	gatewayCount      = 3
	workerCount       = 4
	taskRunTime       = 700 * time.Millisecond
	taskMilliCores    = 4000
	workerMilliCores  = 16000
	heartbeatInterval = time.Second
)

var siteQueue = pv.Queue{Name: "q", Service: "s", MaxAttempts: 3, DeadlineFactor: 2, Grace: time.Second}

// process is a gateway with its leader candidate, or a supervisor.
type process struct {
	name       string
	cancel     context.CancelFunc
	stop       func(context.Context) error
	gateway    *gateway.Gateway
	leader     *leader.Leader
	deregister func(pv.Deregistration) // passes a worker's deregistration to its supervisor
}

// siteHarness is a site in memory with its callers' answers.
type siteHarness struct {
	t          *testing.T
	network    *pipenet.Network
	store      *standin.KeyedStore
	runAudit   *standin.RunAudit
	workers    []*standin.JobWorker
	lastSerial int // number of the last started process or new worker id
	logger     *zap.Logger

	mu          sync.Mutex
	gateways    []*process
	supervisors []*process
	jobs        map[pv.JobID]pv.Job
	accepted    map[pv.JobID]bool
	refused     map[pv.JobID]bool // at least one attempt was refused
	notRefused  map[pv.JobID]bool // at least one attempt wasn't refused
	stopped     chan struct{}
	// storeCallHangs, if not nil, reports whether a process's reads of a topic or appends to
	// it get no answer and have no effect.
	storeCallHangs func(process string, topic pv.Topic, appends bool) bool
	// startHangs, if not nil, reports whether a job's starts have no effect. They get the answer
	// startAnswer after startAnswerDelay, or none.
	startHangs  func(pv.JobID) bool
	startAnswer pv.StartAnswer
	lastStart   map[pv.JobID]time.Time // when the last start call of a job began

	evacuationBound time.Duration // if positive, gateways follow the operator's evacuations
	acceptedStarts  [][]time.Time // by worker: when each start that it accepted was sent

	injectionMu   sync.Mutex // not held while others wait: some tests replace processes under mu
	lastInjection int
	injections    map[int]injection         // in effect, by number
	processAt     map[netip.AddrPort]string // by address of its listener
	delaysLinks   bool                      // links are opened as delayedConn
}

func newSiteHarness(t *testing.T, seed uint64) *siteHarness {
	return newSiteHarnessOfSize(t, seed, workerCount)
}

func newSiteHarnessOfSize(t *testing.T, seed uint64, workers int) *siteHarness {
	return newSiteHarnessOfCapacity(t, seed, workers, workerMilliCores)
}

// newSiteHarnessOfCapacity returns a site whose workers have the given capacity each.
func newSiteHarnessOfCapacity(t *testing.T, seed uint64, workers int, milliCores int64) *siteHarness {
	return newSiteHarnessInZones(t, seed, workers, milliCores, nil, 0)
}

// newSiteHarnessInZones returns a site whose workers are spread over the zones, and whose
// gateways follow evacuations if there is a bound for them.
func newSiteHarnessInZones(t *testing.T, seed uint64, workers int, milliCores int64, zones []string, evacuationBound time.Duration) *siteHarness {
	s := &siteHarness{
		evacuationBound: evacuationBound, acceptedStarts: make([][]time.Time, workers),
		t: t, network: pipenet.New(), store: standin.NewKeyedStore(seed), logger: testLogger(),
		jobs: map[pv.JobID]pv.Job{}, accepted: map[pv.JobID]bool{}, refused: map[pv.JobID]bool{}, notRefused: map[pv.JobID]bool{},
		stopped: make(chan struct{}), lastStart: map[pv.JobID]time.Time{}, injections: map[int]injection{}, processAt: map[netip.AddrPort]string{},
	}
	s.runAudit = standin.NewRunAudit(s.predecessors)
	for i := range workers {
		state := pv.WorkerState{
			ID: pv.WorkerID(fmt.Sprintf("w%d", i)), Service: "s",
			Capacity: pv.Resources{MilliCores: milliCores, MemoryMB: 64000},
		}
		if len(zones) > 0 {
			state.Location.Zone = zones[i%len(zones)]
		}
		s.workers = append(s.workers, standin.NewJobWorker(state, s.runAudit, taskRunTime, seed+uint64(i), s.taskSize))
	}
	for i := range gatewayCount {
		s.gateways = append(s.gateways, s.startGateway(i))
	}
	for i := range workers {
		s.supervisors = append(s.supervisors, s.startSupervisor(i))
	}
	return s
}

// testLogger returns a logger to the file PVALVE_SITE_LOG, if that is set to trace a
// seed.
func testLogger() *zap.Logger {
	path := os.Getenv("PVALVE_SITE_LOG")
	if path == "" {
		return zap.NewNop()
	}
	config := zap.NewDevelopmentConfig()
	config.OutputPaths = []string{path}
	config.DisableCaller = true
	logger, err := config.Build()
	if err != nil {
		panic(err)
	}
	return logger
}

// predecessors returns the tasks that must be done before a task may start.
func (s *siteHarness) predecessors(t pv.TaskRef) []pv.TaskRef {
	s.mu.Lock()
	defer s.mu.Unlock()
	job := s.jobs[t.Job]
	var out []pv.TaskRef
	for _, a := range job.Steps[t.Step].After {
		for i := range job.Steps[a].Count {
			out = append(out, pv.TaskRef{Job: t.Job, Step: a, Index: i})
		}
	}
	return out
}

// taskSize returns what a task counts against its worker's capacity.
func (s *siteHarness) taskSize(t pv.TaskRef) pv.Resources {
	s.mu.Lock()
	defer s.mu.Unlock()
	step := s.jobs[t.Job].Steps[t.Step]
	if step.Filler {
		step.Size.MilliCores = 0
	}
	return step.Size
}

func (s *siteHarness) startGateway(i int) *process {
	s.lastSerial++
	name := fmt.Sprintf("gateway-%d", i)
	incarnationID := fmt.Sprintf("boot-%d", s.lastSerial)
	ctx, cancel := context.WithCancel(context.Background())
	store := &processStore{Store: s.store.ClientFor(name), lifetime: ctx, site: s, process: name}
	l := s.listen(name)
	logger := s.logger.With(zap.String("node", name))
	startedAt := time.Now()
	g := gateway.New(name, gateway.Dependencies{Store: store, Listener: l, Logger: logger, Registry: prometheus.NewRegistry()})
	members := leader.NewDirectory(ctx, store, leader.Member{Node: name, Role: gateway.Role, Address: l.Address(), IncarnationID: incarnationID, Candidate: true}, g.LeaderStatus, nil, logger)
	clock := func() time.Duration { return time.Since(startedAt) }
	lead := leader.New(leader.Settings{Node: name, IncarnationID: incarnationID, Planner: planner.DefaultSettings(), EvacuationBound: s.evacuationBound}, leader.Dependencies{
		Store: store, Directory: members, LeaderStatus: g.LeaderStatus, Dial: s.dialer(name),
		Clock: clock, Logger: logger, Registry: prometheus.NewRegistry(),
	})
	if s.evacuationBound > 0 {
		platform.NewConfigWatcher(ctx, store, clock, logger, lead)
	}
	lead.SetQueues([]pv.Queue{siteQueue})
	return &process{name: name, cancel: cancel, gateway: g, leader: lead, stop: func(ctx context.Context) error {
		defer cancel()
		err := lead.Stop(ctx)
		g.Close()
		return err
	}}
}

func (s *siteHarness) startSupervisor(i int) *process {
	s.lastSerial++
	name := fmt.Sprintf("agent-%d", i)
	ctx, cancel := context.WithCancel(context.Background())
	store := &processStore{Store: s.store.ClientFor(name), lifetime: ctx, site: s, process: name}
	l := s.listen(name)
	logger := s.logger.With(zap.String("node", name))
	worker := &processWorker{WorkerClient: s.workers[i], lifetime: ctx, site: s, index: i}
	v := supervisor.New(supervisor.Settings{Node: name, Worker: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80)}, supervisor.Dependencies{Worker: worker, Listener: l, Logger: logger, Registry: prometheus.NewRegistry()})
	leader.NewDirectory(ctx, store, leader.Member{Node: name, Role: supervisor.Role, Address: l.Address(), IncarnationID: fmt.Sprintf("boot-%d", s.lastSerial)}, v.LeaderStatus, v.Deregistrations(), logger)
	go func() {
		for ctx.Err() == nil {
			if state, ok := s.workers[i].Heartbeat(); ok {
				v.Heartbeat(state)
			}
			select {
			case <-time.After(heartbeatInterval):
			case <-ctx.Done():
			}
		}
	}()
	return &process{name: name, cancel: cancel, deregister: v.Deregister, stop: func(stop context.Context) error {
		cancel()
		return v.Stop(stop)
	}}
}

// processStore is a store client bound to one process's lifetime: its calls are
// cancelled when the process is killed.
type processStore struct {
	pv.Store
	lifetime context.Context
	site     *siteHarness
	process  string
}

// hang waits for the end of the context if the site's storeCallHangs says so, or an
// injection.
func (s *processStore) hang(ctx context.Context, topic pv.Topic, appends bool) error {
	s.site.mu.Lock()
	hangs := s.site.storeCallHangs
	s.site.mu.Unlock()
	if hangs == nil || !hangs(s.process, topic, appends) {
		return s.hangInjected(ctx, topic, appends)
	}
	<-ctx.Done()
	return ctx.Err()
}

// hangInjected waits for the end of the context if an injection leaves the call without an
// answer, and for as long as one holds it. Reads in progress get no answer either.
func (s *processStore) hangInjected(ctx context.Context, topic pv.Topic, appends bool) error {
	for s.site.storeCallHeld(s.process) {
		select {
		case <-time.After(heldCheckInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if !s.site.storeCallHangsNow(s.process, topic, appends) {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (s *processStore) withLifetime(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s.lifetime, cancel)
	return ctx, func() { stop(); cancel() }
}

func (s *processStore) Append(ctx context.Context, topic pv.Topic, w pv.Writer, at pv.Offset, records []pv.KeyedRecord) (pv.AppendVerdict, pv.Offset, error) {
	ctx, cancel := s.withLifetime(ctx)
	defer cancel()
	if err := s.hang(ctx, topic, true); err != nil {
		return pv.AppendUnknown, 0, err
	}
	return s.Store.Append(ctx, topic, w, at, records)
}

func (s *processStore) Put(ctx context.Context, topic pv.Topic, records []pv.KeyedRecord) error {
	ctx, cancel := s.withLifetime(ctx)
	defer cancel()
	if err := s.hang(ctx, topic, true); err != nil {
		return err
	}
	return s.Store.Put(ctx, topic, records)
}

func (s *processStore) Newest(ctx context.Context, topic pv.Topic, after string) (pv.KeyedPage, error) {
	ctx, cancel := s.withLifetime(ctx)
	defer cancel()
	if err := s.hang(ctx, topic, false); err != nil {
		return pv.KeyedPage{}, err
	}
	page, err := s.Store.Newest(ctx, topic, after)
	if err := s.hangInjected(ctx, topic, false); err != nil {
		return pv.KeyedPage{}, err
	}
	return page, err
}

func (s *processStore) Tail(ctx context.Context, topic pv.Topic, from pv.Offset, wait time.Duration) (pv.KeyedTail, error) {
	ctx, cancel := s.withLifetime(ctx)
	defer cancel()
	if err := s.hang(ctx, topic, false); err != nil {
		return pv.KeyedTail{}, err
	}
	tail, err := s.Store.Tail(ctx, topic, from, wait)
	if err := s.hangInjected(ctx, topic, false); err != nil {
		return pv.KeyedTail{}, err
	}
	return tail, err
}

// processWorker is a worker client bound to one supervisor's lifetime: its starts and polls
// fail once the supervisor has been killed.
type processWorker struct {
	pv.WorkerClient
	lifetime context.Context
	site     *siteHarness
	index    int // of the worker
}

// startAnswerDelay is longer than a supervisor lets a start hold up others, so that it sends
// many starts one after the other.
const startAnswerDelay = 60 * time.Millisecond

func (w *processWorker) Start(ctx context.Context, id pv.WorkerID, a pv.WorkerLease, o pv.RunOrder) (pv.StartAnswer, error) {
	if w.lifetime.Err() != nil {
		return pv.StartUnknown, w.lifetime.Err()
	}
	job := o.Run.Task.Job
	w.site.mu.Lock()
	w.site.lastStart[job] = time.Now()
	hangs, answer := w.site.startHangs != nil && w.site.startHangs(job), w.site.startAnswer
	w.site.mu.Unlock()
	if hangs {
		var answered <-chan time.Time
		if answer != "" {
			answered = time.After(startAnswerDelay)
		}
		select {
		case <-answered:
			return answer, nil
		case <-ctx.Done():
			return pv.StartUnknown, ctx.Err()
		}
	}
	sentAt := time.Now()
	startAnswer, err := w.WorkerClient.Start(ctx, id, a, o)
	if startAnswer == pv.StartAccepted {
		w.site.mu.Lock()
		w.site.acceptedStarts[w.index] = append(w.site.acceptedStarts[w.index], sentAt)
		w.site.mu.Unlock()
	}
	return startAnswer, err
}

func (w *processWorker) Poll(ctx context.Context, id pv.WorkerID, a pv.WorkerLease, acknowledged int64, wait time.Duration) (pv.WorkerRuns, error) {
	if w.lifetime.Err() != nil {
		return pv.WorkerRuns{}, w.lifetime.Err()
	}
	return w.WorkerClient.Poll(ctx, id, a, acknowledged, wait)
}

// kill ends a process at once: its store calls, starts, polls and links fail from then on.
func (s *siteHarness) kill(p *process) {
	p.cancel()
	s.network.Kill(p.name)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	go func() { _ = p.stop(ended) }() // ends its goroutines
}

func (s *siteHarness) submit(p *process, job pv.Job) gateway.Answer {
	s.mu.Lock()
	s.jobs[job.ID] = job
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	a, err := p.gateway.Submit(ctx, job, siteQueue)
	if err != nil {
		s.t.Errorf("submit: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case a.Result == gateway.Done:
		s.accepted[job.ID] = true
	case a.Result.Refused():
		s.refused[job.ID] = true
		return a
	}
	s.notRefused[job.ID] = true
	return a
}

func (s *siteHarness) state(p *process, id pv.JobID) gateway.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return p.gateway.State(ctx, id)
}

func (s *siteHarness) cancelJob(p *process, id pv.JobID) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if p.gateway.Cancel(ctx, id).Result != gateway.Done {
		return false
	}
	s.runAudit.RecordCancellation(id)
	return true
}

func (s *siteHarness) close() {
	for _, p := range append(s.gateways, s.supervisors...) {
		s.kill(p)
	}
	for _, r := range s.workers {
		r.Crash()
	}
	time.Sleep(30 * time.Second) // for pending calls and timers to end
}

func testJob(i int, random *rand.Rand) pv.Job {
	j := pv.Job{ID: pv.JobID(fmt.Sprintf("%016x", i)), Payload: "p"}
	for step := range 1 + random.IntN(2) {
		s := pv.Step{Count: 1 + random.IntN(4), Size: pv.Resources{MilliCores: taskMilliCores, MemoryMB: 100}, Estimate: taskRunTime}
		if step > 0 {
			s.After = []int{step - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// checkJobs checks the callers' answers against the runs at the workers, after a time
// without faults.
func (s *siteHarness) checkJobs(cancelled map[pv.JobID]bool) {
	s.t.Helper()
	for _, f := range s.runAudit.Violations() {
		s.t.Error(f)
	}
	for id := range s.accepted {
		a := s.state(s.gateways[0], id)
		if a.Result != gateway.Done {
			s.t.Errorf("state of accepted job %s: got %s, want done", id, a.Result)
			continue
		}
		switch {
		case a.State == pv.JobFinished:
			for step, st := range s.jobs[id].Steps {
				for i := range st.Count {
					if ref := (pv.TaskRef{Job: id, Step: step, Index: i}); !s.runAudit.TaskSucceeded(ref) {
						s.t.Errorf("job %s is finished: got task %v not done, want done", id, ref)
					}
				}
			}
		case a.State == pv.JobCancelled && cancelled[id]:
			if n := s.runAudit.RunningCount(id); n > 0 {
				s.t.Errorf("job %s is cancelled: got %d runs, want none", id, n)
			}
		default:
			s.t.Errorf("job %s: got %s, want finished", id, a.State)
		}
	}
	for id := range s.refused {
		if !s.notRefused[id] && s.runAudit.JobStarted(id) {
			s.t.Errorf("job %s was refused at each attempt: got runs, want none", id)
		}
	}
	if len(s.accepted) == 0 || s.runAudit.TotalStarts() == 0 {
		s.t.Errorf("got %d jobs and %d starts, want some", len(s.accepted), s.runAudit.TotalStarts())
	}
}

// waitForLeader waits until a leader has connected to the first gateway.
func (s *siteHarness) waitForLeader() {
	for !s.gateways[0].gateway.Linked() {
		time.Sleep(100 * time.Millisecond)
	}
}

// During a store outage calls end within half of their timeout, the first with an
// unknown outcome, the later ones refused by the circuit breaker. Jobs are accepted again
// after the outage, and no refused job runs.
func TestAnswersDuringStoreOutage(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		s := newSiteHarness(t, 1)
		defer s.close()
		s.waitForLeader()
		time.Sleep(3 * time.Second)
		random := rand.New(rand.NewPCG(1, 1))
		s.store.SetFaults(standin.KeyedStoreFaults{Down: true})
		refused := 0
		var calls sync.WaitGroup
		var mu sync.Mutex
		for i := range 50 {
			job := testJob(i, random)
			calls.Add(1)
			go func() {
				defer calls.Done()
				startedAt := time.Now()
				a := s.submit(s.gateways[i%gatewayCount], job)
				took := time.Since(startedAt)
				mu.Lock()
				defer mu.Unlock()
				if a.Result.Refused() {
					refused++
				}
				if took > callerTimeout/2 {
					t.Errorf("job %d: got %s after %v, want an answer within %v", i, a.Result, took, callerTimeout/2)
				}
			}()
			time.Sleep(100 * time.Millisecond)
		}
		calls.Wait()
		if refused < 25 {
			t.Errorf("got %d of 50 jobs refused, want 25 or more", refused)
		}
		s.store.SetFaults(standin.KeyedStoreFaults{})
		time.Sleep(3 * time.Second)
		if a := s.submit(s.gateways[0], testJob(100, random)); a.Result != gateway.Done {
			t.Errorf("after the outage: got %s, want done", a.Result)
		}
		time.Sleep(20 * time.Second)
		for id := range s.refused {
			if !s.notRefused[id] && s.runAudit.JobStarted(id) {
				t.Errorf("job %s was refused: got runs, want none", id)
			}
		}
	})
}

// callerTimeout is the timeout of a caller's submission.
const callerTimeout = 3 * time.Second

// Without faults, a site accepts each job and finishes it within 5 s of the last
// submission.
func TestSiteWithoutFaults(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		s := newSiteHarness(t, 1)
		defer s.close()
		s.waitForLeader()
		time.Sleep(3 * time.Second)
		random := rand.New(rand.NewPCG(1, 1))
		for i := range 10 {
			if a := s.submit(s.gateways[i%gatewayCount], testJob(i, random)); a.Result != gateway.Done {
				t.Errorf("job %d: got %s, want done", i, a.Result)
			}
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		s.checkJobs(nil)
	})
}

// A read that gets no answer is refused, not left open: it had no effect, so its caller
// may repeat it. During a store outage a leader can't say that a job is unknown.
func TestReadWithoutAnswerMayBeRepeated(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		s := newSiteHarness(t, 1)
		defer s.close()
		s.waitForLeader()
		time.Sleep(3 * time.Second)
		s.store.SetFaults(standin.KeyedStoreFaults{Down: true})
		if a := s.state(s.gateways[0], "neverSubmitted"); !a.Result.Refused() {
			t.Errorf("got %s, want a refusal", a.Result)
		}
		s.store.SetFaults(standin.KeyedStoreFaults{})
		time.Sleep(3 * time.Second)
		if a := s.state(s.gateways[0], "neverSubmitted"); a.Result != gateway.UnknownJob {
			t.Errorf("after the outage: got %s, want %s", a.Result, gateway.UnknownJob)
		}
	})
}

// Submissions during a store outage that the leader has noticed are all refused: none is
// written to a store that doesn't answer, after which its caller couldn't come back.
// Callers that do are accepted after the outage.
func TestSubmissionsDuringOutageMayBeRepeated(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		s := newSiteHarness(t, 1)
		defer s.close()
		s.waitForLeader()
		time.Sleep(3 * time.Second)
		s.store.SetFaults(standin.KeyedStoreFaults{Down: true})
		time.Sleep(1500 * time.Millisecond)
		random := rand.New(rand.NewPCG(1, 1))
		var calls sync.WaitGroup
		for i := range 60 {
			job := testJob(i, random)
			calls.Add(1)
			go func() {
				defer calls.Done()
				if a := s.submit(s.gateways[i%gatewayCount], job); !a.Result.Refused() {
					t.Errorf("job %d: got %s, want a refusal", i, a.Result)
				}
			}()
			time.Sleep(100 * time.Millisecond)
		}
		calls.Wait()
		s.store.SetFaults(standin.KeyedStoreFaults{})
		time.Sleep(2 * time.Second)
		for i := range gatewayCount {
			if a := s.submit(s.gateways[i], testJob(100+i, random)); a.Result != gateway.Done {
				t.Errorf("gateway %d after the outage: got %s, want done", i, a.Result)
			}
		}
		time.Sleep(15 * time.Second)
		s.checkJobs(nil)
	})
}
