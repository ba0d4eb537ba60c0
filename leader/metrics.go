package leader

// This file defines the leader's metrics.

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	terms        prometheus.Counter
	storeLost    prometheus.Counter
	storeRetries *prometheus.CounterVec
	decisions    *prometheus.CounterVec
	commit       prometheus.Histogram
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		terms:        prometheus.NewCounter(prometheus.CounterOpts{Namespace: "pvalve", Name: "leader_terms_total", Help: "Terms that this process began."}),
		storeLost:    prometheus.NewCounter(prometheus.CounterOpts{Namespace: "pvalve", Name: "leader_store_lost_total", Help: "Times the store stopped to answer the membership."}),
		storeRetries: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "pvalve", Name: "leader_store_retries_total", Help: "Tries of a batch beyond the first, by reason."}, []string{"reason"}),
		decisions:    prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "pvalve", Name: "planner_decisions_total", Help: "Decisions of the planner, by kind and reason."}, []string{"decision", "reason"}),
		commit:       prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "pvalve", Name: "leader_commit_seconds", Help: "Time to store a batch.", Buckets: prometheus.ExponentialBuckets(0.004, 2, 12)}),
	}
	r.MustRegister(m.terms, m.storeLost, m.storeRetries, m.decisions, m.commit)
	return m
}
