// Command pvalve-entry runs an entry, which serves callers and operators behind
// the platform's load balancer.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/connector"
	"persimmonvalve/entry"
	"persimmonvalve/internal/apigen"
	"persimmonvalve/internal/logfield"
	"persimmonvalve/internal/meter"
	"persimmonvalve/messenger"
	"persimmonvalve/runner"
)

type settings struct {
	runner.Common
	runner.Process
	runner.Site
	Places       int           `arg:"--places,env:PVALVE_PLACES" default:"512" help:"maximum number of requests in progress" validate:"gte=1"`
	QueueTotal   int           `arg:"--queue-total,env:PVALVE_QUEUE_TOTAL" default:"4096" help:"maximum number of queued requests, all plans together" validate:"gte=0"`
	QueuePlan    int           `arg:"--queue-plan,env:PVALVE_QUEUE_PLAN" default:"512" help:"maximum number of queued requests of one plan" validate:"gte=0"`
	Subset       int           `arg:"--subset,env:PVALVE_SUBSET" default:"20" help:"maximum number of endpoints of one service that this entry uses" validate:"gte=1"`
	LinkBytes    int           `arg:"--link-bytes,env:PVALVE_LINK_BYTES" default:"1000000" help:"maximum bytes per second that requests send between regions" validate:"gte=0"`
	CallTimeout  time.Duration `arg:"--call-timeout,env:PVALVE_CALL_TIMEOUT" default:"3s" help:"timeout of calls to the platform" validate:"gt=0"`
	ConfigPoll   time.Duration `arg:"--config-poll,env:PVALVE_CONFIG_POLL" default:"1s" help:"interval between reads of the configuration" validate:"gt=0"`
	FleetPoll    time.Duration `arg:"--fleet-poll,env:PVALVE_FLEET_POLL" default:"1m" help:"interval between reads of the list of workers" validate:"gt=0"`
	Drain        time.Duration `arg:"--drain,env:PVALVE_DRAIN" default:"3s" help:"time after SIGTERM in which calls are still served, each closing its connection, before the API stops" validate:"gte=0"`
	AccountEvery time.Duration `arg:"--account-every,env:PVALVE_ACCOUNT_EVERY" default:"5s" help:"interval between records in the accounts stream" validate:"gt=0"`
}

// Version implements the argument parser's interface for programs with a
// --version flag; the text also heads the help.
func (settings) Version() string { return "pvalve-entry " + runner.Version }

func main() { runner.Main("pvalve-entry", run) }

func run(s settings) int {
	logger, err := runner.NewLogger(s.Common)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return runner.ExitUsage
	}
	listener, err := net.Listen("tcp", s.Address.String())
	if err != nil {
		logger.Error("entry: listening on the API address failed; exiting", logfield.Error(err))
		return runner.ExitFailed
	}
	registry := runner.NewRegistry()
	limits := runner.NewLimiter(s.Common, logger, registry)
	client := connector.NewHTTPClient(s.CallTimeout, meter.New(registry, "platform"))
	e := entry.New(s.entrySettings(), entry.Dependencies{
		Log:      connector.NewLog(client, s.LogURL),
		Fleet:    connector.NewFleet(client, s.FleetURL),
		Client:   messenger.NewClient(meter.New(registry, "sessions")),
		Logger:   logger,
		Registry: registry,
		Random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	api, err := apigen.NewServer(e)
	if err != nil {
		logger.Error("entry: creating the API server failed; exiting", logfield.Error(err))
		return runner.ExitFailed
	}
	stopAdmin, err := runner.StartAdmin(s.AdminAddress, e.Ready, registry, limits, logger)
	if err != nil {
		logger.Error("entry: serving the admin address failed; exiting", logfield.Error(err))
		return runner.ExitFailed
	}
	server := runner.StartHTTP(listener, api, limits, logger)
	logger.Info("entry: serving the API", zap.Stringer("address", listener.Addr()))
	runner.WaitForStopSignal(logger)
	ctx, cancel := context.WithTimeout(context.Background(), runner.StopTimeout)
	defer cancel()
	e.Drain()
	server.Drain(ctx, s.Drain)
	code := runner.ExitDone
	for _, stop := range []func(context.Context) error{server.Stop, e.Stop, stopAdmin} {
		if err := stop(ctx); err != nil {
			logger.Error("entry: a step of the shutdown failed; continuing with the next one", logfield.Error(err))
			code = runner.ExitFailed
		}
	}
	return code
}

// entrySettings returns the entry's settings: the defaults, overridden by the
// flags.
func (s settings) entrySettings() entry.Settings {
	result := entry.DefaultSettings()
	result.Member = s.Member(pv.RoleEntry, "")
	result.Layout = s.Layout()
	result.Admitter.MaxConcurrencyLimit = s.Places
	result.Admitter.MaxQueued = s.QueueTotal
	result.Admitter.MaxQueuedPerPlan = s.QueuePlan
	result.Router.SubsetSize = s.Subset
	result.Router.LinkBytesPerSecond = float64(s.LinkBytes)
	result.Router.LinkBurstBytes = s.LinkBytes
	result.CallTimeout = s.CallTimeout
	result.ConfigPollInterval = s.ConfigPoll
	result.FleetPollInterval = s.FleetPoll
	result.AccountInterval = s.AccountEvery
	return result
}
