package faker

import (
	"sync"
	"time"

	"github.com/heatherhall/heatherhall/sequencer"
)

// lockWait bounds how long a statement waits for a row lock of another
// transaction.
const lockWait = 2 * time.Second

// Engine is the database engine of one backend server: its log, tables and row
// locks. It is safe for concurrent use.
type Engine struct {
	mu sync.Mutex
	// changed wakes all waiters when the log changed, row locks were released or
	// a waiter's deadline has passed.
	changed *sync.Cond
	log     *Log
	tables  Tables
	// locks maps the table name and primary key of a locked row, joined by a NUL
	// byte, to the transaction that holds the lock.
	locks map[string]*transaction
	// lastStreamMessage is when the last message of the replication stream
	// arrived.
	lastStreamMessage time.Time
}

// NewEngine returns an engine without tables on a log, which must be empty.
func NewEngine(log *Log) *Engine {
	e := &Engine{log: log, tables: Tables{}, locks: map[string]*transaction{}}
	e.changed = sync.NewCond(&e.mu)
	return e
}

// Report returns the server's status report. On a replica that has received a
// message of its replication stream, UpstreamIdleMillis is the time since the
// last one, in milliseconds.
func (e *Engine) Report() sequencer.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report()
}

func (e *Engine) report() sequencer.Report {
	report := e.log.Report()
	if report.Role == sequencer.RoleReplica && !e.lastStreamMessage.IsZero() {
		report.UpstreamIdleMillis = time.Since(e.lastStreamMessage).Milliseconds()
	}
	return report
}

// Watch waits until the received position, the applied position or the promised
// term differs from the given one, at most for wait, and returns the status
// report.
func (e *Engine) Watch(received, applied sequencer.Position, promisedTerm int64, wait time.Duration) sequencer.Report {
	deadline, timer := e.broadcastAfter(wait)
	defer timer.Stop()
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.log.ReceivedPosition() == received && e.log.Applied() == applied && e.log.promisedTerm == promisedTerm && time.Now().Before(deadline) {
		e.changed.Wait()
	}
	return e.report()
}

// broadcastAfter wakes all waiters after wait and returns the deadline that they
// compare the time with. The deadline is computed before the timer starts, so
// that it has passed when the waiters wake: a waiter that woke before the
// deadline would wait again, with no later wake-up.
func (e *Engine) broadcastAfter(wait time.Duration) (time.Time, *time.Timer) {
	deadline := time.Now().Add(wait)
	return deadline, time.AfterFunc(wait, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.changed.Broadcast()
	})
}

// updateLog calls update with the log under the lock, wakes all waiters and
// returns the status report after the update and its error.
func (e *Engine) updateLog(update func(*Log) error) (sequencer.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.changed.Broadcast()
	err := update(e.log)
	return e.report(), err
}

// Fence fences the log at a term (see Log.Fence) and returns the status report,
// also when it fails.
func (e *Engine) Fence(term int64) (sequencer.Report, error) {
	return e.updateLog(func(l *Log) error { return l.Fence(term) })
}

// Promote makes the server the primary of the term it was fenced at (see
// Log.Promote). It applies all received entries to the tables. It returns the
// status report, also when it fails.
func (e *Engine) Promote(term int64) (sequencer.Report, error) {
	return e.updateLog(func(l *Log) error {
		firstUnapplied := l.applied
		if err := l.Promote(term); err != nil {
			return err
		}
		for _, entry := range l.entries[firstUnapplied:l.applied] {
			e.tables.apply(entry.Changes)
		}
		return nil
	})
}

// TruncateToCommon truncates the log to the entries in common with the primary
// (see Log.TruncateToCommon) and rebuilds the tables if applied entries were
// removed. It returns the offset of the last entry that is left.
func (e *Engine) TruncateToCommon(term int64, history sequencer.History) (int64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.changed.Broadcast()
	appliedTruncated, err := e.log.TruncateToCommon(term, history)
	if appliedTruncated {
		e.tables = Tables{}
		for _, entry := range e.log.entries[:e.log.applied] {
			e.tables.apply(entry.Changes)
		}
	}
	return e.log.ReceivedPosition().Offset, err
}

// Receive appends an entry from the primary of term (see Log.Receive). It does
// not apply the entry.
func (e *Engine) Receive(term int64, entry Entry) error {
	_, err := e.updateLog(func(l *Log) error { return l.Receive(term, entry) })
	return err
}

// RecordStreamMessage records that a message of the replication stream arrived
// now.
func (e *Engine) RecordStreamMessage() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastStreamMessage = time.Now()
}

// ApplyUpTo applies received entries up to the given offset to the tables.
func (e *Engine) ApplyUpTo(offset int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.changed.Broadcast()
	for e.log.Applied().Offset < offset {
		entry, more := e.log.ApplyNext()
		if !more {
			return
		}
		e.tables.apply(entry.Changes)
	}
}

// entriesAfter returns the entries after offset. If there are none, it waits for
// the first one, at most for wait, and returns none when the time is up. It
// fails if the server is not the primary of term.
func (e *Engine) entriesAfter(term, offset int64, wait time.Duration) ([]Entry, error) {
	deadline, timer := e.broadcastAfter(wait)
	defer timer.Stop()
	e.mu.Lock()
	defer e.mu.Unlock()
	for {
		if e.log.role != sequencer.RolePrimary || e.log.promisedTerm != term {
			return nil, stateError("replicate", "server is not the primary of term %d", term)
		}
		if entries := e.log.EntriesAfter(offset); len(entries) > 0 {
			return entries, nil
		}
		if !time.Now().Before(deadline) {
			return nil, nil
		}
		e.changed.Wait()
	}
}
