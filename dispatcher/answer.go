package dispatcher

import (
	"github.com/heatherhall/heatherhall/acknowledger"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// ExecFinished handles the result of an Exec: it frees the slot, then finishes,
// requeues or withholds the unit of work. A result on a connection that no unit
// of work uses only closes the connection. It returns the commands to execute.
func (d *Dispatcher) ExecFinished(now timekeeper.Millis, result ExecResult) []Command {
	j := d.jobByConn[result.Conn]
	if j == nil {
		d.closeConn(now, result.Conn)
		return d.takeCommands()
	}
	d.releaseConn(now, j, result)
	switch result.ExecStatus {
	case ExecStatusComplete:
		d.handleComplete(now, j, result)
	case ExecStatusUnsent:
		d.handleUnsent(now, j)
	default:
		d.handleConnLost(now, j)
	}
	d.dispatchQueued(now)
	return d.takeCommands()
}

// releaseConn frees the server's slot and returns the connection to the pool
// unless a transaction is open on it. A connection whose result was not read
// completely, or on which a cancellation was requested, is closed instead.
func (d *Dispatcher) releaseConn(now timekeeper.Millis, j *job, result ExecResult) {
	if j.occupiesSlot() {
		j.server.inFlight--
		if !j.txOpened {
			serviceTime := float64(now - j.sentAt)
			if result.ExecStatus == ExecStatusComplete && result.ServiceTime > 0 {
				serviceTime = result.ServiceTime
				d.serviceTimes[j.work.Rank] += ewmaWeight * (serviceTime - d.serviceTimes[j.work.Rank])
				j.server.addServiceTime(serviceTime)
			}
			d.queue.Done(j.item, serviceTime)
		}
	}
	switch {
	case result.ExecStatus != ExecStatusComplete, j.cancelRequested && result.TxStatus == "I":
		j.cancelRequested = false
		d.closeConn(now, result.Conn)
	case result.TxStatus == "I":
		delete(d.jobByConn, result.Conn)
		j.server.pool.Put(now, result.Conn)
	}
}

// closeConn removes a connection from all maps and from its pool and emits
// CloseConn.
func (d *Dispatcher) closeConn(now timekeeper.Millis, conn pooler.Conn) {
	delete(d.jobByConn, conn)
	if s := d.serverByConn[conn]; s != nil {
		s.pool.Remove(now, conn)
		delete(d.serverByConn, conn)
	}
	d.emit(CloseConn{Conn: conn})
}

// handleComplete handles a result that was read completely.
func (d *Dispatcher) handleComplete(now timekeeper.Millis, j *job, result ExecResult) {
	outcome := Outcome{
		Class:     OutcomeDone,
		Code:      result.Code,
		Payload:   result.Payload,
		Position:  result.FinalPosition,
		TxStatus:  result.TxStatus,
		Server:    j.server.Name,
		Replica:   j.server != d.primary,
		Replayed:  result.Replayed,
		QueueTime: j.sentAt - j.arrivedAt,
	}
	switch {
	case result.KeyReused:
		outcome.Code = CodeKeyReused
		outcome.Payload = nil
		d.finish(j, outcome)
	case j.preempted && result.Code == CodeCancelled:
		j.preempted = false
		j.attempts--
		d.schedule(now, j)
	case result.Code == codeReadOnly && result.TxStatus == "I" && !j.txOpened:
		d.logf("router: %s is not the primary, requeueing %s", j.server.Name, j.work.ID)
		d.poll(now, j.server)
		d.requeue(now, j, false)
	case outcome.InTransaction():
		j.txOpened = true
		j.phase = phaseOpen
		j.phaseDeadline = now + d.settings.IdleInTransactionTimeout[j.work.Rank]
		d.finish(j, outcome)
	case j.work.lane() == scheduler.LaneAny:
		d.finishRead(now, j, result, outcome)
	case result.Code != "" && !result.Replayed:
		d.finish(j, outcome)
	default:
		d.awaitQuorum(now, j, outcome)
	}
}

// finishRead delivers the rows only if the server covered the floor when it
// read them. Otherwise it corrects the server's applied position and requeues
// the read.
func (d *Dispatcher) finishRead(now timekeeper.Millis, j *job, result ExecResult, outcome Outcome) {
	need := d.readRequirement(j)
	if !need.History.Covers(result.ReadPosition, need.Floor) {
		d.logf("router: %s ran %s at position %v, below the floor %v, requeueing it", j.server.Name, j.work.ID, result.ReadPosition, need.Floor)
		j.server.report.Applied = result.ReadPosition
		d.requeue(now, j, false)
		return
	}
	d.finish(j, outcome)
}

// awaitQuorum withholds the outcome of a commit until the commit quorum (by
// default a majority) has received it.
func (d *Dispatcher) awaitQuorum(now timekeeper.Millis, j *job, outcome Outcome) {
	j.phase = phaseAcknowledging
	j.committedAt = now
	j.outcome = outcome
	j.phaseDeadline = now + d.settings.AckTimeout
	if outcome.Position.IsZero() {
		d.finish(j, outcome)
		return
	}
	d.primaryTimeline.add(outcome.Position.Offset, now)
	commit := acknowledger.Commit{ID: j.work.ID, Position: outcome.Position}
	if outcome.Position.Term < d.history.Term() {
		d.recheckCommit(now, j)
		return
	}
	if d.tracker.Add(commit) {
		d.acknowledge(now, commit)
	}
}

// recheckCommit handles a commit of an earlier term. If the commit is in the
// history of the current term, it waits for that term's first entry; otherwise
// it is handled as lost.
func (d *Dispatcher) recheckCommit(now timekeeper.Millis, j *job) {
	if !d.history.Contains(j.outcome.Position) {
		d.handleLostCommit(now, j)
		return
	}
	commit := acknowledger.Commit{ID: j.work.ID, Position: acknowledger.TermStart(d.history)}
	if d.tracker.Add(commit) {
		d.acknowledge(now, commit)
	}
}

// handleLostCommit handles a commit that is not in the history of the current
// term and has probably been lost in a primary change. Keyed work outside a
// transaction runs again, and the ledger shows whether it committed; other work
// finishes as unknown.
func (d *Dispatcher) handleLostCommit(now timekeeper.Millis, j *job) {
	if j.work.retryable() && !j.txOpened {
		d.requeue(now, j, true)
		return
	}
	d.finishUnknown(j, "the primary was replaced before a majority held the commit")
}

// acknowledge finishes work whose commit the quorum has received. It reports an
// invariant violation if the tracker has no quorum at that position.
func (d *Dispatcher) acknowledge(now timekeeper.Millis, commit acknowledger.Commit) {
	j := d.jobs[commit.ID]
	if j == nil {
		return
	}
	if !d.tracker.HasQuorum(commit.Position) {
		d.invariantViolated("acknowledger: %s acknowledged at %v without a quorum", commit.ID, commit.Position)
	}
	// The outcome carries a position of the term in which the quorum received
	// the commit. A later read with this position as its floor can then tell
	// the commit from a lost one of an earlier term.
	j.outcome.Position = commit.Position
	j.outcome.AckDelay = now - j.committedAt
	d.finish(j, j.outcome)
}

// handleUnsent handles work of which no byte was sent to the server.
func (d *Dispatcher) handleUnsent(now timekeeper.Millis, j *job) {
	if j.txOpened {
		d.finishRolledBack(j)
		return
	}
	d.requeue(now, j, false)
}

// handleConnLost handles work whose connection was lost before its result was
// read. Work that may have committed and is not retryable finishes as unknown.
func (d *Dispatcher) handleConnLost(now timekeeper.Millis, j *job) {
	switch {
	case j.txOpened && j.endsTransaction:
		d.finishUnknown(j, "the connection was lost while the transaction committed")
	case j.txOpened:
		d.finishRolledBack(j)
	case j.work.Begin && !j.work.Write:
		d.requeue(now, j, false)
	case j.work.retryable():
		d.requeue(now, j, true)
	default:
		d.finishUnknown(j, "the connection was lost before the answer came")
	}
}

// finishRolledBack finishes a transaction whose connection was lost before its
// commit was sent. The server rolls the transaction back.
func (d *Dispatcher) finishRolledBack(j *job) {
	d.finish(j, Outcome{Class: OutcomeRefused, Code: CodeRolledBack, Text: "the connection was lost and the transaction was rolled back"})
}
