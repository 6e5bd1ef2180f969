package faker

import (
	"sync"
	"time"

	"github.com/heatherhall/heatherhall/sequencer"
)

// lockWait is how long a statement waits for another transaction's row lock.
const lockWait = 2 * time.Second

// Engine is the database of one backend server: its log, tables and row locks.
// It is safe for concurrent use.
type Engine struct {
	mu      sync.Mutex
	changed *sync.Cond
	log     *Log
	tables  Tables
	locks   map[string]*transaction
	heard   time.Time
}

// NewEngine returns an engine around an empty log.
func NewEngine(log *Log) *Engine {
	e := &Engine{log: log, tables: Tables{}, locks: map[string]*transaction{}}
	e.changed = sync.NewCond(&e.mu)
	return e
}

// Report returns the log's account of itself.
func (e *Engine) Report() sequencer.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report()
}

func (e *Engine) report() sequencer.Report {
	report := e.log.Report()
	if report.Role == sequencer.RoleReplica && !e.heard.IsZero() {
		report.UpstreamIdleMillis = time.Since(e.heard).Milliseconds()
	}
	return report
}

// Watch waits until the report differs from the given positions or promise, or
// until the time is up, and returns it.
func (e *Engine) Watch(held, applied sequencer.Position, promised int64, wait time.Duration) sequencer.Report {
	deadline, expired := e.wakeAfter(wait)
	defer expired.Stop()
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.log.Held() == held && e.log.Applied() == applied && e.log.promised == promised && time.Now().Before(deadline) {
		e.changed.Wait()
	}
	return e.report()
}

// wakeAfter wakes all waiters once the time is up. The deadline it returns is
// past when it does: a waiter that found it still ahead would wait for good.
func (e *Engine) wakeAfter(wait time.Duration) (time.Time, *time.Timer) {
	deadline := time.Now().Add(wait)
	return deadline, time.AfterFunc(wait, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.changed.Broadcast()
	})
}

// control changes the log under the lock and wakes all waiters.
func (e *Engine) control(change func(*Log) error) (sequencer.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.changed.Broadcast()
	err := change(e.log)
	return e.report(), err
}

// Fence promises a term.
func (e *Engine) Fence(term int64) (sequencer.Report, error) {
	return e.control(func(l *Log) error { return l.Fence(term) })
}

// Promote makes the server the primary of a term it was fenced at. All entries
// held are applied first.
func (e *Engine) Promote(term int64) (sequencer.Report, error) {
	return e.control(func(l *Log) error {
		from := l.applied
		if err := l.Promote(term); err != nil {
			return err
		}
		for _, entry := range l.entries[from:l.applied] {
			e.tables.apply(entry.Changes)
		}
		return nil
	})
}

// Align cuts the log back to what it shares with the primary's history.
func (e *Engine) Align(term int64, history sequencer.History) (int64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.changed.Broadcast()
	rebuilt, err := e.log.Align(term, history)
	if rebuilt {
		e.tables = Tables{}
		for _, entry := range e.log.entries[:e.log.applied] {
			e.tables.apply(entry.Changes)
		}
	}
	return e.log.Held().Offset, err
}

// Receive takes an entry from the primary.
func (e *Engine) Receive(term int64, entry Entry) error {
	_, err := e.control(func(l *Log) error { return l.Receive(term, entry) })
	return err
}

// Heard notes that the primary's stream is alive.
func (e *Engine) Heard() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heard = time.Now()
}

// ApplyUpTo applies entries up to the given offset.
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

// after returns the entries after offset, waiting up to wait for the first one.
// It fails when the server is no longer the primary of term.
func (e *Engine) after(term, offset int64, wait time.Duration) ([]Entry, error) {
	deadline, expired := e.wakeAfter(wait)
	defer expired.Stop()
	e.mu.Lock()
	defer e.mu.Unlock()
	for {
		if e.log.role != sequencer.RolePrimary || e.log.promised != term {
			return nil, refused("replicate", "server is not the primary of term %d", term)
		}
		if entries := e.log.Since(offset); len(entries) > 0 {
			return entries, nil
		}
		if !time.Now().Before(deadline) {
			return nil, nil
		}
		e.changed.Wait()
	}
}
