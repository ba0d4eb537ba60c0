package demonstrator

// This file defines the demo: it publishes the two lists, sends one of each
// kind of work, takes a worker away under a task, and checks the account.

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

// demo is one run.
type demo struct {
	site *Site
	out  io.Writer
	good bool
}

// check prints a line and remembers whether it is as promised.
func (d *demo) check(ok bool, format string, args ...any) {
	mark := "ok  "
	if !ok {
		mark = "BAD "
		d.good = false
	}
	fmt.Fprintln(d.out, mark+fmt.Sprintf(format, args...))
}

// Demo runs the whole path on a new site and reports whether every line is as
// promised.
func Demo(ctx context.Context, o Options, out io.Writer) (bool, error) {
	site, err := New(o)
	defer site.Stop()
	if err != nil {
		return false, err
	}
	d := &demo{site: site, out: out, good: true}
	if err := d.run(ctx); err != nil {
		return false, err
	}
	return d.good, nil
}

func (d *demo) run(ctx context.Context) error {
	started := time.Now()
	if err := d.site.AwaitReady(ctx); err != nil {
		return err
	}
	d.check(true, "the site is up: %d workers, %d agents, %d entries, every stream held", d.site.Options.Workers, len(d.site.Nodes), len(d.site.Gates))
	if err := d.publish(ctx); err != nil {
		return err
	}
	d.lookups(ctx)
	d.order(ctx)
	if err := d.tasks(ctx); err != nil {
		return err
	}
	d.badInput(ctx)
	if err := d.account(ctx); err != nil {
		return err
	}
	fmt.Fprintf(d.out, "took %s\n", time.Since(started).Round(time.Millisecond))
	return nil
}

// Publish publishes the two lists of a new site through its first entry.
func (s *Site) Publish(ctx context.Context, allowances, plans string) error {
	api := s.Gates[0].API
	if _, err := api.PutAllowances(ctx, apigen.PutAllowancesReq{Data: strings.NewReader(allowances)}, apigen.PutAllowancesParams{IfMatch: `"-1"`}); err != nil {
		return Error.Wrap(err)
	}
	if _, err := api.PutPlans(ctx, apigen.PutPlansReq{Data: strings.NewReader(plans)}, apigen.PutPlansParams{IfMatch: `"-1"`}); err != nil {
		return Error.Wrap(err)
	}
	return s.Await(ctx, "the lists are in force at every entry", func() bool {
		for _, g := range s.Gates {
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
	d.check(true, "both lists are published and in force at every entry after %s", time.Since(started).Round(time.Millisecond))
	return nil
}

const demoLookups = 40

func (d *demo) lookups(ctx context.Context) {
	finished := 0
	var slowest time.Duration
	for i := range demoLookups {
		started := time.Now()
		body := fmt.Sprintf("dial %d", i)
		got, _, err := d.site.Gates[i%len(d.site.Gates)].Request(ctx, "cordPath", "", body)
		if err == nil && strings.HasSuffix(got, "cordPath: "+body) {
			finished++
		}
		slowest = max(slowest, time.Since(started))
	}
	d.check(finished == demoLookups, "%d of %d quick lookups got their whole own answer, the slowest in %s", finished, demoLookups, slowest.Round(time.Millisecond))
}

// Request sends one request and returns the answer's body and headers.
func (g *Gate) Request(ctx context.Context, plan, key, body string) (string, *apigen.DoRequestOKHeaders, error) {
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

func (d *demo) order(ctx context.Context) {
	first, h1, err1 := d.site.Gates[0].Request(ctx, "cordOrder", "order-17", "3 m of cord")
	second, h2, err2 := d.site.Gates[len(d.site.Gates)-1].Request(ctx, "cordOrder", "order-17", "3 m of cord")
	same := err1 == nil && err2 == nil && first == second
	d.check(same, "an order sent twice with one key, through two entries, got one answer: %q", first)
	if same {
		ran := d.ran(h1.PvalveRequestID) + d.ran(h2.PvalveRequestID)
		d.check(ran == 1, "the order ran %d time at the endpoints", ran)
	}
	_, _, err := d.site.Gates[0].Request(ctx, "cordOrder", "order-17", "another length")
	d.check(ReasonOf(err) == pv.ReasonKeyReused, "the same key with another body is refused: %s", ReasonOf(err))
	_, _, err = d.site.Gates[0].Request(ctx, "cordOrder", "", "no key")
	d.check(ReasonOf(err) == pv.ReasonNoKey, "an order without a key is refused: %s", ReasonOf(err))
}

func (d *demo) ran(id string) int {
	n := 0
	for _, node := range d.site.Nodes {
		n += node.Endpoint.RunCount(id)
	}
	return n
}

// ReasonOf returns the typed reason of an API error.
func ReasonOf(err error) pv.Reason {
	var e *apigen.ErrorStatusCode
	if !errors.As(err, &e) {
		return pv.NoReason
	}
	return pv.Reason(e.Response.Reason)
}

func (d *demo) tasks(ctx context.Context) error {
	api := d.site.Gates[0].API
	heavy, err := api.SubmitTask(ctx, &apigen.Submission{ID: apigen.NewOptString("dial-1"), Plan: "dialTension"})
	if err != nil {
		return Error.Wrap(err)
	}
	again, err := d.site.Gates[len(d.site.Gates)-1].API.SubmitTask(ctx, &apigen.Submission{ID: apigen.NewOptString("dial-1"), Plan: "dialTension"})
	d.check(err == nil && again.ID == heavy.ID, "a task submitted twice is one task")
	if _, err := api.SubmitTask(ctx, &apigen.Submission{ID: apigen.NewOptString("watch-1"), Plan: "pulleyWatch"}); err != nil {
		return Error.Wrap(err)
	}
	running, err := d.awaitTask(ctx, "dial-1", "started")
	if err != nil {
		return err
	}
	d.check(true, "task dial-1 runs on %s", running.Worker.Value)
	time.Sleep(time.Second) // so that there is a checkpoint to resume from
	if err := d.site.Workers.SetFaults(pv.WorkerID(running.Worker.Value), standin.WorkerFaults{Unreachable: true}); err != nil {
		return Error.Wrap(err)
	}
	d.check(true, "%s is cut off under it", running.Worker.Value)
	done, err := d.awaitTask(ctx, "dial-1", "finished")
	if err != nil {
		return err
	}
	d.check(done.Attempts == 2 && done.Evictions == 1, "task dial-1 finished after %d attempts, %d eviction", done.Attempts, done.Evictions)
	for _, e := range done.Story {
		fmt.Fprintf(d.out, "       %-12s %s\n", e.Event, e.Text)
	}
	if _, err := d.awaitTask(ctx, "watch-1", "started"); err != nil {
		return err
	}
	d.check(true, "the standing watch runs")
	if _, err := api.CancelTask(ctx, apigen.CancelTaskParams{ID: "watch-1"}); err != nil {
		return Error.Wrap(err)
	}
	_, err = d.awaitTask(ctx, "watch-1", "cancelled")
	d.check(err == nil, "the standing watch is cancelled")
	return nil
}

func (d *demo) awaitTask(ctx context.Context, id, state string) (*apigen.Task, error) {
	var task *apigen.Task
	err := d.site.Await(ctx, "task "+id+" is "+state, func() bool {
		t, err := d.site.Gates[0].API.GetTask(ctx, apigen.GetTaskParams{ID: id})
		if err != nil {
			return false
		}
		task = t
		return t.State == state
	})
	return task, err
}

func (d *demo) badInput(ctx context.Context) {
	api := d.site.Gates[0].API
	_, err := api.PutPlans(ctx, apigen.PutPlansReq{Data: strings.NewReader("plans:\n  - {name: x, colour: red}\n")}, apigen.PutPlansParams{IfMatch: `"1"`})
	d.check(ReasonOf(err) == pv.ReasonBadInput, "a faulty list is refused: %s", ReasonOf(err))
	_, err = api.SubmitTask(ctx, &apigen.Submission{Plan: "nobodys"})
	d.check(ReasonOf(err) == pv.ReasonNoPlan, "a task of an unknown plan is refused: %s", ReasonOf(err))
}

func (d *demo) account(ctx context.Context) error {
	report, err := d.site.Gates[0].API.GetReport(ctx, apigen.GetReportParams{})
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
	d.check(report.Closes, "every account closes")
	return nil
}
