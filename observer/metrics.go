package observer

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the daemon's Prometheus metrics.
type Metrics struct {
	registry *prometheus.Registry
	// Outcomes counts outcomes of requests by outcome class and SQLSTATE code.
	Outcomes *prometheus.CounterVec
	// Reads counts answered reads by the role of the server that ran them.
	Reads *prometheus.CounterVec
	// RequestSeconds observes the time from request to outcome, in seconds, by
	// rank.
	RequestSeconds *prometheus.HistogramVec
	// QueueSeconds observes the time from the arrival of work at its home to its
	// start, in seconds, by rank.
	QueueSeconds *prometheus.HistogramVec
	// AcknowledgeSeconds observes the time from a commit on the primary to its
	// acknowledgement, in seconds.
	AcknowledgeSeconds prometheus.Histogram
	// InvariantFailures counts failed internal consistency checks. It must stay 0.
	InvariantFailures prometheus.Counter
	// Promotions counts primary changes coordinated by this daemon.
	Promotions prometheus.Counter
}

// NewMetrics returns the metrics, registered in a new registry.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		Outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherhall_outcomes_total",
			Help: "Outcomes of callers' requests by class and SQLSTATE.",
		}, []string{"class", "code"}),
		Reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherhall_reads_total",
			Help: "Answered reads by the role of the backend server.",
		}, []string{"role"}),
		RequestSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "heatherhall_request_seconds",
			Help:    "Time from request to outcome by rank.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"rank"}),
		QueueSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "heatherhall_queue_seconds",
			Help:    "Time from the arrival of work at its home to its start by rank.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"rank"}),
		AcknowledgeSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "heatherhall_acknowledge_seconds",
			Help:    "Time from a commit on the primary to its acknowledgement.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}),
		InvariantFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "heatherhall_invariant_failures_total",
			Help: "Checks inside the program that failed; must stay 0.",
		}),
		Promotions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "heatherhall_promotions_total",
			Help: "Changes of primary that this daemon led.",
		}),
	}
	m.registry.MustRegister(m.Outcomes, m.Reads, m.RequestSeconds, m.QueueSeconds, m.AcknowledgeSeconds, m.InvariantFailures, m.Promotions)
	return m
}

// Registry returns the registry of all metrics, including added gauges.
func (m *Metrics) Registry() *prometheus.Registry {
	return m.registry
}

// Gauge registers a gauge whose value function is called at each collection. It
// panics if the name is already registered.
func (m *Metrics) Gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}
