package faker

import (
	"fmt"
	"strconv"
	"sync"

	query "github.com/pganalyze/pg_query_go/v6"
)

// parseCacheLimit is the maximum number of SQL texts whose parse trees are
// cached. The cache is cleared when it is full.
const parseCacheLimit = 4096

// result is the result of a statement: columns, rows and the command tag.
type result struct {
	columns []string
	rows    [][]Value
	tag     string
}

var parseCache = struct {
	sync.Mutex
	trees map[string][]*query.RawStmt
}{trees: map[string][]*query.RawStmt{}}

// parse returns the parse trees of the statements in an SQL text. It fails with
// KindSyntax.
func parse(sql string) ([]*query.RawStmt, error) {
	parseCache.Lock()
	trees, found := parseCache.trees[sql]
	parseCache.Unlock()
	if found {
		return trees, nil
	}
	tree, err := query.Parse(sql)
	if err != nil {
		return nil, newError("parse", KindSyntax, "%v", err)
	}
	parseCache.Lock()
	defer parseCache.Unlock()
	if len(parseCache.trees) >= parseCacheLimit {
		clear(parseCache.trees)
	}
	parseCache.trees[sql] = tree.GetStmts()
	return tree.GetStmts(), nil
}

// execute runs a data statement in the transaction. The engine must be locked;
// waiting for a row lock unlocks it meanwhile.
func (t *transaction) execute(node *query.Node, params []Value) (result, error) {
	switch {
	case node.GetSelectStmt() != nil:
		return t.selectRows(node.GetSelectStmt(), params)
	case node.GetInsertStmt() != nil:
		return t.insert(node.GetInsertStmt(), params)
	case node.GetUpdateStmt() != nil:
		return t.update(node.GetUpdateStmt(), params)
	case node.GetDeleteStmt() != nil:
		return t.deleteRows(node.GetDeleteStmt(), params)
	case node.GetCreateStmt() != nil:
		return t.createTable(node.GetCreateStmt())
	}
	return result{}, newError("execute", KindUnsupported, "statement is not supported by the stand-in")
}

func (t *transaction) table(relation *query.RangeVar) (*Table, string, error) {
	name := relation.GetRelname()
	table := t.engine.tables[name]
	if table == nil {
		return nil, name, newError("execute", KindNoTable, "relation %q does not exist", name)
	}
	return table, name, nil
}

// checkWritable fails with KindReadOnly on a server that is not the primary.
func (t *transaction) checkWritable() error {
	report := t.engine.log.Report()
	if report.Role != "primary" {
		return newError("execute", KindReadOnly, "cannot write on a %s, promised term %d", report.Role, report.PromisedTerm)
	}
	return nil
}

func (t *transaction) createTable(s *query.CreateStmt) (result, error) {
	if err := t.checkWritable(); err != nil {
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
		return result{}, newError("create", KindUnsupported, "table %q has no columns", name)
	}
	created := result{tag: "CREATE TABLE"}
	if t.engine.tables[name] != nil {
		if s.GetIfNotExists() {
			return created, nil
		}
		return result{}, newError("create", "42P07", "relation %q already exists", name)
	}
	// The table is created before the commit, so that later statements of the
	// transaction can use it. The log entry creates it on the replicas.
	t.engine.tables[name] = newTable(columns)
	t.changes = append(t.changes, Change{Table: name, Columns: columns})
	return created, nil
}

func (t *transaction) insert(s *query.InsertStmt, params []Value) (result, error) {
	if err := t.checkWritable(); err != nil {
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
			return result{}, newError("insert", KindUnique, "duplicate key value violates unique constraint \"%s_pkey\"", name)
		}
		t.write(name, key, row)
		written = append(written, row)
	}
	out, err := project(s.GetReturningList(), table, written, params)
	out.tag = fmt.Sprintf("INSERT 0 %d", len(written))
	return out, err
}

// insertColumns returns the columns that an INSERT lists, or all columns of the
// table if it lists none.
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

// newRow evaluates one row of the VALUES of an INSERT. Columns that are not
// listed are NULL.
func newRow(table *Table, columns []string, items []*query.Node, params []Value) (Row, error) {
	if len(items) != len(columns) {
		return nil, newError("insert", KindSyntax, "INSERT has %d values for %d columns", len(items), len(columns))
	}
	row := Row{}
	for _, name := range table.Columns {
		row[name] = Value{Null: true}
	}
	for i, item := range items {
		if _, found := row[columns[i]]; !found {
			return nil, newError("insert", KindNoColumn, "column %q does not exist", columns[i])
		}
		value, err := evaluate(item, scope{params: params})
		if err != nil {
			return nil, err
		}
		row[columns[i]] = value
	}
	return row, nil
}

// candidateKeys returns the primary keys of all rows that may match a WHERE
// clause: the key that the clause requires, or else all visible keys.
func (t *transaction) candidateKeys(table *Table, name string, where *query.Node, in scope) []string {
	if key, found := primaryKeyInWhere(where, table.Columns[0], in); found {
		return []string{key}
	}
	return t.visibleKeys(table, name)
}

// lockMatching locks each row that matches the WHERE clause and calls visit with
// it. It evaluates the clause again after locking, since another transaction may
// have changed the row during the wait for the lock.
func (t *transaction) lockMatching(table *Table, name string, where *query.Node, params []Value, visit func(string, Row) error) error {
	for _, key := range t.candidateKeys(table, name, where, scope{params: params}) {
		row := t.row(table, name, key)
		if matched, err := rowMatches(where, row, params); err != nil || !matched {
			if err != nil {
				return err
			}
			continue
		}
		if err := t.lock(name, key); err != nil {
			return err
		}
		row = t.row(table, name, key)
		matched, err := rowMatches(where, row, params)
		if err != nil {
			return err
		}
		if !matched {
			continue
		}
		if err := visit(key, row); err != nil {
			return err
		}
	}
	return nil
}

// rowMatches reports whether a row exists and matches a WHERE clause.
func rowMatches(where *query.Node, row Row, params []Value) (bool, error) {
	if row == nil {
		return false, nil
	}
	return evalCondition(where, scope{row: row, params: params})
}

func (t *transaction) update(s *query.UpdateStmt, params []Value) (result, error) {
	if err := t.checkWritable(); err != nil {
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

func (t *transaction) deleteRows(s *query.DeleteStmt, params []Value) (result, error) {
	if err := t.checkWritable(); err != nil {
		return result{}, err
	}
	table, name, err := t.table(s.GetRelation())
	if err != nil {
		return result{}, err
	}
	var deleted []Row
	err = t.lockMatching(table, name, s.GetWhereClause(), params, func(key string, row Row) error {
		t.write(name, key, nil)
		deleted = append(deleted, row)
		return nil
	})
	if err != nil {
		return result{}, err
	}
	out, err := project(s.GetReturningList(), table, deleted, params)
	out.tag = fmt.Sprintf("DELETE %d", len(deleted))
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

// scan returns the rows that match the WHERE clause, at most as many as LIMIT
// allows. With a locking clause it locks them and ignores LIMIT.
func (t *transaction) scan(s *query.SelectStmt, table *Table, name string, params []Value) ([]Row, error) {
	limit := -1
	if s.GetLimitCount() != nil {
		value, err := evaluate(s.GetLimitCount(), scope{params: params})
		if err != nil {
			return nil, err
		}
		if limit, err = strconv.Atoi(value.Text); err != nil {
			return nil, newError("select", KindInvalid, "LIMIT must be a whole number")
		}
	}
	var rows []Row
	collect := func(_ string, row Row) error {
		rows = append(rows, row)
		return nil
	}
	if len(s.GetLockingClause()) > 0 {
		err := t.lockMatching(table, name, s.GetWhereClause(), params, collect)
		return rows, err
	}
	for _, key := range t.candidateKeys(table, name, s.GetWhereClause(), scope{params: params}) {
		if limit >= 0 && len(rows) >= limit {
			break
		}
		row := t.row(table, name, key)
		matched, err := rowMatches(s.GetWhereClause(), row, params)
		if err != nil {
			return nil, err
		}
		if matched {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// project evaluates a target list for each row, or its aggregate over all rows.
// Any other function call yields an empty text. The result has no command tag.
func project(targets []*query.Node, table *Table, rows []Row, params []Value) (result, error) {
	var out result
	if len(targets) == 0 {
		return out, nil
	}
	if call := aggregateCall(targets); call != nil {
		return computeAggregate(call, rows)
	}
	for _, target := range targets {
		if table == nil && isStar(target.GetResTarget().GetVal()) {
			return out, newError("select", KindSyntax, "SELECT * with no tables specified is not valid")
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
				values = append(values, textValue(""))
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

// targetNames returns the column names of a target list. A star stands for all
// columns of the table.
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

// aggregateCall returns the only target if it is a call of count or sum, and nil
// otherwise.
func aggregateCall(targets []*query.Node) *query.FuncCall {
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

// computeAggregate returns a count or sum over rows.
func computeAggregate(call *query.FuncCall, rows []Row) (result, error) {
	name := functionName(call)
	out := result{columns: []string{name}}
	if name == "count" {
		out.rows = [][]Value{{textValue(strconv.Itoa(len(rows)))}}
		return out, nil
	}
	total := textValue("0")
	for _, row := range rows {
		value, err := evaluate(call.GetArgs()[0], scope{row: row})
		if err != nil {
			return result{}, err
		}
		if total, err = applyOperator("+", total.Text, value.Text); err != nil {
			return result{}, err
		}
	}
	out.rows = [][]Value{{total}}
	return out, nil
}
