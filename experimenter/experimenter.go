package experimenter

// This file defines the runs of an experiment and the table of their results.

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors that this package returns.
var Error = errs.Class("experiment")

// Row is the result of one scenario under one policy on one site. Latencies,
// InTimeFraction and RefusedRequests cover the requests of the service plan.
type Row struct {
	Scenario, Site, Policy              string
	LatencyP50, LatencyP99, LatencyP999 time.Duration // measured at the client; a request without an answer counts with its time to the deadline
	InTimeFraction                      float64       // requests answered within the deadline, as a fraction of all
	RefusedRequests                     int64         // requests without an answer
	RequestRetries                      int64         // of requests of all plans
	UsefulCores                         float64       // core hours of useful batch work per hour; see isBatchPlan
	UsefulFraction                      float64       // UsefulCores as a fraction of the fleet's cores
	FinishedTasks                       int64         // batch tasks only
	Evictions                           int64         // tasks of all plans
	LostProgress                        time.Duration // progress that tasks of all plans lost
	MinGuaranteeFraction                float64       // see minGuaranteeFraction
	LinkMB                              float64       // request bytes sent to the other region
	UrgentStartP99, UrgentStartMax      time.Duration // from submission to the first start of an urgent task
}

// ScenarioNames returns the names of all scenarios in the order of their runs.
func ScenarioNames() []string {
	var names []string
	for _, s := range scenarios() {
		names = append(names, s.name)
	}
	return names
}

// Run runs the named scenario on every site under every policy, or all scenarios
// for the name "all". The rows and their order depend only on name and seed.
func Run(name string, seed uint64) ([]Row, error) {
	var simulations []*simulation
	for _, sc := range scenarios() {
		if name != "all" && name != sc.name {
			continue
		}
		for _, s := range sites {
			for _, p := range policies() {
				simulations = append(simulations, newSimulation(s, sc, p, seed))
			}
		}
	}
	if len(simulations) == 0 {
		return nil, Error.New("unknown scenario %q: want all or one of %v", name, ScenarioNames())
	}
	rows := make([]Row, len(simulations))
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentRuns)
	for i, sim := range simulations {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			rows[i] = sim.row(sim.run())
		})
	}
	group.Wait()
	return rows, nil
}

// maxConcurrentRuns limits the simulations that run at once. They share no state,
// and each has its own random generators.
const maxConcurrentRuns = 4

func (sim *simulation) row(r *results) Row {
	latencyQuantile := func(q float64) time.Duration {
		return time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond
	}
	measuredHours := measuredDuration.Hours()
	usefulCoreHours := r.usefulCoreSeconds / time.Hour.Seconds()
	fleetCores := float64(workerCount) * float64(workerCapacity.MilliCores) / 1000
	return Row{
		Scenario: sim.scenario.name, Site: sim.site.name, Policy: sim.policy.name,
		LatencyP50: latencyQuantile(50), LatencyP99: latencyQuantile(99), LatencyP999: latencyQuantile(99.9),
		InTimeFraction:  float64(r.answeredInTime) / float64(max(r.requests, 1)),
		RefusedRequests: r.refusals, RequestRetries: r.retries,
		UsefulCores: usefulCoreHours / measuredHours, UsefulFraction: usefulCoreHours / measuredHours / fleetCores,
		FinishedTasks: r.totals.finished, Evictions: r.totals.evictions, LostProgress: r.totals.lostProgress,
		MinGuaranteeFraction: r.minGuaranteeFraction(), LinkMB: float64(r.linkBytes) / 1e6,
		UrgentStartP99: time.Duration(r.urgentStart.ValueAtQuantile(99)) * time.Millisecond,
		UrgentStartMax: time.Duration(r.urgentStart.Max()) * time.Millisecond,
	}
}

var header = []string{"scenario", "site", "policy", "p50ms", "p99ms", "p999ms", "inTime%", "refused", "retries",
	"coreHours/h", "useful%", "finished", "evictions", "lostMin", "kept%", "linkMB", "urgentP99s", "urgentMaxs"}

func (r Row) fields() []string {
	decimal := func(x float64, digits int) string { return strconv.FormatFloat(x, 'f', digits, 64) }
	ms := func(d time.Duration) string { return decimal(float64(d)/float64(time.Millisecond), 1) }
	return []string{
		r.Scenario, r.Site, r.Policy, ms(r.LatencyP50), ms(r.LatencyP99), ms(r.LatencyP999), decimal(100*r.InTimeFraction, 2),
		strconv.FormatInt(r.RefusedRequests, 10), strconv.FormatInt(r.RequestRetries, 10),
		decimal(r.UsefulCores, 1), decimal(100*r.UsefulFraction, 1), strconv.FormatInt(r.FinishedTasks, 10), strconv.FormatInt(r.Evictions, 10),
		decimal(r.LostProgress.Minutes(), 1), decimal(100*r.MinGuaranteeFraction, 1), decimal(r.LinkMB, 1), decimal(r.UrgentStartP99.Seconds(), 2), decimal(r.UrgentStartMax.Seconds(), 2),
	}
}

// WriteTable writes the rows as a table with aligned columns.
func WriteTable(out io.Writer, rows []Row) error {
	table := [][]string{header}
	for _, r := range rows {
		table = append(table, r.fields())
	}
	widths := make([]int, len(header))
	for _, line := range table {
		for i, field := range line {
			widths[i] = max(widths[i], len(field))
		}
	}
	for _, line := range table {
		for i, field := range line {
			if _, err := fmt.Fprintf(out, "%*s ", widths[i], field); err != nil {
				return Error.Wrap(err)
			}
		}
		if _, err := fmt.Fprintln(out); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// WriteCSV writes the rows as CSV with a header line.
func WriteCSV(out io.Writer, rows []Row) error {
	w := csv.NewWriter(out)
	records := [][]string{slices.Clone(header)}
	for _, r := range rows {
		records = append(records, r.fields())
	}
	return Error.Wrap(w.WriteAll(records))
}
