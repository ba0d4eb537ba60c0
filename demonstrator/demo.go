package demonstrator

// This file defines the demo: it publishes the allowances and the plans, sends
// each kind of work, makes a worker unreachable while it runs a task, and checks
// the results and the report.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/internal/apigen"
	"persimmonvalve/standin"
)

const demoAllowances = `site:
  weights: {tailLatency: 1, throughput: 3, evictions: 3}
  fleet: {cores: 192, memoryMB: 750000, slots: 48}
allowances:
  - {plan: cordPath, requestsPerSecond: 500, burst: 500}
  - {plan: cordOrder, requestsPerSecond: 50, burst: 50}
  - plan: dialTension
    guaranteed: {cores: 32, memoryMB: 64000, slots: 8}
    ceiling: {cores: 128, memoryMB: 500000, slots: 32}
  - plan: pulleyWatch
    ceiling: {cores: 32, memoryMB: 64000, slots: 16}
`

const demoPlans = `plans:
  - {name: cordPath, customer: workshop, service: cordPath, class: urgent, idempotent: true, deadline: 2s, retryLimit: 3}
  - {name: cordOrder, customer: workshop, service: cordPath, class: urgent, idempotent: false, deadline: 5s, retryLimit: 3}
  - {name: dialTension, customer: workshop, taskKind: dialTension, class: heavy, size: {cores: 4, memoryMB: 8000}, runTime: 4s, retryLimit: 2}
  - {name: pulleyWatch, customer: workshop, taskKind: pulleyWatch, class: standing, size: {cores: 0.5, memoryMB: 500}}
`

// demo is one run of the demo.
type demo struct {
	site   *Site
	out    io.Writer
	passed bool
}

// check prints a line that says whether a check passed, and records a failure.
func (d *demo) check(ok bool, format string, args ...any) {
	mark := "ok  "
	if !ok {
		mark = "FAIL"
		d.passed = false
	}
	fmt.Fprintln(d.out, mark+fmt.Sprintf(format, args...))
}

// Demo runs the demo on a new site, writes one line per check to out, and reports
// whether all checks passed.
func Demo(ctx context.Context, o Options, out io.Writer) (bool, error) {
	site, err := New(o)
	defer site.Stop()
	if err != nil {
		return false, err
	}
	d := &demo{site: site, out: out, passed: true}
	if err := d.runAll(ctx); err != nil {
		return false, err
	}
	return d.passed, nil
}

func (d *demo) runAll(ctx context.Context) error {
	started := time.Now()
	if err := d.site.AwaitReady(ctx); err != nil {
		return err
	}
	d.check(true, "the site is up: %d workers, %d agents, %d entries; every stream has a holder", d.site.Options.Workers, len(d.site.Agents), len(d.site.Entries))
	if err := d.publish(ctx); err != nil {
		return err
	}
	d.checkLookups(ctx)
	d.checkDuplicateOrder(ctx)
	if err := d.checkTasks(ctx); err != nil {
		return err
	}
	d.checkInvalidInput(ctx)
	if err := d.printReport(ctx); err != nil {
		return err
	}
	fmt.Fprintf(d.out, "took %s\n", time.Since(started).Round(time.Millisecond))
	return nil
}

// Publish publishes allowances and plans on a new site through its first entry, and
// waits until every entry has the plans. Version -1 (follower.NoVersion) stands for
// a list that was never published.
func (s *Site) Publish(ctx context.Context, allowances, plans string) error {
	api := s.Entries[0].API
	if _, err := api.PutAllowances(ctx, apigen.PutAllowancesReq{Data: strings.NewReader(allowances)}, apigen.PutAllowancesParams{IfMatch: `"-1"`}); err != nil {
		return Error.Wrap(err)
	}
	if _, err := api.PutPlans(ctx, apigen.PutPlansReq{Data: strings.NewReader(plans)}, apigen.PutPlansParams{IfMatch: `"-1"`}); err != nil {
		return Error.Wrap(err)
	}
	return s.Await(ctx, "the lists to be in effect at every entry", func() bool {
		for _, g := range s.Entries {
			l, err := g.API.GetPlans(ctx)
			if err != nil || l.ETag == `"-1"` {
				return false
			}
		}
		return true
	})
}

func (d *demo) publish(ctx context.Context) error {
	started := time.Now()
	if err := d.site.Publish(ctx, demoAllowances, demoPlans); err != nil {
		return err
	}
	d.check(true, "allowances and plans are published and in effect at every entry after %s", time.Since(started).Round(time.Millisecond))
	return nil
}

const demoLookups = 40

func (d *demo) checkLookups(ctx context.Context) {
	answered := 0
	var slowest time.Duration
	for i := range demoLookups {
		started := time.Now()
		body := fmt.Sprintf("dial %d", i)
		got, _, err := d.site.Entries[i%len(d.site.Entries)].RequestCordPath(ctx, "cordPath", "", body)
		if err == nil && strings.HasSuffix(got, "cordPath: "+body) {
			answered++
		}
		slowest = max(slowest, time.Since(started))
	}
	d.check(answered == demoLookups, "%d of %d lookups got their own complete answer, the slowest in %s", answered, demoLookups, slowest.Round(time.Millisecond))
}

// RequestCordPath sends one request to the service cordPath and returns the
// answer's body and headers.
func (g *EntryNode) RequestCordPath(ctx context.Context, plan, key, body string) (string, *apigen.DoRequestOKHeaders, error) {
	params := apigen.DoRequestParams{Service: "cordPath", Plan: apigen.NewOptString(plan)}
	if key != "" {
		params.IdempotencyKey = apigen.NewOptString(key)
	}
	answer, err := g.API.DoRequest(ctx, apigen.DoRequestReq{Data: strings.NewReader(body)}, params)
	if err != nil {
		return "", nil, err
	}
	data, err := io.ReadAll(answer.Response)
	return string(data), answer, err
}

func (d *demo) checkDuplicateOrder(ctx context.Context) {
	first, firstHeaders, firstErr := d.site.Entries[0].RequestCordPath(ctx, "cordOrder", "order-17", "3 m of cord")
	second, secondHeaders, secondErr := d.site.Entries[len(d.site.Entries)-1].RequestCordPath(ctx, "cordOrder", "order-17", "3 m of cord")
	same := firstErr == nil && secondErr == nil && first == second
	d.check(same, "an order sent twice with one idempotency key, through two entries, got the same answer: %q", first)
	if same {
		runs := d.runCount(firstHeaders.PvalveRequestID) + d.runCount(secondHeaders.PvalveRequestID)
		d.check(runs == 1, "the order ran %d time(s) at the endpoints", runs)
	}
	_, _, err := d.site.Entries[0].RequestCordPath(ctx, "cordOrder", "order-17", "another length")
	d.check(ReasonOf(err) == pv.ReasonKeyReused, "the same idempotency key with another body is refused: %s", ReasonOf(err))
	_, _, err = d.site.Entries[0].RequestCordPath(ctx, "cordOrder", "", "no key")
	d.check(ReasonOf(err) == pv.ReasonMissingKey, "an order without an idempotency key is refused: %s", ReasonOf(err))
}

func (d *demo) runCount(id string) int {
	n := 0
	for _, agent := range d.site.Agents {
		n += agent.Endpoint.RunCount(id)
	}
	return n
}

// ReasonOf returns the reason of an API error, or NoReason for any other error.
func ReasonOf(err error) pv.Reason {
	var e *apigen.ErrorStatusCode
	if !errors.As(err, &e) {
		return pv.NoReason
	}
	return pv.Reason(e.Response.Reason)
}

func (d *demo) checkTasks(ctx context.Context) error {
	api := d.site.Entries[0].API
	submitted, err := api.SubmitTask(ctx, &apigen.Submission{ID: apigen.NewOptString("dial-1"), Plan: "dialTension"})
	if err != nil {
		return Error.Wrap(err)
	}
	duplicate, err := d.site.Entries[len(d.site.Entries)-1].API.SubmitTask(ctx, &apigen.Submission{ID: apigen.NewOptString("dial-1"), Plan: "dialTension"})
	d.check(err == nil && duplicate.ID == submitted.ID, "a task submitted twice with one id is a single task")
	if _, err := api.SubmitTask(ctx, &apigen.Submission{ID: apigen.NewOptString("watch-1"), Plan: "pulleyWatch"}); err != nil {
		return Error.Wrap(err)
	}
	running, err := d.awaitTask(ctx, "dial-1", "started")
	if err != nil {
		return err
	}
	d.check(true, "task dial-1 runs on %s", running.Worker.Value)
	time.Sleep(time.Second) // wait until the task has written a checkpoint from which to resume
	if err := d.site.Workers.SetFaults(pv.WorkerID(running.Worker.Value), standin.WorkerFaults{Unreachable: true}); err != nil {
		return Error.Wrap(err)
	}
	d.check(true, "%s is made unreachable while the task runs", running.Worker.Value)
	finished, err := d.awaitTask(ctx, "dial-1", "finished")
	if err != nil {
		return err
	}
	d.check(finished.Attempts == 2 && finished.Evictions == 1, "task dial-1 finished after %d attempt(s) and %d eviction(s)", finished.Attempts, finished.Evictions)
	for _, e := range finished.Story {
		fmt.Fprintf(d.out, "       %-12s %s\n", e.Event, e.Text)
	}
	if _, err := d.awaitTask(ctx, "watch-1", "started"); err != nil {
		return err
	}
	d.check(true, "standing task watch-1 runs")
	if _, err := api.CancelTask(ctx, apigen.CancelTaskParams{ID: "watch-1"}); err != nil {
		return Error.Wrap(err)
	}
	_, err = d.awaitTask(ctx, "watch-1", "cancelled")
	d.check(err == nil, "standing task watch-1 is cancelled")
	return nil
}

func (d *demo) awaitTask(ctx context.Context, id, state string) (*apigen.Task, error) {
	var task *apigen.Task
	err := d.site.Await(ctx, "task "+id+" is "+state, func() bool {
		t, err := d.site.Entries[0].API.GetTask(ctx, apigen.GetTaskParams{ID: id})
		if err != nil {
			return false
		}
		task = t
		return t.State == state
	})
	return task, err
}

func (d *demo) checkInvalidInput(ctx context.Context) {
	api := d.site.Entries[0].API
	_, err := api.PutPlans(ctx, apigen.PutPlansReq{Data: strings.NewReader("plans:\n  - {name: x, colour: red}\n")}, apigen.PutPlansParams{IfMatch: `"1"`})
	d.check(ReasonOf(err) == pv.ReasonBadInput, "an invalid list of plans is refused: %s", ReasonOf(err))
	_, err = api.SubmitTask(ctx, &apigen.Submission{Plan: "nobodys"})
	d.check(ReasonOf(err) == pv.ReasonUnknownPlan, "a task of an unknown plan is refused: %s", ReasonOf(err))
}

func (d *demo) printReport(ctx context.Context) error {
	report, err := d.site.Entries[0].API.GetReport(ctx, apigen.GetReportParams{})
	if err != nil {
		return Error.Wrap(err)
	}
	fmt.Fprintf(d.out, "\n%-12s %-12s %9s %8s %7s %7s %9s %7s %7s %7s %5s\n", "customer", "plan",
		"submitted", "finished", "failed", "refused", "cancelled", "unknown", "waiting", "running", "runs")
	for _, p := range report.Plans {
		fmt.Fprintf(d.out, "%-12s %-12s %9d %8d %7d %7d %9d %7d %7d %7d %5d\n", p.Customer, p.Plan,
			p.Submitted, p.Finished, p.Failed, p.Refused, p.Cancelled, p.Unknown, p.Waiting, p.Running, p.Runs)
	}
	for _, g := range report.Gaps {
		fmt.Fprintln(d.out, "gap:", g)
	}
	d.check(report.Closes, "all submitted work is accounted for")
	return nil
}
