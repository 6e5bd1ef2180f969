package dispatcher

import (
	"github.com/heatherhall/heatherhall/deduplicator"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// phase is where a unit of work stands.
type phase int

const (
	// phaseBarrier: waiting for a majority's positions.
	phaseBarrier phase = iota
	// phaseParked: waiting for a replica to catch up.
	phaseParked
	// phaseQueued: waiting to start.
	phaseQueued
	// phaseRunning: sent to a server.
	phaseRunning
	// phaseOpen: a transaction is open and waits for its next step.
	phaseOpen
	// phaseAcknowledging: committed, waiting for a majority.
	phaseAcknowledging
)

// job is a unit of work with its state.
type job struct {
	work    Work
	phase   phase
	item    scheduler.Item
	arrived timekeeper.Millis
	expires timekeeper.Millis
	// floor is the work's floor, raised by its barrier or age.
	floor   sequencer.Position
	barrier uint64
	until   timekeeper.Millis
	conn    pooler.Conn
	server  *server
	sent    timekeeper.Millis
	// committed is when the primary answered the commit.
	committed timekeeper.Millis
	inspect   timekeeper.Millis
	idle      int
	attempts  int
	// doubtful says that an earlier attempt may have run.
	doubtful bool
	// preempted says that the statement was cancelled for more urgent work.
	preempted bool
	// preemptions counts how often that happened.
	preemptions int
	// cancelling says that the server was asked to cancel. The request may
	// arrive late, so the connection is not used again.
	cancelling bool
	// step is the number of the transaction's present step; 0 is its beginning.
	step    int
	commit  bool
	opened  bool
	outcome Outcome
}

// made returns the time of keyed work as the ledger keeps it.
func (j *job) made(now timekeeper.Millis) string {
	if j.work.Key == "" {
		return ""
	}
	return deduplicator.FormatTime(now)
}

// holdsSlot reports whether the job counts as running on its server.
func (j *job) holdsSlot() bool {
	return j.phase == phaseRunning
}
