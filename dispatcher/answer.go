package dispatcher

import (
	"github.com/heatherhall/heatherhall/acknowledger"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// ExecFinished takes what a connection returned for work or a step.
func (d *Dispatcher) ExecFinished(now timekeeper.Millis, a ExecResult) []Command {
	j := d.conns[a.Conn]
	if j == nil {
		d.drop(now, a.Conn)
		return d.take()
	}
	d.release(now, j, a)
	switch a.ExecStatus {
	case ExecStatusComplete:
		d.answeredWhole(now, j, a)
	case ExecStatusUnsent:
		d.unsent(now, j)
	default:
		d.lost(now, j)
	}
	d.pump(now)
	return d.take()
}

// release frees the slot and, unless a transaction is open on it, the
// connection. A connection whose answer was not read whole is closed.
func (d *Dispatcher) release(now timekeeper.Millis, j *job, a ExecResult) {
	if j.holdsSlot() {
		j.server.running--
		if !j.opened {
			took := float64(now - j.sent)
			if a.ExecStatus == ExecStatusComplete && a.ServiceTime > 0 {
				took = a.ServiceTime
				d.costs[j.work.Rank] += smoothing * (took - d.costs[j.work.Rank])
				j.server.took(took)
			}
			d.queue.Done(j.item, took)
		}
	}
	switch {
	case a.ExecStatus != ExecStatusComplete, j.cancelling && a.TxStatus == "I":
		j.cancelling = false
		d.drop(now, a.Conn)
	case a.TxStatus == "I":
		delete(d.conns, a.Conn)
		j.server.pool.Put(now, a.Conn)
	}
}

// drop closes a connection and forgets it.
func (d *Dispatcher) drop(now timekeeper.Millis, conn pooler.Conn) {
	delete(d.conns, conn)
	if s := d.owner[conn]; s != nil {
		s.pool.Remove(now, conn)
		delete(d.owner, conn)
	}
	d.emit(CloseConn{Conn: conn})
}

// answeredWhole takes an answer that was read whole.
func (d *Dispatcher) answeredWhole(now timekeeper.Millis, j *job, a ExecResult) {
	outcome := Outcome{
		Class:     OutcomeDone,
		Code:      a.Code,
		Payload:   a.Payload,
		Position:  a.FinalPosition,
		TxStatus:  a.TxStatus,
		Server:    j.server.Name,
		Replica:   j.server != d.primary,
		Replayed:  a.Replayed,
		QueueTime: j.sent - j.arrived,
	}
	switch {
	case a.KeyReused:
		outcome.Code = CodeKeyReused
		outcome.Payload = nil
		d.finish(j, outcome)
	case j.preempted && a.Code == CodeCancelled:
		j.preempted = false
		j.attempts--
		d.place(now, j)
	case a.Code == codeReadOnly && a.TxStatus == "I" && !j.opened:
		d.logf("router: %s says it is not the primary, %s goes back into the queue", j.server.Name, j.work.ID)
		d.ask(now, j.server)
		d.requeue(now, j, false)
	case outcome.InTransaction():
		j.opened = true
		j.phase = phaseOpen
		j.until = now + d.settings.IdleInTransactionTimeout[j.work.Rank]
		d.finish(j, outcome)
	case j.work.lane() == scheduler.LaneAny:
		d.answeredRead(now, j, a, outcome)
	case a.Code != "" && !a.Replayed:
		d.finish(j, outcome)
	default:
		d.committed(now, j, outcome)
	}
}

// answeredRead hands out rows only if the server was at or past the floor when
// it read them.
func (d *Dispatcher) answeredRead(now timekeeper.Millis, j *job, a ExecResult, outcome Outcome) {
	need := d.need(j)
	if !need.History.Covers(a.ReadPosition, need.Floor) {
		d.logf("router: %s answered %s at %v below its floor %v", j.server.Name, j.work.ID, a.ReadPosition, need.Floor)
		j.server.report.Applied = a.ReadPosition
		d.requeue(now, j, false)
		return
	}
	d.finish(j, outcome)
}

// committed withholds the outcome of a commit until a majority holds it.
func (d *Dispatcher) committed(now timekeeper.Millis, j *job, outcome Outcome) {
	j.phase = phaseAcknowledging
	j.committed = now
	j.outcome = outcome
	j.until = now + d.settings.AckTimeout
	if outcome.Position.IsZero() {
		d.finish(j, outcome)
		return
	}
	d.progress.add(outcome.Position.Offset, now)
	commit := acknowledger.Commit{ID: j.work.ID, Position: outcome.Position}
	if outcome.Position.Term < d.history.Term() {
		d.reconsider(now, j)
		return
	}
	if d.tracker.Add(commit) {
		d.acknowledge(now, commit)
	}
}

// reconsider handles a commit of a term that is over: it may have survived.
func (d *Dispatcher) reconsider(now timekeeper.Millis, j *job) {
	if !d.history.Contains(j.outcome.Position) {
		d.uncertain(now, j)
		return
	}
	commit := acknowledger.Commit{ID: j.work.ID, Position: acknowledger.TermStart(d.history)}
	if d.tracker.Add(commit) {
		d.acknowledge(now, commit)
	}
}

// uncertain handles a commit that a change of primary has probably dropped.
// Keyed work runs again: the ledger tells what became of it.
func (d *Dispatcher) uncertain(now timekeeper.Millis, j *job) {
	if j.work.repeatable() && !j.opened {
		d.requeue(now, j, true)
		return
	}
	d.doubt(j, "the primary was replaced before a majority held the commit")
}

// acknowledge ends work whose commit a majority holds.
func (d *Dispatcher) acknowledge(now timekeeper.Millis, commit acknowledger.Commit) {
	j := d.jobs[commit.ID]
	if j == nil {
		return
	}
	if !d.tracker.HasQuorum(commit.Position) {
		d.violated("acknowledger: %s acknowledged at %v without a majority", commit.ID, commit.Position)
	}
	// The position handed out is one of the term in which a majority holds the
	// commit, so that a later reader can tell it from a lost one.
	j.outcome.Position = commit.Position
	j.outcome.AckDelay = now - j.committed
	d.finish(j, j.outcome)
}

// unsent handles work that never left for the server.
func (d *Dispatcher) unsent(now timekeeper.Millis, j *job) {
	if j.opened {
		d.rolledBack(j)
		return
	}
	d.requeue(now, j, false)
}

// lost handles work whose answer will not come.
func (d *Dispatcher) lost(now timekeeper.Millis, j *job) {
	switch {
	case j.opened && j.commit:
		d.doubt(j, "the connection was lost while the transaction committed")
	case j.opened:
		d.rolledBack(j)
	case j.work.Begin && !j.work.Write:
		d.requeue(now, j, false)
	case j.work.repeatable():
		d.requeue(now, j, true)
	default:
		d.doubt(j, "the connection was lost before the answer came")
	}
}

// rolledBack ends a transaction whose connection was lost before its commit was
// sent. The server rolls it back.
func (d *Dispatcher) rolledBack(j *job) {
	d.finish(j, Outcome{Class: OutcomeRefused, Code: CodeRolledBack, Text: "the connection was lost and the transaction was rolled back"})
}
