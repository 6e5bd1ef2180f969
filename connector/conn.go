package connector

import (
	"cmp"
	"context"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/heatherhall/heatherhall/deduplicator"
	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/sequencer"
)

const (
	// positionParameter is the name of the parameter that holds a server's
	// position.
	positionParameter = "position"
	// defaultMaxResult is the default of Target.MaxResult.
	defaultMaxResult = 16 << 20
	// maxOutcomeSize is the maximum size in bytes of an outcome in the ledger. Of a
	// larger one, only the completion messages are stored.
	maxOutcomeSize = 8 << 10
	// codeResultTooLarge is the SQLSTATE of a response above Target.MaxResult.
	codeResultTooLarge = "54000"
	// codeAlreadyCommitted is the SQLSTATE that answers the BEGIN of a transaction
	// whose request key was used by a committed transaction.
	codeAlreadyCommitted = dispatcher.CodeAlreadyCommitted
)

// Conn is a connection to a backend server that runs one Exec at a time.
type Conn struct {
	conn     net.Conn
	frontend *pgproto3.Frontend
	pid      uint32
	secret   []byte
	// maxResult is the maximum size of a response in bytes.
	maxResult int
	execs     chan dispatcher.Exec
	// responses passes responses from readMessages to send.
	responses chan response
	// key is the request key of the open transaction if keyClaimed is set.
	key        deduplicator.Key
	keyClaimed bool

	mu sync.Mutex
	// position is the last position that the server reported.
	position sequencer.Position
	// current is the response that is being read, or nil.
	current *responseReader
	// broken is set once the connection has failed.
	broken bool
}

// Open opens a connection to a backend server. The error is of KindConnect.
func Open(ctx context.Context, target Target) (*Conn, error) {
	opened, err := target.open(ctx, target.User)
	if err != nil {
		return nil, err
	}
	hijacked, err := opened.Hijack()
	if err != nil {
		return nil, &Error{Op: "open", Kind: KindConnect, Err: err}
	}
	c := &Conn{
		conn:      hijacked.Conn,
		frontend:  hijacked.Frontend,
		pid:       hijacked.PID,
		secret:    hijacked.SecretKey,
		maxResult: cmp.Or(target.MaxResult, defaultMaxResult),
		execs:     make(chan dispatcher.Exec, 1),
		responses: make(chan response, 1),
	}
	c.setPosition(hijacked.ParameterStatuses[positionParameter])
	return c, nil
}

// PID returns the process ID of the server's session.
func (c *Conn) PID() uint32 {
	return c.pid
}

// Cancel sends the server a CancelRequest for the running statement over another
// connection, and waits until the server has received it. Whether it had an
// effect shows only in the statement's result.
func (c *Conn) Cancel(ctx context.Context) {
	request, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.conn.RemoteAddr().String())
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write(request)
	// The server closes the connection once it has processed the request.
	_ = conn.SetReadDeadline(time.Now().Add(dialTimeout))
	_, _ = conn.Read(make([]byte, 1))
}

// Close closes the connection; Run then ends.
func (c *Conn) Close() {
	_ = c.conn.Close()
}

// Exec passes work to Run. It may block if the previous work is not finished.
func (c *Conn) Exec(e dispatcher.Exec) {
	c.execs <- e
}

// Run executes the work passed to Exec in the background, until the connection or
// the context ends, and calls report with each result. The channel that it
// returns is closed at the end.
func (c *Conn) Run(ctx context.Context, report func(dispatcher.ExecResult)) <-chan struct{} {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, c.Close)
	readDone := make(chan struct{})
	go func() {
		defer close(readDone)
		c.readMessages()
	}()
	go func() {
		defer close(done)
		defer stop()
		for {
			select {
			case <-readDone:
				return
			case e := <-c.execs:
				report(c.runExec(e))
			}
		}
	}()
	return done
}

// readMessages reads the server's messages until the connection ends, and passes
// complete responses to send. When the connection fails, readMessages closes it;
// if send is waiting for a response, it gets one with connLost set.
func (c *Conn) readMessages() {
	for {
		msg, err := c.frontend.Receive()
		c.mu.Lock()
		if err != nil {
			c.broken = true
			if c.current != nil {
				c.current = nil
				c.responses <- response{connLost: true}
			}
			c.mu.Unlock()
			_ = c.conn.Close()
			return
		}
		c.handleMessage(msg)
		c.mu.Unlock()
	}
}

// handleMessage processes one message with mu held: it records a reported
// position, adds other messages to the current response, and passes the response
// on at ReadyForQuery. Notices are part of the response too.
func (c *Conn) handleMessage(msg pgproto3.BackendMessage) {
	if status, ok := msg.(*pgproto3.ParameterStatus); ok {
		if status.Name == positionParameter {
			c.setPosition(status.Value)
		}
		return
	}
	r := c.current
	if r == nil {
		return
	}
	switch m := msg.(type) {
	case *pgproto3.ReadyForQuery:
		r.txStatus = m.TxStatus
		r.finalPosition = c.position
		if !r.started {
			r.readPosition = c.position
		}
		c.current = nil
		c.responses <- r.response
		return
	case *pgproto3.NoticeResponse:
	case *pgproto3.ErrorResponse:
		if r.sqlState == "" {
			r.sqlState = m.Code
		}
	case *pgproto3.DataRow:
		if r.keepRows {
			r.rows = append(r.rows, rowTexts(m))
		}
	}
	r.add(msg, c.position)
}

// setPosition records a position that the server reported. It ignores empty and
// invalid values.
func (c *Conn) setPosition(value string) {
	if value == "" {
		return
	}
	if position, err := sequencer.ParsePosition(value); err == nil {
		c.position = position
	}
}

// send sends a batch and waits for its response. It reports whether any byte of
// the batch may have been sent.
func (c *Conn) send(batch []byte, keepRows bool) (response, bool) {
	c.mu.Lock()
	if c.broken {
		c.mu.Unlock()
		return response{connLost: true}, false
	}
	c.current = &responseReader{keepRows: keepRows, maxSize: c.maxResult}
	c.mu.Unlock()
	if n, err := c.conn.Write(batch); err != nil {
		_ = c.conn.Close()
		<-c.responses
		return response{connLost: true}, n > 0
	}
	return <-c.responses, true
}

// runExec executes work and measures its service time. Work with a request key
// runs at most once.
func (c *Conn) runExec(e dispatcher.Exec) dispatcher.ExecResult {
	start := time.Now()
	if e.SQL != "" {
		e.Payload = encodeQuery(e.SQL)
	}
	var result dispatcher.ExecResult
	switch {
	case e.Key != "" && e.Begin:
		result = c.beginKeyed(e)
	case e.Key != "" && e.Commit && c.keyClaimed:
		result = c.commitKeyed(e)
	case e.Key != "" && !c.keyClaimed:
		result = c.runKeyed(e)
	default:
		got, sent := c.send(e.Payload, false)
		result = toResult(got, sent)
	}
	result.Conn = e.Conn
	result.ServiceTime = millisecondsSince(start)
	return result
}
