package faker

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgproto3"
	query "github.com/pganalyze/pg_query_go/v6"

	"github.com/heatherhall/heatherhall/sequencer"
)

// Transaction states in ReadyForQuery messages.
const (
	stateIdle    byte = 'I'
	stateOpen    byte = 'T'
	stateAborted byte = 'E'
)

// textType is the OID of the type text, which all columns and parameters have.
const textType = 25

// preparedStatement is a statement from a Parse message.
type preparedStatement struct {
	sql string
}

// portal is a prepared statement with the parameter values of a Bind message.
type portal struct {
	sql    string
	params []Value
}

// session serves one client connection.
type session struct {
	server   *Backend
	conn     net.Conn
	protocol *pgproto3.Backend
	id       uint32
	admitted bool
	// unresponsive is set by the silence fault.
	unresponsive atomic.Bool
	// active is set while the session handles a message or skips messages until
	// Sync.
	active atomic.Bool

	transaction *transaction
	state       byte
	// explicit is set if BEGIN started the transaction; otherwise it is implicit.
	explicit           bool
	reportedPosition   sequencer.Position
	preparedStatements map[string]preparedStatement
	portals            map[string]portal
	// skipUntilSync is set after an error in the extended query protocol.
	skipUntilSync bool

	mu sync.Mutex
	// cancelled is closed and replaced when the running statement is cancelled.
	cancelled chan struct{}
}

func newSession(server *Backend, conn net.Conn, id uint32) *session {
	return &session{
		server:             server,
		conn:               conn,
		protocol:           pgproto3.NewBackend(conn, conn),
		id:                 id,
		state:              stateIdle,
		preparedStatements: map[string]preparedStatement{},
		portals:            map[string]portal{},
		cancelled:          make(chan struct{}),
	}
}

// isUnresponsive reports whether the session ignores its messages and discards
// its answers, because of the silence fault or because the cut fault applies to
// the client's address.
func (s *session) isUnresponsive() bool {
	return s.unresponsive.Load() || s.server.isPartitionedFrom(s.conn.RemoteAddr().String())
}

// run handles the startup and then all messages, until the connection or the
// session ends. It rolls back a transaction that is still open.
func (s *session) run(ctx context.Context) {
	if !s.handleStartup(ctx) {
		return
	}
	defer s.rollbackOpenTransaction()
	for {
		msg, err := s.protocol.Receive()
		if err != nil {
			return
		}
		if s.isUnresponsive() {
			continue
		}
		s.active.Store(true)
		keepOpen := s.handle(ctx, msg)
		s.active.Store(s.skipUntilSync)
		if !keepOpen {
			return
		}
	}
}

// handleStartup handles messages up to the first ReadyForQuery. It returns false
// if the connection is to be closed, as after a cancel request.
func (s *session) handleStartup(ctx context.Context) bool {
	for {
		msg, err := s.protocol.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		if s.isUnresponsive() {
			<-ctx.Done()
			return false
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte("N")); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			s.server.cancel(m.ProcessID)
			return false
		case *pgproto3.StartupMessage:
			return s.completeStartup(ctx, m.Parameters["user"])
		default:
			return false
		}
	}
}

// completeStartup serves a replication stream if the user is replicationUser.
// Otherwise it sends the server's parameters and ReadyForQuery, or an error if
// the connection limit is reached. Users whose names begin with "control" do not
// count against the limit. It returns false if the connection is to be closed.
func (s *session) completeStartup(ctx context.Context, user string) bool {
	if user == replicationUser {
		s.serveReplication(ctx)
		return false
	}
	if !strings.HasPrefix(user, "control") && !s.server.admit(s) {
		s.protocol.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: string(KindConnections), Message: "sorry, too many clients already"})
		_ = s.protocol.Flush()
		return false
	}
	if !sleep(s.server.settings.ConnectDelay.Duration(), ctx.Done()) {
		return false
	}
	s.protocol.Send(&pgproto3.AuthenticationOk{})
	s.protocol.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "15.0"})
	s.protocol.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	s.protocol.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	s.reportPosition(s.server.engine.Report().Applied)
	s.protocol.Send(&pgproto3.BackendKeyData{ProcessID: s.id, SecretKey: []byte{0, 0, 0, 0}})
	s.sendReadyForQuery()
	return s.flush()
}

func (s *session) sendReadyForQuery() {
	s.protocol.Send(&pgproto3.ReadyForQuery{TxStatus: s.state})
}

// flush sends the buffered messages. Once the session is unresponsive, it
// discards them and all later ones. It returns false if sending failed.
func (s *session) flush() bool {
	if s.isUnresponsive() {
		s.protocol = pgproto3.NewBackend(s.conn, discard{})
	}
	return s.protocol.Flush() == nil
}

// discard is a writer that drops the answers of an unresponsive session.
type discard struct{}

func (discard) Write(p []byte) (int, error) {
	return len(p), nil
}

// rollbackOpenTransaction rolls back the open transaction, if any.
func (s *session) rollbackOpenTransaction() {
	if s.transaction != nil {
		s.transaction.rollback()
	}
}

// cancelStatement cancels the running statement.
func (s *session) cancelStatement() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cancelled)
	s.cancelled = make(chan struct{})
}

func (s *session) cancelChannel() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled
}

// handle handles one message. It returns false if the connection is to be
// closed.
func (s *session) handle(ctx context.Context, msg pgproto3.FrontendMessage) bool {
	if _, sync := msg.(*pgproto3.Sync); s.skipUntilSync && !sync {
		_, terminate := msg.(*pgproto3.Terminate)
		return !terminate
	}
	switch m := msg.(type) {
	case *pgproto3.Query:
		keepOpen := s.simpleQuery(ctx, m.String)
		return keepOpen && s.flush()
	case *pgproto3.Parse:
		s.handleParse(m)
	case *pgproto3.Bind:
		s.handleBind(m)
	case *pgproto3.Describe:
		s.handleDescribe(m)
	case *pgproto3.Execute:
		return s.handleExecute(ctx, m)
	case *pgproto3.Close:
		s.protocol.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Flush:
		return s.flush()
	case *pgproto3.Sync:
		s.skipUntilSync = false
		if !s.commitImplicit(nil) {
			return false
		}
		s.sendReadyForQuery()
		return s.flush()
	case *pgproto3.Terminate:
		return false
	default:
		s.failExtendedQuery(newError("message", KindUnsupported, "message is not supported by the stand-in"))
	}
	return true
}

// failExtendedQuery sends an error of the extended query protocol, aborts the
// transaction and skips all messages until the next Sync.
func (s *session) failExtendedQuery(err error) {
	s.sendError(err)
	s.skipUntilSync = true
	s.abortTransaction()
}

func (s *session) sendError(err error) {
	s.protocol.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: string(kindOf(err)), Message: err.Error()})
}

// abortTransaction marks an explicit transaction as aborted and rolls back an
// implicit one.
func (s *session) abortTransaction() {
	if s.explicit {
		s.state = stateAborted
		return
	}
	s.rollbackOpenTransaction()
	s.transaction = nil
}

// simpleQuery runs the statements of a Query message up to the first that fails.
// It returns false if the connection is to be closed.
func (s *session) simpleQuery(ctx context.Context, sql string) bool {
	statements, err := parse(sql)
	if err == nil && len(statements) == 0 {
		s.protocol.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, statement := range statements {
		if err = s.executeStatement(ctx, statement.GetStmt(), nil, true); err != nil {
			break
		}
	}
	if err != nil {
		s.sendError(err)
		s.abortTransaction()
	}
	if !s.commitImplicit(err) {
		return false
	}
	s.sendReadyForQuery()
	return true
}

// commitImplicit commits the implicit transaction at the end of a batch, unless
// the batch failed. It returns false if the connection is to be closed.
func (s *session) commitImplicit(batchErr error) bool {
	if s.explicit || s.transaction == nil || batchErr != nil {
		return true
	}
	return s.commit("")
}

// commit commits the open transaction and sends the command tag, if any, or the
// error. It returns false if the drop fault closes the connection without an
// answer.
func (s *session) commit(tag string) bool {
	changed := len(s.transaction.changes) > 0
	at, err := s.transaction.commit()
	s.transaction = nil
	s.explicit = false
	s.state = stateIdle
	if err != nil {
		s.sendError(err)
		return true
	}
	if changed && s.server.faults.consumeDrop() {
		return false
	}
	if changed {
		s.reportPosition(at)
	}
	if tag != "" {
		s.protocol.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	}
	return true
}

// reportPosition sends, as a parameter status, the log position that a statement
// saw or committed, if it differs from the last position sent.
func (s *session) reportPosition(at sequencer.Position) {
	if at == s.reportedPosition {
		return
	}
	s.reportedPosition = at
	s.protocol.Send(&pgproto3.ParameterStatus{Name: "position", Value: at.String()})
}

// executeStatement runs one statement and sends its result. With describe it
// sends the row description before the rows.
func (s *session) executeStatement(ctx context.Context, node *query.Node, params []Value, describe bool) error {
	if stmt := node.GetTransactionStmt(); stmt != nil {
		return s.transactionControl(stmt)
	}
	if s.state == stateAborted {
		return newError("execute", KindAborted, "current transaction is aborted, commands ignored until end of transaction block")
	}
	if node.GetVariableSetStmt() != nil {
		s.protocol.Send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
		return nil
	}
	if call, args := functionCall(node, params); call != "" {
		if handled, err := s.controlFunction(ctx, call, args, describe); handled {
			return err
		}
	}
	return s.executeData(node, params, describe)
}

// transactionControl runs BEGIN, START TRANSACTION, COMMIT or ROLLBACK. A COMMIT
// without a transaction or of an aborted one rolls back.
func (s *session) transactionControl(stmt *query.TransactionStmt) error {
	switch stmt.GetKind() {
	case query.TransactionStmtKind_TRANS_STMT_BEGIN, query.TransactionStmtKind_TRANS_STMT_START:
		if s.transaction == nil {
			s.transaction = s.server.engine.begin()
		}
		s.explicit = true
		s.state = stateOpen
		s.protocol.Send(&pgproto3.CommandComplete{CommandTag: []byte("BEGIN")})
		return nil
	case query.TransactionStmtKind_TRANS_STMT_COMMIT:
		if s.transaction == nil || s.state == stateAborted {
			return s.rollback()
		}
		if !s.commit("COMMIT") {
			_ = s.conn.Close()
		}
		return nil
	case query.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		return s.rollback()
	}
	return newError("execute", KindUnsupported, "transaction statement is not supported by the stand-in")
}

// rollback ends the transaction for ROLLBACK. It always returns nil.
func (s *session) rollback() error {
	s.rollbackOpenTransaction()
	s.transaction = nil
	s.explicit = false
	s.state = stateIdle
	s.protocol.Send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
	return nil
}

// executeData runs a data statement, that is any statement but transaction
// control, SET and a control function, and sends its result. The statement
// occupies a slot for the service time and the time of its pg_sleep calls. A
// cancel request interrupts the wait for a slot and this time, but not the
// execution.
func (s *session) executeData(node *query.Node, params []Value, describe bool) error {
	cancelled := s.cancelChannel()
	select {
	case s.server.slots <- struct{}{}:
	case <-cancelled:
		return newError("execute", KindCancelled, "canceling statement due to user request")
	}
	defer func() { <-s.server.slots }()
	if !sleep(s.server.faults.serviceTime()+pgSleepDuration(node, params), cancelled) {
		return newError("execute", KindCancelled, "canceling statement due to user request")
	}
	s.server.executed.Add(1)
	if s.transaction == nil {
		s.transaction = s.server.engine.begin()
	}
	engine := s.server.engine
	engine.mu.Lock()
	out, err := s.transaction.execute(node, params)
	at := engine.log.Applied()
	engine.mu.Unlock()
	s.reportPosition(at)
	if err != nil {
		return err
	}
	s.send(out, describe)
	return nil
}

// send sends a result: with describe the row description, then the rows and the
// command tag.
func (s *session) send(out result, describe bool) {
	if describe && out.columns != nil {
		s.protocol.Send(rowDescription(out.columns))
	}
	for _, row := range out.rows {
		values := make([][]byte, len(row))
		for i, value := range row {
			if !value.Null {
				values[i] = []byte(value.Text)
			}
		}
		s.protocol.Send(&pgproto3.DataRow{Values: values})
	}
	s.protocol.Send(&pgproto3.CommandComplete{CommandTag: []byte(out.tag)})
}

func rowDescription(columns []string) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, name := range columns {
		fields[i] = pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: textType, DataTypeSize: -1, TypeModifier: -1}
	}
	return &pgproto3.RowDescription{Fields: fields}
}
