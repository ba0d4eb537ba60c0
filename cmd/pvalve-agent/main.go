// Command pvalve-agent runs next to an endpoint: it announces the endpoint, limits
// its concurrent requests, and may hold the terms of cells and homes.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/agent"
	"persimmonvalve/connector"
	"persimmonvalve/internal/logfield"
	"persimmonvalve/internal/meter"
	"persimmonvalve/runner"
)

type settings struct {
	runner.Common
	runner.Process
	runner.Site
	Service     string        `arg:"--service,env:PVALVE_SERVICE" help:"service that the endpoint next to this agent provides" validate:"required"`
	EndpointURL string        `arg:"--endpoint-url,env:PVALVE_ENDPOINT_URL" help:"base URL of the endpoint next to this agent" validate:"required,url"`
	Slots       int           `arg:"--slots,env:PVALVE_SLOTS" default:"8" help:"maximum number of concurrent requests at the endpoint" validate:"gte=1"`
	Connections int           `arg:"--connections,env:PVALVE_CONNECTIONS" default:"64" help:"maximum number of requests that run or wait for a slot" validate:"gte=1"`
	CallTimeout time.Duration `arg:"--call-timeout,env:PVALVE_CALL_TIMEOUT" default:"3s" help:"timeout of each call to the platform" validate:"gt=0"`
	ConfigPoll  time.Duration `arg:"--config-poll,env:PVALVE_CONFIG_POLL" default:"10s" help:"interval between reads of the configuration; entries usually deliver changes earlier" validate:"gt=0"`
	FleetPoll   time.Duration `arg:"--fleet-poll,env:PVALVE_FLEET_POLL" default:"1m" help:"interval between reads of the list of workers, if this agent schedules a cell" validate:"gt=0"`
	Lease       time.Duration `arg:"--lease,env:PVALVE_LEASE" default:"15s" help:"duration of a worker's lease" validate:"gte=1s"`
	Renew       time.Duration `arg:"--renew,env:PVALVE_RENEW" default:"2s" help:"interval between renewals of a worker's lease" validate:"gt=0,ltfield=Lease"`
	Authority   time.Duration `arg:"--authority,env:PVALVE_AUTHORITY" default:"75m" help:"time without a successful read of the log after which a holder stops acting; must be the same in all agents" validate:"gt=0"`
	StopTimeout time.Duration `arg:"--stop-timeout,env:PVALVE_STOP_TIMEOUT" default:"30s" help:"timeout of a graceful stop" validate:"gt=0"`
}

// Version implements arg.Versioned, which provides --version.
func (settings) Version() string { return "pvalve-agent " + runner.Version }

func main() { runner.Main("pvalve-agent", run) }

func run(s settings) int {
	logger, err := runner.NewLogger(s.Common)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return runner.ExitUsage
	}
	listener, err := net.Listen("tcp", s.Address.String())
	if err != nil {
		logger.Error("agent: listening on the agent's address failed; exiting", logfield.Error(err))
		return runner.ExitFailed
	}
	registry := runner.NewRegistry()
	limits := runner.NewLimiter(s.Common, logger, registry)
	// The client limits calls to workers as well, in addition to Scheduler.CallTimeout.
	client := connector.NewHTTPClient(s.CallTimeout, meter.New(registry, "platform"))
	a := agent.New(s.agentSettings(), agent.Dependencies{
		Platform: agent.Platform{
			Log:     connector.NewLog(client, s.LogURL),
			Fleet:   connector.NewFleet(client, s.FleetURL),
			Workers: connector.NewWorkers(client),
			// 0: the client has no timeout of its own.
			Endpoint: connector.NewEndpoint(connector.NewHTTPClient(0, meter.New(registry, "endpoint")), s.EndpointURL),
		},
		Listener: meter.New(registry, "sessions").Listener(listener),
		Logger:   logger,
		Registry: registry,
	})
	stopAdmin, err := runner.StartAdmin(s.AdminAddress, a.Ready, registry, limits, logger)
	if err != nil {
		logger.Error("agent: serving the admin address failed; exiting", logfield.Error(err))
		return runner.ExitFailed
	}
	runner.WaitForStopSignal(logger)
	ctx, cancel := context.WithTimeout(context.Background(), s.StopTimeout)
	defer cancel()
	code := runner.ExitDone
	for _, stop := range []func(context.Context) error{a.Stop, stopAdmin} {
		if err := stop(ctx); err != nil {
			logger.Error("agent: graceful stop failed", logfield.Error(err))
			code = runner.ExitFailed
		}
	}
	return code
}

func (s settings) agentSettings() agent.Settings {
	out := agent.DefaultSettings()
	out.Member = s.Member(pv.RoleAgent, s.Service)
	out.Layout = s.Layout()
	out.Slots = s.Slots
	out.MaxRequests = s.Connections
	out.CallTimeout = s.CallTimeout
	out.ConfigPollInterval = s.ConfigPoll
	out.FleetPollInterval = s.FleetPoll
	out.StopTimeout = s.StopTimeout
	out.Holder.AuthorityTimeout = s.Authority
	out.Scheduler.AuthorityTimeout = s.Authority
	out.Scheduler.LeaseDuration = s.Lease
	out.Scheduler.LeaseRenewalInterval = s.Renew
	return out
}
