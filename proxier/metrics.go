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

// ObserveStatement adds a statement's outcome.
func (m *Metrics) ObserveStatement(code multiplexer.Code, rank scheduler.Rank, took timekeeper.Millis) {
	m.outcomes.WithLabelValues(code.String(), rank.String()).Inc()
	m.latencies.WithLabelValues(rank.String()).Observe(float64(took) / 1000)
}

// gauge adds a gauge whose value is read when asked for.
func (m *Metrics) gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// gauges adds what the daemon holds and believes.
func (p *Proxy) gauges() {
	locked := func(value func() float64) func() float64 {
		return func() float64 {
			p.mu.Lock()
			defer p.mu.Unlock()
			return value()
		}
	}
	p.metrics.gauge("heatherhall_sessions", "Callers' open sessions.", locked(func() float64 { return float64(p.mux.SessionCount()) }))
	p.metrics.gauge("heatherhall_statements_waiting", "Statements that wait or run.", locked(func() float64 { return float64(p.mux.InFlight()) }))
	p.metrics.gauge("heatherhall_server_connections", "Connections to backend servers.", locked(func() float64 { return float64(len(p.links)) }))
	p.metrics.gauge("heatherhall_catalog_version", "Version of the catalog in force.", locked(func() float64 { return float64(p.mux.CatalogVersion()) }))
	p.metrics.gauge("heatherhall_hosts", "Daemons that share the servers' connections.", locked(func() float64 { return float64(p.elector.LiveHosts(p.clock.Now())) }))
	p.metrics.gauge("heatherhall_ready", "Whether the daemon takes callers.", locked(func() float64 {
		if p.mux.Ready() {
			return 1
		}
		return 0
	}))
	p.metrics.gauge("heatherhall_authority_seconds", "Shortest time for which a group's primary may be used yet.", locked(func() float64 {
		now, least := p.clock.Now(), p.settings.Elector.LeaseDuration
		for _, lead := range p.elector.PrimaryLeases(now) {
			least = min(least, max(lead.ValidUntil-now, 0))
		}
		return float64(least) / 1000
	}))
}
