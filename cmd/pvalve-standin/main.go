// Command pvalve-standin serves fakes of the platform, and runs the demo and the
// experiments.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"persimmonvalve/demonstrator"
	"persimmonvalve/experimenter"
	"persimmonvalve/runner"
)

type demoSettings struct {
	Timeout time.Duration `arg:"--timeout" default:"1m" help:"time limit of the demo; when it ends, the demo fails" validate:"gt=0"`
	Logs    bool          `arg:"--logs" help:"also print the logs of all components"`
}

type experimentSettings struct {
	Name string `arg:"positional,required" help:"all, or one of steady, noisyWave, floodHeavy, floodUrgent, declarations10x, badWorkers, rackLoss, logOutage, cancelWave, slowLink"`
	Seed uint64 `arg:"--seed" default:"1" help:"seed of all random numbers"`
	CSV  string `arg:"--csv" help:"also write the rows to this CSV file"`
}

type settings struct {
	Log        *logSettings        `arg:"subcommand:log" help:"serve a fake log service"`
	Workers    *workersSettings    `arg:"subcommand:workers" help:"serve fake workers and their list"`
	Endpoints  *endpointsSettings  `arg:"subcommand:endpoints" help:"serve fake endpoints"`
	Experiment *experimentSettings `arg:"subcommand:experiment" help:"compare the scheduling policy with baselines and an oracle in virtual time"`
	Demo       *demoSettings       `arg:"subcommand:demo" help:"run a whole site in one process with fakes of the platform, and check its results"`
}

// Version returns the output of the --version flag.
func (settings) Version() string { return "pvalve-standin " + runner.Version }

func main() { runner.Main("pvalve-standin", run) }

func run(s settings) int {
	switch {
	case s.Demo != nil:
		return demo(*s.Demo)
	case s.Experiment != nil:
		return experiment(*s.Experiment)
	case s.Log != nil:
		return serveLog(*s.Log)
	case s.Workers != nil:
		return serveWorkers(*s.Workers)
	case s.Endpoints != nil:
		return serveEndpoints(*s.Endpoints)
	}
	fmt.Fprintln(os.Stderr, "pvalve-standin: no command given; --help lists the commands")
	return runner.ExitUsage
}

func demo(s demoSettings) int {
	options := demonstrator.DefaultOptions()
	if s.Logs {
		logger, err := runner.NewLogger(runner.Common{LogLevel: "debug", LogFormat: "console"})
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return runner.ExitUsage
		}
		options.Logger = logger
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout)
	defer cancel()
	passed, err := demonstrator.Demo(ctx, options, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "pvalve-standin: demo:", err)
		return runner.ExitFailed
	}
	if !passed {
		return runner.ExitFailed
	}
	return runner.ExitDone
}

func experiment(s experimentSettings) int {
	rows, err := experimenter.Run(s.Name, s.Seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, "pvalve-standin:", err)
		return runner.ExitUsage
	}
	if err := experimenter.WriteTable(os.Stdout, rows); err != nil {
		return runner.ExitFailed
	}
	if s.CSV == "" {
		return runner.ExitDone
	}
	f, err := os.Create(s.CSV)
	if err == nil {
		err = errors.Join(experimenter.WriteCSV(f, rows), f.Close())
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "pvalve-standin: experiment:", err)
		return runner.ExitFailed
	}
	return runner.ExitDone
}
