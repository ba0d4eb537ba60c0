package leader

// This file defines the leader's metrics.

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	terms             prometheus.Counter
	storeReadFailures prometheus.Counter
	storeRetries      *prometheus.CounterVec
	decisions         *prometheus.CounterVec
	undecodable       *prometheus.CounterVec
	commitSeconds     prometheus.Histogram
	evacuatedZones    prometheus.Gauge
	evacuatedRuns     prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		terms:             prometheus.NewCounter(prometheus.CounterOpts{Namespace: "pvalve", Name: "leader_terms_total", Help: "Terms that this process has led."}),
		storeReadFailures: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "pvalve", Name: "leader_store_lost_total", Help: "Times that a candidate's reads of the store began to fail."}),
		storeRetries:      prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "pvalve", Name: "leader_store_retries_total", Help: "Failed or unanswered appends of batches, by reason."}, []string{"reason"}),
		decisions:         prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "pvalve", Name: "planner_decisions_total", Help: "Decisions of the planner, by kind and reason."}, []string{"decision", "reason"}),
		undecodable:       prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "pvalve", Name: "leader_undecodable_records_total", Help: "Records of the store that this leader couldn't decode and skipped, by topic."}, []string{"topic"}),
		commitSeconds:     prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "pvalve", Name: "leader_commit_seconds", Help: "Time to store a batch, in seconds.", Buckets: prometheus.ExponentialBuckets(0.004, 2, 12)}),
	}
	m.evacuatedZones = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "pvalve", Name: "leader_evacuated_zones", Help: "Zones that are evacuated, as last read by this process while it led."})
	m.evacuatedRuns = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "pvalve", Name: "leader_evacuated_zone_runs", Help: "Runs in evacuated zones that aren't being stopped, at the last read of the operator's records."})
	r.MustRegister(m.terms, m.storeReadFailures, m.storeRetries, m.decisions, m.undecodable, m.commitSeconds, m.evacuatedZones, m.evacuatedRuns)
	return m
}
