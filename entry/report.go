package entry

// This file defines the API call that returns the report.

import (
	"cmp"
	"context"
	"slices"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/internal/apigen"
	"persimmonvalve/reporter"
)

// reportTimeout bounds the time to read all streams for a report.
const reportTimeout = 2 * time.Minute

// GetReport implements apigen.Handler.
func (e *Entry) GetReport(ctx context.Context, params apigen.GetReportParams) (*apigen.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	now := time.Now()
	e.flushAccount(ctx)
	r, err := reporter.Make(ctx, e.log,
		reporter.Streams{Cells: e.settings.Layout.CellStreams(), Homes: e.settings.Layout.HomeStreams()},
		reporter.Query{Customer: params.Customer.Value, Plan: params.Plan.Value, From: params.From.Value, To: params.To.Value, Now: now})
	if err != nil {
		return nil, unknown(pv.ReasonLogUnavailable, "the log can't be read now: %v", err)
	}
	report := &apigen.Report{Made: now, Closes: r.Balanced(), Plans: []apigen.PlanReport{}, Gaps: append([]string{}, r.Gaps...)}
	for _, p := range r.Plans {
		report.Plans = append(report.Plans, planReport(p))
	}
	return report, nil
}

// flushAccount makes an append of this entry's sums due and waits until it has
// ended, so that the report includes them unless the append failed.
func (e *Entry) flushAccount(ctx context.Context) {
	flushed := func() (done bool) {
		e.eventLoop.Do(func() {
			done = !e.accounting.Unsettled() && !e.accountAppendPending
			e.accountRecordAt = time.Time{} // due now
		})
		return done
	}
	for !flushed() && ctx.Err() == nil {
		time.Sleep(e.settings.TickInterval)
	}
}

func planReport(p *reporter.PlanReport) apigen.PlanReport {
	return apigen.PlanReport{
		Customer: p.Customer, Plan: p.Plan, Submitted: p.Submitted, Waiting: p.Waiting, Running: p.Running,
		Finished: p.Outcomes[pv.OutcomeFinished], Failed: p.Outcomes[pv.OutcomeFailed], Refused: p.Outcomes[pv.OutcomeRefused],
		Cancelled: p.Outcomes[pv.OutcomeCancelled], Unknown: p.Outcomes[pv.OutcomeUnknown],
		Runs: p.Attempts, LostSeconds: p.LostProgress.Seconds(), Gap: p.Imbalance(),
		Reasons: reasonCounts(p.Reasons), Evictions: reasonCounts(p.Evictions), Retries: reasonCounts(p.Retries),
		Wait: quantiles(p.Wait), RunTime: quantiles(p.RunTime),
	}
}

func reasonCounts(m map[pv.Reason]int64) []apigen.Count {
	sorted := []apigen.Count{}
	for reason, n := range m {
		if n != 0 {
			sorted = append(sorted, apigen.Count{Reason: string(reason), Count: n})
		}
	}
	slices.SortFunc(sorted, func(a, b apigen.Count) int { return cmp.Compare(a.Reason, b.Reason) })
	return sorted
}

func quantiles(t *reporter.DurationHistogram) apigen.Quantiles {
	return apigen.Quantiles{
		Count: t.Count(), P50: t.Percentile(50).Seconds(), P99: t.Percentile(99).Seconds(),
		P999: t.Percentile(99.9).Seconds(), Max: t.Percentile(100).Seconds(),
	}
}
