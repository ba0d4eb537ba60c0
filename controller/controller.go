package controller

// This file defines the controller with its output and exit codes.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/zeebo/errs"

	pv "persimmonvalve"
	"persimmonvalve/internal/apigen"
	"persimmonvalve/runner"
)

// Error is the class of this package's errors.
var Error = errs.Class("pvalvectl")

// Options are the flags of all commands.
type Options struct {
	Entry   string        `arg:"--entry,env:PVALVE_ENTRY" default:"http://127.0.0.1:8080" help:"base URL of an entry or of the balancer" validate:"url"`
	JSON    bool          `arg:"--json,env:PVALVE_JSON" help:"print JSON instead of tables"`
	Timeout time.Duration `arg:"--timeout,env:PVALVE_TIMEOUT" default:"1m" help:"time limit of the whole command" validate:"gt=0"`
}

// Command is one command of the program.
type Command interface {
	// Run runs the command. Its error determines the exit code.
	Run(ctx context.Context, c *Controller) error
}

// Controller holds the client, the input and the outputs that commands use.
type Controller struct {
	options Options
	api     *apigen.Client
	in      io.Reader
	out     io.Writer
	errOut  io.Writer
}

// New returns a controller that calls the entry given in the options.
func New(o Options, in io.Reader, out, errOut io.Writer) (*Controller, error) {
	api, err := apigen.NewClient(strings.TrimSuffix(o.Entry, "/"))
	if err != nil {
		fmt.Fprintln(errOut, "pvalvectl:", err)
		return nil, Error.Wrap(err)
	}
	return &Controller{options: o, api: api, in: in, out: out, errOut: errOut}, nil
}

// UsageError reports that a command was called with invalid arguments or input.
type UsageError struct{ Text string }

// Error implements error.
func (u UsageError) Error() string { return u.Text }

// Run runs a command and returns the exit code.
func (c *Controller) Run(ctx context.Context, command Command) int {
	if command == nil {
		fmt.Fprintln(c.errOut, "pvalvectl: no command given; --help lists the commands")
		return runner.ExitUsage
	}
	err := command.Run(ctx, c)
	if err != nil {
		c.printError(err)
	}
	return exitCode(err)
}

// printError writes an error to errOut, as JSON if the options ask for it and the
// entry sent the error.
func (c *Controller) printError(err error) {
	var e *apigen.ErrorStatusCode
	if !errors.As(err, &e) {
		fmt.Fprintln(c.errOut, "pvalvectl:", err)
		return
	}
	r := e.Response
	if c.options.JSON {
		_ = json.NewEncoder(c.errOut).Encode(r)
		return
	}
	fmt.Fprintf(c.errOut, "pvalvectl: %s (%s): %s\n", r.Outcome, r.Reason, r.Message)
}

// exitCode maps an error to an exit code. An operation that provably had no effect
// gets another code than one that may have had an effect.
func exitCode(err error) int {
	var e *apigen.ErrorStatusCode
	var usage UsageError
	switch {
	case err == nil:
		return runner.ExitDone
	case errors.As(err, &usage):
		return runner.ExitUsage
	case errors.As(err, &e) && pv.Outcome(e.Response.Outcome) == pv.OutcomeUnknown:
		return runner.ExitUnknown
	case errors.As(err, &e):
		return runner.ExitFailed
	case strings.Contains(err.Error(), "connection refused"):
		return runner.ExitFailed // the connection was not opened, so nothing was sent
	}
	return runner.ExitUnknown
}

// print writes a value as JSON if the options ask for it, otherwise as the table
// that the function writes.
func (c *Controller) print(value any, table func(w io.Writer)) error {
	if c.options.JSON {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return Error.Wrap(encoder.Encode(value))
	}
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	table(w)
	return Error.Wrap(w.Flush())
}

// row writes the fields as one row of a table.
func row(w io.Writer, fields ...any) {
	texts := make([]string, len(fields))
	for i, f := range fields {
		texts[i] = fmt.Sprint(f)
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}
