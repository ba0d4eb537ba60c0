package entry

// This file defines the metrics of an entry.

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	requests      *prometheus.CounterVec
	refusals      *prometheus.CounterVec
	retries       *prometheus.CounterVec
	failures      *prometheus.CounterVec
	duration      *prometheus.HistogramVec
	logErrors     prometheus.Counter
	configVersion prometheus.Gauge
	linkBytes     prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	newCounter := func(name, help string, labels ...string) *prometheus.CounterVec {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "pvalve", Subsystem: "entry", Name: name, Help: help}, labels)
		r.MustRegister(v)
		return v
	}
	m := &metrics{
		requests: newCounter("requests_total", "Requests ended, by plan and outcome.", "plan", "outcome"),
		refusals: newCounter("refusals_total", "Requests, tasks and changes refused and not run, by reason.", "reason"),
		retries:  newCounter("retries_total", "Retries, by the reason of the failed attempt before.", "reason"),
		failures: newCounter("failures_total", "Requests that failed or whose outcome is unknown, by reason.", "reason"),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "pvalve", Subsystem: "entry", Name: "request_seconds", Help: "Duration of requests, by plan.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"plan"}),
		logErrors:     prometheus.NewCounter(prometheus.CounterOpts{Namespace: "pvalve", Subsystem: "entry", Name: "log_errors_total", Help: "Calls to the log service that failed."}),
		configVersion: prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "pvalve", Subsystem: "entry", Name: "configuration_version", Help: "Version of the configuration in force."}),
		linkBytes:     prometheus.NewCounter(prometheus.CounterOpts{Namespace: "pvalve", Subsystem: "entry", Name: "link_bytes_total", Help: "Bytes of requests and answers that crossed regions."}),
	}
	r.MustRegister(m.duration, m.logErrors, m.configVersion, m.linkBytes)
	return m
}
