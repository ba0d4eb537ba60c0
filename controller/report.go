package controller

// This file defines the report and the lists of workers, endpoints and cells.

import (
	"context"
	"encoding/csv"
	"fmt"
	"io"
	"strings"
	"time"

	"persimmonvalve/internal/apigen"
)

// Report prints the account of all work.
type Report struct {
	Customer string    `arg:"--customer" help:"only this customer's"`
	Plan     string    `arg:"--plan" help:"only this plan's"`
	From     time.Time `arg:"--from" help:"only work submitted from then on (RFC 3339)"`
	To       time.Time `arg:"--to" help:"only work submitted before then (RFC 3339)"`
	Format   string    `arg:"--format" default:"text" help:"text, json or csv" validate:"oneof=text json csv"`
}

// Run implements Command.
func (r *Report) Run(ctx context.Context, c *Controller) error {
	params := apigen.GetReportParams{Customer: given(r.Customer), Plan: given(r.Plan)}
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

var reportHeader = []string{"customer", "plan", "submitted", "finished", "failed", "refused", "cancelled", "unknown",
	"waiting", "running", "runs", "evictions", "retries", "lostSeconds", "waitP50", "waitP99", "runP50", "runP99", "gap", "reasons"}

func reportFields(p apigen.PlanReport) []string {
	n := func(i int64) string { return fmt.Sprint(i) }
	s := func(x float64) string { return fmt.Sprintf("%.3f", x) }
	return []string{p.Customer, p.Plan, n(p.Submitted), n(p.Finished), n(p.Failed), n(p.Refused), n(p.Cancelled), n(p.Unknown),
		n(p.Waiting), n(p.Running), n(p.Runs), joined(p.Evictions), joined(p.Retries), s(p.LostSeconds),
		s(p.Wait.P50), s(p.Wait.P99), s(p.RunTime.P50), s(p.RunTime.P99), n(p.Gap), joined(p.Reasons)}
}

// joined writes counts as reason=count; it is 0 for none.
func joined(counts []apigen.Count) string {
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
	verdict := "every account closes"
	if !r.Closes {
		verdict = "NOT every account closes: see the column gap"
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

// Workers lists workers.
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

// Endpoints lists endpoints.
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

// Cells lists cells and homes.
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
