package proxier

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/heatherhall/heatherhall/multiplexer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// forwarding is the part of the simulation that connects daemons to carriers.
type forwarding struct {
	links    map[uint64]*fakeLink
	lastLink uint64
	// forwarded counts the statements that carriers received.
	forwarded int
}

// fakeLink is a connection from one daemon to another.
type fakeLink struct {
	id       uint64
	from, to *fakeDaemon
	closed   bool
	// retired is set once the requester opens a new link for later work.
	retired bool
	// waiting are the statements without an answer by work number.
	waiting map[uint64]bool
}

// linkTo returns the open link between two daemons, or a new one.
func (sim *simulation) linkTo(from, to *fakeDaemon) *fakeLink {
	for _, id := range slices.Sorted(maps.Keys(sim.links)) {
		if l := sim.links[id]; l.from == from && l.to == to && !l.retired {
			return l
		}
	}
	sim.lastLink++
	l := &fakeLink{id: sim.lastLink, from: from, to: to, waiting: map[uint64]bool{}}
	sim.links[l.id] = l
	return l
}

// peerReaches reports whether a message from one daemon arrives at another.
func peerReaches(from, to *fakeDaemon) bool {
	return from.up && to.up && !from.peersUnreachable && !to.peersUnreachable
}

func (sim *simulation) daemon(name string) *fakeDaemon {
	i := slices.IndexFunc(sim.daemons, func(d *fakeDaemon) bool { return d.name == name })
	return sim.daemons[i]
}

// executeForward executes a daemon's commands about carriers.
func (sim *simulation) executeForward(d *fakeDaemon, command multiplexer.Command) {
	switch c := command.(type) {
	case multiplexer.Forward:
		sim.forward(d, c)
	case multiplexer.EndForward:
		l := sim.linkTo(d, sim.daemon(c.Carrier.Name))
		sim.deliverOver(l, l.to, func() {
			sim.executeCommands(l.to, l.to.logic.mux.EndForwarded(sim.Now(), l.id, c.Work), nil)
		})
	case multiplexer.PingCarrier:
		l := sim.linkTo(d, sim.daemon(c.Carrier.Name))
		sim.deliverOver(l, l.to, func() {
			sim.deliverOver(l, d, func() { d.logic.mux.CarrierResponded(sim.Now(), c.Carrier.Name) })
		})
	case multiplexer.AskLoad:
		l := sim.linkTo(d, sim.daemon(c.Host.Name))
		asked := sim.Now()
		sim.deliverOver(l, l.to, func() {
			report := l.to.logic.mux.LoadReport(sim.Now(), c.Group, c.Domain)
			sim.deliverOver(l, d, func() { d.logic.mux.LoadReported(asked, c, report) })
		})
	case multiplexer.RenewLink:
		l := sim.linkTo(d, sim.daemon(c.Carrier.Name))
		l.retired = true
		sim.After(2000, func() { sim.closeLink(l) })
	case multiplexer.ForwardReply:
		l := sim.links[c.Link]
		if l == nil || !l.waiting[c.Work] {
			return
		}
		delete(l.waiting, c.Work)
		sim.deliverOver(l, l.from, func() {
			sim.executeCommands(l.from, l.from.logic.mux.ForwardAnswered(sim.Now(), c.Work, c.Answer), nil)
		})
	}
}

// deliverOver runs f at one end of a link, unless the link is closed or the daemons
// can't reach each other.
func (sim *simulation) deliverOver(l *fakeLink, d *fakeDaemon, f func()) {
	sim.deliver(d, func() {
		if !l.closed && peerReaches(l.from, l.to) {
			f()
		}
	})
}

// forward delivers a statement to its carrier.
func (sim *simulation) forward(d *fakeDaemon, c multiplexer.Forward) {
	carrier := sim.daemon(c.Carrier.Name)
	lost := func(sent bool) {
		sim.deliver(d, func() {
			sim.executeCommands(d, d.logic.mux.ForwardLost(sim.Now(), c.Request.Work, sent), nil)
		})
	}
	switch {
	case !carrier.up:
		lost(false)
		return
	case !peerReaches(d, carrier):
		sim.After(linkTimeout, func() { lost(false) })
		return
	}
	l := sim.linkTo(d, carrier)
	l.waiting[c.Request.Work] = true
	sim.deliverOver(l, carrier, func() {
		sim.forwarded++
		sim.executeCommands(carrier, carrier.logic.mux.RunForwarded(sim.Now(), l.id, c.Request), nil)
	})
}

// closeLink closes a link. Both ends notice.
func (sim *simulation) closeLink(l *fakeLink) {
	if l.closed {
		return
	}
	l.closed, l.retired = true, true
	delete(sim.links, l.id)
	sim.deliver(l.to, func() { sim.executeCommands(l.to, l.to.logic.mux.EndForwardedLink(sim.Now(), l.id), nil) })
	for _, work := range slices.Sorted(maps.Keys(l.waiting)) {
		sim.deliver(l.from, func() { sim.executeCommands(l.from, l.from.logic.mux.ForwardLost(sim.Now(), work, true), nil) })
	}
}

// breakLinks closes the links of a daemon that was killed.
func (sim *simulation) breakLinks(d *fakeDaemon) {
	for _, id := range slices.Sorted(maps.Keys(sim.links)) {
		if l := sim.links[id]; l.from == d || l.to == d {
			sim.closeLink(l)
		}
	}
}

// TestRandomSchedulesWithCarriers plays the random schedules with servers that accept
// too few connections for all daemons, so that daemons forward their work to carriers.
func TestRandomSchedulesWithCarriers(t *testing.T) {
	served, forwarded := 0, 0
	for i := range *simulationSeeds {
		seed := *simulationFirst + int64(i)
		sim := runSchedule(seed, 4, 6)
		served += sim.served
		forwarded += sim.forwarded
		if len(sim.violations) > 0 {
			t.Errorf("seed %d: %s\n%s", seed, strings.Join(sim.violations, "\n"), strings.Join(sim.events, "\n"))
			return
		}
	}
	t.Logf("%d schedules, %d operations served, %d statements forwarded", *simulationSeeds, served, forwarded)
	if served < 300**simulationSeeds || forwarded < 300**simulationSeeds {
		t.Errorf("%d operations were served and %d statements forwarded in %d schedules, want 300 or more of each for each", served, forwarded, *simulationSeeds)
	}
}

// linkTimeout is how long daemons that are cut off from each other wait for a
// connection.
const linkTimeout timekeeper.Millis = 300
