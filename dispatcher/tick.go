package dispatcher

import (
	"cmp"
	"slices"
	"strings"

	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Tick does what is due by now.
func (d *Dispatcher) Tick(now timekeeper.Millis) []Command {
	for _, s := range d.servers {
		if now-s.missed >= missPause {
			d.question(now, s)
		}
	}
	d.expire(now)
	d.wake(now)
	for _, j := range d.sorted() {
		d.tickJob(now, j)
	}
	d.pump(now)
	return d.take()
}

// missPause is the time between two questions to a server that does not answer.
const missPause timekeeper.Millis = 50

// expire refuses queued work that would start too late. While there is no
// primary, work that needs one is held longer.
func (d *Dispatcher) expire(now timekeeper.Millis) {
	for _, item := range d.queue.Expire(now) {
		j := d.jobs[item.ID]
		if j == nil {
			continue
		}
		if item.Lane == scheduler.LanePrimary && d.deadline(now, j) > now {
			d.enqueue(now, j, d.laneOf(now, j))
			continue
		}
		code := CodeOverload
		if item.Lane == scheduler.LanePrimary && !d.hasPrimary(now) {
			code = CodeNoPrimary
		}
		d.refuse(j, code, "the work could not start in time", d.settings.RankPolicies[item.Rank].MaxWait)
	}
}

// waiting returns the reads that wait for positions, in order of arrival.
func (d *Dispatcher) waiting() []*job {
	if len(d.parked) == 0 {
		return nil
	}
	out := make([]*job, 0, len(d.parked))
	for _, j := range d.parked {
		out = append(out, j)
	}
	sortJobs(out)
	return out
}

// sorted returns the work that time may change, in order of arrival.
func (d *Dispatcher) sorted() []*job {
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
		if c := cmp.Compare(a.arrived, b.arrived); c != 0 {
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
		if now >= j.until {
			d.idleOut(now, j)
		}
	case phaseAcknowledging:
		if now >= j.until {
			d.doubt(j, "no majority held the commit in time")
		}
	}
}

// tickBarrier asks again until the time is up.
func (d *Dispatcher) tickBarrier(now timekeeper.Millis, j *job) {
	if now < j.until {
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

// tickRunning asks the server about an overdue answer, and ends work whose
// caller waits no longer.
func (d *Dispatcher) tickRunning(now timekeeper.Millis, j *job) {
	if now >= j.inspect {
		j.inspect = now + d.settings.InspectInterval
		d.emit(InspectSession{Server: j.server.Name, Conn: j.conn})
	}
	silent := !j.server.usable(now, d.settings.ServerTimeout)
	if silent && now-j.sent > d.settings.ServerTimeout || now >= j.expires && !j.opened {
		d.logf("pooler: %s connection %d is given up after %d ms", j.server.Name, j.conn, now-j.sent)
		d.out = append(d.out, d.abandon(now, j)...)
	}
}

// abandon treats running work as lost.
func (d *Dispatcher) abandon(now timekeeper.Millis, j *job) []Command {
	held := d.out
	d.out = nil
	more := d.ExecFinished(now, ExecResult{Conn: j.conn, ExecStatus: ExecStatusConnLost})
	d.out = held
	return more
}

// idleOut rolls back a transaction that was left open.
func (d *Dispatcher) idleOut(now timekeeper.Millis, j *job) {
	d.drop(now, j.conn)
	d.finish(j, Outcome{Class: OutcomeRefused, Code: CodeIdleInTransaction, Text: "the transaction was idle for too long and was rolled back"})
}
