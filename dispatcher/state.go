package dispatcher

import (
	"maps"
	"slices"

	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/promoter"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// PendingWork returns the number of units of work that are not finished.
func (d *Dispatcher) PendingWork() int {
	return len(d.jobs)
}

// QueueLen returns the number of queued units of work of a rank.
func (d *Dispatcher) QueueLen(rank scheduler.Rank) int {
	return d.queue.LenByRank(rank)
}

// ActiveWrites returns the number of writes and transactions that are in progress.
func (d *Dispatcher) ActiveWrites() int {
	count := 0
	for _, j := range d.jobs {
		started := j.phase == phaseRunning || j.phase == phaseOpen || j.phase == phaseAcknowledging
		if started && j.work.lane() == scheduler.LanePrimary {
			count++
		}
	}
	return count
}

// SetWritesPaused holds new writes back, or lets them go on.
func (d *Dispatcher) SetWritesPaused(now timekeeper.Millis, paused bool) []Command {
	if paused == d.paused {
		return nil
	}
	d.paused = paused
	d.pump(now)
	return d.take()
}

// ServerViews returns the servers as the promoter sees them.
func (d *Dispatcher) ServerViews(now timekeeper.Millis) []promoter.ServerView {
	views := make([]promoter.ServerView, len(d.servers))
	for i, s := range d.servers {
		views[i] = promoter.ServerView{
			Name:       s.Name,
			Report:     s.report,
			LastReport: s.heard,
			Reported:   s.known,
			Leaving:    s.leaving,
			Responsive: s.known && s.misses < missLimit && now-s.heard <= d.settings.ServerTimeout,
		}
	}
	return views
}

// Connections returns all connections, in order.
func (d *Dispatcher) Connections() []pooler.Conn {
	return slices.Sorted(maps.Keys(d.owner))
}

// HasPrimary reports whether there is a primary that answers.
func (d *Dispatcher) HasPrimary(now timekeeper.Millis) bool {
	return d.hasPrimary(now)
}

// Primary returns the name of the primary, or an empty one.
func (d *Dispatcher) Primary() string {
	if d.primary == nil {
		return ""
	}
	return d.primary.Name
}

// History returns the history of the newest term known.
func (d *Dispatcher) History() sequencer.History {
	return d.history
}

// Reports returns the last reports of the servers by name.
func (d *Dispatcher) Reports() map[string]sequencer.Report {
	out := map[string]sequencer.Report{}
	for _, s := range d.servers {
		if s.known {
			out[s.Name] = s.report
		}
	}
	return out
}
