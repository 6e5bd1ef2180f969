package multiplexer

import (
	"maps"
	"slices"

	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/placer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// carrierPath is what this daemon knows about the path to a carrier.
type carrierPath struct {
	host placer.Host
	// outstanding is how many statements the carrier owes answers to, and since
	// when it has owed one without a response.
	outstanding int
	silentSince timekeeper.Millis
	// pingedAt is when an unanswered ping was sent; 0 if there is none.
	pingedAt timekeeper.Millis
	// avoidUntil is when the carrier may get work again after a failure, and
	// failures how many there were in a row.
	avoidUntil timekeeper.Millis
	failures   int
	// unreachable says that the carrier gets no work before it answers a ping.
	unreachable bool
}

// usable reports whether the carrier may get new work.
func (p *carrierPath) usable(now timekeeper.Millis) bool {
	return !p.unreachable && now >= p.avoidUntil
}

// markResponded records a sign of life of a carrier.
func (p *carrierPath) markResponded(now timekeeper.Millis) {
	p.silentSince, p.pingedAt = now, 0
	if p.unreachable {
		p.unreachable, p.avoidUntil = false, now
	}
}

// CarrierResponded handles a carrier's answer to a ping.
func (m *Multiplexer) CarrierResponded(now timekeeper.Millis, carrier string) {
	if path := m.paths[carrier]; path != nil {
		path.markResponded(now)
	}
}

// avoidCarrier gives a carrier no new work for a while.
func (m *Multiplexer) avoidCarrier(now timekeeper.Millis, path *carrierPath, reason string) {
	if now < path.avoidUntil {
		return
	}
	backoff := min(carrierBackoff<<min(path.failures, 8), maxCarrierBackoff)
	path.failures++
	path.avoidUntil = now + backoff
	m.deps.Log(Decision{Part: "carrier " + path.host.Name, Outcome: "avoided: " + reason, Inputs: []observer.Field{
		observer.F("backoff", int64(backoff)), observer.F("failures", path.failures), observer.F("outstanding", path.outstanding), observer.F("silent", int64(now-path.silentSince)),
	}})
}

// tickForwards ends the waits whose time limit has passed, and looks for
// carriers that do not respond. These get no more work before they answer a ping.
// Writes and commits that they owe wait for their time limit, since they may be
// running.
func (m *Multiplexer) tickForwards(now timekeeper.Millis) {
	if m.lastTick > 0 && now-m.lastTick > tickGap {
		for _, path := range m.paths {
			path.markResponded(now)
		}
	}
	m.lastTick = now
	for _, name := range slices.Sorted(maps.Keys(m.paths)) {
		path := m.paths[name]
		switch {
		case path.unreachable && now >= path.avoidUntil:
			path.pingedAt = now
			m.avoidCarrier(now, path, "pinged again")
			m.emit(RenewLink{Carrier: path.host})
			m.emit(PingCarrier{Carrier: path.host})
		case path.unreachable:
		case path.outstanding == 0:
			path.pingedAt = 0
		case path.pingedAt == 0 && now-path.silentSince >= carrierPingAfter:
			path.pingedAt = now
			m.emit(PingCarrier{Carrier: path.host})
		case path.pingedAt > 0 && now-path.pingedAt >= carrierPingTimeout:
			m.emit(RenewLink{Carrier: path.host})
			m.avoidCarrier(now, path, "does not respond")
			path.unreachable = true
			m.giveUpOn(now, path)
		}
	}
	for _, j := range sortedJobs(m.forwards) {
		if now >= j.deadline {
			m.expireForward(now, j)
		}
	}
}

// giveUpOn ends the wait for what an unreachable carrier owes, where that is safe:
// single reads run elsewhere, and transactions that do not commit yet are rolled
// back, so that their clients have time to run them again.
func (m *Multiplexer) giveUpOn(now timekeeper.Millis, path *carrierPath) {
	for _, j := range sortedJobs(m.forwards) {
		if j.path != path || j.hasSideEffects() || now >= j.deadline {
			continue
		}
		if !j.retryable() {
			m.expireForward(now, j)
			continue
		}
		m.endForward(j)
		m.emit(EndForward{Carrier: path.host, Work: j.work})
		m.abandonForward(now, j, true, "the carrier does not respond")
	}
}
