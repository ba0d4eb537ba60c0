// Command pvalve-supervisor runs on the host of a worker and executes the leader's
// orders on that worker.
package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"persimmonvalve/internal/logfield"
	"persimmonvalve/internal/meter"
	"persimmonvalve/leader"
	"persimmonvalve/platform"
	"persimmonvalve/runner"
	"persimmonvalve/supervisor"
)

type settings struct {
	runner.Common
	Node           string         `arg:"--node,env:PVALVE_NODE" help:"name of this process; must be unique within the site" validate:"required,max=100"`
	Region         string         `arg:"--region,env:PVALVE_REGION" help:"region of this host"`
	ControlAddress netip.AddrPort `arg:"--control-address,env:PVALVE_CONTROL_ADDRESS" help:"IP and port on which this process accepts the worker's heartbeats" validate:"address"`
	LinkAddress    netip.AddrPort `arg:"--link-address,env:PVALVE_LINK_ADDRESS" help:"IP and port on which this process accepts the link from the leader" validate:"address"`
	WorkerAddress  netip.AddrPort `arg:"--worker-address,env:PVALVE_WORKER_ADDRESS" help:"IP and port of the worker beside this process" validate:"address"`
	StoreAddress   netip.AddrPort `arg:"--store-address,env:PVALVE_STORE_ADDRESS" help:"IP and port of the platform's store" validate:"address"`
	Grace          time.Duration  `arg:"--grace,env:PVALVE_GRACE" default:"6s" help:"maximum time from SIGTERM to the exit of the process" validate:"gte=1s"`
}

// Version implements go-arg's interface Versioned; go-arg prints it for --version.
func (settings) Version() string { return "pvalve-supervisor " + runner.Version }

// stopShare is the fraction of --grace after which the shutdown stops waiting; the
// rest is left for the exit.
const stopShare = 0.5

func main() { runner.Main("pvalve-supervisor", run) }

func run(s settings) int {
	logger, err := runner.NewLogger(s.Common)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return runner.ExitUsage
	}
	defer func() { _ = logger.Sync() }() // the output is closed with the process, so a failure can't be logged
	logger = logger.With(zap.String("node", s.Node))
	logger.Info("supervisor: starting", zap.String("version", runner.Version), zap.Stringer("worker", s.WorkerAddress))
	linkListener, err := net.Listen("tcp", s.LinkAddress.String())
	if err != nil {
		logger.Error("supervisor: cannot listen for the link; exiting", logfield.Error(err))
		return runner.ExitFailed
	}
	heartbeatListener, err := net.Listen("tcp", s.ControlAddress.String())
	if err != nil {
		logger.Error("supervisor: cannot listen for heartbeats; exiting", logfield.Error(err))
		return runner.ExitFailed
	}
	registry := runner.NewRegistry()
	limits := runner.NewLimiter(s.Common, logger, registry)
	store := platform.NewStore(s.StoreAddress, meter.New(registry, "store"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sup := supervisor.New(supervisor.Settings{Node: s.Node, Region: s.Region, Worker: s.WorkerAddress}, supervisor.Dependencies{
		Worker: platform.NewWorkerClient(s.WorkerAddress, meter.New(registry, "worker")), Listener: linkListener, Logger: logger, Registry: registry,
	})
	leader.NewDirectory(ctx, store, leader.Member{Node: s.Node, Role: supervisor.Role, Address: s.LinkAddress, IncarnationID: uuid.Must(uuid.NewV7()).String()}, sup.LeaderStatus, sup.Deregistrations(), logger)
	heartbeatAPI := runner.StartHTTP(heartbeatListener, platform.NewHeartbeatAPI(sup, logger), limits, logger)
	stopAdmin, err := runner.StartAdmin(s.AdminAddress, sup.Linked, registry, limits, logger)
	if err != nil {
		logger.Error("supervisor: cannot serve the admin address; exiting", logfield.Error(err))
		return runner.ExitFailed
	}
	runner.WaitForStopSignal(logger)
	stopCtx, cancelStop := context.WithTimeout(context.Background(), time.Duration(float64(s.Grace)*stopShare))
	defer cancelStop()
	exitCode := runner.ExitDone
	for _, stop := range []func(context.Context) error{sup.Stop, heartbeatAPI.Stop, stopAdmin} {
		if err := stop(stopCtx); err != nil {
			logger.Error("supervisor: a step of the shutdown failed; continuing with the next one", logfield.Error(err))
			exitCode = runner.ExitFailed
		}
	}
	logger.Info("supervisor: stopped")
	return exitCode
}
