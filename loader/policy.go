package loader

import (
	"github.com/heatherhall/heatherhall/decider"
	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/scheduler"
)

// baselines are the policies that the daemons' own policy is compared with, by
// the value of Experiment.Policy. The empty name changes no settings.
var baselines = map[string]func(*decider.Settings){
	"": func(*decider.Settings) {},
	// fifo serves all work in order of arrival.
	"fifo": eachDatabase(func(d *dispatcher.Settings, _ int) {
		d.Preempt = false
		d.FIFO = true
	}),
	// strict serves a rank only when no work of a higher rank is queued.
	"strict": eachDatabase(func(d *dispatcher.Settings, _ int) {
		d.Preempt = false
		for rank := range d.RankPolicies {
			d.RankPolicies[rank].Share = 0
		}
		d.RankPolicies[scheduler.RankUrgent].Share = 100
	}),
	// static gives each daemon an equal part of each server's slots and
	// connections.
	"static": func(s *decider.Settings) {
		s.Static = true
		eachDatabase(func(d *dispatcher.Settings, daemons int) {
			d.Preempt = false
			for i := range d.Servers {
				d.Servers[i].Slots = max(1, d.Servers[i].Slots/daemons)
				d.Servers[i].Connections = max(1, d.Servers[i].Connections/daemons)
			}
		})(s)
	},
	// primary sends all reads to the primary.
	"primary": eachDatabase(func(d *dispatcher.Settings, _ int) { d.ReadsOnPrimary = true }),
	// unacknowledged answers writes once the primary has committed, without
	// waiting for replicas.
	"unacknowledged": eachDatabase(func(d *dispatcher.Settings, _ int) { d.CommitQuorum = 1 }),
}

// eachDatabase returns a policy that calls change with the settings of each
// database and the number of daemons.
func eachDatabase(change func(d *dispatcher.Settings, daemons int)) func(*decider.Settings) {
	return func(s *decider.Settings) {
		for name, d := range s.Databases {
			change(&d, len(s.Peers))
			s.Databases[name] = d
		}
	}
}
