package dispatcher

import (
	"github.com/heatherhall/heatherhall/deduplicator"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// phase is the state of a unit of work.
type phase int

const (
	// phaseBarrier: waiting for reports of a majority, to learn the floor.
	phaseBarrier phase = iota
	// phaseCatchUp: waiting for a replica to catch up.
	phaseCatchUp
	// phaseQueued: in the queue.
	phaseQueued
	// phaseRunning: sent to a server, no result yet.
	phaseRunning
	// phaseOpen: a transaction is open and waits for its next step.
	phaseOpen
	// phaseAcknowledging: committed on the primary, waiting for the commit
	// quorum.
	phaseAcknowledging
)

// job is the state of one unit of work.
type job struct {
	work      Work
	phase     phase
	item      scheduler.Item
	arrivedAt timekeeper.Millis
	// clientDeadline is when the client stops waiting for an outcome.
	clientDeadline timekeeper.Millis
	// floor is the floor of the work, raised by its barrier or maximum age.
	floor sequencer.Position
	// barrierSeq is the last sequence number before the barrier: only answers
	// to later polls count towards the barrier's majority.
	barrierSeq uint64
	// phaseDeadline is when the current phase times out.
	phaseDeadline timekeeper.Millis
	conn          pooler.Conn
	server        *server
	sentAt        timekeeper.Millis
	// committedAt is when the result of the commit arrived.
	committedAt timekeeper.Millis
	// nextInspectAt is when the server is next asked whether the statement
	// still runs.
	nextInspectAt timekeeper.Millis
	// idleInspections counts the inspections in a row that found no running
	// statement.
	idleInspections int
	attempts        int
	// mayHaveRun is set if an earlier attempt may have run.
	mayHaveRun bool
	// preempted is set while the statement is being cancelled for urgent work.
	preempted bool
	// preemptions counts how often the statement was cancelled for urgent work.
	preemptions int
	// cancelRequested is set once the server was asked to cancel. The request
	// may arrive late and hit a later statement, so the connection is not
	// reused.
	cancelRequested bool
	// step is the number of the transaction's current step; 0 is its beginning.
	step int
	// endsTransaction is set if the current step ends the transaction, by a
	// commit or a rollback.
	endsTransaction bool
	// txOpened is set once the work has opened a transaction.
	txOpened bool
	outcome  Outcome
}

// recordedAt returns the time that the ledger records for keyed work, or an
// empty string for work without a key.
func (j *job) recordedAt(now timekeeper.Millis) string {
	if j.work.Key == "" {
		return ""
	}
	return deduplicator.FormatTime(now)
}

// occupiesSlot reports whether the job counts as running on its server.
func (j *job) occupiesSlot() bool {
	return j.phase == phaseRunning
}
