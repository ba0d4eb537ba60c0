package controller

// This file defines the commands that print the report, the workers, the endpoints
// and the cells.

import (
	"context"
	"encoding/csv"
	"fmt"
	"io"
	"strings"
	"time"

	"persimmonvalve/internal/apigen"
)

// Report prints the accounting of requests and tasks by plan.
type Report struct {
	Customer string    `arg:"--customer" help:"only the plans of this customer"`
	Plan     string    `arg:"--plan" help:"only this plan"`
	From     time.Time `arg:"--from" help:"only work submitted at or after this time (RFC 3339)"`
	To       time.Time `arg:"--to" help:"only work submitted before this time (RFC 3339)"`
	Format   string    `arg:"--format" default:"text" help:"output format: text, json or csv" validate:"oneof=text json csv"`
}

// Run implements Command.
func (r *Report) Run(ctx context.Context, c *Controller) error {
	params := apigen.GetReportParams{Customer: optString(r.Customer), Plan: optString(r.Plan)}
	if !r.From.IsZero() {
		params.From = apigen.NewOptDateTime(r.From)
	}
	if !r.To.IsZero() {
		params.To = apigen.NewOptDateTime(r.To)
	}
	report, err := c.api.GetReport(ctx, params)
	if err != nil {
		return err
	}
	switch r.Format {
	case "json":
		c.options.JSON = true
	case "csv":
		return c.reportCSV(report)
	}
	return c.print(report, func(w io.Writer) { reportText(w, report) })
}

// reportHeader lists the columns of the text and CSV reports. Times are in seconds.
var reportHeader = []string{"customer", "plan", "submitted", "finished", "failed", "refused", "cancelled", "unknown",
	"waiting", "running", "runs", "evictions", "retries", "lostSeconds", "waitP50", "waitP99", "runP50", "runP99", "gap", "reasons"}

func reportFields(p apigen.PlanReport) []string {
	integer := func(i int64) string { return fmt.Sprint(i) }
	decimal := func(x float64) string { return fmt.Sprintf("%.3f", x) }
	return []string{p.Customer, p.Plan, integer(p.Submitted), integer(p.Finished), integer(p.Failed), integer(p.Refused), integer(p.Cancelled), integer(p.Unknown),
		integer(p.Waiting), integer(p.Running), integer(p.Runs), formatCounts(p.Evictions), formatCounts(p.Retries), decimal(p.LostSeconds),
		decimal(p.Wait.P50), decimal(p.Wait.P99), decimal(p.RunTime.P50), decimal(p.RunTime.P99), integer(p.Gap), formatCounts(p.Reasons)}
}

// formatCounts formats counts as reason=count, separated by spaces, and no counts
// as 0.
func formatCounts(counts []apigen.Count) string {
	if len(counts) == 0 {
		return "0"
	}
	parts := make([]string, len(counts))
	for i, c := range counts {
		parts[i] = fmt.Sprintf("%s=%d", c.Reason, c.Count)
	}
	return strings.Join(parts, " ")
}

func reportText(w io.Writer, r *apigen.Report) {
	row(w, strings.Join(reportHeader, "\t"))
	for _, p := range r.Plans {
		row(w, strings.Join(reportFields(p), "\t"))
	}
	for _, g := range r.Gaps {
		row(w, "gap: "+g)
	}
	// Closes is true if the counts of every plan add up: submitted = waiting +
	// running + ended. Made is the time of the report.
	verdict := "all submitted work is accounted for"
	if !r.Closes {
		verdict = "NOT all submitted work is accounted for: see the column gap"
	}
	row(w, fmt.Sprintf("made %s; %s", r.Made.Format(time.RFC3339), verdict))
}

func (c *Controller) reportCSV(r *apigen.Report) error {
	w := csv.NewWriter(c.out)
	lines := [][]string{reportHeader}
	for _, p := range r.Plans {
		lines = append(lines, reportFields(p))
	}
	err := w.WriteAll(lines)
	for _, g := range r.Gaps {
		fmt.Fprintln(c.errOut, "gap:", g)
	}
	return Error.Wrap(err)
}

// Workers prints the workers and the tasks on them.
type Workers struct{}

// Run implements Command.
func (*Workers) Run(ctx context.Context, c *Controller) error {
	workers, err := c.api.GetWorkers(ctx)
	if err != nil {
		return err
	}
	return c.print(workers, func(w io.Writer) {
		row(w, "ID", "ZONE", "RACK", "CELL", "CAPACITY", "RESERVED", "TASKS")
		for _, k := range workers {
			row(w, k.ID, k.Zone, k.Rack, k.Cell, k.Capacity, k.Reserved, strings.Join(k.Tasks, " "))
		}
	})
}

// Endpoints prints the endpoints that the entry uses.
type Endpoints struct{}

// Run implements Command.
func (*Endpoints) Run(ctx context.Context, c *Controller) error {
	endpoints, err := c.api.GetEndpoints(ctx)
	if err != nil {
		return err
	}
	return c.print(endpoints, func(w io.Writer) {
		row(w, "NAME", "SERVICE", "ZONE", "ADDRESS", "IN PROGRESS", "SLOTS", "LATENCY MS", "STATE")
		for _, e := range endpoints {
			row(w, e.Name, e.Service, e.Zone, e.Address, e.InProgress, e.Slots, fmt.Sprintf("%.1f", e.LatencyMs), e.State)
		}
	})
}

// Cells prints the cells and homes with their holders.
type Cells struct{}

// Run implements Command.
func (*Cells) Run(ctx context.Context, c *Controller) error {
	cells, err := c.api.GetCells(ctx)
	if err != nil {
		return err
	}
	return c.print(cells, func(w io.Writer) {
		row(w, "STREAM", "TERM", "HOLDER", "STATE", "WAITING", "RUNNING")
		for _, s := range cells {
			row(w, s.Stream, s.Term, s.Holder, s.State, s.Waiting, s.Running)
		}
	})
}
