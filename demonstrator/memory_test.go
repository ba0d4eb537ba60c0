package demonstrator

// This file defines an in-memory site: real entries and agents connected by pipes,
// under a simulated clock, so that hours of faults take seconds.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/agent"
	"persimmonvalve/entry"
	"persimmonvalve/internal/apigen"
	"persimmonvalve/internal/pipenet"
	"persimmonvalve/messenger"
	"persimmonvalve/partitioner"
	"persimmonvalve/standin"
)

// backend is an endpoint that counts runs by request id and by body.
type backend struct {
	mu             sync.Mutex
	delay          time.Duration
	failAnswers    bool
	refuseExecuted bool // set by a mutant (see type mutant): with failAnswers, reports executed requests as refused
	runsByID       map[string]int
	runsByBody     map[string]int
}

func (b *backend) Do(ctx context.Context, q pv.ServiceRequest) (pv.ServiceAnswer, error) {
	b.mu.Lock()
	b.runsByID[q.ID]++
	b.runsByBody[string(q.Body)]++
	delay, failAnswer, refuseExecuted := b.delay, b.failAnswers, b.refuseExecuted
	b.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return pv.ServiceAnswer{}, ctx.Err()
	}
	if refuseExecuted && failAnswer {
		return pv.ServiceAnswer{}, pv.ErrRefused
	}
	if failAnswer {
		return pv.ServiceAnswer{}, errors.New("connection closed before the end of the answer")
	}
	return pv.ServiceAnswer{Status: 200, Body: append([]byte("answer to "), q.Body...)}, nil
}

// slotCounter is one agent's endpoint. It passes requests to the shared backend and
// records the highest number of concurrent requests that the agent's guard admits.
type slotCounter struct {
	*backend
	mu                        sync.Mutex
	inProgress, maxInProgress int
}

func (c *slotCounter) Do(ctx context.Context, q pv.ServiceRequest) (pv.ServiceAnswer, error) {
	c.mu.Lock()
	c.inProgress++
	c.maxInProgress = max(c.maxInProgress, c.inProgress)
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.inProgress--
	}()
	return c.backend.Do(ctx, q)
}

// memorySite is a site on an in-memory network.
type memorySite struct {
	network          *pipenet.Network
	layout           partitioner.Layout
	log              *standin.Log
	workers          *standin.Workers
	backend          *backend       // shared by all endpoints, so that it counts all runs
	slotCounters     []*slotCounter // one per agent started so far
	agents           []*agent.Agent
	entries          []*entry.Entry
	startedProcesses int
	configureAgent   func(*agent.Settings) // changes the settings of agents started from now on; may be nil
}

const slotsPerAgent = 2

func newMemorySite(agents, entries, workers int) *memorySite {
	s := &memorySite{
		network: pipenet.New(),
		layout:  partitioner.Layout{Homes: 2, Zones: []string{"a"}, CellsPerZone: 1},
		log:     standin.NewLog(),
		workers: standin.NewWorkers(),
		backend: &backend{runsByID: map[string]int{}, runsByBody: map[string]int{}, delay: 20 * time.Millisecond},
	}
	for i := range workers {
		info := pv.WorkerInfo{ID: pv.WorkerID(fmt.Sprintf("w%d", i)), Location: pv.Location{Region: "r", Zone: "a", Rack: "k"}, Capacity: WorkerCapacity}
		s.workers.Add(standin.NewWorkerCore(info, standin.DeclaredTruth{}, time.Now()))
	}
	for range agents {
		s.agents = append(s.agents, s.newAgent())
	}
	for range entries {
		s.entries = append(s.entries, s.newEntry())
	}
	return s
}

func (s *memorySite) member(role, service string, address netip.AddrPort) pv.Member {
	s.startedProcesses++
	return pv.Member{
		Name: fmt.Sprintf("%s-%d", role, s.startedProcesses), Role: role, Service: service, Address: address,
		Location: pv.Location{Region: "r", Zone: "a"}, Incarnation: pv.Incarnation(fmt.Sprintf("%s/%d", role, s.startedProcesses)),
	}
}

func (s *memorySite) newAgent() *agent.Agent { return s.newAgentOn(s.log) }

func (s *memorySite) newAgentOn(log pv.Log) *agent.Agent {
	l := s.network.Listen("agent")
	site := &Site{Options: DefaultOptions(), Layout: s.layout}
	settings := site.agentSettings(s.member(pv.RoleAgent, "cordPath", l.Address()))
	settings.Slots = slotsPerAgent
	settings.MaxRequests = 2 * slotsPerAgent
	settings.TickInterval = 50 * time.Millisecond
	if s.configureAgent != nil {
		s.configureAgent(&settings)
	}
	counter := &slotCounter{backend: s.backend}
	s.slotCounters = append(s.slotCounters, counter)
	return agent.New(settings, agent.Dependencies{
		Platform: agent.Platform{Log: log, Fleet: s.workers, Workers: s.workers, Endpoint: counter},
		Listener: l, Logger: zap.NewNop(), Registry: prometheus.NewRegistry(),
	})
}

func (s *memorySite) newEntry() *entry.Entry {
	settings := entry.DefaultSettings()
	settings.Member = s.member(pv.RoleEntry, "", netip.AddrPort{})
	settings.Layout = s.layout
	settings.TickInterval = 50 * time.Millisecond
	settings.ConfigPollInterval = 200 * time.Millisecond
	settings.MemberPollInterval = 200 * time.Millisecond
	settings.FleetPollInterval = time.Second
	settings.AccountInterval = time.Second
	return entry.New(settings, entry.Dependencies{
		Log: s.log, Fleet: s.workers, Client: messenger.NewClientWithDial(s.network.Dialer("entry")),
		Logger: zap.NewNop(), Registry: prometheus.NewRegistry(), Random: rand.New(rand.NewPCG(7, uint64(s.startedProcesses))),
	})
}

// publish publishes the allowances of the demo, repeatedly until the first entry
// has a configuration and is ready, and then the plans. It ignores errors of
// PutAllowances until the context ends.
func (s *memorySite) publish(ctx context.Context, plans string) error {
	e := s.entries[0]
	for !e.Ready() {
		_, err := e.PutAllowances(ctx, apigen.PutAllowancesReq{Data: strings.NewReader(demoAllowances)}, apigen.PutAllowancesParams{IfMatch: "-1"})
		if err != nil && ctx.Err() != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
	_, err := e.PutPlans(ctx, apigen.PutPlansReq{Data: strings.NewReader(plans)}, apigen.PutPlansParams{IfMatch: "-1"})
	return err
}

func (s *memorySite) stop() {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, e := range s.entries {
		_ = e.Stop(cancelled)
	}
	for _, a := range s.agents {
		a.Abort()
	}
	s.network.CloseConnections()
}
