package gateway_test

// This file defines a site in memory: real gateways, leaders and supervisors
// over pipes, a store and workers with faults, under a paused clock. The oracle
// counts at the workers and at the callers.

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
	"persimmonvalve/standin"
	"persimmonvalve/supervisor"
)

const (
	siteGateways = 3
	siteWorkers  = 4
	runTime      = 700 * time.Millisecond
	taskSize     = 4000 // millicores
	workerCores  = 16000
	beatEvery    = time.Second
)

var siteQueue = pv.Queue{Name: "q", Service: "s", MaxAttempts: 3, DeadlineFactor: 2, Grace: time.Second}

type process struct {
	name   string
	cancel context.CancelFunc
	stop   func(context.Context) error
	g      *gateway.Gateway
	lead   *leader.Leader
	depart func(pv.WorkerID) // hands an agent its worker's goodbye
}

type memorySite struct {
	t       *testing.T
	network *pipenet.Network
	store   *standin.Keyed
	account *standin.Account
	runners []*standin.Runner
	lives   int
	logger  *zap.Logger

	mu       sync.Mutex
	gates    []*process
	agents   []*process
	jobs     map[pv.JobID]pv.Job
	accepted map[pv.JobID]bool
	refused  map[pv.JobID]bool // each try was refused
	tried    map[pv.JobID]bool // a try that wasn't refused
	stopped  chan struct{}
}

func newSite(t *testing.T, seed uint64) *memorySite {
	s := &memorySite{
		t: t, network: pipenet.New(), store: standin.NewKeyed(seed), logger: testLogger(),
		jobs: map[pv.JobID]pv.Job{}, accepted: map[pv.JobID]bool{}, refused: map[pv.JobID]bool{}, tried: map[pv.JobID]bool{},
		stopped: make(chan struct{}),
	}
	s.account = standin.NewAccount(s.before)
	for i := range siteWorkers {
		state := pv.WorkerState{
			ID: pv.WorkerID(fmt.Sprintf("w%d", i)), Service: "s",
			Capacity: pv.Resources{MilliCores: workerCores, MemoryMB: 64000},
		}
		s.runners = append(s.runners, standin.NewRunner(state, s.account, runTime, seed+uint64(i), func(pv.TaskRef) int64 { return taskSize }))
	}
	for i := range siteGateways {
		s.gates = append(s.gates, s.startGateway(i))
	}
	for i := range siteWorkers {
		s.agents = append(s.agents, s.startAgent(i))
	}
	return s
}

// testLogger writes all decisions to PVALVE_SITE_LOG, when a seed is traced.
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

// before returns the tasks that must be done before a task starts.
func (s *memorySite) before(t pv.TaskRef) []pv.TaskRef {
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

func (s *memorySite) startGateway(i int) *process {
	s.lives++
	name := fmt.Sprintf("gateway-%d", i)
	boot := fmt.Sprintf("boot-%d", s.lives)
	ctx, cancel := context.WithCancel(context.Background())
	store := &mortalStore{Store: s.store.For(name), dead: ctx}
	l := s.network.Listen(name)
	logger := s.logger.With(zap.String("node", name))
	begun := time.Now()
	g := gateway.New(name, gateway.Dependencies{Store: store, Listener: l, Logger: logger, Registry: prometheus.NewRegistry()})
	members := leader.NewDirectory(ctx, store, leader.Member{Node: name, Role: gateway.Role, Address: l.Address(), Boot: boot, Candidate: true}, g.LeaderStatus, nil, logger)
	lead := leader.New(leader.Settings{Node: name, Boot: boot, Planner: planner.DefaultSettings()}, leader.Dependencies{
		Store: store, Members: members, LeaderStatus: g.LeaderStatus, Dial: s.network.Dialer(name),
		Clock: func() time.Duration { return time.Since(begun) }, Logger: logger, Registry: prometheus.NewRegistry(),
	})
	lead.SetQueues([]pv.Queue{siteQueue})
	return &process{name: name, cancel: cancel, g: g, lead: lead, stop: func(ctx context.Context) error {
		defer cancel()
		err := lead.Stop(ctx)
		g.Close()
		return err
	}}
}

func (s *memorySite) startAgent(i int) *process {
	s.lives++
	name := fmt.Sprintf("agent-%d", i)
	ctx, cancel := context.WithCancel(context.Background())
	store := &mortalStore{Store: s.store.For(name), dead: ctx}
	l := s.network.Listen(name)
	logger := s.logger.With(zap.String("node", name))
	worker := &mortalWorker{WorkerClient: s.runners[i], dead: ctx}
	v := supervisor.New(supervisor.Settings{Node: name, Worker: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80)}, supervisor.Dependencies{Worker: worker, Listener: l, Logger: logger, Registry: prometheus.NewRegistry()})
	leader.NewDirectory(ctx, store, leader.Member{Node: name, Role: supervisor.Role, Address: l.Address(), Boot: fmt.Sprintf("boot-%d", s.lives)}, v.LeaderStatus, v.Deregistrations(), logger)
	go func() {
		for ctx.Err() == nil {
			if state, ok := s.runners[i].Beat(); ok {
				v.Heartbeat(state)
			}
			select {
			case <-time.After(beatEvery):
			case <-ctx.Done():
			}
		}
	}()
	return &process{name: name, cancel: cancel, depart: v.Deregister, stop: func(stop context.Context) error {
		cancel()
		return v.Stop(stop)
	}}
}

// mortalStore is a process's way to the store; it ends with the process.
type mortalStore struct {
	pv.Store
	dead context.Context
}

func (m *mortalStore) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(m.dead, cancel)
	return ctx, func() { stop(); cancel() }
}

func (m *mortalStore) Append(ctx context.Context, topic pv.Topic, w pv.Writer, at pv.Offset, records []pv.KeyedRecord) (pv.AppendVerdict, pv.Offset, error) {
	ctx, cancel := m.bound(ctx)
	defer cancel()
	return m.Store.Append(ctx, topic, w, at, records)
}

func (m *mortalStore) Put(ctx context.Context, topic pv.Topic, records []pv.KeyedRecord) error {
	ctx, cancel := m.bound(ctx)
	defer cancel()
	return m.Store.Put(ctx, topic, records)
}

func (m *mortalStore) Newest(ctx context.Context, topic pv.Topic, after string) (pv.KeyedPage, error) {
	ctx, cancel := m.bound(ctx)
	defer cancel()
	return m.Store.Newest(ctx, topic, after)
}

func (m *mortalStore) Tail(ctx context.Context, topic pv.Topic, from pv.Offset, wait time.Duration) (pv.KeyedTail, error) {
	ctx, cancel := m.bound(ctx)
	defer cancel()
	return m.Store.Tail(ctx, topic, from, wait)
}

// mortalWorker is an agent's way to its worker.
type mortalWorker struct {
	pv.WorkerClient
	dead context.Context
}

func (m *mortalWorker) Start(ctx context.Context, id pv.WorkerID, a pv.Authority, o pv.RunOrder) (pv.StartAnswer, error) {
	if m.dead.Err() != nil {
		return pv.StartUnknown, m.dead.Err()
	}
	return m.WorkerClient.Start(ctx, id, a, o)
}

func (m *mortalWorker) Poll(ctx context.Context, id pv.WorkerID, a pv.Authority, acknowledged int64, wait time.Duration) (pv.WorkerRuns, error) {
	if m.dead.Err() != nil {
		return pv.WorkerRuns{}, m.dead.Err()
	}
	return m.WorkerClient.Poll(ctx, id, a, acknowledged, wait)
}

// kill ends a process at once: nothing that it does from now on has an effect.
func (s *memorySite) kill(p *process) {
	p.cancel()
	s.network.Kill(p.name)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	go func() { _ = p.stop(ended) }() // only to end its goroutines
}

func (s *memorySite) submit(g *process, job pv.Job) gateway.Answer {
	s.mu.Lock()
	s.jobs[job.ID] = job
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callerTime)
	defer cancel()
	a, err := g.g.Submit(ctx, job, siteQueue)
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
	s.tried[job.ID] = true
	return a
}

func (s *memorySite) state(g *process, id pv.JobID) gateway.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return g.g.State(ctx, id)
}

func (s *memorySite) cancelJob(g *process, id pv.JobID) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if g.g.Cancel(ctx, id).Result != gateway.Done {
		return false
	}
	s.account.Cancelled(id)
	return true
}

func (s *memorySite) close() {
	for _, p := range append(s.gates, s.agents...) {
		s.kill(p)
	}
	for _, r := range s.runners {
		r.Crash()
	}
	time.Sleep(30 * time.Second) // calls and timers under way end
}

func testJob(i int, random *rand.Rand) pv.Job {
	j := pv.Job{ID: pv.JobID(fmt.Sprintf("%016x", i)), Payload: "p"}
	for step := range 1 + random.IntN(2) {
		s := pv.Step{Count: 1 + random.IntN(4), Size: pv.Resources{MilliCores: taskSize, MemoryMB: 100}, Estimate: runTime}
		if step > 0 {
			s.After = []int{step - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// check compares what callers and workers saw at the end of a quiet time.
func (s *memorySite) check(cancelled map[pv.JobID]bool) {
	s.t.Helper()
	for _, f := range s.account.Faults() {
		s.t.Error(f)
	}
	for id := range s.accepted {
		a := s.state(s.gates[0], id)
		if a.Result != gateway.Done {
			s.t.Errorf("job %s was accepted: got %s, want its state", id, a.Result)
			continue
		}
		switch {
		case a.State == pv.JobFinished:
			for step, st := range s.jobs[id].Steps {
				for i := range st.Count {
					if ref := (pv.TaskRef{Job: id, Step: step, Index: i}); !s.account.Done(ref) {
						s.t.Errorf("job %s is finished, and %v isn't done", id, ref)
					}
				}
			}
		case a.State == pv.JobCancelled && cancelled[id]:
			if n := s.account.Running(id); n > 0 {
				s.t.Errorf("job %s is cancelled: got %d runs, want none", id, n)
			}
		default:
			s.t.Errorf("job %s: got %s, want finished", id, a.State)
		}
	}
	for id := range s.refused {
		if !s.tried[id] && s.account.Begun(id) {
			s.t.Errorf("job %s was refused at each try and has run", id)
		}
	}
	if len(s.accepted) == 0 || s.account.Starts() == 0 {
		s.t.Errorf("got %d jobs and %d starts, want some", len(s.accepted), s.account.Starts())
	}
}

// waitForLeader returns once calls can be answered.
func (s *memorySite) waitForLeader() {
	for !s.gates[0].g.Linked() {
		time.Sleep(100 * time.Millisecond)
	}
}

// While the store is silent, callers are told soon: at first that it isn't known
// what became of their job, then that it was refused. Nobody is held until his
// time is up, and work is taken again once the store is back.
func TestAnswersWhileStoreIsSilent(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		s := newSite(t, 1)
		defer s.close()
		s.waitForLeader()
		time.Sleep(3 * time.Second)
		random := rand.New(rand.NewPCG(1, 1))
		s.store.Set(standin.KeyedFaults{Down: true})
		refused := 0
		var calls sync.WaitGroup
		var mu sync.Mutex
		for i := range 50 {
			job := testJob(i, random)
			calls.Add(1)
			go func() {
				defer calls.Done()
				begun := time.Now()
				a := s.submit(s.gates[i%siteGateways], job)
				took := time.Since(begun)
				mu.Lock()
				defer mu.Unlock()
				if a.Result.Refused() {
					refused++
				}
				if took > callerTime/2 {
					t.Errorf("job %d: got %s after %v, want an answer within %v", i, a.Result, took, callerTime/2)
				}
			}()
			time.Sleep(100 * time.Millisecond)
		}
		calls.Wait()
		if refused < 25 {
			t.Errorf("got %d of 50 jobs refused, want most", refused)
		}
		s.store.Set(standin.KeyedFaults{})
		time.Sleep(3 * time.Second)
		if a := s.submit(s.gates[0], testJob(100, random)); a.Result != gateway.Done {
			t.Errorf("after the outage: got %s, want done", a.Result)
		}
		time.Sleep(20 * time.Second)
		for id := range s.refused {
			if !s.tried[id] && s.account.Begun(id) {
				t.Errorf("job %s was refused and has run", id)
			}
		}
	})
}

// callerTime is how long callers wait.
const callerTime = 3 * time.Second

// A quiet site finishes what it accepts, soon.
func TestQuietSite(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		s := newSite(t, 1)
		defer s.close()
		s.waitForLeader()
		time.Sleep(3 * time.Second)
		random := rand.New(rand.NewPCG(1, 1))
		for i := range 10 {
			if a := s.submit(s.gates[i%siteGateways], testJob(i, random)); a.Result != gateway.Done {
				t.Errorf("job %d: got %s, want done", i, a.Result)
			}
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		s.check(nil)
	})
}
