package faker

import (
	"slices"
	"strings"
)

// Value is one column's value. All values are texts.
type Value struct {
	Text string `json:"text,omitempty"`
	Null bool   `json:"null,omitempty"`
}

func text(s string) Value {
	return Value{Text: s}
}

// Row maps columns to values.
type Row map[string]Value

// Change is one change of a committed transaction: a table made (Columns), a
// row written (Row) or a row deleted (neither).
type Change struct {
	Table   string   `json:"table"`
	Columns []string `json:"columns,omitempty"`
	Key     string   `json:"key,omitempty"`
	Row     Row      `json:"row,omitempty"`
}

// Table is a set of rows by primary key, which is the first column.
type Table struct {
	Columns []string
	Rows    map[string]Row
}

func newTable(columns []string) *Table {
	return &Table{Columns: columns, Rows: map[string]Row{}}
}

// keys returns the primary keys in order.
func (t *Table) keys() []string {
	keys := make([]string, 0, len(t.Rows))
	for key := range t.Rows {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, strings.Compare)
	return keys
}

// Tables are the tables of one database.
type Tables map[string]*Table

// apply carries out the changes of one entry.
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
