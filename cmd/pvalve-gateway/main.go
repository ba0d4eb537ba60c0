// Command pvalve-gateway answers callers of jobs, and leads the site while it
// holds the term.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"persimmonvalve/gateway"
	"persimmonvalve/internal/logfield"
	"persimmonvalve/internal/meter"
	"persimmonvalve/leader"
	"persimmonvalve/messenger"
	"persimmonvalve/planner"
	"persimmonvalve/platform"
	"persimmonvalve/runner"
)

type settings struct {
	runner.Common
	Node         string         `arg:"--node,env:PVALVE_NODE" help:"name of this process, unique on the site" validate:"required,max=100"`
	FrontAddress netip.AddrPort `arg:"--front-address,env:PVALVE_FRONT_ADDRESS" help:"IP and port for callers" validate:"address"`
	ReadyAddress netip.AddrPort `arg:"--ready-address,env:PVALVE_READY_ADDRESS" help:"IP and port that says whether callers may come" validate:"address"`
	LinkAddress  netip.AddrPort `arg:"--link-address,env:PVALVE_LINK_ADDRESS" help:"IP and port for the leader's link" validate:"address"`
	StoreAddress netip.AddrPort `arg:"--store-address,env:PVALVE_STORE_ADDRESS" help:"IP and port of the platform's store" validate:"address"`
	Cores        float64        `arg:"--cores,env:PVALVE_CORES" help:"processor cores that this process may use; 0 is unknown" validate:"gte=0"`
	KeepEnded    time.Duration  `arg:"--keep-ended,env:PVALVE_KEEP_ENDED" default:"120s" help:"how long the state of an ended job must stay readable" validate:"gt=0"`
	Grace        time.Duration  `arg:"--grace,env:PVALVE_GRACE" default:"6s" help:"from SIGTERM to the end of the process" validate:"gte=1s"`
}

// Version implements the library's version flag.
func (settings) Version() string { return "pvalve-gateway " + runner.Version }

// Shares of the grace in which a stop proceeds.
const (
	drainShare  = 0.4 // new calls are still answered, each closing its connection
	finishShare = 0.3 // calls under way are finished
	keepMargin  = 15 * time.Second
)

func main() { runner.Main("pvalve-gateway", run) }

func run(s settings) int {
	logger, err := runner.NewLogger(s.Common)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return runner.ExitUsage
	}
	defer func() { _ = logger.Sync() }() // the output is gone with the process
	logger = logger.With(zap.String("node", s.Node))
	logger.Info("gateway: starts", zap.String("version", runner.Version), zap.Stringer("front", s.FrontAddress))
	listeners := map[netip.AddrPort]net.Listener{}
	for _, a := range []netip.AddrPort{s.FrontAddress, s.ReadyAddress, s.LinkAddress} {
		if listeners[a], err = net.Listen("tcp", a.String()); err != nil {
			logger.Error("gateway: cannot listen", logfield.Error(err))
			return runner.ExitRefused
		}
	}
	registry := runner.NewRegistry()
	store := platform.NewStore(s.StoreAddress, meter.New(registry, "store"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	boot := uuid.Must(uuid.NewV7()).String()
	plan := planner.DefaultSettings()
	plan.EndedRetention = s.KeepEnded + keepMargin
	g := gateway.New(s.Node, gateway.Dependencies{Store: store, Listener: listeners[s.LinkAddress], Logger: logger, Registry: registry})
	members := leader.NewDirectory(ctx, store, leader.Member{Node: s.Node, Role: gateway.Role, Address: s.LinkAddress, Boot: boot, Cores: s.Cores, Candidate: true}, g.LeaderStatus, nil, logger)
	lead := leader.New(leader.Settings{Node: s.Node, Boot: boot, Planner: plan}, leader.Dependencies{
		Store: store, Members: members, LeaderStatus: g.LeaderStatus, Dial: messenger.DialTCP, Clock: leader.BootTime, Logger: logger, Registry: registry,
	})
	config := platform.NewConfiguration(ctx, store, logger, lead.SetQueues)
	front := runner.ServeHTTP(listeners[s.FrontAddress], platform.NewCallerAPI(config, g, logger), logger)
	leaving := make(chan struct{})
	ready := runner.ServeHTTP(listeners[s.ReadyAddress], readiness(func() bool {
		select {
		case <-leaving:
			return false
		default:
			return config.Known()
		}
	}), logger)
	stopAdmin, err := runner.ServeAdmin(s.AdminAddress, config.Known, registry, logger)
	if err != nil {
		logger.Error("gateway: admin address can't be served", logfield.Error(err))
		return runner.ExitRefused
	}
	runner.Wait(logger)
	close(leaving)
	stop, cancelStop := context.WithTimeout(context.Background(), time.Duration(float64(s.Grace)*(drainShare+finishShare)))
	defer cancelStop()
	code := runner.ExitDone
	check := func(err error) {
		if err != nil {
			logger.Error("gateway: stop was not clean", logfield.Error(err))
			code = runner.ExitRefused
		}
	}
	lead.StopCampaigning()
	front.Drain(stop, time.Duration(float64(s.Grace)*drainShare))
	check(lead.Stop(stop))
	check(front.Stop(stop))
	check(ready.Stop(stop))
	check(stopAdmin(stop))
	g.Close()
	logger.Info("gateway: stopped")
	return code
}

func readiness(ready func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
