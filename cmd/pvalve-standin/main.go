// Command pvalve-standin runs small fakes of the platform, and the demo.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"persimmonvalve/demonstrator"
	"persimmonvalve/runner"
)

type demoSettings struct {
	Timeout time.Duration `arg:"--timeout" default:"1m" help:"the demo fails if it takes longer" validate:"gt=0"`
	Logs    bool          `arg:"--logs" help:"print the processes' logs as well"`
}

type settings struct {
	Demo *demoSettings `arg:"subcommand:demo" help:"run the whole path in one process on embedded stand-ins"`
}

// Version implements the library's version flag.
func (settings) Version() string { return "pvalve-standin " + runner.Version }

func main() {
	var s settings
	code, ok := runner.Parse("pvalve-standin", &s, runner.Arguments(), os.Stdout, os.Stderr)
	if ok {
		code = run(s)
	}
	os.Exit(code)
}

func run(s settings) int {
	switch {
	case s.Demo != nil:
		return demo(*s.Demo)
	}
	fmt.Fprintln(os.Stderr, "pvalve-standin: name a command; --help lists them")
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
	good, err := demonstrator.Demo(ctx, options, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "pvalve-standin: demo:", err)
		return runner.ExitRefused
	}
	if !good {
		return runner.ExitRefused
	}
	return runner.ExitDone
}
