package proxier

import "github.com/prometheus/client_golang/prometheus"

// leavingReadsDesc describes the gauge of leavingReads.
var leavingReadsDesc = prometheus.NewDesc("heatherhall_reads_leaving_ratio",
	"Share of recent reads that ran on servers of other failure domains, by group and this daemon's domain.", []string{"group", "domain"}, nil)

// leavingReads collects a gauge for each group whose reads are balanced between
// failure domains.
type leavingReads struct {
	proxy *Proxy
}

// Describe sends the gauge's description.
func (l leavingReads) Describe(out chan<- *prometheus.Desc) {
	out <- leavingReadsDesc
}

// Collect sends the gauge's present values.
func (l leavingReads) Collect(out chan<- prometheus.Metric) {
	l.proxy.mu.Lock()
	shares := l.proxy.mux.LeavingShares()
	l.proxy.mu.Unlock()
	for group, share := range shares {
		out <- prometheus.MustNewConstMetric(leavingReadsDesc, prometheus.GaugeValue, share, group, l.proxy.settings.Host.Domain)
	}
}
