package proxier

import (
	"maps"
	"slices"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/limiter"
	"github.com/heatherhall/heatherhall/multiplexer"
	"github.com/heatherhall/heatherhall/placer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// core combines the decision logic of a daemon: the multiplexer schedules statements,
// the elector manages primaries, and core passes state between them. It does no I/O.
type core struct {
	mux     *multiplexer.Multiplexer
	elector *elector.Elector
	limits  *limiter.Limiter
	// limitsCatalog is the version of the catalog whose largest accounts are counted.
	limitsCatalog int64
	grace         registrationGrace
	settings      Settings
}

func newCore(settings Settings, muxDeps multiplexer.Deps, electorDeps elector.Deps) *core {
	c := &core{settings: settings}
	c.limits = newLimits(settings, &muxDeps, func(name string) (cataloger.Account, bool) { return c.mux.Account(name) })
	muxSettings := multiplexer.DefaultSettings(settings.Host.Domain)
	muxSettings.Balance = settings.Balance
	muxSettings.SessionState = settings.SessionState
	c.mux = multiplexer.New(muxSettings, muxDeps)
	electorDeps.PrimaryHealth, electorDeps.SynchronousReplicas = c.mux.PrimaryHealth, c.mux.SynchronousReplicas
	c.elector = elector.New(settings.Elector, electorDeps)
	return c
}

// setServers updates the backend servers from the registrations in the store and
// returns the commands to execute.
func (c *core) setServers(now timekeeper.Millis, registrations []cataloger.Server) ([]multiplexer.Command, []elector.Command) {
	servers := c.grace.merge(now, registrations, c.settings.RegistrationGrace)
	out := c.mux.SetServers(now, servers)
	more, remaining := c.applyElector(now, c.elector.SetServers(now, servers))
	return append(out, more...), remaining
}

// tick runs the timers of the multiplexer and the elector and returns the commands
// to execute.
func (c *core) tick(now timekeeper.Millis, storeUnreachable bool) ([]multiplexer.Command, []elector.Command) {
	c.mux.SetStoreUnreachable(now, storeUnreachable)
	out := c.mux.Tick(now)
	c.tickLimits(now)
	more, remaining := c.applyElector(now, c.elector.Tick(now))
	return append(out, more...), remaining
}

// applyElector applies the elector's commands to release a primary, its current
// leases and its number of live daemons to the multiplexer. It returns the resulting
// commands of the multiplexer and the elector's other commands.
func (c *core) applyElector(now timekeeper.Millis, commands []elector.Command) ([]multiplexer.Command, []elector.Command) {
	var out []multiplexer.Command
	var remaining []elector.Command
	for _, command := range commands {
		if release, ok := command.(elector.ReleasePrimary); ok {
			out = append(out, c.mux.ReleasePrimary(now, release.Group)...)
			continue
		}
		remaining = append(remaining, command)
	}
	leases := c.elector.PrimaryLeases(now)
	for _, name := range slices.Sorted(maps.Keys(leases)) {
		out = append(out, c.mux.SetPrimaryLease(now, name, leases[name])...)
	}
	if c.elector.HostsKnown() {
		out = append(out, c.mux.SetPlacement(now, c.placement(now))...)
	}
	return out, remaining
}

// placement returns which daemons are live.
func (c *core) placement(now timekeeper.Millis) placer.Placement {
	live := c.elector.LiveHosts(now)
	hosts := make([]placer.Host, 0, len(live))
	var shedding []string
	for _, h := range live {
		hosts = append(hosts, placedHost(h))
		if c.elector.Shedding(h.Name) {
			shedding = append(shedding, h.Name)
		}
	}
	return placer.New(placedHost(c.settings.Host), hosts).WithPartial(c.elector.HeartbeatsStale(now)).WithShedding(shedding)
}

// placedHost returns what the placement uses of a registration.
func placedHost(h elector.Host) placer.Host {
	return placer.Host{Name: h.Name, Domain: h.Domain, Address: h.Address, Capacity: h.Capacity}
}
