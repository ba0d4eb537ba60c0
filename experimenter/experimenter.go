package experimenter

// This file defines the runs of an experiment and its table.

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

// Error is the class of this package's errors.
var Error = errs.Class("experiment")

// Row is the result of one scenario under one policy on one site.
type Row struct {
	Scenario, Site, Policy string
	P50, P99, P999         time.Duration // of quick requests; one without an answer counts its deadline
	InTime                 float64       // part answered within the deadline
	Refused                int64
	Retries                int64
	Throughput             float64 // useful core hours of batch work an hour
	Useful                 float64 // the same as a part of the fleet's cores
	Finished               int64   // batch tasks
	Evictions              int64
	Lost                   time.Duration
	Kept                   float64 // least part of a guarantee that a plan with waiting work had
	LinkMB                 float64
	UrgentP99, UrgentMax   time.Duration // from submission to start
}

// Names returns the names of the scenarios.
func Names() []string {
	var names []string
	for _, s := range scenarios() {
		names = append(names, s.name)
	}
	return names
}

// Run runs a scenario, or all for the name "all", and returns the rows in a
// fixed order. The same seed gives the same rows.
func Run(name string, seed uint64) ([]Row, error) {
	var worlds []*world
	for _, sc := range scenarios() {
		if name != "all" && name != sc.name {
			continue
		}
		for _, s := range sites {
			for _, p := range policies() {
				worlds = append(worlds, newWorld(s, sc, p, seed))
			}
		}
	}
	if len(worlds) == 0 {
		return nil, Error.New("no scenario %q; there are all, %v", name, Names())
	}
	rows := make([]Row, len(worlds))
	var group sync.WaitGroup
	limit := make(chan struct{}, parallel)
	for i, w := range worlds {
		limit <- struct{}{}
		group.Go(func() {
			defer func() { <-limit }()
			rows[i] = w.row(w.run())
		})
	}
	group.Wait()
	return rows, nil
}

// parallel is how many runs go on at once; each has its own state and seed.
const parallel = 4

func (w *world) row(r *results) Row {
	micro := func(q float64) time.Duration {
		return time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond
	}
	hours := measured.Hours()
	coreHours := r.work / time.Hour.Seconds()
	fleet := float64(workerCount) * float64(workerCapacity.MilliCores) / 1000
	return Row{
		Scenario: w.scenario.name, Site: w.site.name, Policy: w.policy.name,
		P50: micro(50), P99: micro(99), P999: micro(99.9),
		InTime:  float64(r.inTime) / float64(max(r.quick, 1)),
		Refused: r.refusals, Retries: r.retries,
		Throughput: coreHours / hours, Useful: coreHours / hours / fleet,
		Finished: r.sums.finished, Evictions: r.sums.evictions, Lost: r.sums.lost,
		Kept: r.leastKept(), LinkMB: float64(r.linkBytes) / 1e6,
		UrgentP99: time.Duration(r.urgentStart.ValueAtQuantile(99)) * time.Millisecond,
		UrgentMax: time.Duration(r.urgentStart.Max()) * time.Millisecond,
	}
}

var header = []string{"scenario", "site", "policy", "p50ms", "p99ms", "p999ms", "inTime%", "refused", "retries",
	"coreHours/h", "useful%", "finished", "evictions", "lostMin", "kept%", "linkMB", "urgentP99s", "urgentMaxs"}

func (r Row) fields() []string {
	number := func(x float64, digits int) string { return strconv.FormatFloat(x, 'f', digits, 64) }
	ms := func(d time.Duration) string { return number(float64(d)/float64(time.Millisecond), 1) }
	return []string{
		r.Scenario, r.Site, r.Policy, ms(r.P50), ms(r.P99), ms(r.P999), number(100*r.InTime, 2),
		strconv.FormatInt(r.Refused, 10), strconv.FormatInt(r.Retries, 10),
		number(r.Throughput, 1), number(100*r.Useful, 1), strconv.FormatInt(r.Finished, 10), strconv.FormatInt(r.Evictions, 10),
		number(r.Lost.Minutes(), 1), number(100*r.Kept, 1), number(r.LinkMB, 1), number(r.UrgentP99.Seconds(), 2), number(r.UrgentMax.Seconds(), 2),
	}
}

// WriteTable writes the rows for people.
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

// WriteCSV writes the rows for programs.
func WriteCSV(out io.Writer, rows []Row) error {
	w := csv.NewWriter(out)
	lines := [][]string{slices.Clone(header)}
	for _, r := range rows {
		lines = append(lines, r.fields())
	}
	return Error.Wrap(w.WriteAll(lines))
}
