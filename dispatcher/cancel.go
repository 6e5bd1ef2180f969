package dispatcher

import (
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Abandon ends work whose caller has gone. Work that a server is committing goes
// on; an open transaction is rolled back by closing its connection.
func (d *Dispatcher) Abandon(now timekeeper.Millis, id string) []Command {
	j := d.jobs[id]
	if j == nil {
		return nil
	}
	switch j.phase {
	case phaseQueued:
		d.queue.Remove(id)
		d.forget(j)
	case phaseOpen:
		d.drop(now, j.conn)
		d.forget(j)
	case phaseBarrier, phaseParked:
		d.forget(j)
	}
	d.pump(now)
	return d.take()
}

// CodeCancelled is the SQLSTATE of a statement that was cancelled.
const CodeCancelled = "57014"

// CancelStatement cancels what a caller waits for. Work that has not started is
// refused as not run; of work that runs, the server decides.
func (d *Dispatcher) CancelStatement(now timekeeper.Millis, id string) []Command {
	j := d.jobs[id]
	if j == nil {
		return nil
	}
	switch j.phase {
	case phaseQueued:
		d.queue.Remove(id)
		d.refuse(j, CodeCancelled, "the statement was cancelled before it ran", 0)
	case phaseBarrier, phaseParked:
		d.refuse(j, CodeCancelled, "the statement was cancelled before it ran", 0)
	case phaseRunning:
		d.cancel(j)
	}
	d.pump(now)
	return d.take()
}

// cancel asks the server to cancel running work.
func (d *Dispatcher) cancel(j *job) {
	j.cancelling = true
	d.emit(CancelExec{Conn: j.conn})
}

// preemptionLimit is how often one read may be cancelled for urgent work; after
// that it runs to its end.
const preemptionLimit = 2

// preempt cancels one running browse read on the primary for urgent work that
// waits for it. The read runs again later.
func (d *Dispatcher) preempt() {
	if !d.settings.Preempt || d.primary == nil || d.queue.LenByLane(scheduler.LanePrimary) == 0 || d.queue.LenByRank(scheduler.RankUrgent) == 0 {
		return
	}
	var latest *job
	for _, j := range d.conns {
		if j.server != d.primary || j.phase != phaseRunning || j.work.Rank != scheduler.RankBrowse || j.work.lane() != scheduler.LaneAny {
			continue
		}
		if j.preempted {
			return
		}
		if j.preemptions >= preemptionLimit {
			continue
		}
		if latest == nil || j.sent > latest.sent || j.sent == latest.sent && j.work.ID > latest.work.ID {
			latest = j
		}
	}
	if latest != nil {
		latest.preempted = true
		latest.preemptions++
		d.logf("scheduler: %s cancels %s on %s for urgent work", d.settings.Database, latest.work.ID, d.primary.Name)
		d.cancel(latest)
	}
}
