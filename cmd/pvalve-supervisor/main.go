// Command pvalve-supervisor runs beside a worker and carries out the leader's
// orders on it.
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
	Node           string         `arg:"--node,env:PVALVE_NODE" help:"name of this process, unique on the site" validate:"required,max=100"`
	Region         string         `arg:"--region,env:PVALVE_REGION" help:"region of this host"`
	ControlAddress netip.AddrPort `arg:"--control-address,env:PVALVE_CONTROL_ADDRESS" help:"IP and port for the worker's heartbeats" validate:"address"`
	LinkAddress    netip.AddrPort `arg:"--link-address,env:PVALVE_LINK_ADDRESS" help:"IP and port for the leader's link" validate:"address"`
	WorkerAddress  netip.AddrPort `arg:"--worker-address,env:PVALVE_WORKER_ADDRESS" help:"IP and port of the worker" validate:"address"`
	StoreAddress   netip.AddrPort `arg:"--store-address,env:PVALVE_STORE_ADDRESS" help:"IP and port of the platform's store" validate:"address"`
	Grace          time.Duration  `arg:"--grace,env:PVALVE_GRACE" default:"6s" help:"from SIGTERM to the end of the process" validate:"gte=1s"`
}

// Version implements the library's version flag.
func (settings) Version() string { return "pvalve-supervisor " + runner.Version }

// stopShare is the share of the grace that a stop may take.
const stopShare = 0.5

func main() { runner.Main("pvalve-supervisor", run) }

func run(s settings) int {
	logger, err := runner.NewLogger(s.Common)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return runner.ExitUsage
	}
	defer func() { _ = logger.Sync() }() // the output is gone with the process
	logger = logger.With(zap.String("node", s.Node))
	logger.Info("supervisor: starts", zap.String("version", runner.Version), zap.Stringer("worker", s.WorkerAddress))
	link, err := net.Listen("tcp", s.LinkAddress.String())
	if err != nil {
		logger.Error("supervisor: cannot listen", logfield.Error(err))
		return runner.ExitRefused
	}
	control, err := net.Listen("tcp", s.ControlAddress.String())
	if err != nil {
		logger.Error("supervisor: cannot listen", logfield.Error(err))
		return runner.ExitRefused
	}
	registry := runner.NewRegistry()
	store := platform.NewStore(s.StoreAddress, meter.New(registry, "store"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	v := supervisor.New(supervisor.Settings{Node: s.Node, Region: s.Region, Worker: s.WorkerAddress}, supervisor.Dependencies{
		Worker: platform.NewWorker(s.WorkerAddress, meter.New(registry, "worker")), Listener: link, Logger: logger, Registry: registry,
	})
	leader.NewDirectory(ctx, store, leader.Member{Node: s.Node, Role: supervisor.Role, Address: s.LinkAddress, Boot: uuid.Must(uuid.NewV7()).String()}, v.LeaderStatus, v.Deregistrations(), logger)
	beats := runner.ServeHTTP(control, platform.NewHeartbeatAPI(v, logger), logger)
	stopAdmin, err := runner.ServeAdmin(s.AdminAddress, v.Linked, registry, logger)
	if err != nil {
		logger.Error("supervisor: admin address can't be served", logfield.Error(err))
		return runner.ExitRefused
	}
	runner.Wait(logger)
	stop, cancelStop := context.WithTimeout(context.Background(), time.Duration(float64(s.Grace)*stopShare))
	defer cancelStop()
	code := runner.ExitDone
	for _, f := range []func(context.Context) error{v.Stop, beats.Stop, stopAdmin} {
		if err := f(stop); err != nil {
			logger.Error("supervisor: stop was not clean", logfield.Error(err))
			code = runner.ExitRefused
		}
	}
	logger.Info("supervisor: stopped")
	return code
}
