// Package balancer decides for one database group which fraction of a failure
// domain's reads runs on servers of other domains. It relies on the answer
// times that this daemon measures itself, and bounds what all daemons together
// take from a server of another domain.
package balancer

import (
	"math"

	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// updateInterval is the time between two changes of the fractions. It leaves
	// time for answers that show the effect of the previous change.
	updateInterval timekeeper.Millis = 200
	// maxStep is the largest rise of a fraction in one update, and
	// maxUrgentStep the one while the latency objective is endangered.
	maxStep, maxUrgentStep = 0.05, 0.1
	// minStep is the smallest rise of a fraction.
	minStep = 0.005
	// minMargin is by how many milliseconds a remote server must be faster to pay
	// for the way, and marginPart the part of the remote time that it must be at
	// least. The urgent ones replace them while the objective is endangered.
	minMargin, marginPart             = 10.0, 0.5
	minUrgentMargin, urgentMarginPart = 2.0, 0.25
	// endangeredPart is the part of the latency objective above which the
	// expected time endangers it.
	endangeredPart = 0.5
	// slowDecay, staleDecay and fastDecay are what remains of a fraction after an
	// update in which it pays little, no fresh reading supports it, or it does
	// not pay.
	slowDecay, staleDecay, fastDecay = 0.92, 0.9, 0.7
	// countDecay is what remains of the counts of started reads after an update.
	countDecay = 0.8
	// minFraction is the smallest fraction that is kept.
	minFraction = 0.01
	// reportedFraction is the fraction from which a start is reported, and
	// reportedChange the change that is reported.
	reportedFraction, reportedChange = 0.02, 0.1
	// probeReads is how many reads measure remote servers without a fresh
	// reading: enough for the two others of a group of three.
	probeReads = 2 * answersNeeded
	// minProbeInterval is the time between two such measurements. It doubles up
	// to maxProbeInterval while the fraction does not rise.
	minProbeInterval, maxProbeInterval timekeeper.Millis = 800, 6400
	// suspectedSlowdown is how many times the unloaded time an own server must
	// take, plus minMargin, before remote servers are measured.
	suspectedSlowdown = 2.5
	// maxDue bounds how many reads may leave at once after a time without a
	// suitable server.
	maxDue = 8.0
	// unreportedLimit is the largest fraction while no recent report of the
	// neighbours' queues is known.
	unreportedLimit = 0.1
	// headroom is by how much a fraction may exceed the share of reads that do
	// leave. It keeps the fraction from rising without effect while the credit at
	// the remote servers is the limit, and from falling late afterwards.
	headroom = 0.1
	// baseRise is the relative rise of the unloaded time in one update. It
	// doubles in about 6 minutes, so that a long overload does not pass for the
	// unloaded state.
	baseRise = 0.0004
)

// Demand describes the waiting reads of a rank.
type Demand struct {
	// Wait is the expected wait in this daemon's queue in milliseconds.
	Wait float64
	// Objective is the shortest latency objective of the rank's databases; 0 if
	// there is none.
	Objective timekeeper.Millis
}

// Change reports that the fraction of a rank's reads that leaves the domain has
// started, changed or ended, with the inputs of the last update.
type Change struct {
	Rank             scheduler.Rank
	Before, Fraction float64
	// Own and Remote are the expected times at the best servers of this and of
	// other domains, and Margin the difference that pays for the way.
	Own, Remote, Margin float64
	Demand
}

// Balancer holds the readings and fractions of one group. It is not safe for
// concurrent use.
type Balancer struct {
	servers map[string]*server
	// order holds the servers by name, so that decisions don't depend on the order
	// of a map, and hasOwn says whether one of them is in this domain.
	order  []*server
	hasOwn bool
	ranks  [scheduler.NumRanks]rank
	// seed separates the choices of daemons with equal readings.
	seed    uint64
	updated timekeeper.Millis
	// reports are the last ones of other domains, by domain.
	reports map[string]report
	// wanted says that the next decision depends on reports.
	wanted bool
}

// Report is what a daemon of another domain says about its queue.
type Report struct {
	// Waits are the expected waits in milliseconds, by rank.
	Waits [scheduler.NumRanks]float64
	// Requesters is how many failure domains have asked for reports lately; 0 if
	// unknown.
	Requesters int
}

// report is a Report and the time for which it holds.
type report struct {
	Report
	at timekeeper.Millis
}

// rank holds the decision for one rank of work.
type rank struct {
	// base is the time of a statement at an unloaded server in milliseconds; 0 if
	// unknown.
	base     float64
	fraction float64
	reported float64
	// due is how many reads may leave now: each arrival adds the fraction.
	due           float64
	probedAt      timekeeper.Millis
	probeInterval timekeeper.Millis
	// left and started are smoothed counts of the reads that left the domain and
	// of all that started.
	left, started float64
}

// New returns a Balancer without servers; seed differs between daemons.
func New(seed uint64) *Balancer {
	b := &Balancer{servers: map[string]*server{}, reports: map[string]report{}, seed: seed}
	for i := range b.ranks {
		b.ranks[i].probeInterval = minProbeInterval
		b.ranks[i].due = float64(seed%1024) / 1024
	}
	return b
}

// Seed returns the number by which this daemon's choices differ from others'.
func (b *Balancer) Seed() uint64 {
	return b.seed
}

// Fraction returns the fraction of a rank's reads that leaves the domain.
func (b *Balancer) Fraction(r scheduler.Rank) float64 {
	return b.ranks[r].fraction
}

// LeavingShare returns the measured share of recent reads that left the domain.
func (b *Balancer) LeavingShare() float64 {
	left, started := 0.0, 1.0
	for _, state := range b.ranks {
		left, started = left+state.left, started+state.started
	}
	return left / started
}

// SetReport records the report of a daemon of another domain at a time. Reads that go there count as if they waited in
// that queue, so that they don't pass its own clients.
func (b *Balancer) SetReport(now timekeeper.Millis, domain string, r Report) {
	b.reports[domain] = report{Report: r, at: now}
}

// ReportsWanted reports whether the decision depends on reports of the
// neighbours: reads leave, or might have to.
func (b *Balancer) ReportsWanted() bool {
	return b.wanted
}

// Arrived accounts for the arrival of a read.
func (b *Balancer) Arrived(r scheduler.Rank) {
	state := &b.ranks[r]
	state.due = min(state.due+state.fraction, maxDue)
}

// MayLeave reports whether a read of the rank should leave the domain now.
func (b *Balancer) MayLeave(r scheduler.Rank) bool {
	return b.ranks[r].due >= 1
}

// Update changes the fractions if updateInterval has passed, and returns what
// is to be reported.
func (b *Balancer) Update(now timekeeper.Millis, demand [scheduler.NumRanks]Demand) []Change {
	if now-b.updated < updateInterval {
		return nil
	}
	b.updated = now
	b.wanted = false
	var out []Change
	for r := range scheduler.Rank(scheduler.NumRanks) {
		b.updateBase(now, r)
		c := Change{Rank: r, Demand: demand[r]}
		b.updateFraction(now, r, &c)
		state := &b.ranks[r]
		state.left, state.started = state.left*countDecay, state.started*countDecay
		c.Before, c.Fraction = state.reported, state.fraction
		started := state.reported == 0 && state.fraction >= reportedFraction
		ended := state.reported > 0 && state.fraction == 0
		if started || ended || state.reported > 0 && math.Abs(state.fraction-state.reported) > reportedChange {
			state.reported = state.fraction
			out = append(out, c)
		}
	}
	return out
}

// updateBase lets the unloaded time of a rank follow the fastest server with a
// fresh reading.
func (b *Balancer) updateBase(now timekeeper.Millis, r scheduler.Rank) {
	state := &b.ranks[r]
	best := math.Inf(1)
	for _, s := range b.order {
		if s.fresh(now, r) {
			best = min(best, s.times[r].mean)
		}
	}
	switch {
	case math.IsInf(best, 1):
	case state.base == 0:
		state.base = best
	case best < state.base:
		state.base += 0.3 * (best - state.base)
	default:
		state.base = min(best, state.base*(1+baseRise))
	}
}

// updateFraction changes the fraction of a rank by one step and records the
// inputs in c.
func (b *Balancer) updateFraction(now timekeeper.Millis, r scheduler.Rank, c *Change) {
	state := &b.ranks[r]
	own, remote := b.best(now, r, true), b.best(now, r, false)
	c.Own, c.Remote = own.time+c.Wait, remote.time
	endangered := c.Objective > 0 && c.Own > endangeredPart*float64(c.Objective)
	c.Margin = max(minMargin, marginPart*remote.time)
	if endangered {
		c.Margin = max(minUrgentMargin, urgentMarginPart*remote.time)
	}
	b.updateSuits(now, r, c)
	suspected := state.base > 0 && (endangered || c.Own > suspectedSlowdown*state.base+minMargin)
	b.wanted = b.wanted || suspected || state.fraction > 0
	before := state.fraction
	switch {
	case !remote.found:
		state.fraction, state.due = 0, min(state.due, 0.99)
		return
	case !own.found || state.base == 0:
		// There are only remote servers to choose from, or no work.
		state.fraction *= staleDecay
	case !remote.fresh:
		state.fraction *= staleDecay
		if suspected && c.Own > remote.time+c.Margin {
			b.probe(now, state)
		}
	case c.Own > remote.time+c.Margin:
		step := maxStep
		if endangered {
			step = maxUrgentStep
		}
		step *= (c.Own - remote.time - c.Margin) / c.Own
		state.fraction = max(state.fraction, min(state.fraction+max(minStep, step), state.left/max(state.started, 1)+headroom, 1))
		state.probeInterval = minProbeInterval
	case c.Own > remote.time+c.Margin/2:
	case c.Own > remote.time:
		state.fraction *= slowDecay
	default:
		state.fraction *= fastDecay
	}
	if !remote.reported {
		state.fraction = min(state.fraction, max(unreportedLimit, before*staleDecay))
	}
	if state.fraction < minFraction {
		state.fraction = 0
	}
}

// updateSuits determines the remote servers that reads may leave for: those that
// are fast enough to pay for the way, and those without a fresh reading.
func (b *Balancer) updateSuits(now timekeeper.Millis, r scheduler.Rank, c *Change) {
	for _, s := range b.order {
		if !s.Own {
			e := b.expected(now, s, r)
			s.suits[r] = s.usable && (!e.fresh || e.time+c.Margin/2 < c.Own)
		}
	}
}

// probe lets a few reads leave so that they measure remote servers.
func (b *Balancer) probe(now timekeeper.Millis, state *rank) {
	if now-state.probedAt < state.probeInterval {
		return
	}
	state.probedAt = now
	state.probeInterval = min(2*state.probeInterval, maxProbeInterval)
	state.due = max(state.due, probeReads)
}
