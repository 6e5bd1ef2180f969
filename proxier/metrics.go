package proxier

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/heatherhall/heatherhall/limiter"
	"github.com/heatherhall/heatherhall/multiplexer"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Metrics holds a daemon's Prometheus metrics.
type Metrics struct {
	registry  *prometheus.Registry
	outcomes  *prometheus.CounterVec
	latencies *prometheus.HistogramVec
}

// NewMetrics returns metrics that are registered with a new registry.
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

// Registry returns the registry that the metrics are registered with.
func (m *Metrics) Registry() *prometheus.Registry {
	return m.registry
}

// ObserveStatement counts a statement by code and rank and records its duration.
func (m *Metrics) ObserveStatement(code multiplexer.Code, rank scheduler.Rank, took timekeeper.Millis) {
	m.outcomes.WithLabelValues(code.String(), rank.String()).Inc()
	m.latencies.WithLabelValues(rank.String()).Observe(float64(took) / 1000)
}

// registerGauge registers a gauge whose value is computed on each scrape.
func (m *Metrics) registerGauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// registerCounter registers a counter whose value is computed on each scrape.
func (m *Metrics) registerCounter(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, value))
}

// registerGauges registers gauges of the daemon's sessions, statements and connections
// and of its view of the catalog, the live daemons and the primary leases.
func (p *Proxy) registerGauges() {
	locked := func(value func() float64) func() float64 {
		return func() float64 {
			p.mu.Lock()
			defer p.mu.Unlock()
			return value()
		}
	}
	p.metrics.registerGauge("heatherhall_sessions", "Callers' open sessions.", locked(func() float64 { return float64(p.mux.SessionCount()) }))
	p.metrics.registerGauge("heatherhall_statements_waiting", "Statements that wait or run.", locked(func() float64 { return float64(p.mux.InFlight()) }))
	p.metrics.registerGauge("heatherhall_server_connections", "Connections to backend servers.", locked(func() float64 { return float64(len(p.workers)) }))
	p.metrics.registerGauge("heatherhall_catalog_version", "Version of the catalog in force.", locked(func() float64 { return float64(p.mux.CatalogVersion()) }))
	p.metrics.registerGauge("heatherhall_catalog_age_seconds", "Age of the last reading of the catalog.", locked(func() float64 {
		return float64(p.clock.Now()-p.cache.readAt(TableCatalog)) / 1000
	}))
	p.metrics.registerGauge("heatherhall_store_era", "How often the store was restored from a copy, as it counts.", locked(func() float64 { return float64(p.storeRevision.Era) }))
	p.metrics.registerGauge("heatherhall_hosts", "Daemons that share the servers' connections.", locked(func() float64 { return float64(len(p.elector.LiveHosts(p.clock.Now()))) }))
	p.metrics.registerGauge("heatherhall_groups_carried", "Database groups whose statements this daemon runs for its failure domain.", locked(func() float64 { return float64(p.mux.CarrierLoad().Groups) }))
	p.metrics.registerGauge("heatherhall_forwarded_work", "Statements and transactions of other daemons that this daemon runs.", locked(func() float64 { return float64(p.mux.CarrierLoad().Forwarded) }))
	p.metrics.registerGauge("heatherhall_forwards_waiting", "Statements that carriers owe this daemon answers to.", locked(func() float64 { return float64(p.mux.CarrierLoad().Forwards) }))
	for _, c := range []struct {
		name, help string
		value      func(multiplexer.AccountConnCounts) uint64
	}{
		{"opened", "Connections to backend servers opened for client accounts.", func(c multiplexer.AccountConnCounts) uint64 { return c.Opened }},
		{"evicted", "Idle connections of client accounts closed to make room for another account.", func(c multiplexer.AccountConnCounts) uint64 { return c.Evicted }},
		{"reused", "Statements and transactions on connections that had served their account before.", func(c multiplexer.AccountConnCounts) uint64 { return c.Reused }},
	} {
		p.metrics.registerCounter("heatherhall_account_connections_"+c.name+"_total", c.help, locked(func() float64 { return float64(c.value(p.mux.AccountConnCounts())) }))
	}
	p.metrics.registerGauge("heatherhall_carriers_unreachable", "Carriers that do not respond to this daemon.", locked(func() float64 { return float64(p.mux.CarrierLoad().Unreachable) }))
	p.metrics.registry.MustRegister(newLimitCollector(func() (limiter.Stats, map[string]float64) {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.limits.Stats(), p.limits.Shares(p.clock.Now())
	}))
	p.metrics.registerGauge("heatherhall_shedding", "Whether the daemon sheds its roles because its host is overloaded.", locked(func() float64 {
		if p.shedder.Shedding() {
			return 1
		}
		return 0
	}))
	p.metrics.registerGauge("heatherhall_timer_lag_seconds", "How late the daemon's timer fires on average.", locked(func() float64 { return float64(p.shedder.Lag()) / 1000 }))
	p.metrics.registry.MustRegister(leavingReads{p})
	p.metrics.registerGauge("heatherhall_ready", "Whether the daemon takes callers.", locked(func() float64 {
		if p.mux.Ready() {
			return 1
		}
		return 0
	}))
	p.metrics.registerGauge("heatherhall_authority_seconds", "Shortest time for which a group's primary may be used yet.", locked(func() float64 {
		now, remaining := p.clock.Now(), p.settings.Elector.LeaseDuration
		for _, lease := range p.elector.PrimaryLeases(now) {
			remaining = min(remaining, max(lease.ValidUntil-now, 0))
		}
		return float64(remaining) / 1000
	}))
}
