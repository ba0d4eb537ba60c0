package main

// This file defines the subcommands that serve fakes over HTTP.

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/internal/logfield"
	"persimmonvalve/limiter"
	"persimmonvalve/runner"
	"persimmonvalve/standin"
)

type logSettings struct {
	Address netip.AddrPort `arg:"--address" default:"127.0.0.1:7001" help:"IP and port to listen on" validate:"address"`
	Keep    int            `arg:"--keep" help:"records retained per stream; 0 retains all" validate:"gte=0"`
}

type workersSettings struct {
	Address    netip.AddrPort `arg:"--address" default:"127.0.0.1:7002" help:"IP and port to listen on" validate:"address"`
	Count      int            `arg:"--count" default:"6" help:"number of workers, three per rack" validate:"gte=1,lte=2000"`
	Region     string         `arg:"--region" default:"cantabria" help:"region of the workers"`
	Zones      []string       `arg:"--zones" help:"availability zones, assigned to racks round-robin" validate:"min=1"`
	Cores      int64          `arg:"--cores" default:"32" help:"cores of each worker" validate:"gte=1"`
	MemoryMB   int64          `arg:"--memory-mb" default:"125000" help:"memory of each worker in MB" validate:"gte=1"`
	Slots      int64          `arg:"--slots" default:"8" help:"slots of each worker" validate:"gte=1"`
	Checkpoint time.Duration  `arg:"--checkpoint" default:"1m" help:"progress of a task between checkpoints; 0 means no checkpoints" validate:"gte=0"`
}

type endpointsSettings struct {
	Addresses []netip.AddrPort `arg:"--addresses" help:"IP and port of each endpoint" validate:"min=1"`
	Delay     time.Duration    `arg:"--delay" help:"delay before each answer" validate:"gte=0"`
}

// serveAll serves each handler at its address until the process receives a stop
// signal.
func serveAll(handlers map[netip.AddrPort]http.Handler) int {
	logger, err := runner.NewLogger(runner.Common{LogLevel: "info", LogFormat: "console"})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return runner.ExitUsage
	}
	limits := limiter.New(limiter.DefaultSettings(), logger, runner.NewRegistry())
	var stops []func(context.Context) error
	for address, handler := range handlers {
		l, err := net.Listen("tcp", address.String())
		if err != nil {
			logger.Error("standin: cannot listen", logfield.Error(err))
			return runner.ExitFailed
		}
		logger.Info("standin: serving", zap.Stringer("address", l.Addr()))
		stops = append(stops, runner.StartHTTP(l, handler, limits, logger).Stop)
	}
	runner.WaitForStopSignal(logger)
	ctx, cancel := context.WithTimeout(context.Background(), runner.StopTimeout)
	defer cancel()
	for _, stop := range stops {
		_ = stop(ctx)
	}
	return runner.ExitDone
}

func serveLog(s logSettings) int {
	log := standin.NewLog()
	log.SetFaults(standin.LogFaults{RetainedRecords: s.Keep})
	return serveAll(map[netip.AddrPort]http.Handler{s.Address: standin.LogHandler(log)})
}

func serveWorkers(s workersSettings) int {
	workers := standin.NewWorkers()
	for i := range s.Count {
		rack := i / 3
		info := pv.WorkerInfo{
			ID: pv.WorkerID(fmt.Sprintf("worker-%d", i)), Address: s.Address,
			Location: pv.Location{Region: s.Region, Zone: s.Zones[rack%len(s.Zones)], Rack: fmt.Sprintf("rack-%d", rack)},
			Capacity: pv.Resources{MilliCores: s.Cores * 1000, MemoryMB: s.MemoryMB, Slots: s.Slots},
		}
		w := standin.NewWorkerCore(info, standin.DeclaredTruth{}, time.Now())
		w.CheckpointInterval = s.Checkpoint
		workers.Add(w)
	}
	return serveAll(map[netip.AddrPort]http.Handler{s.Address: standin.WorkersHandler(workers)})
}

func serveEndpoints(s endpointsSettings) int {
	handlers := map[netip.AddrPort]http.Handler{}
	for i, address := range s.Addresses {
		e := standin.NewEndpoint(fmt.Sprintf("endpoint-%d", i))
		e.SetFaults(standin.EndpointFaults{Delay: s.Delay})
		handlers[address] = standin.EndpointHandler(e)
	}
	return serveAll(handlers)
}
