package agent

// This file defines an agent's Prometheus counters.

import (
	"github.com/prometheus/client_golang/prometheus"

	"persimmonvalve/recorder"
)

type metrics struct {
	forwards    *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	requeues    *prometheus.CounterVec
	taskEnds    *prometheus.CounterVec
	voidRecords *prometheus.CounterVec
	logAppends  prometheus.Counter
	logErrors   prometheus.Counter
	takeovers   prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	vector := func(name, help, label string) *prometheus.CounterVec {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "pvalve", Subsystem: "agent", Name: name, Help: help}, []string{label})
		r.MustRegister(v)
		return v
	}
	single := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "pvalve", Subsystem: "agent", Name: name, Help: help})
		r.MustRegister(c)
		return c
	}
	return &metrics{
		forwards:    vector("forwards_total", "Requests given to the endpoint, by result.", "result"),
		refusals:    vector("refusals_total", "Calls refused and not run, by reason.", "reason"),
		requeues:    vector("requeues_total", "Attempts that ended and wait again, by cause.", "cause"),
		taskEnds:    vector("task_ends_total", "Tasks ended in streams watched here, by outcome.", "outcome"),
		voidRecords: vector("void_records_total", "Records read that don't count, by verdict.", "verdict"),
		logAppends:  single("log_appends_total", "Appends sent to the log service."),
		logErrors:   single("log_errors_total", "Calls to the log service that failed."),
		takeovers:   single("takeovers_total", "Terms taken over."),
	}
}

func (a *Agent) countEntry(e recorder.LedgerEntry) {
	if e.Verdict != recorder.Valid {
		return
	}
	switch {
	case e.Record.Requeue != nil:
		a.metrics.requeues.WithLabelValues(string(e.Record.Requeue.Reason)).Inc()
	case e.Record.End != nil:
		a.metrics.taskEnds.WithLabelValues(string(e.Record.End.Outcome)).Inc()
	}
}
