package faker

import (
	"time"

	"github.com/heatherhall/heatherhall/sequencer"
)

// transaction is one open transaction: what it changed and the rows it locked.
type transaction struct {
	engine  *Engine
	changes []Change
	overlay map[string]map[string]Row
	held    []string
}

func (e *Engine) begin() *transaction {
	return &transaction{engine: e, overlay: map[string]map[string]Row{}}
}

// lock waits for the row lock on key. The engine must be locked.
func (t *transaction) lock(table, key string) error {
	name := table + "\x00" + key
	e := t.engine
	if e.locks[name] == t {
		return nil
	}
	deadline, expired := e.wakeAfter(lockWait)
	defer expired.Stop()
	for e.locks[name] != nil {
		if !time.Now().Before(deadline) {
			return fail("lock", KindDeadlock, "row %q of table %q is locked by another transaction", key, table)
		}
		e.changed.Wait()
	}
	e.locks[name] = t
	t.held = append(t.held, name)
	return nil
}

// row returns a row as the transaction sees it, or nil.
func (t *transaction) row(table *Table, name, key string) Row {
	if rows, found := t.overlay[name]; found {
		if row, changed := rows[key]; changed {
			return row
		}
	}
	return table.Rows[key]
}

// write records a changed row; a nil row deletes.
func (t *transaction) write(table, key string, row Row) {
	if t.overlay[table] == nil {
		t.overlay[table] = map[string]Row{}
	}
	t.overlay[table][key] = row
	t.changes = append(t.changes, Change{Table: table, Key: key, Row: row})
}

// visible returns the keys the transaction sees in a table, in order.
func (t *transaction) visible(table *Table, name string) []string {
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

// end releases the locks. The engine must be locked.
func (t *transaction) end() {
	for _, name := range t.held {
		delete(t.engine.locks, name)
	}
	t.held = nil
	t.engine.changed.Broadcast()
}

// commit appends the transaction's changes to the log. A transaction without
// changes leaves no entry.
func (t *transaction) commit() (sequencer.Position, error) {
	e := t.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	defer t.end()
	if len(t.changes) == 0 {
		return e.log.Applied(), nil
	}
	entry, err := e.log.Append(t.changes)
	if err != nil {
		return e.log.Applied(), fail("commit", KindReadOnly, "cannot commit: %v", err)
	}
	e.tables.apply(entry.Changes)
	return entry.At, nil
}

// rollback drops the transaction's changes.
func (t *transaction) rollback() {
	t.engine.mu.Lock()
	defer t.engine.mu.Unlock()
	t.end()
}
