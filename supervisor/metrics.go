package supervisor

// This file defines the supervisor's metrics.

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	starts          *prometheus.CounterVec
	stops           *prometheus.CounterVec
	stopRetries     prometheus.Counter
	cpuLimitRetries prometheus.Counter
	pollFailures    prometheus.Counter
	callWait        *prometheus.HistogramVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		starts:          prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "pvalve", Name: "supervisor_starts_total", Help: "Starts ordered, by the worker's answer."}, []string{"answer"}),
		stops:           prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "pvalve", Name: "supervisor_closed_total", Help: "Runs that were stopped or dropped, by reason."}, []string{"reason"}),
		stopRetries:     prometheus.NewCounter(prometheus.CounterOpts{Namespace: "pvalve", Name: "supervisor_stop_retries_total", Help: "Stops that weren't confirmed."}),
		cpuLimitRetries: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "pvalve", Name: "supervisor_pace_retries_total", Help: "CPU limits that weren't confirmed by the worker."}),
		pollFailures:    prometheus.NewCounter(prometheus.CounterOpts{Namespace: "pvalve", Name: "supervisor_looks_lost_total", Help: "Polls of the worker that failed."}),
		callWait:        prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "pvalve", Name: "supervisor_call_wait_seconds", Help: "Time from when a call to the worker was due until it was sent, by kind.", Buckets: []float64{.001, .005, .02, .1, .5, 1, 3, 10}}, []string{"kind"}),
	}
	r.MustRegister(m.starts, m.stops, m.stopRetries, m.cpuLimitRetries, m.pollFailures, m.callWait)
	return m
}
