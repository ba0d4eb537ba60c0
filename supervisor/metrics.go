package supervisor

// This file defines the supervisor's metrics.

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	starts          *prometheus.CounterVec
	stops           *prometheus.CounterVec
	stopRetries     prometheus.Counter
	cpuLimitRetries prometheus.Counter
	pollFailures    prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		starts:          prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "pvalve", Name: "supervisor_starts_total", Help: "Starts ordered, by the worker's answer."}, []string{"answer"}),
		stops:           prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "pvalve", Name: "supervisor_closed_total", Help: "Runs that were closed, by reason."}, []string{"reason"}),
		stopRetries:     prometheus.NewCounter(prometheus.CounterOpts{Namespace: "pvalve", Name: "supervisor_stop_retries_total", Help: "Stops that weren't confirmed."}),
		cpuLimitRetries: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "pvalve", Name: "supervisor_pace_retries_total", Help: "Pace orders that weren't confirmed."}),
		pollFailures:    prometheus.NewCounter(prometheus.CounterOpts{Namespace: "pvalve", Name: "supervisor_looks_lost_total", Help: "Looks at the worker without an answer."}),
	}
	r.MustRegister(m.starts, m.stops, m.stopRetries, m.cpuLimitRetries, m.pollFailures)
	return m
}
