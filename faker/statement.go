package faker

import (
	"fmt"
	"strconv"
	"sync"

	query "github.com/pganalyze/pg_query_go/v6"
)

// statementLimit bounds the texts whose parse trees are remembered.
const statementLimit = 4096

// result is what a statement returns.
type result struct {
	columns []string
	rows    [][]Value
	tag     string
}

var parsed = struct {
	sync.Mutex
	trees map[string][]*query.RawStmt
}{trees: map[string][]*query.RawStmt{}}

// parse returns the statements of a text.
func parse(sql string) ([]*query.RawStmt, error) {
	parsed.Lock()
	trees, found := parsed.trees[sql]
	parsed.Unlock()
	if found {
		return trees, nil
	}
	tree, err := query.Parse(sql)
	if err != nil {
		return nil, fail("parse", KindSyntax, "%v", err)
	}
	parsed.Lock()
	defer parsed.Unlock()
	if len(parsed.trees) >= statementLimit {
		clear(parsed.trees)
	}
	parsed.trees[sql] = tree.GetStmts()
	return tree.GetStmts(), nil
}

// execute runs a data statement inside a transaction. The engine must be
// locked.
func (t *transaction) execute(node *query.Node, params []Value) (result, error) {
	switch {
	case node.GetSelectStmt() != nil:
		return t.selectRows(node.GetSelectStmt(), params)
	case node.GetInsertStmt() != nil:
		return t.insert(node.GetInsertStmt(), params)
	case node.GetUpdateStmt() != nil:
		return t.update(node.GetUpdateStmt(), params)
	case node.GetDeleteStmt() != nil:
		return t.remove(node.GetDeleteStmt(), params)
	case node.GetCreateStmt() != nil:
		return t.create(node.GetCreateStmt())
	}
	return result{}, fail("execute", KindUnsupported, "statement is not supported by the stand-in")
}

func (t *transaction) table(relation *query.RangeVar) (*Table, string, error) {
	name := relation.GetRelname()
	table := t.engine.tables[name]
	if table == nil {
		return nil, name, fail("execute", KindNoTable, "relation %q does not exist", name)
	}
	return table, name, nil
}

// writable refuses changes on a server that is not the primary.
func (t *transaction) writable() error {
	report := t.engine.log.Report()
	if report.Role != "primary" {
		return fail("execute", KindReadOnly, "cannot write on a %s, promised term %d", report.Role, report.PromisedTerm)
	}
	return nil
}

func (t *transaction) create(s *query.CreateStmt) (result, error) {
	if err := t.writable(); err != nil {
		return result{}, err
	}
	name := s.GetRelation().GetRelname()
	var columns []string
	for _, element := range s.GetTableElts() {
		if def := element.GetColumnDef(); def != nil {
			columns = append(columns, def.GetColname())
		}
	}
	if len(columns) == 0 {
		return result{}, fail("create", KindUnsupported, "table %q has no columns", name)
	}
	done := result{tag: "CREATE TABLE"}
	if t.engine.tables[name] != nil {
		if s.GetIfNotExists() {
			return done, nil
		}
		return result{}, fail("create", "42P07", "relation %q already exists", name)
	}
	// The table exists at once for the rest of the transaction; the entry in
	// the log makes it on the replicas.
	t.engine.tables[name] = newTable(columns)
	t.changes = append(t.changes, Change{Table: name, Columns: columns})
	return done, nil
}

func (t *transaction) insert(s *query.InsertStmt, params []Value) (result, error) {
	if err := t.writable(); err != nil {
		return result{}, err
	}
	table, name, err := t.table(s.GetRelation())
	if err != nil {
		return result{}, err
	}
	columns := insertColumns(s, table)
	var written []Row
	for _, list := range s.GetSelectStmt().GetSelectStmt().GetValuesLists() {
		row, err := newRow(table, columns, list.GetList().GetItems(), params)
		if err != nil {
			return result{}, err
		}
		key := row[table.Columns[0]].Text
		if err := t.lock(name, key); err != nil {
			return result{}, err
		}
		if t.row(table, name, key) != nil {
			if s.GetOnConflictClause() != nil {
				continue
			}
			return result{}, fail("insert", KindUnique, "duplicate key value violates unique constraint \"%s_pkey\"", name)
		}
		t.write(name, key, row)
		written = append(written, row)
	}
	out, err := project(s.GetReturningList(), table, written, params)
	out.tag = fmt.Sprintf("INSERT 0 %d", len(written))
	return out, err
}

func insertColumns(s *query.InsertStmt, table *Table) []string {
	var columns []string
	for _, target := range s.GetCols() {
		columns = append(columns, target.GetResTarget().GetName())
	}
	if columns == nil {
		return table.Columns
	}
	return columns
}

func newRow(table *Table, columns []string, items []*query.Node, params []Value) (Row, error) {
	if len(items) != len(columns) {
		return nil, fail("insert", KindSyntax, "INSERT has %d values for %d columns", len(items), len(columns))
	}
	row := Row{}
	for _, name := range table.Columns {
		row[name] = Value{Null: true}
	}
	for i, item := range items {
		if _, found := row[columns[i]]; !found {
			return nil, fail("insert", KindNoColumn, "column %q does not exist", columns[i])
		}
		value, err := evaluate(item, scope{params: params})
		if err != nil {
			return nil, err
		}
		row[columns[i]] = value
	}
	return row, nil
}

// candidates returns the keys that can meet a WHERE clause.
func (t *transaction) candidates(table *Table, name string, where *query.Node, in scope) []string {
	if key, found := keyOf(where, table.Columns[0], in); found {
		return []string{key}
	}
	return t.visible(table, name)
}

// lockMatching calls act for each row that meets the WHERE clause, locked.
func (t *transaction) lockMatching(table *Table, name string, where *query.Node, params []Value, act func(string, Row) error) error {
	for _, key := range t.candidates(table, name, where, scope{params: params}) {
		row := t.row(table, name, key)
		if met, err := meets(where, row, params); err != nil || !met {
			if err != nil {
				return err
			}
			continue
		}
		if err := t.lock(name, key); err != nil {
			return err
		}
		row = t.row(table, name, key)
		met, err := meets(where, row, params)
		if err != nil {
			return err
		}
		if !met {
			continue
		}
		if err := act(key, row); err != nil {
			return err
		}
	}
	return nil
}

func meets(where *query.Node, row Row, params []Value) (bool, error) {
	if row == nil {
		return false, nil
	}
	return matches(where, scope{row: row, params: params})
}

func (t *transaction) update(s *query.UpdateStmt, params []Value) (result, error) {
	if err := t.writable(); err != nil {
		return result{}, err
	}
	table, name, err := t.table(s.GetRelation())
	if err != nil {
		return result{}, err
	}
	var written []Row
	err = t.lockMatching(table, name, s.GetWhereClause(), params, func(key string, old Row) error {
		row := Row{}
		for column, value := range old {
			row[column] = value
		}
		for _, target := range s.GetTargetList() {
			value, err := evaluate(target.GetResTarget().GetVal(), scope{row: old, params: params})
			if err != nil {
				return err
			}
			row[target.GetResTarget().GetName()] = value
		}
		t.write(name, key, row)
		written = append(written, row)
		return nil
	})
	if err != nil {
		return result{}, err
	}
	out, err := project(s.GetReturningList(), table, written, params)
	out.tag = fmt.Sprintf("UPDATE %d", len(written))
	return out, err
}

func (t *transaction) remove(s *query.DeleteStmt, params []Value) (result, error) {
	if err := t.writable(); err != nil {
		return result{}, err
	}
	table, name, err := t.table(s.GetRelation())
	if err != nil {
		return result{}, err
	}
	var gone []Row
	err = t.lockMatching(table, name, s.GetWhereClause(), params, func(key string, row Row) error {
		t.write(name, key, nil)
		gone = append(gone, row)
		return nil
	})
	if err != nil {
		return result{}, err
	}
	out, err := project(s.GetReturningList(), table, gone, params)
	out.tag = fmt.Sprintf("DELETE %d", len(gone))
	return out, err
}

func (t *transaction) selectRows(s *query.SelectStmt, params []Value) (result, error) {
	var table *Table
	rows := []Row{{}}
	if len(s.GetFromClause()) > 0 {
		found, name, err := t.table(s.GetFromClause()[0].GetRangeVar())
		if err != nil {
			return result{}, err
		}
		table = found
		if rows, err = t.scan(s, table, name, params); err != nil {
			return result{}, err
		}
	}
	out, err := project(s.GetTargetList(), table, rows, params)
	if err != nil {
		return result{}, err
	}
	out.tag = fmt.Sprintf("SELECT %d", len(out.rows))
	return out, nil
}

func (t *transaction) scan(s *query.SelectStmt, table *Table, name string, params []Value) ([]Row, error) {
	limit := -1
	if s.GetLimitCount() != nil {
		value, err := evaluate(s.GetLimitCount(), scope{params: params})
		if err != nil {
			return nil, err
		}
		if limit, err = strconv.Atoi(value.Text); err != nil {
			return nil, fail("select", KindInvalid, "LIMIT must be a whole number")
		}
	}
	var rows []Row
	keep := func(_ string, row Row) error {
		rows = append(rows, row)
		return nil
	}
	if len(s.GetLockingClause()) > 0 {
		err := t.lockMatching(table, name, s.GetWhereClause(), params, keep)
		return rows, err
	}
	for _, key := range t.candidates(table, name, s.GetWhereClause(), scope{params: params}) {
		if limit >= 0 && len(rows) >= limit {
			break
		}
		row := t.row(table, name, key)
		met, err := meets(s.GetWhereClause(), row, params)
		if err != nil {
			return nil, err
		}
		if met {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// project computes the columns that a statement returns for each row.
func project(targets []*query.Node, table *Table, rows []Row, params []Value) (result, error) {
	var out result
	if len(targets) == 0 {
		return out, nil
	}
	if call := aggregate(targets); call != nil {
		return aggregated(call, rows)
	}
	for _, target := range targets {
		if table == nil && isStar(target.GetResTarget().GetVal()) {
			return out, fail("select", KindSyntax, "SELECT * with no tables specified is not valid")
		}
	}
	out.columns = targetNames(targets, table)
	for _, row := range rows {
		var values []Value
		for _, target := range targets {
			node := target.GetResTarget().GetVal()
			if isStar(node) {
				for _, name := range table.Columns {
					values = append(values, row[name])
				}
				continue
			}
			if node.GetFuncCall() != nil {
				values = append(values, text(""))
				continue
			}
			value, err := evaluate(node, scope{row: row, params: params})
			if err != nil {
				return result{}, err
			}
			values = append(values, value)
		}
		out.rows = append(out.rows, values)
	}
	return out, nil
}

func isStar(node *query.Node) bool {
	return node.GetColumnRef() != nil && columnName(node.GetColumnRef()) == "*"
}

func targetNames(targets []*query.Node, table *Table) []string {
	var names []string
	for _, target := range targets {
		node := target.GetResTarget().GetVal()
		switch {
		case target.GetResTarget().GetName() != "":
			names = append(names, target.GetResTarget().GetName())
		case isStar(node) && table != nil:
			names = append(names, table.Columns...)
		case node.GetColumnRef() != nil:
			names = append(names, columnName(node.GetColumnRef()))
		case node.GetFuncCall() != nil:
			names = append(names, functionName(node.GetFuncCall()))
		default:
			names = append(names, "?column?")
		}
	}
	return names
}

func functionName(call *query.FuncCall) string {
	parts := call.GetFuncname()
	return parts[len(parts)-1].GetString_().GetSval()
}

// aggregate returns the call of count or sum that is the only target, if so.
func aggregate(targets []*query.Node) *query.FuncCall {
	if len(targets) != 1 {
		return nil
	}
	call := targets[0].GetResTarget().GetVal().GetFuncCall()
	if call == nil {
		return nil
	}
	if name := functionName(call); name != "count" && name != "sum" {
		return nil
	}
	return call
}

func aggregated(call *query.FuncCall, rows []Row) (result, error) {
	name := functionName(call)
	out := result{columns: []string{name}}
	if name == "count" {
		out.rows = [][]Value{{text(strconv.Itoa(len(rows)))}}
		return out, nil
	}
	total := text("0")
	for _, row := range rows {
		value, err := evaluate(call.GetArgs()[0], scope{row: row})
		if err != nil {
			return result{}, err
		}
		if total, err = combine("+", total.Text, value.Text); err != nil {
			return result{}, err
		}
	}
	out.rows = [][]Value{{total}}
	return out, nil
}
