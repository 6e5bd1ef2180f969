package dispatcher

import (
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Abandon ends work whose client has disconnected. Queued or waiting work is
// removed, and an open transaction is rolled back by closing its connection.
// Work that is running or awaits its acknowledgement continues. It returns the
// commands to execute.
func (d *Dispatcher) Abandon(now timekeeper.Millis, id string) []Command {
	j := d.jobs[id]
	if j == nil {
		return nil
	}
	switch j.phase {
	case phaseQueued:
		d.queue.Remove(id)
		d.removeJob(j)
	case phaseOpen:
		d.closeConn(now, j.conn)
		d.removeJob(j)
	case phaseBarrier, phaseCatchUp:
		d.removeJob(j)
	}
	d.dispatchQueued(now)
	return d.takeCommands()
}

// CodeCancelled is the SQLSTATE of a cancelled statement (query_canceled).
const CodeCancelled = "57014"

// CancelStatement handles a client's cancel request. Work that has not started
// is refused as not run; for running work the request is sent to the server,
// which decides whether the statement is cancelled. It returns the commands to
// execute.
func (d *Dispatcher) CancelStatement(now timekeeper.Millis, id string) []Command {
	j := d.jobs[id]
	if j == nil {
		return nil
	}
	switch j.phase {
	case phaseQueued:
		d.queue.Remove(id)
		d.refuse(j, CodeCancelled, "the statement was cancelled before it ran", 0)
	case phaseBarrier, phaseCatchUp:
		d.refuse(j, CodeCancelled, "the statement was cancelled before it ran", 0)
	case phaseRunning:
		d.cancelExec(j)
	}
	d.dispatchQueued(now)
	return d.takeCommands()
}

// cancelExec requests that the server cancel running work.
func (d *Dispatcher) cancelExec(j *job) {
	j.cancelRequested = true
	d.emit(CancelExec{Conn: j.conn})
}

// maxPreemptions is how often one read may be cancelled for urgent work. After
// that it runs to completion.
const maxPreemptions = 2

// preempt cancels the most recently started browse read on the primary to free
// a slot, if urgent work and work for the primary are queued. At most one
// cancellation is outstanding. The read runs again later.
func (d *Dispatcher) preempt() {
	if !d.settings.Preempt || d.primary == nil || d.queue.LenByLane(scheduler.LanePrimary) == 0 || d.queue.LenByRank(scheduler.RankUrgent) == 0 {
		return
	}
	var latest *job
	for _, j := range d.jobByConn {
		if j.server != d.primary || j.phase != phaseRunning || j.work.Rank != scheduler.RankBrowse || j.work.lane() != scheduler.LaneAny {
			continue
		}
		if j.preempted {
			return
		}
		if j.preemptions >= maxPreemptions {
			continue
		}
		if latest == nil || j.sentAt > latest.sentAt || j.sentAt == latest.sentAt && j.work.ID > latest.work.ID {
			latest = j
		}
	}
	if latest != nil {
		latest.preempted = true
		latest.preemptions++
		d.logf("scheduler: %s cancels %s on %s for urgent work", d.settings.Database, latest.work.ID, d.primary.Name)
		d.cancelExec(latest)
	}
}
