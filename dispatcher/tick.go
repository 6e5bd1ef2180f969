package dispatcher

import (
	"cmp"
	"slices"
	"strings"

	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Tick handles all timeouts and deadlines that have passed at now, requests
// missing reports and starts queued work. It returns the commands to execute.
func (d *Dispatcher) Tick(now timekeeper.Millis) []Command {
	for _, s := range d.servers {
		if now-s.lastFailureAt >= reportRetryDelay {
			d.watch(now, s)
		}
	}
	d.expireQueued(now)
	d.resumeWaiting(now)
	for _, j := range d.unqueuedJobs() {
		d.tickJob(now, j)
	}
	d.dispatchQueued(now)
	return d.takeCommands()
}

// reportRetryDelay is the time in milliseconds between a failed request for a
// report and the next Watch.
const reportRetryDelay timekeeper.Millis = 50

// expireQueued refuses queued work whose start deadline has passed. Work for
// the primary is queued again if its deadline has moved because there is no
// usable primary.
func (d *Dispatcher) expireQueued(now timekeeper.Millis) {
	for _, item := range d.queue.Expire(now) {
		j := d.jobs[item.ID]
		if j == nil {
			continue
		}
		if item.Lane == scheduler.LanePrimary && d.startDeadline(now, j) > now {
			d.enqueue(now, j, d.effectiveLane(now, j))
			continue
		}
		code := CodeOverload
		if item.Lane == scheduler.LanePrimary && !d.hasPrimary(now) {
			code = CodeNoPrimary
		}
		d.refuse(j, code, "the work could not start in time", d.settings.RankPolicies[item.Rank].MaxWait)
	}
}

// jobsAwaitingPosition returns the reads that wait for positions, in order of
// arrival.
func (d *Dispatcher) jobsAwaitingPosition() []*job {
	if len(d.awaitingPosition) == 0 {
		return nil
	}
	out := make([]*job, 0, len(d.awaitingPosition))
	for _, j := range d.awaitingPosition {
		out = append(out, j)
	}
	sortJobs(out)
	return out
}

// unqueuedJobs returns the work that is not in the queue, in order of arrival.
// The queue has its own deadlines.
func (d *Dispatcher) unqueuedJobs() []*job {
	var out []*job
	for _, j := range d.jobs {
		if j.phase != phaseQueued {
			out = append(out, j)
		}
	}
	sortJobs(out)
	return out
}

func sortJobs(jobs []*job) {
	slices.SortFunc(jobs, func(a, b *job) int {
		if c := cmp.Compare(a.arrivedAt, b.arrivedAt); c != 0 {
			return c
		}
		return strings.Compare(a.work.ID, b.work.ID)
	})
}

func (d *Dispatcher) tickJob(now timekeeper.Millis, j *job) {
	switch j.phase {
	case phaseBarrier:
		d.tickBarrier(now, j)
	case phaseRunning:
		d.tickRunning(now, j)
	case phaseOpen:
		if now >= j.phaseDeadline {
			d.endIdleTransaction(now, j)
		}
	case phaseAcknowledging:
		if now >= j.phaseDeadline {
			d.finishUnknown(j, "no majority held the commit in time")
		}
	}
}

// tickBarrier refuses a read whose floor did not become known in time.
func (d *Dispatcher) tickBarrier(now timekeeper.Millis, j *job) {
	if now < j.phaseDeadline {
		return
	}
	text := "a majority of the database's servers does not answer, so the session's last write can't be told"
	code := CodeNoPrimary
	if j.work.MaxAge > 0 {
		text = "no data of the stated age can be proved"
		code = CodeMaxAgeUnmet
	}
	d.refuse(j, code, text, d.settings.RankPolicies[j.work.Rank].MaxWait)
}

// tickRunning asks the server whether a statement still runs, once per
// InspectInterval. It treats the result as lost if the server is not usable and
// the work was sent more than ServerTimeout ago, or if the client no longer
// waits and no transaction is open.
func (d *Dispatcher) tickRunning(now timekeeper.Millis, j *job) {
	if now >= j.nextInspectAt {
		j.nextInspectAt = now + d.settings.InspectInterval
		d.emit(InspectSession{Server: j.server.Name, Conn: j.conn})
	}
	unusable := !j.server.usable(now, d.settings.ServerTimeout)
	if unusable && now-j.sentAt > d.settings.ServerTimeout || now >= j.clientDeadline && !j.txOpened {
		d.logf("pooler: no complete result from %s on connection %d after %d ms, treating it as lost", j.server.Name, j.conn, now-j.sentAt)
		d.commands = append(d.commands, d.failRunning(now, j)...)
	}
}

// failRunning handles running work as if its connection were lost, and returns
// the commands to execute.
func (d *Dispatcher) failRunning(now timekeeper.Millis, j *job) []Command {
	earlier := d.commands
	d.commands = nil
	emitted := d.ExecFinished(now, ExecResult{Conn: j.conn, ExecStatus: ExecStatusConnLost})
	d.commands = earlier
	return emitted
}

// endIdleTransaction rolls back a transaction that was idle for too long, by
// closing its connection.
func (d *Dispatcher) endIdleTransaction(now timekeeper.Millis, j *job) {
	d.closeConn(now, j.conn)
	d.finish(j, Outcome{Class: OutcomeRefused, Code: CodeIdleInTransaction, Text: "the transaction was idle for too long and was rolled back"})
}
