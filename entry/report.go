package entry

// This file defines the report as callers see it.

import (
	"cmp"
	"context"
	"slices"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/internal/apigen"
	"persimmonvalve/reporter"
)

// reportTimeout bounds the reading of all streams.
const reportTimeout = 2 * time.Minute

// GetReport implements apigen.Handler.
func (e *Entry) GetReport(ctx context.Context, params apigen.GetReportParams) (*apigen.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	now := time.Now()
	e.flushBook(ctx)
	r, err := reporter.Make(ctx, e.log,
		reporter.Streams{Cells: e.settings.Layout.CellStreams(), Homes: e.settings.Layout.HomeStreams()},
		reporter.Query{Customer: params.Customer.Value, Plan: params.Plan.Value, From: params.From.Value, To: params.To.Value, Now: now})
	if err != nil {
		return nil, unknown(pv.ReasonLogDown, "the log can't be read now: %v", err)
	}
	out := &apigen.Report{Made: now, Closes: r.Closes(), Plans: []apigen.PlanReport{}, Gaps: append([]string{}, r.Gaps...)}
	for _, p := range r.Plans {
		out.Plans = append(out.Plans, planReport(p))
	}
	return out, nil
}

// flushBook appends this entry's open sums, so that the report has them.
func (e *Entry) flushBook(ctx context.Context) {
	flushed := func() (done bool) {
		e.control.Do(func() {
			done = e.book.Open() == 0 && !e.booking
			e.bookedAt = time.Time{} // due now
		})
		return done
	}
	for !flushed() && ctx.Err() == nil {
		time.Sleep(e.settings.Tick)
	}
}

func planReport(p *reporter.PlanReport) apigen.PlanReport {
	return apigen.PlanReport{
		Customer: p.Customer, Plan: p.Plan, Submitted: p.Submitted, Waiting: p.Waiting, Running: p.Running,
		Finished: p.Outcomes[pv.Finished], Failed: p.Outcomes[pv.Failed], Refused: p.Outcomes[pv.Refused],
		Cancelled: p.Outcomes[pv.Cancelled], Unknown: p.Outcomes[pv.Unknown],
		Runs: p.Runs, LostSeconds: p.Lost.Seconds(), Gap: p.Gap(),
		Reasons: counts(p.Reasons), Evictions: counts(p.Evictions), Retries: counts(p.Retries),
		Wait: quantiles(p.Wait), RunTime: quantiles(p.RunTime),
	}
}

func counts(m map[pv.Reason]int64) []apigen.Count {
	out := []apigen.Count{}
	for reason, n := range m {
		if n != 0 {
			out = append(out, apigen.Count{Reason: string(reason), Count: n})
		}
	}
	slices.SortFunc(out, func(a, b apigen.Count) int { return cmp.Compare(a.Reason, b.Reason) })
	return out
}

func quantiles(t *reporter.Times) apigen.Quantiles {
	return apigen.Quantiles{
		Count: t.Count(), P50: t.Quantile(50).Seconds(), P99: t.Quantile(99).Seconds(),
		P999: t.Quantile(99.9).Seconds(), Max: t.Quantile(100).Seconds(),
	}
}
