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

// Transaction states as ReadyForQuery reports them.
const (
	stateIdle    byte = 'I'
	stateOpen    byte = 'T'
	stateAborted byte = 'E'
)

// textType is the type that all columns and parameters have.
const textType = 25

// prepared is a statement made by a Parse message.
type prepared struct {
	sql string
}

// portal is a statement with its parameters.
type portal struct {
	sql    string
	params []Value
}

// session serves one connection.
type session struct {
	server  *Backend
	conn    net.Conn
	backend *pgproto3.Backend
	id      uint32
	counted bool
	silent  atomic.Bool
	active  atomic.Bool

	transaction *transaction
	state       byte
	explicit    bool
	reported    sequencer.Position
	prepared    map[string]prepared
	portals     map[string]portal
	skipping    bool

	mu        sync.Mutex
	cancelled chan struct{}
}

func newSession(server *Backend, conn net.Conn, id uint32) *session {
	return &session{
		server:    server,
		conn:      conn,
		backend:   pgproto3.NewBackend(conn, conn),
		id:        id,
		state:     stateIdle,
		prepared:  map[string]prepared{},
		portals:   map[string]portal{},
		cancelled: make(chan struct{}),
	}
}

// isSilent reports whether what the session sends is lost.
func (s *session) isSilent() bool {
	return s.silent.Load() || s.server.cutFrom(s.conn.RemoteAddr().String())
}

func (s *session) run(ctx context.Context) {
	if !s.start(ctx) {
		return
	}
	defer s.abandon()
	for {
		msg, err := s.backend.Receive()
		if err != nil {
			return
		}
		if s.isSilent() {
			continue
		}
		s.active.Store(true)
		alive := s.handle(ctx, msg)
		s.active.Store(s.skipping)
		if !alive {
			return
		}
	}
}

// start answers the startup messages up to the first ReadyForQuery.
func (s *session) start(ctx context.Context) bool {
	for {
		msg, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		if s.isSilent() {
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
			return s.welcome(ctx, m.Parameters["user"])
		default:
			return false
		}
	}
}

func (s *session) welcome(ctx context.Context, user string) bool {
	if user == replicationUser {
		s.serveStream(ctx)
		return false
	}
	if !strings.HasPrefix(user, "control") && !s.server.admit(s) {
		s.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: string(KindConnections), Message: "sorry, too many clients already"})
		_ = s.backend.Flush()
		return false
	}
	if !sleep(s.server.settings.Connect.Duration(), ctx.Done()) {
		return false
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "15.0"})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	s.reportPosition(s.server.engine.Report().Applied)
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.id, SecretKey: []byte{0, 0, 0, 0}})
	s.ready()
	return s.flush()
}

func (s *session) ready() {
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.state})
}

// flush sends what is buffered, unless the connection went silent meanwhile.
func (s *session) flush() bool {
	if s.isSilent() {
		s.backend = pgproto3.NewBackend(s.conn, discard{})
	}
	return s.backend.Flush() == nil
}

// discard takes the answers of a silent connection.
type discard struct{}

func (discard) Write(p []byte) (int, error) {
	return len(p), nil
}

// abandon rolls back what the connection left open.
func (s *session) abandon() {
	if s.transaction != nil {
		s.transaction.rollback()
	}
}

// interrupt cancels the running statement.
func (s *session) interrupt() {
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

func (s *session) handle(ctx context.Context, msg pgproto3.FrontendMessage) bool {
	if _, sync := msg.(*pgproto3.Sync); s.skipping && !sync {
		_, terminate := msg.(*pgproto3.Terminate)
		return !terminate
	}
	switch m := msg.(type) {
	case *pgproto3.Query:
		alive := s.simple(ctx, m.String)
		return alive && s.flush()
	case *pgproto3.Parse:
		s.parseMessage(m)
	case *pgproto3.Bind:
		s.bind(m)
	case *pgproto3.Describe:
		s.describe(m)
	case *pgproto3.Execute:
		return s.executePortal(ctx, m)
	case *pgproto3.Close:
		s.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Flush:
		return s.flush()
	case *pgproto3.Sync:
		s.skipping = false
		if !s.finish(nil) {
			return false
		}
		s.ready()
		return s.flush()
	case *pgproto3.Terminate:
		return false
	default:
		s.problem(fail("message", KindUnsupported, "message is not supported by the stand-in"))
	}
	return true
}

// problem answers an error of the extended protocol and skips to the next Sync.
func (s *session) problem(err error) {
	s.sendError(err)
	s.skipping = true
	s.spoil()
}

func (s *session) sendError(err error) {
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: string(kindOf(err)), Message: err.Error()})
}

// spoil marks an explicit transaction as failed and rolls an implicit one back.
func (s *session) spoil() {
	if s.explicit {
		s.state = stateAborted
		return
	}
	s.abandon()
	s.transaction = nil
}

func (s *session) simple(ctx context.Context, sql string) bool {
	statements, err := parse(sql)
	if err == nil && len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, statement := range statements {
		if err = s.statement(ctx, statement.GetStmt(), nil, true); err != nil {
			break
		}
	}
	if err != nil {
		s.sendError(err)
		s.spoil()
	}
	if !s.finish(err) {
		return false
	}
	s.ready()
	return true
}

// finish commits the implicit transaction at the end of a batch. It reports
// whether the connection goes on.
func (s *session) finish(failed error) bool {
	if s.explicit || s.transaction == nil || failed != nil {
		return true
	}
	return s.commit("")
}

// commit commits the open transaction and sends the tag, if any.
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
	if changed && s.server.faults.takeDrop() {
		return false
	}
	if changed {
		s.reportPosition(at)
	}
	if tag != "" {
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	}
	return true
}

// reportPosition sends the position that a statement saw, where it changed.
func (s *session) reportPosition(at sequencer.Position) {
	if at == s.reported {
		return
	}
	s.reported = at
	s.backend.Send(&pgproto3.ParameterStatus{Name: "position", Value: at.String()})
}

// statement runs one statement and sends its answer.
func (s *session) statement(ctx context.Context, node *query.Node, params []Value, describe bool) error {
	if control := node.GetTransactionStmt(); control != nil {
		return s.control(control)
	}
	if s.state == stateAborted {
		return fail("execute", KindAborted, "current transaction is aborted, commands ignored until end of transaction block")
	}
	if node.GetVariableSetStmt() != nil {
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
		return nil
	}
	if call, args := functionCall(node, params); call != "" {
		if handled, err := s.function(ctx, call, args, describe); handled {
			return err
		}
	}
	return s.data(node, params, describe)
}

func (s *session) control(control *query.TransactionStmt) error {
	switch control.GetKind() {
	case query.TransactionStmtKind_TRANS_STMT_BEGIN, query.TransactionStmtKind_TRANS_STMT_START:
		if s.transaction == nil {
			s.transaction = s.server.engine.begin()
		}
		s.explicit = true
		s.state = stateOpen
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("BEGIN")})
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
	return fail("execute", KindUnsupported, "transaction statement is not supported by the stand-in")
}

func (s *session) rollback() error {
	s.abandon()
	s.transaction = nil
	s.explicit = false
	s.state = stateIdle
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
	return nil
}

// data runs a data statement in a slot.
func (s *session) data(node *query.Node, params []Value, describe bool) error {
	cancelled := s.cancelChannel()
	select {
	case s.server.slots <- struct{}{}:
	case <-cancelled:
		return fail("execute", KindCancelled, "canceling statement due to user request")
	}
	defer func() { <-s.server.slots }()
	if !sleep(s.server.faults.serviceTime()+sleepOf(node, params), cancelled) {
		return fail("execute", KindCancelled, "canceling statement due to user request")
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

// send sends a statement's rows and tag.
func (s *session) send(out result, describe bool) {
	if describe && out.columns != nil {
		s.backend.Send(rowDescription(out.columns))
	}
	for _, row := range out.rows {
		values := make([][]byte, len(row))
		for i, value := range row {
			if !value.Null {
				values[i] = []byte(value.Text)
			}
		}
		s.backend.Send(&pgproto3.DataRow{Values: values})
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(out.tag)})
}

func rowDescription(columns []string) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, name := range columns {
		fields[i] = pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: textType, DataTypeSize: -1, TypeModifier: -1}
	}
	return &pgproto3.RowDescription{Fields: fields}
}
