package faker

import (
	"context"
	"regexp"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	query "github.com/pganalyze/pg_query_go/v6"
)

// parameterPattern finds the numbers of parameters in a text. Parameters inside
// quoted constants are counted too, which only makes a description too long.
var parameterPattern = regexp.MustCompile(`\$([0-9]+)`)

func (s *session) parseMessage(m *pgproto3.Parse) {
	statements, err := parse(m.Query)
	if err == nil && len(statements) > 1 {
		err = fail("parse", KindSyntax, "cannot insert multiple commands into a prepared statement")
	}
	if err != nil {
		s.problem(err)
		return
	}
	s.prepared[m.Name] = prepared{sql: m.Query}
	s.backend.Send(&pgproto3.ParseComplete{})
}

func (s *session) bind(m *pgproto3.Bind) {
	statement, found := s.prepared[m.PreparedStatement]
	if !found {
		s.problem(fail("bind", "26000", "prepared statement %q does not exist", m.PreparedStatement))
		return
	}
	p := portal{sql: statement.sql}
	for _, value := range m.Parameters {
		p.params = append(p.params, Value{Text: string(value), Null: value == nil})
	}
	s.portals[m.DestinationPortal] = p
	s.backend.Send(&pgproto3.BindComplete{})
}

func (s *session) describe(m *pgproto3.Describe) {
	sql := s.portals[m.Name].sql
	if m.ObjectType == 'S' {
		statement, found := s.prepared[m.Name]
		if !found {
			s.problem(fail("describe", "26000", "prepared statement %q does not exist", m.Name))
			return
		}
		sql = statement.sql
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: parameterTypes(sql)})
	}
	columns, err := s.columnsOf(sql)
	if err != nil {
		s.problem(err)
		return
	}
	if columns == nil {
		s.backend.Send(&pgproto3.NoData{})
		return
	}
	s.backend.Send(rowDescription(columns))
}

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

// columnsOf returns the names of the columns that a statement returns, or nil.
func (s *session) columnsOf(sql string) ([]string, error) {
	statements, err := parse(sql)
	if err != nil || len(statements) == 0 {
		return nil, err
	}
	node := statements[0].GetStmt()
	targets, from := returnedTargets(node)
	if len(targets) == 0 {
		return nil, nil
	}
	engine := s.server.engine
	engine.mu.Lock()
	defer engine.mu.Unlock()
	var table *Table
	if from != nil {
		if table = engine.tables[from.GetRelname()]; table == nil {
			return nil, fail("describe", KindNoTable, "relation %q does not exist", from.GetRelname())
		}
	}
	return targetNames(targets, table), nil
}

func returnedTargets(node *query.Node) ([]*query.Node, *query.RangeVar) {
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

func (s *session) executePortal(ctx context.Context, m *pgproto3.Execute) bool {
	p, found := s.portals[m.Portal]
	if !found {
		s.problem(fail("execute", "34000", "portal %q does not exist", m.Portal))
		return true
	}
	statements, err := parse(p.sql)
	if err != nil {
		s.problem(err)
		return true
	}
	if len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return true
	}
	if err := s.statement(ctx, statements[0].GetStmt(), p.params, false); err != nil {
		s.problem(err)
	}
	return true
}
