package faker

import (
	"slices"
	"strings"
)

// Value is the value of one column, as text or NULL. The engine has no other
// types.
type Value struct {
	Text string `json:"text,omitempty"`
	Null bool   `json:"null,omitempty"`
}

func textValue(s string) Value {
	return Value{Text: s}
}

// Row maps column names to values.
type Row map[string]Value

// Change is one change of a transaction: a table created (Columns is set), a row
// written (Row is set) or a row deleted (neither is set).
type Change struct {
	Table   string   `json:"table"`
	Columns []string `json:"columns,omitempty"`
	Key     string   `json:"key,omitempty"`
	Row     Row      `json:"row,omitempty"`
}

// Table holds rows by primary key. The first column is the primary key.
type Table struct {
	Columns []string
	Rows    map[string]Row
}

func newTable(columns []string) *Table {
	return &Table{Columns: columns, Rows: map[string]Row{}}
}

// keys returns the primary keys in ascending order.
func (t *Table) keys() []string {
	keys := make([]string, 0, len(t.Rows))
	for key := range t.Rows {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, strings.Compare)
	return keys
}

// Tables maps the names of a database's tables to the tables.
type Tables map[string]*Table

// apply applies the changes of one log entry. It ignores the creation of a table
// that exists and changes of rows in a table that does not.
func (t Tables) apply(changes []Change) {
	for _, c := range changes {
		table := t[c.Table]
		switch {
		case c.Columns != nil:
			if table == nil {
				t[c.Table] = newTable(c.Columns)
			}
		case table == nil:
		case c.Row != nil:
			table.Rows[c.Key] = c.Row
		default:
			delete(table.Rows, c.Key)
		}
	}
}
