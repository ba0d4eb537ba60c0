package demonstrator

// This file defines the site, and starts and stops its components.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/agent"
	"persimmonvalve/connector"
	"persimmonvalve/entry"
	"persimmonvalve/internal/apigen"
	"persimmonvalve/limiter"
	"persimmonvalve/messenger"
	"persimmonvalve/partitioner"
	"persimmonvalve/runner"
	"persimmonvalve/standin"
)

// Error is the class of this package's errors.
var Error = errs.Class("site")

// Options are the size and the timing of a site.
type Options struct {
	Zones            []string
	Region           string
	Workers          int // three per rack
	Agents           int
	Entries          int
	Service          string
	LeaseDuration    time.Duration // of a worker's lease
	AuthorityTimeout time.Duration // a holder that couldn't read the log for this long stops acting
	SuspicionTimeout time.Duration // time without a valid record after which a holder may be replaced
	Logger           *zap.Logger
}

// DefaultOptions returns the options of a site of the same size as the workshop, one
// of the two users' sites, with short intervals so that failures are detected soon.
func DefaultOptions() Options {
	return Options{
		Zones:            []string{"santander-bench", "torrelavega-annex"},
		Region:           "cantabria",
		Workers:          6,
		Agents:           4,
		Entries:          2,
		Service:          "cordPath",
		LeaseDuration:    2 * time.Second,
		AuthorityTimeout: 4 * time.Second,
		SuspicionTimeout: time.Second,
		Logger:           zap.NewNop(),
	}
}

// WorkerCapacity is the capacity of each worker of a site.
var WorkerCapacity = pv.Resources{MilliCores: 32000, MemoryMB: 125000, Slots: 8}

// AgentNode is an agent with its endpoint.
type AgentNode struct {
	Agent    *agent.Agent
	Endpoint *standin.Endpoint
	Member   pv.Member
	stop     func(context.Context) error
}

// EntryNode is an entry with its API.
type EntryNode struct {
	Entry *entry.Entry
	URL   string
	API   *apigen.Client
	// Registry holds the entry's metrics.
	Registry *prometheus.Registry
	server   *runner.HTTPServer
}

// Site is a running site.
type Site struct {
	Options   Options
	Layout    partitioner.Layout
	Log       *standin.Log
	Workers   *standin.Workers
	Agents    []*AgentNode
	Entries   []*EntryNode
	LogURL    string // base URL of the fake log service
	FleetURL  string // base URL of the fake fleet service, which lists the workers
	stopFuncs []func(context.Context) error
	nextAgent int
	nextEntry int
}

// New starts a site. The caller must call Stop even if New returns an error.
func New(o Options) (*Site, error) {
	s := &Site{
		Options: o,
		Layout:  partitioner.Layout{Homes: 2, Zones: o.Zones, CellsPerZone: 1},
		Log:     standin.NewLog(),
		Workers: standin.NewWorkers(),
	}
	if err := s.startPlatform(); err != nil {
		return s, err
	}
	for range o.Agents {
		if _, err := s.StartAgent(); err != nil {
			return s, err
		}
	}
	for range o.Entries {
		if _, err := s.StartEntry(); err != nil {
			return s, err
		}
	}
	return s, nil
}

// newLimiter returns the limits of one server.
func (s *Site) newLimiter() *limiter.Limiter {
	return limiter.New(limiter.DefaultSettings(), s.Options.Logger, prometheus.NewRegistry())
}

func (s *Site) serve(h http.Handler) (netip.AddrPort, func(context.Context) error, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, nil, Error.Wrap(err)
	}
	return addressOf(l), runner.StartHTTP(l, h, s.newLimiter(), s.Options.Logger).Stop, nil
}

func addressOf(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

func (s *Site) startPlatform() error {
	address, stop, err := s.serve(standin.LogHandler(s.Log))
	if err != nil {
		return err
	}
	s.stopFuncs = append(s.stopFuncs, stop)
	s.LogURL = "http://" + address.String()
	address, stop, err = s.serve(standin.WorkersHandler(s.Workers))
	if err != nil {
		return err
	}
	s.stopFuncs = append(s.stopFuncs, stop)
	s.FleetURL = "http://" + address.String()
	for i := range s.Options.Workers {
		rack := i / 3
		info := pv.WorkerInfo{
			ID: pv.WorkerID(fmt.Sprintf("worker-%d", i)), Address: address, Capacity: WorkerCapacity,
			Location: pv.Location{Region: s.Options.Region, Zone: s.Options.Zones[rack%len(s.Options.Zones)], Rack: fmt.Sprintf("rack-%d", rack)},
		}
		w := standin.NewWorkerCore(info, standin.DeclaredTruth{}, time.Now())
		w.CheckpointInterval = 500 * time.Millisecond
		s.Workers.Add(w)
	}
	return nil
}

// platformTimeout limits each call to a fake log service or worker.
const platformTimeout = 2 * time.Second

func (s *Site) platform(endpointURL string) agent.Platform {
	client := connector.NewHTTPClient(platformTimeout, nil)
	// The client of the endpoint has no timeout: the deadline of each request limits
	// the call.
	return agent.Platform{
		Log:      connector.NewLog(client, s.LogURL),
		Fleet:    connector.NewFleet(client, s.FleetURL),
		Workers:  connector.NewWorkers(client),
		Endpoint: connector.NewEndpoint(connector.NewHTTPClient(0, nil), endpointURL),
	}
}

func (s *Site) member(name, role, service string, zone int, address netip.AddrPort) pv.Member {
	return pv.Member{
		Name: name, Role: role, Address: address, Service: service,
		Location:    pv.Location{Region: s.Options.Region, Zone: s.Options.Zones[zone%len(s.Options.Zones)]},
		Incarnation: pv.Incarnation(uuid.Must(uuid.NewV7()).String()),
	}
}

// StartAgent starts an endpoint and its agent.
func (s *Site) StartAgent() (*AgentNode, error) {
	i := s.nextAgent
	s.nextAgent++
	name := fmt.Sprintf("agent-%d", i)
	endpoint := standin.NewEndpoint(fmt.Sprintf("endpoint-%d", i))
	address, stop, err := s.serve(standin.EndpointHandler(endpoint))
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	settings := s.agentSettings(s.member(name, pv.RoleAgent, s.Options.Service, i, addressOf(l)))
	n := &AgentNode{Endpoint: endpoint, Member: settings.Member, stop: stop}
	n.Agent = agent.New(settings, agent.Dependencies{
		Platform: s.platform("http://" + address.String()), Listener: l, Logger: s.Options.Logger, Registry: prometheus.NewRegistry(),
	})
	s.Agents = append(s.Agents, n)
	return n, nil
}

func (s *Site) agentSettings(m pv.Member) agent.Settings {
	settings := agent.DefaultSettings()
	settings.Member = m
	settings.Layout = s.Layout
	settings.TickInterval = 10 * time.Millisecond
	settings.ConfigPollInterval = 500 * time.Millisecond
	settings.MemberPollInterval = 200 * time.Millisecond
	settings.FleetPollInterval = time.Second
	settings.Holder.MaxRecordInterval = s.Options.SuspicionTimeout / 4
	settings.Holder.SuspicionTimeout = s.Options.SuspicionTimeout
	settings.Holder.StaggerPerRank = s.Options.SuspicionTimeout / 4
	settings.Holder.PollInterval = s.Options.SuspicionTimeout / 10
	settings.Holder.AppendsPerSecond = 50
	settings.Holder.AuthorityTimeout = s.Options.AuthorityTimeout
	settings.Scheduler.AuthorityTimeout = s.Options.AuthorityTimeout
	settings.Scheduler.LeaseDuration = s.Options.LeaseDuration
	settings.Scheduler.LeaseRenewalInterval = s.Options.LeaseDuration / 8
	settings.Scheduler.LapseMargin = s.Options.LeaseDuration / 10
	settings.Scheduler.CallTimeout = s.Options.LeaseDuration / 4
	return settings
}

// StartEntry starts an entry and its API server.
func (s *Site) StartEntry() (*EntryNode, error) {
	i := s.nextEntry
	s.nextEntry++
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	settings := entry.DefaultSettings()
	settings.Member = s.member(fmt.Sprintf("entry-%d", i), pv.RoleEntry, "", i, addressOf(l))
	settings.Layout = s.Layout
	settings.ConfigPollInterval = 100 * time.Millisecond
	settings.MemberPollInterval = 100 * time.Millisecond
	settings.FleetPollInterval = time.Second
	settings.StatusInterval = 200 * time.Millisecond
	settings.AccountInterval = time.Second
	client := connector.NewHTTPClient(platformTimeout, nil)
	g := &EntryNode{URL: "http://" + addressOf(l).String(), Registry: prometheus.NewRegistry()}
	g.Entry = entry.New(settings, entry.Dependencies{
		Log: connector.NewLog(client, s.LogURL), Fleet: connector.NewFleet(client, s.FleetURL),
		Client: messenger.NewClient(nil), Logger: s.Options.Logger, Registry: g.Registry,
		Random: rand.New(rand.NewPCG(1, uint64(i))),
	})
	api, err := apigen.NewServer(g.Entry)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	g.server = runner.StartHTTP(l, api, s.newLimiter(), s.Options.Logger)
	g.API, err = apigen.NewClient(g.URL)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s.Entries = append(s.Entries, g)
	return g, nil
}

// Crash ends an agent and its endpoint abruptly, like the failure of their host.
func (n *AgentNode) Crash() {
	n.Agent.Abort()
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.stop(cancelled)
}

// Stop stops an agent gracefully, and then its endpoint.
func (n *AgentNode) Stop(ctx context.Context) error {
	if err := n.Agent.Stop(ctx); err != nil {
		return err
	}
	return n.stop(ctx)
}

// drainDuration is how long a stopping entry closes the connection after each answer,
// so that its callers connect to another entry.
const drainDuration = 300 * time.Millisecond

// Stop stops an entry gracefully, as SIGTERM does.
func (g *EntryNode) Stop(ctx context.Context) error {
	g.Entry.Drain()
	g.server.Drain(ctx, drainDuration)
	if err := g.server.Stop(ctx); err != nil {
		return err
	}
	return g.Entry.Stop(ctx)
}

// Stop ends all components that still run at once: entries without a drain period,
// agents without a handover.
func (s *Site) Stop() {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, g := range s.Entries {
		_ = g.server.Stop(cancelled)
		_ = g.Entry.Stop(cancelled)
	}
	for _, n := range s.Agents {
		n.Crash()
	}
	for _, stop := range s.stopFuncs {
		_ = stop(cancelled)
	}
}

// AwaitReady waits until every entry reports a holder for every stream.
func (s *Site) AwaitReady(ctx context.Context) error {
	return s.Await(ctx, "a holder for every stream", func() bool {
		for _, g := range s.Entries {
			cells, err := g.API.GetCells(ctx)
			if err != nil {
				return false
			}
			for _, c := range cells {
				if c.State != apigen.CellStateHeld {
					return false
				}
			}
		}
		return true
	})
}

// Await polls a condition every 20 ms until it holds or the context ends. In the
// latter case its error names the condition by the text what.
func (s *Site) Await(ctx context.Context, what string, condition func() bool) error {
	for {
		if condition() {
			return nil
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return Error.New("timed out waiting for: %s", what)
		}
	}
}
