// Command pvalvectl publishes and shows the lists of plans and allowances, submits
// and watches tasks, sends requests, and prints the report and the state of the
// platform.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"persimmonvalve/controller"
	"persimmonvalve/runner"
)

// listCommands are the subcommands of plans and allowances.
type listCommands struct {
	Publish *controller.Publish `arg:"subcommand:publish" help:"publish a list from a file"`
	Show    *controller.Show    `arg:"subcommand:show" help:"print the list in force"`
	Check   *controller.Check   `arg:"subcommand:check" help:"check a file without publishing it"`
	History *controller.History `arg:"subcommand:history" help:"print the versions of the list with their verdicts"`
}

// taskCommands are the subcommands of task.
type taskCommands struct {
	Submit *controller.Submit `arg:"subcommand:submit" help:"submit a task"`
	Show   *controller.Task   `arg:"subcommand:show" help:"print a task with its events"`
	List   *controller.Tasks  `arg:"subcommand:list" help:"list tasks"`
	Cancel *controller.Cancel `arg:"subcommand:cancel" help:"cancel a task"`
	Watch  *controller.Watch  `arg:"subcommand:watch" help:"print a task's states until it ends"`
}

type settings struct {
	controller.Options
	Plans      *listCommands         `arg:"subcommand:plans" help:"publish and show the customers' plans"`
	Allowances *listCommands         `arg:"subcommand:allowances" help:"publish and show what each plan may use"`
	Task       *taskCommands         `arg:"subcommand:task" help:"submit, show and cancel tasks"`
	Request    *controller.Request   `arg:"subcommand:request" help:"send one request; the body comes from standard input"`
	Report     *controller.Report    `arg:"subcommand:report" help:"print the report on all work by customer and plan"`
	Workers    *controller.Workers   `arg:"subcommand:workers" help:"list workers with their tasks"`
	Endpoints  *controller.Endpoints `arg:"subcommand:endpoints" help:"list the endpoints that the entry uses"`
	Explain    *controller.Explain   `arg:"subcommand:explain" help:"say where a job would go now, and why, without sending it"`
	Cells      *controller.Cells     `arg:"subcommand:cells" help:"list cells and homes with their holders"`
}

// Version implements go-arg's Versioned, which adds --version.
func (settings) Version() string { return "pvalvectl " + runner.Version }

// Epilogue implements go-arg's Epilogued: it returns the last line of the help.
func (settings) Epilogue() string {
	return "Exit status: 0 done, 1 refused or failed (not run), 2 usage error, 3 unknown outcome."
}

func main() { runner.Main("pvalvectl", run) }

func run(s settings) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	ctx, cancelTimeout := context.WithTimeout(ctx, max(s.Timeout, time.Millisecond))
	defer cancelTimeout()
	c, err := controller.New(s.Options, os.Stdin, os.Stdout, os.Stderr)
	if err != nil {
		return runner.ExitUsage
	}
	return c.Run(ctx, s.command())
}

// command returns the selected command, or nil if none was named.
func (s settings) command() controller.Command {
	switch {
	case s.Plans != nil:
		return s.Plans.command("plans")
	case s.Allowances != nil:
		return s.Allowances.command("allowances")
	case s.Task != nil:
		return s.Task.command()
	case s.Request != nil:
		return s.Request
	case s.Report != nil:
		return s.Report
	case s.Workers != nil:
		return s.Workers
	case s.Endpoints != nil:
		return s.Endpoints
	case s.Cells != nil:
		return s.Cells
	case s.Explain != nil:
		return s.Explain
	}
	return nil
}

// command returns the selected command on the named list, or nil if none was named.
func (s *listCommands) command(list string) controller.Command {
	switch {
	case s.Publish != nil:
		return s.Publish.ForList(list)
	case s.Show != nil:
		return s.Show.ForList(list)
	case s.Check != nil:
		return s.Check.ForList(list)
	case s.History != nil:
		return s.History.ForList(list)
	}
	return nil
}

// command returns the selected command, or nil if none was named.
func (s *taskCommands) command() controller.Command {
	switch {
	case s.Submit != nil:
		return s.Submit
	case s.Show != nil:
		return s.Show
	case s.List != nil:
		return s.List
	case s.Cancel != nil:
		return s.Cancel
	case s.Watch != nil:
		return s.Watch
	}
	return nil
}
