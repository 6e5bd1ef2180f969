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

// ActiveWrites returns the number of writes and transactions that have been
// sent to the primary and are not finished, including commits that await their
// acknowledgement.
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

// SetWritesPaused pauses or resumes the start of writes and transactions, and
// returns the commands to execute. Work that has started is not affected.
func (d *Dispatcher) SetWritesPaused(now timekeeper.Millis, paused bool) []Command {
	if paused == d.writesPaused {
		return nil
	}
	d.writesPaused = paused
	d.dispatchQueued(now)
	return d.takeCommands()
}

// ServerViews returns the state of the servers in the form that the promoter
// needs.
func (d *Dispatcher) ServerViews(now timekeeper.Millis) []promoter.ServerView {
	views := make([]promoter.ServerView, len(d.servers))
	for i, s := range d.servers {
		views[i] = promoter.ServerView{
			Name:       s.Name,
			Report:     s.report,
			LastReport: s.lastReportAt,
			Reported:   s.reported,
			Leaving:    s.leaving,
			Responsive: s.reported && s.consecutiveFailures < maxReportFailures && now-s.lastReportAt <= d.settings.ServerTimeout,
		}
	}
	return views
}

// Connections returns the ids of all connections in ascending order, including
// those being opened.
func (d *Dispatcher) Connections() []pooler.Conn {
	return slices.Sorted(maps.Keys(d.serverByConn))
}

// HasPrimary reports whether the primary is known and gets new work at now.
func (d *Dispatcher) HasPrimary(now timekeeper.Millis) bool {
	return d.hasPrimary(now)
}

// Primary returns the name of the primary, or an empty string if none is known.
func (d *Dispatcher) Primary() string {
	if d.primary == nil {
		return ""
	}
	return d.primary.Name
}

// History returns the timeline history of the newest term known.
func (d *Dispatcher) History() sequencer.History {
	return d.history
}

// Reports returns the last report of each server by name. Servers that have not
// reported yet are missing.
func (d *Dispatcher) Reports() map[string]sequencer.Report {
	out := map[string]sequencer.Report{}
	for _, s := range d.servers {
		if s.reported {
			out[s.Name] = s.report
		}
	}
	return out
}
