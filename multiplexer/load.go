package multiplexer

import (
	"maps"

	"github.com/heatherhall/heatherhall/balancer"
	"github.com/heatherhall/heatherhall/placer"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// askInterval is the time between two questions to the neighbours while reads
// leave the failure domain or might have to.
const askInterval timekeeper.Millis = 500

const (
	// requesterMemory is how long a domain that has asked counts as asking. With many
	// daemons, each of them is asked only now and then.
	requesterMemory timekeeper.Millis = 3000
	// maxRequesters bounds the number of domains that are remembered.
	maxRequesters = 64
)

// AskLoad asks a daemon of another failure domain how long the reads of a group
// wait there. The driver reports the answer with LoadReported.
type AskLoad struct {
	Host  placer.Host
	Group string
	// Domain is the asking daemon's failure domain.
	Domain string
}

func (AskLoad) command() {}

// LoadReport says for how many milliseconds the reads of a group wait at a
// daemon.
type LoadReport struct {
	// Waits are the waits by rank; empty if the daemon reports none.
	Waits []timekeeper.Millis `json:"waits,omitempty"`
	// Requesters is how many failure domains have asked for a report lately.
	Requesters int `json:"requesters,omitempty"`
}

// Validate returns an Error of KindInvalid if the report can't be true.
func (r LoadReport) Validate() error {
	if len(r.Waits) != 0 && len(r.Waits) != scheduler.NumRanks {
		return &Error{Op: "decode load report", Kind: KindInvalid, Text: "waits: wrong number of ranks"}
	}
	if r.Requesters < 0 || r.Requesters > maxRequesters {
		return &Error{Op: "decode load report", Kind: KindInvalid, Text: "requesters: out of range"}
	}
	for _, wait := range r.Waits {
		if wait < 0 || wait > maxForwardedTime {
			return &Error{Op: "decode load report", Kind: KindInvalid, Text: "waits: out of range"}
		}
	}
	return nil
}

// LoadReport returns how long the reads of a group wait at this daemon, for a
// daemon of a failure domain that asks. The report is empty for an unknown group.
func (m *Multiplexer) LoadReport(now timekeeper.Millis, group, domain string) LoadReport {
	g := m.groups[group]
	if g == nil {
		return LoadReport{}
	}
	if g.requesters == nil {
		g.requesters = map[string]timekeeper.Millis{}
	}
	if len(g.requesters) < maxRequesters {
		g.requesters[domain] = now
	}
	maps.DeleteFunc(g.requesters, func(_ string, at timekeeper.Millis) bool { return now-at > requesterMemory })
	report := LoadReport{Waits: make([]timekeeper.Millis, scheduler.NumRanks), Requesters: len(g.requesters)}
	for r, wait := range g.waits(now) {
		report.Waits[r] = min(timekeeper.Millis(wait), maxForwardedTime)
	}
	return report
}

// LoadReported handles a valid report of a daemon of another failure domain that
// was asked for at the given time.
func (m *Multiplexer) LoadReported(asked timekeeper.Millis, question AskLoad, report LoadReport) {
	g := m.groups[question.Group]
	if g == nil || g.balance == nil || len(report.Waits) != scheduler.NumRanks {
		return
	}
	out := balancer.Report{Requesters: report.Requesters}
	for r, wait := range report.Waits {
		out.Waits[r] = float64(wait)
	}
	g.balance.SetReport(asked, question.Host.Domain, out)
}

// askNeighbours asks one daemon of each other domain for a report if the balancer
// wants reports: a carrier if the group has carriers, and each time another
// daemon otherwise, so that the requesters spread over them.
func (b *groupBalance) askNeighbours(now timekeeper.Millis) {
	if !b.ReportsWanted() || now-b.askedAt < askInterval {
		return
	}
	b.askedAt = now
	b.asked++
	g := b.group
	for _, domain := range g.remoteDomains() {
		order := g.mux.placement.OrderIn(domain, g.name)
		if g.carrierCount > 0 {
			order = order[:min(g.carrierCount, len(order))]
		}
		if len(order) > 0 {
			g.mux.emit(AskLoad{Host: order[(b.Seed()+b.asked)%uint64(len(order))], Group: g.name, Domain: g.mux.settings.Domain})
		}
	}
}
