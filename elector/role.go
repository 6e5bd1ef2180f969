package elector

import (
	"cmp"
	"maps"
	"slices"

	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// readerClaimTimeouts is for how many HeartbeatTimeouts a daemon must be the best
	// domain reader that it knows before it claims the role. A daemon that has just
	// started needs two heartbeats of the present reader to know it.
	readerClaimTimeouts = 2
	// smallHostDelay is how long a daemon with less than half of the largest capacity
	// leaves the role of failover coordinator to others, and sheddingDelay how long one
	// that sheds its roles does. A primary change that only this daemon finds necessary
	// takes so much longer, if there is no failover coordinator.
	smallHostDelay, sheddingDelay timekeeper.Millis = 250, 500
)

// DomainReaderAddress returns the address of the domain reader: the daemon that
// reads the store for this daemon's failure domain. It is one of the domain's
// live daemons whose heartbeat was seen to change, since the rows read at
// the start also list daemons that no longer run. The address is empty if this
// daemon is the domain reader or none is known.
func (e *Elector) DomainReaderAddress(now timekeeper.Millis) string {
	if name := e.domainReader(now); name != e.settings.Self.Name {
		return e.hosts[name].Address
	}
	return ""
}

// domainReader returns the name of the domain reader: the first candidate by name. Where
// the candidates' capacities differ, it is the one that claims the role, or else the one
// with the largest capacity. Daemons that shed their roles come last. All of that is as
// read from the store, also for this daemon, so that two daemons that have read the same
// do not both take the other for the domain reader.
func (e *Elector) domainReader(now timekeeper.Millis) string {
	candidates := []Host{e.settings.Self}
	for _, name := range slices.Sorted(maps.Keys(e.hosts)) {
		if host := e.hosts[name]; name != e.settings.Self.Name && host.Domain == e.settings.Self.Domain && e.heartbeats[name].advanced && e.live(now, name) {
			candidates = append(candidates, host)
		}
	}
	differ := capacitiesDiffer(candidates)
	return slices.MinFunc(candidates, func(a, b Host) int {
		first := compareBools(e.Shedding(a.Name), e.Shedding(b.Name))
		if differ {
			first = cmp.Or(first, compareBools(e.claimsReader(b.Name), e.claimsReader(a.Name)), cmp.Compare(b.Capacity, a.Capacity))
		}
		return cmp.Or(first, cmp.Compare(a.Name, b.Name))
	}).Name
}

// capacitiesDiffer reports whether all hosts have registered a capacity, and not the same.
func capacitiesDiffer(hosts []Host) bool {
	differ := false
	for _, h := range hosts {
		if h.Capacity <= 0 {
			return false
		}
		differ = differ || h.Capacity != hosts[0].Capacity
	}
	return differ
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// currentHeartbeat returns the latest heartbeat of a daemon's registered run.
func (e *Elector) currentHeartbeat(name string) Heartbeat {
	incarnation := e.hosts[name].Incarnation
	if name == e.settings.Self.Name {
		incarnation = e.settings.Self.Incarnation
	}
	if seen := e.heartbeats[name]; seen.heartbeat.Incarnation == incarnation {
		return seen.heartbeat
	}
	return Heartbeat{}
}

// Shedding reports whether a daemon sheds its roles, as its heartbeat shows.
func (e *Elector) Shedding(name string) bool {
	return e.currentHeartbeat(name).Shedding
}

// DomainShedding returns the live daemons of this daemon's failure domain, how many of the
// others shed their roles, and whether the daemons' capacities differ.
func (e *Elector) DomainShedding(now timekeeper.Millis) (hosts []Host, others int, differ bool) {
	for _, host := range e.LiveHosts(now) {
		if host.Domain != e.settings.Self.Domain {
			continue
		}
		hosts = append(hosts, host)
		if host.Name != e.settings.Self.Name && e.Shedding(host.Name) {
			others++
		}
	}
	return hosts, others, capacitiesDiffer(hosts)
}

func (e *Elector) claimsReader(name string) bool {
	return e.currentHeartbeat(name).Reader
}

// updateReaderClaim records since when this daemon has been the domain reader. It is
// called after each reading of the heartbeats.
func (e *Elector) updateReaderClaim(now timekeeper.Millis) {
	switch {
	case e.domainReader(now) != e.settings.Self.Name:
		e.readerSince = 0
	case e.readerSince == 0:
		e.readerSince = now
	}
}

// ClaimsReader reports whether this daemon's heartbeats are to claim the role of the
// domain reader.
func (e *Elector) ClaimsReader(now timekeeper.Millis) bool {
	return e.settings.Self.Capacity > 0 && e.readerSince > 0 && now-e.readerSince >= readerClaimTimeouts*e.settings.HeartbeatTimeout
}

// coordinatorDelay returns how long this daemon leaves the role of failover coordinator
// to daemons that are more capable of it.
func (e *Elector) coordinatorDelay(now timekeeper.Millis) timekeeper.Millis {
	delay := timekeeper.Millis(0)
	if e.Shedding(e.settings.Self.Name) {
		delay = sheddingDelay
	}
	live := e.LiveHosts(now)
	largest := slices.MaxFunc(append(live, e.settings.Self), func(a, b Host) int { return cmp.Compare(a.Capacity, b.Capacity) })
	if capacitiesDiffer(live) && e.settings.Self.Capacity < largest.Capacity/2 {
		delay += smallHostDelay
	}
	return delay
}

// acquireCoordinator makes this daemon the failover coordinator if there is none, if it
// was the last one of an earlier era, if the current one is not registered, or if the
// current one is not live and a change has been needed or under way for
// HeartbeatTimeout. If the current one sheds its roles, it is replaced before a change is
// announced. Daemons with little capacity wait first, see coordinatorDelay.
func (e *Elector) acquireCoordinator(now timekeeper.Millis, g *group) {
	if e.acquiring || now < e.acquireDue {
		return
	}
	neededSince := g.reasonSince
	if g.record.ChangeReason != "" {
		neededSince = g.announced
	}
	delay := e.coordinatorDelay(now)
	if e.coordinator.Holder != "" && e.coordinator.Holder != e.settings.Self.Name {
		_, registered := e.hosts[e.coordinator.Holder]
		replaceable := g.record.ChangeReason == "" && delay == 0 && e.Shedding(e.coordinator.Holder)
		if registered && !replaceable && (e.live(now, e.coordinator.Holder) || now-neededSince < e.settings.HeartbeatTimeout) {
			return
		}
	}
	if now-neededSince < delay {
		return
	}
	next := Coordinator{Holder: e.settings.Self.Name, FencingToken: max(e.coordinator.FencingToken, numberFloor(e.revision.Era)) + 1}
	e.acquiring, e.acquireDue = true, now+e.settings.HeartbeatInterval
	e.log("requests the failover coordinator role", observer.F("holder", e.coordinator.Holder), observer.F("fence", next.FencingToken),
		observer.F("live", e.live(now, e.coordinator.Holder)))
	e.write(Transaction{
		Expect: []Row{{Key: coordinatorKey, Version: e.rows[coordinatorKey].Version}},
		Set:    []Row{encode(coordinatorKey, next)},
	}, func(_ timekeeper.Millis, result Result, _ Revision) {
		e.acquiring = false
		e.log("duty", observer.F("result", result.String()))
		e.commands = append(e.commands, ReloadRows{})
	})
}
