// Command pvalve-agent runs beside an endpoint: it announces and guards it,
// and may hold cells and homes.
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
	Service     string        `arg:"--service,env:PVALVE_SERVICE" help:"endpoint kind that the endpoint beside this agent serves" validate:"required"`
	EndpointURL string        `arg:"--endpoint-url,env:PVALVE_ENDPOINT_URL" help:"base URL of the endpoint beside this agent" validate:"required,url"`
	Slots       int           `arg:"--slots,env:PVALVE_SLOTS" default:"8" help:"requests that the endpoint runs at once" validate:"gte=1"`
	Connections int           `arg:"--connections,env:PVALVE_CONNECTIONS" default:"64" help:"requests that run or wait for a slot" validate:"gte=1"`
	CallTimeout time.Duration `arg:"--call-timeout,env:PVALVE_CALL_TIMEOUT" default:"3s" help:"of calls to the platform" validate:"gt=0"`
	ConfigPoll  time.Duration `arg:"--config-poll,env:PVALVE_CONFIG_POLL" default:"10s" help:"between reads of the configuration; entries pass changes on sooner" validate:"gt=0"`
	FleetPoll   time.Duration `arg:"--fleet-poll,env:PVALVE_FLEET_POLL" default:"1m" help:"between reads of the list of workers, by holders of cells" validate:"gt=0"`
	Lease       time.Duration `arg:"--lease,env:PVALVE_LEASE" default:"15s" help:"of workers" validate:"gte=1s"`
	Renew       time.Duration `arg:"--renew,env:PVALVE_RENEW" default:"2s" help:"between renewals of a lease" validate:"gt=0,ltfield=Lease"`
	Authority   time.Duration `arg:"--authority,env:PVALVE_AUTHORITY" default:"75m" help:"a holder that can't read the log for so long stops; the same everywhere" validate:"gt=0"`
	StopTimeout time.Duration `arg:"--stop-timeout,env:PVALVE_STOP_TIMEOUT" default:"30s" help:"of a graceful stop" validate:"gt=0"`
}

// Version implements the library's version flag.
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
		logger.Error("agent: cannot listen", logfield.Error(err))
		return runner.ExitRefused
	}
	registry := runner.NewRegistry()
	client := connector.NewHTTPClient(s.CallTimeout, meter.New(registry, "platform"))
	a := agent.New(s.agent(), agent.Dependencies{
		Platform: agent.Platform{
			Log:      connector.NewLog(client, s.LogURL),
			Fleet:    connector.NewFleet(client, s.FleetURL),
			Workers:  connector.NewWorkers(client),
			Endpoint: connector.NewEndpoint(connector.NewHTTPClient(0, meter.New(registry, "endpoint")), s.EndpointURL),
		},
		Listener: meter.New(registry, "sessions").Listener(listener),
		Logger:   logger,
		Registry: registry,
	})
	stopAdmin, err := runner.ServeAdmin(s.AdminAddress, a.Ready, registry, logger)
	if err != nil {
		logger.Error("agent: admin address can't be served", logfield.Error(err))
		return runner.ExitRefused
	}
	runner.Wait(logger)
	ctx, cancel := context.WithTimeout(context.Background(), s.StopTimeout)
	defer cancel()
	code := runner.ExitDone
	for _, stop := range []func(context.Context) error{a.Stop, stopAdmin} {
		if err := stop(ctx); err != nil {
			logger.Error("agent: stop was not clean", logfield.Error(err))
			code = runner.ExitRefused
		}
	}
	return code
}

func (s settings) agent() agent.Settings {
	out := agent.DefaultSettings()
	out.Member = s.Member(pv.RoleAgent, s.Service)
	out.Layout = s.Layout()
	out.Slots = s.Slots
	out.Connections = s.Connections
	out.CallTimeout = s.CallTimeout
	out.ConfigPoll = s.ConfigPoll
	out.FleetPoll = s.FleetPoll
	out.StopTimeout = s.StopTimeout
	out.Holder.Authority = s.Authority
	out.Scheduler.Authority = s.Authority
	out.Scheduler.Lease = s.Lease
	out.Scheduler.RenewEvery = s.Renew
	return out
}
