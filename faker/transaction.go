package faker

import (
	"time"

	"github.com/heatherhall/heatherhall/sequencer"
)

// transaction is an open transaction. It sees the applied rows of the engine and
// its own changes.
type transaction struct {
	engine  *Engine
	changes []Change
	// overlay maps table names and primary keys to the rows that the transaction
	// changed. A nil row is a deleted row.
	overlay map[string]map[string]Row
	// heldLocks lists the row locks that the transaction holds, as keys of
	// Engine.locks.
	heldLocks []string
}

func (e *Engine) begin() *transaction {
	return &transaction{engine: e, overlay: map[string]map[string]Row{}}
}

// lock acquires the row lock on a key. There is no deadlock detection: it fails
// with KindDeadlock if another transaction still holds the lock after lockWait.
// The engine must be locked.
func (t *transaction) lock(table, key string) error {
	lockKey := table + "\x00" + key
	e := t.engine
	if e.locks[lockKey] == t {
		return nil
	}
	deadline, timer := e.broadcastAfter(lockWait)
	defer timer.Stop()
	for e.locks[lockKey] != nil {
		if !time.Now().Before(deadline) {
			return newError("lock", KindDeadlock, "row %q of table %q is locked by another transaction", key, table)
		}
		e.changed.Wait()
	}
	e.locks[lockKey] = t
	t.heldLocks = append(t.heldLocks, lockKey)
	return nil
}

// row returns the row of a key as the transaction sees it, or nil if there is
// none.
func (t *transaction) row(table *Table, name, key string) Row {
	if rows, found := t.overlay[name]; found {
		if row, changed := rows[key]; changed {
			return row
		}
	}
	return table.Rows[key]
}

// write records that the transaction writes a row, or deletes the row of the key
// if row is nil.
func (t *transaction) write(table, key string, row Row) {
	if t.overlay[table] == nil {
		t.overlay[table] = map[string]Row{}
	}
	t.overlay[table][key] = row
	t.changes = append(t.changes, Change{Table: table, Key: key, Row: row})
}

// visibleKeys returns the primary keys of the rows that the transaction sees in
// a table, in ascending order.
func (t *transaction) visibleKeys(table *Table, name string) []string {
	rows := t.overlay[name]
	if len(rows) == 0 {
		return table.keys()
	}
	merged := newTable(table.Columns)
	for key, row := range table.Rows {
		merged.Rows[key] = row
	}
	for key, row := range rows {
		if row == nil {
			delete(merged.Rows, key)
			continue
		}
		merged.Rows[key] = row
	}
	return merged.keys()
}

// releaseLocks releases the row locks of the transaction and wakes all waiters.
// The engine must be locked.
func (t *transaction) releaseLocks() {
	for _, lockKey := range t.heldLocks {
		delete(t.engine.locks, lockKey)
	}
	t.heldLocks = nil
	t.engine.changed.Broadcast()
}

// commit appends the transaction's changes to the log as one entry, applies them
// and returns the position of the entry. Without changes it appends no entry and
// returns the applied position. It fails with KindReadOnly if the server is not
// the primary.
func (t *transaction) commit() (sequencer.Position, error) {
	e := t.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	defer t.releaseLocks()
	if len(t.changes) == 0 {
		return e.log.Applied(), nil
	}
	entry, err := e.log.Append(t.changes)
	if err != nil {
		return e.log.Applied(), newError("commit", KindReadOnly, "cannot commit: %v", err)
	}
	e.tables.apply(entry.Changes)
	return entry.Position, nil
}

// rollback releases the row locks and discards the changes. Tables that the
// transaction created stay.
func (t *transaction) rollback() {
	t.engine.mu.Lock()
	defer t.engine.mu.Unlock()
	t.releaseLocks()
}
