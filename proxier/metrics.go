package proxier

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/heatherhall/heatherhall/multiplexer"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Metrics are a daemon's metrics.
type Metrics struct {
	registry  *prometheus.Registry
	outcomes  *prometheus.CounterVec
	latencies *prometheus.HistogramVec
}

// NewMetrics returns metrics with a registry of their own.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherhall_statements_total",
			Help: "Statements that servers were asked for, by outcome and rank.",
		}, []string{"outcome", "rank"}),
		latencies: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "heatherhall_statement_seconds",
			Help:    "Time from a statement's arrival to its answer by rank.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
		}, []string{"rank"}),
	}
	m.registry.MustRegister(m.outcomes, m.latencies)
	return m
}

// Registry returns the registry that holds the metrics.
func (m *Metrics) Registry() *prometheus.Registry {
	return m.registry
}

// Count adds a statement's outcome.
func (m *Metrics) Count(code multiplexer.Code, rank scheduler.Rank, took timekeeper.Millis) {
	m.outcomes.WithLabelValues(code.String(), rank.String()).Inc()
	m.latencies.WithLabelValues(rank.String()).Observe(float64(took) / 1000)
}
