package proxier

import (
	"runtime/metrics"

	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/placer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// measureInterval is the time between two measurements of the host's memory and link.
const measureInterval timekeeper.Millis = 1000

// shedRoles decides whether this daemon sheds its roles, after a pause between two ticks
// that ended late. The next heartbeat tells the other daemons. Only daemons of failure
// domains whose hosts differ shed: equal hosts keep the roles that their names give them.
func (p *Proxy) shedRoles(pause, late timekeeper.Millis) {
	if p.settings.Host.Capacity <= 0 {
		return
	}
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shedder.ObserveTimer(pause, late)
	if now-p.measuredAt < measureInterval {
		return
	}
	p.measuredAt = now
	p.shedder.ObserveMemory(memoryInUse(), p.settings.MemoryLimit)
	p.shedder.ObserveLink(p.linkDelays.median())
	hosts, others, differ := p.elector.DomainShedding(now)
	if !differ {
		p.shedder.Stop()
		return
	}
	if !p.shedder.Update(now, others, placer.MaxShedding(len(hosts))) {
		return
	}
	outcome := "takes roles again"
	if p.shedder.Shedding() {
		outcome = "sheds its roles: the host is overloaded"
	}
	p.log.LogDecision(observer.Decision{Part: "daemon", Outcome: outcome, Inputs: []observer.Field{
		observer.F("lag", int64(p.shedder.Lag())), observer.F("memory", p.shedder.Memory()), observer.F("delay", int64(p.shedder.LinkDelay())),
		observer.F("shedding", others), observer.F("hosts", len(hosts)),
	}})
}

// memoryInUse returns the memory that the Go runtime holds, in bytes.
func memoryInUse() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}

// ownHeartbeat returns this daemon's next heartbeat.
func (p *Proxy) ownHeartbeat(now timekeeper.Millis) elector.Heartbeat {
	p.mu.Lock()
	defer p.mu.Unlock()
	return elector.Heartbeat{
		Incarnation: p.settings.Host.Incarnation, Count: int64(now),
		Reader: p.elector.ClaimsReader(now), Shedding: p.shedder.Shedding(),
	}
}
