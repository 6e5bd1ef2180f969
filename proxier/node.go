package proxier

import (
	"maps"
	"slices"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/multiplexer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// node is all decisions of a daemon: the multiplexer's on statements and the
// elector's on primaries, each told what follows from the other. It does no I/O.
type node struct {
	mux      *multiplexer.Multiplexer
	elector  *elector.Elector
	registry registry
	settings Settings
}

func newNode(settings Settings, muxDeps multiplexer.Deps, electorDeps elector.Deps) *node {
	n := &node{settings: settings, mux: multiplexer.New(multiplexer.DefaultSettings(settings.Host.Domain), muxDeps)}
	electorDeps.PrimaryHealth = n.mux.PrimaryHealth
	n.elector = elector.New(settings.Elector, electorDeps)
	return n
}

// setServers takes the registrations that were read.
func (n *node) setServers(now timekeeper.Millis, read []cataloger.Server) ([]multiplexer.Command, []elector.Command) {
	servers := n.registry.merge(now, read, n.settings.RegistrationGrace)
	out := n.mux.SetServers(now, servers)
	more, rest := n.settle(now, n.elector.SetServers(now, servers))
	return append(out, more...), rest
}

// tick does what is due by now.
func (n *node) tick(now timekeeper.Millis, storeLost bool) ([]multiplexer.Command, []elector.Command) {
	n.mux.SetStoreUnreachable(now, storeLost)
	out := n.mux.Tick(now)
	more, rest := n.settle(now, n.elector.Tick(now))
	return append(out, more...), rest
}

// settle tells the multiplexer what follows from a decision of the elector. It
// returns the commands that are left to carry out.
func (n *node) settle(now timekeeper.Millis, commands []elector.Command) ([]multiplexer.Command, []elector.Command) {
	var out []multiplexer.Command
	var rest []elector.Command
	for _, command := range commands {
		if expel, ok := command.(elector.ReleasePrimary); ok {
			out = append(out, n.mux.ReleasePrimary(now, expel.Group)...)
			continue
		}
		rest = append(rest, command)
	}
	leads := n.elector.PrimaryLeases(now)
	for _, name := range slices.Sorted(maps.Keys(leads)) {
		out = append(out, n.mux.SetPrimaryLease(now, name, leads[name])...)
	}
	return append(out, n.mux.SetHostCount(now, n.elector.LiveHosts(now))...), rest
}
