// Command pvalve-gateway serves the API on which callers submit and query jobs. It
// is also a candidate for leader of the site, and schedules the site's jobs while it
// is the leader.
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
	Node           string         `arg:"--node,env:PVALVE_NODE" help:"name of this process; must be unique within the site" validate:"required,max=100"`
	FrontAddress   netip.AddrPort `arg:"--front-address,env:PVALVE_FRONT_ADDRESS" help:"IP and port on which the API for callers is served" validate:"address"`
	ReadyAddress   netip.AddrPort `arg:"--ready-address,env:PVALVE_READY_ADDRESS" help:"IP and port on which readiness for callers is served" validate:"address"`
	LinkAddress    netip.AddrPort `arg:"--link-address,env:PVALVE_LINK_ADDRESS" help:"IP and port on which this process accepts the link from the leader" validate:"address"`
	StoreAddress   netip.AddrPort `arg:"--store-address,env:PVALVE_STORE_ADDRESS" help:"IP and port of the platform's store" validate:"address"`
	Cores          float64        `arg:"--cores,env:PVALVE_CORES" help:"number of processor cores that this process may use; 0 is unknown" validate:"gte=0"`
	KeepEnded      time.Duration  `arg:"--keep-ended,env:PVALVE_KEEP_ENDED" default:"120s" help:"minimum time for which the state of an ended job stays readable" validate:"gt=0"`
	MaxLease       time.Duration  `arg:"--max-lease,env:PVALVE_MAX_LEASE" default:"10s" help:"longest lease that workers accept; a shorter value than theirs may run tasks twice" validate:"gt=0"`
	StopTime       time.Duration  `arg:"--stop-time,env:PVALVE_STOP_TIME" default:"400ms" help:"longest time that a worker takes to stop a run; with --restore-time it decides when the move of a slow task pays" validate:"gte=0"`
	RestoreTime    time.Duration  `arg:"--restore-time,env:PVALVE_RESTORE_TIME" default:"100ms" help:"time that a task takes to resume from a checkpoint" validate:"gte=0"`
	EvacuateWithin time.Duration  `arg:"--evacuate-within,env:PVALVE_EVACUATE_WITHIN" default:"0s" help:"longest time from an operator's request to evacuate a zone until no run starts there; 0 or at least 2.5s; with 0, runs start also while the requests can't be read" validate:"eq=0|gte=2500ms"`
	Grace          time.Duration  `arg:"--grace,env:PVALVE_GRACE" default:"6s" help:"maximum time from SIGTERM to the exit of the process" validate:"gte=1s"`
}

// Version implements go-arg's interface Versioned; go-arg prints it for --version.
func (settings) Version() string { return "pvalve-gateway " + runner.Version }

const (
	// Durations of the phases of a shutdown, as fractions of --grace. The rest is
	// left for the exit.
	drainShare  = 0.4 // new calls are still answered; each answer closes its connection
	finishShare = 0.3 // calls in progress are finished

	// jobMemoryShare is the memory of the process divided by that of the jobs that a leader keeps.
	jobMemoryShare = 4

	// retentionMargin is added to --keep-ended, which is a minimum, to get the time after
	// which the planner removes an ended job.
	retentionMargin = 15 * time.Second
)

func main() { runner.Main("pvalve-gateway", run) }

func run(s settings) int {
	logger, err := runner.NewLogger(s.Common)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return runner.ExitUsage
	}
	defer func() { _ = logger.Sync() }() // the output is closed with the process, so a failure can't be logged
	logger = logger.With(zap.String("node", s.Node))
	logger.Info("gateway: starting", zap.String("version", runner.Version), zap.Stringer("front", s.FrontAddress))
	listeners := map[netip.AddrPort]net.Listener{}
	for _, a := range []netip.AddrPort{s.FrontAddress, s.ReadyAddress, s.LinkAddress} {
		if listeners[a], err = net.Listen("tcp", a.String()); err != nil {
			logger.Error("gateway: cannot listen on an address; exiting", logfield.Error(err))
			return runner.ExitFailed
		}
	}
	registry := runner.NewRegistry()
	limits := runner.NewLimiter(s.Common, logger, registry)
	store := platform.NewStore(s.StoreAddress, meter.New(registry, "store"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	incarnationID := uuid.Must(uuid.NewV7()).String()
	plannerSettings := planner.DefaultSettings()
	plannerSettings.EndedRetention = s.KeepEnded + retentionMargin
	plannerSettings.MaxLease = s.MaxLease
	plannerSettings.StopTime, plannerSettings.RestoreTime = s.StopTime, s.RestoreTime
	gw := gateway.New(s.Node, gateway.Dependencies{Store: store, Listener: listeners[s.LinkAddress], Logger: logger, Registry: registry})
	directory := leader.NewDirectory(ctx, store, leader.Member{Node: s.Node, Role: gateway.Role, Address: s.LinkAddress, IncarnationID: incarnationID, Cores: s.Cores, Candidate: true}, gw.LeaderStatus, nil, logger)
	candidate := leader.New(leader.Settings{Node: s.Node, IncarnationID: incarnationID, Planner: plannerSettings, EvacuationBound: s.EvacuateWithin, MaxJobBytes: runner.MemoryBytes(s.Common) / jobMemoryShare}, leader.Dependencies{
		Store: store, Directory: directory, LeaderStatus: gw.LeaderStatus, Dial: messenger.DialTCP, Clock: leader.TimeSinceBoot, Logger: logger, Registry: registry,
	})
	config := platform.NewConfigWatcher(ctx, store, leader.TimeSinceBoot, logger, candidate)
	api := platform.NewCallerAPI(config, gw, logger)
	callerAPI := runner.StartHTTP(listeners[s.FrontAddress], api, limits, logger)
	draining := make(chan struct{})
	ready := runner.StartHTTP(listeners[s.ReadyAddress], readiness(func() bool {
		select {
		case <-draining:
			return false
		default:
			return config.Loaded()
		}
	}), limits, logger)
	stopAdmin, err := runner.StartAdmin(s.AdminAddress, config.Loaded, registry, limits, logger, runner.AdminRoute{Pattern: "POST /explain", Handler: api.ExplainHandler()})
	if err != nil {
		logger.Error("gateway: cannot serve the admin address; exiting", logfield.Error(err))
		return runner.ExitFailed
	}
	runner.WaitForStopSignal(logger)
	close(draining)
	stopCtx, cancelStop := context.WithTimeout(context.Background(), time.Duration(float64(s.Grace)*(drainShare+finishShare)))
	defer cancelStop()
	exitCode := runner.ExitDone
	logFailure := func(err error) {
		if err != nil {
			logger.Error("gateway: a step of the shutdown failed; continuing with the next one", logfield.Error(err))
			exitCode = runner.ExitFailed
		}
	}
	candidate.StopCampaigning()
	callerAPI.Drain(stopCtx, time.Duration(float64(s.Grace)*drainShare))
	logFailure(candidate.Stop(stopCtx))
	logFailure(callerAPI.Stop(stopCtx))
	logFailure(ready.Stop(stopCtx))
	logFailure(stopAdmin(stopCtx))
	gw.Close()
	logger.Info("gateway: stopped")
	return exitCode
}

func readiness(ready func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
