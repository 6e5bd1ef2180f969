package guarder

import (
	"syscall"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/rationer"
)

// NewTimeouts returns the timeouts of limits.
func NewTimeouts(l rationer.Limits) Timeouts {
	return Timeouts{Startup: l.Startup, Message: l.Message, Unread: l.Unread}
}

// LoggedDeps returns functions that write to a log and to a counter, which they
// register.
func LoggedDeps(log *observer.Logger, registry *prometheus.Registry) Deps {
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "heatherhall_clients_stopped_total",
		Help: "Clients' messages and connections that were refused or closed, by reason.",
	}, []string{"reason"})
	registry.MustRegister(counter)
	for _, reason := range Reasons {
		counter.WithLabelValues(string(reason))
	}
	return Deps{
		Count: func(reason Reason) { counter.WithLabelValues(string(reason)).Inc() },
		Log: func(reason Reason, client string, held, used int64, unlogged int) {
			log.LogDecision(observer.Decision{Part: "guard", Outcome: "client refused or closed", Inputs: []observer.Field{
				observer.F("reason", string(reason)), observer.F("client", client), observer.F("held", held), observer.F("used", used), observer.F("unlogged", unlogged),
			}})
		},
	}
}

// RegisterGauges registers gauges of the memory that is held for clients and of their
// connections.
func (g *Guard) RegisterGauges(registry *prometheus.Registry) {
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "heatherhall_client_bytes", Help: "Memory that is held for clients."}, func() float64 { return float64(g.Used()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "heatherhall_client_connections", Help: "Clients' connections."}, func() float64 { return float64(g.Connections()) }),
	)
}

// MaxDescriptors returns how many descriptors the process may open: the setting, or the
// limit of the process if that is lower or the setting is 0.
func MaxDescriptors(setting int) int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur > 1<<30 {
		limit.Cur = 1 << 30
	}
	if setting > 0 {
		return min(setting, int(limit.Cur))
	}
	return int(limit.Cur)
}
