package faker

import (
	"context"
	"regexp"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	query "github.com/pganalyze/pg_query_go/v6"
)

// parameterPattern matches the parameters in an SQL text. It also matches inside
// quoted constants, which only makes a parameter description too long.
var parameterPattern = regexp.MustCompile(`\$([0-9]+)`)

func (s *session) handleParse(m *pgproto3.Parse) {
	statements, err := parse(m.Query)
	if err == nil && len(statements) > 1 {
		err = newError("parse", KindSyntax, "cannot insert multiple commands into a prepared statement")
	}
	if err != nil {
		s.failExtendedQuery(err)
		return
	}
	s.preparedStatements[m.Name] = preparedStatement{sql: m.Query}
	s.protocol.Send(&pgproto3.ParseComplete{})
}

func (s *session) handleBind(m *pgproto3.Bind) {
	statement, found := s.preparedStatements[m.PreparedStatement]
	if !found {
		s.failExtendedQuery(newError("bind", "26000", "prepared statement %q does not exist", m.PreparedStatement))
		return
	}
	p := portal{sql: statement.sql}
	for _, value := range m.Parameters {
		p.params = append(p.params, Value{Text: string(value), Null: value == nil})
	}
	s.portals[m.DestinationPortal] = p
	s.protocol.Send(&pgproto3.BindComplete{})
}

func (s *session) handleDescribe(m *pgproto3.Describe) {
	sql := s.portals[m.Name].sql
	if m.ObjectType == 'S' {
		statement, found := s.preparedStatements[m.Name]
		if !found {
			s.failExtendedQuery(newError("describe", "26000", "prepared statement %q does not exist", m.Name))
			return
		}
		sql = statement.sql
		s.protocol.Send(&pgproto3.ParameterDescription{ParameterOIDs: parameterTypes(sql)})
	}
	columns, err := s.columnsOf(sql)
	if err != nil {
		s.failExtendedQuery(err)
		return
	}
	if columns == nil {
		s.protocol.Send(&pgproto3.NoData{})
		return
	}
	s.protocol.Send(rowDescription(columns))
}

// parameterTypes returns the OIDs of the parameter types, up to the highest
// parameter number in the text.
func parameterTypes(sql string) []uint32 {
	count := 0
	for _, match := range parameterPattern.FindAllStringSubmatch(sql, -1) {
		if n, err := strconv.Atoi(match[1]); err == nil && n > count {
			count = n
		}
	}
	types := make([]uint32, count)
	for i := range types {
		types[i] = textType
	}
	return types
}

// columnsOf returns the names of the columns in the result of a statement, or
// nil if it returns no rows.
func (s *session) columnsOf(sql string) ([]string, error) {
	statements, err := parse(sql)
	if err != nil || len(statements) == 0 {
		return nil, err
	}
	node := statements[0].GetStmt()
	targets, from := resultTargets(node)
	if len(targets) == 0 {
		return nil, nil
	}
	engine := s.server.engine
	engine.mu.Lock()
	defer engine.mu.Unlock()
	var table *Table
	if from != nil {
		if table = engine.tables[from.GetRelname()]; table == nil {
			return nil, newError("describe", KindNoTable, "relation %q does not exist", from.GetRelname())
		}
	}
	return targetNames(targets, table), nil
}

// resultTargets returns the target list of a SELECT or the RETURNING list of
// another statement, and the table that it refers to, if any.
func resultTargets(node *query.Node) ([]*query.Node, *query.RangeVar) {
	switch {
	case node.GetSelectStmt() != nil:
		s := node.GetSelectStmt()
		if len(s.GetFromClause()) == 0 {
			return s.GetTargetList(), nil
		}
		return s.GetTargetList(), s.GetFromClause()[0].GetRangeVar()
	case node.GetInsertStmt() != nil:
		return node.GetInsertStmt().GetReturningList(), node.GetInsertStmt().GetRelation()
	case node.GetUpdateStmt() != nil:
		return node.GetUpdateStmt().GetReturningList(), node.GetUpdateStmt().GetRelation()
	case node.GetDeleteStmt() != nil:
		return node.GetDeleteStmt().GetReturningList(), node.GetDeleteStmt().GetRelation()
	}
	return nil, nil
}

func (s *session) handleExecute(ctx context.Context, m *pgproto3.Execute) bool {
	p, found := s.portals[m.Portal]
	if !found {
		s.failExtendedQuery(newError("execute", "34000", "portal %q does not exist", m.Portal))
		return true
	}
	statements, err := parse(p.sql)
	if err != nil {
		s.failExtendedQuery(err)
		return true
	}
	if len(statements) == 0 {
		s.protocol.Send(&pgproto3.EmptyQueryResponse{})
		return true
	}
	if err := s.executeStatement(ctx, statements[0].GetStmt(), p.params, false); err != nil {
		s.failExtendedQuery(err)
	}
	return true
}
