package proxier

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/heatherhall/heatherhall/limiter"
)

// separateAccounts is how many accounts have metrics of their own. The others are counted
// together, so that the number of series is bounded.
const separateAccounts = 10

// limitCollector collects the metrics of a limiter.
type limitCollector struct {
	// read returns the counters and the rate shares.
	read                         func() (limiter.Stats, map[string]float64)
	operations, shares, messages *prometheus.Desc
}

func newLimitCollector(read func() (limiter.Stats, map[string]float64)) *limitCollector {
	return &limitCollector{
		read:       read,
		operations: prometheus.NewDesc("heatherhall_limit_operations_total", "Operations of accounts with a rate limit, by account and outcome.", []string{"account", "outcome"}, nil),
		shares:     prometheus.NewDesc("heatherhall_limit_share", "Part of an account's rate limit that this daemon grants to its failure domain.", []string{"account"}, nil),
		messages:   prometheus.NewDesc("heatherhall_limit_messages_total", "Messages about rate limits, by direction.", []string{"direction"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *limitCollector) Describe(out chan<- *prometheus.Desc) {
	out <- c.operations
	out <- c.shares
	out <- c.messages
}

// Collect implements prometheus.Collector.
func (c *limitCollector) Collect(out chan<- prometheus.Metric) {
	stats, shares := c.read()
	for name, n := range stats.Accounts {
		out <- prometheus.MustNewConstMetric(c.operations, prometheus.CounterValue, float64(n.Admitted), name, "admitted")
		out <- prometheus.MustNewConstMetric(c.operations, prometheus.CounterValue, float64(n.Refused), name, "rejected")
	}
	for name, share := range shares {
		out <- prometheus.MustNewConstMetric(c.shares, prometheus.GaugeValue, share, name)
	}
	out <- prometheus.MustNewConstMetric(c.messages, prometheus.CounterValue, float64(stats.Sent), "sent")
	out <- prometheus.MustNewConstMetric(c.messages, prometheus.CounterValue, float64(stats.Received), "received")
}
