// Command pvalve-entry serves callers and operators behind the platform's
// balancer.
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
	Places       int           `arg:"--places,env:PVALVE_PLACES" default:"512" help:"requests in progress at once" validate:"gte=1"`
	QueueTotal   int           `arg:"--queue-total,env:PVALVE_QUEUE_TOTAL" default:"4096" help:"requests that wait, all plans" validate:"gte=0"`
	QueuePlan    int           `arg:"--queue-plan,env:PVALVE_QUEUE_PLAN" default:"512" help:"requests of one plan that wait" validate:"gte=0"`
	Subset       int           `arg:"--subset,env:PVALVE_SUBSET" default:"20" help:"endpoints of one service that this entry uses" validate:"gte=1"`
	LinkBytes    int           `arg:"--link-bytes,env:PVALVE_LINK_BYTES" default:"1000000" help:"bytes a second that requests may send between regions" validate:"gte=0"`
	CallTimeout  time.Duration `arg:"--call-timeout,env:PVALVE_CALL_TIMEOUT" default:"3s" help:"of calls to the platform" validate:"gt=0"`
	ConfigPoll   time.Duration `arg:"--config-poll,env:PVALVE_CONFIG_POLL" default:"1s" help:"between reads of the configuration" validate:"gt=0"`
	FleetPoll    time.Duration `arg:"--fleet-poll,env:PVALVE_FLEET_POLL" default:"1m" help:"between reads of the list of workers" validate:"gt=0"`
	Drain        time.Duration `arg:"--drain,env:PVALVE_DRAIN" default:"3s" help:"after SIGTERM, how long callers are asked to leave before the API closes" validate:"gte=0"`
	AccountEvery time.Duration `arg:"--account-every,env:PVALVE_ACCOUNT_EVERY" default:"5s" help:"between records of the account" validate:"gt=0"`
}

// Version implements the library's version flag.
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
		logger.Error("entry: cannot listen", logfield.Error(err))
		return runner.ExitRefused
	}
	registry := runner.NewRegistry()
	client := connector.NewHTTPClient(s.CallTimeout, meter.New(registry, "platform"))
	e := entry.New(s.entry(), entry.Dependencies{
		Log:      connector.NewLog(client, s.LogURL),
		Fleet:    connector.NewFleet(client, s.FleetURL),
		Client:   messenger.NewClient(meter.New(registry, "sessions")),
		Logger:   logger,
		Registry: registry,
		Random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	api, err := apigen.NewServer(e)
	if err != nil {
		logger.Error("entry: API can't be served", logfield.Error(err))
		return runner.ExitRefused
	}
	stopAdmin, err := runner.ServeAdmin(s.AdminAddress, e.Ready, registry, logger)
	if err != nil {
		logger.Error("entry: admin address can't be served", logfield.Error(err))
		return runner.ExitRefused
	}
	server := runner.ServeHTTP(listener, api, logger)
	logger.Info("entry: serves callers", zap.Stringer("address", listener.Addr()))
	runner.Wait(logger)
	ctx, cancel := context.WithTimeout(context.Background(), runner.StopTimeout)
	defer cancel()
	e.Drain()
	server.Drain(ctx, s.Drain)
	code := runner.ExitDone
	for _, stop := range []func(context.Context) error{server.Stop, e.Stop, stopAdmin} {
		if err := stop(ctx); err != nil {
			logger.Error("entry: stop was not clean", logfield.Error(err))
			code = runner.ExitRefused
		}
	}
	return code
}

func (s settings) entry() entry.Settings {
	out := entry.DefaultSettings()
	out.Member = s.Member(pv.RoleEntry, "")
	out.Layout = s.Layout()
	out.Admission.Places = s.Places
	out.Admission.QueueTotal = s.QueueTotal
	out.Admission.QueuePlan = s.QueuePlan
	out.Routing.Subset = s.Subset
	out.Routing.LinkBytesPer = float64(s.LinkBytes)
	out.Routing.LinkBurst = s.LinkBytes
	out.CallTimeout = s.CallTimeout
	out.ConfigPoll = s.ConfigPoll
	out.FleetPoll = s.FleetPoll
	out.AccountsEvery = s.AccountEvery
	return out
}
