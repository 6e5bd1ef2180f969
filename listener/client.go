package listener

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/heatherhall/heatherhall/classifier"
	"github.com/heatherhall/heatherhall/decider"
	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/guarder"
	"github.com/heatherhall/heatherhall/rationer"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/sessioner"
)

// Transaction statuses that ReadyForQuery reports.
const (
	statusIdle    byte = 'I'
	statusOpen    byte = 'T'
	statusAborted byte = 'E'
)

// maxMessageSize is the maximum size of one message of a client in bytes.
const maxMessageSize = 16 << 20

// client is the connection of one client.
type client struct {
	listener *Listener
	// conn is raw, the connection itself, or TLS over it.
	conn, raw net.Conn
	frames    *frameReader
	guard     *guarder.Conn
	backend   *pgproto3.Backend
	id        uint64
	secret    uint32
	customer  string
	database  string
	// admitted is set if the connection counts towards the customer's limit.
	admitted bool
	session  sessioner.Session
	// defaults are the hints that the client has set for the session.
	defaults classifier.Hints
	// prepared holds the client's prepared statements by name.
	prepared map[string]statement
	// outcomes receives the outcome of the batch in progress.
	outcomes chan dispatcher.Outcome
	// ended is closed when the connection is closed.
	ended chan struct{}
	// status is the transaction status that the next ReadyForQuery reports.
	status byte
	// txLost is set after an open transaction was lost, until the client ends it.
	txLost bool
	// sentFloor is the floor in the token last sent to the client.
	sentFloor sequencer.Position
	// started says that the session has started, and leaving that the connection only
	// waits for the client to accept the reason of its end.
	started, leaving bool
	// hasDeadline says that reads have a deadline.
	hasDeadline bool
	// batchSize is the size of the batch that arrives, and reserved the memory that is
	// reserved for it. refused says that the batch has got no memory.
	batchSize int
	reserved  int64
	refused   bool
	// stateSize is the size of the prepared statements in bytes, and chargedState what
	// the guard knows of it.
	stateSize, chargedState int64
	// stopped is set when the guard stops the connection.
	stopped atomic.Bool

	mu sync.Mutex
	// busy is set while a batch runs or a transaction is open.
	busy   bool
	closed bool
}

// newClient returns the client of a connection, or nil if there are too many. The
// client then gets an error, which a new connection has room for.
func newClient(l *Listener, conn net.Conn, id uint64) *client {
	c := &client{
		listener: l,
		conn:     conn,
		raw:      conn,
		id:       id,
		prepared: map[string]statement{},
		outcomes: make(chan dispatcher.Outcome, 1),
		ended:    make(chan struct{}),
		status:   statusIdle,
	}
	if c.guard = l.deps.Guard.Open(conn.RemoteAddr().String(), c.stop); c.guard == nil {
		c.backend = pgproto3.NewBackend(conn, c)
		c.leaving = true
		c.fatal(limitError(guarder.ReasonConnections))
		_ = conn.Close() // it was refused
		return nil
	}
	c.setConn(conn)
	return c
}

// setConn makes the client's messages go over a connection.
func (c *client) setConn(conn net.Conn) {
	c.conn = conn
	c.frames = newFrameReader(c, conn)
	c.backend = pgproto3.NewBackend(c.frames, c)
	c.backend.SetMaxBodyLen(maxMessageSize)
}

func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

// closeLocked closes the connection. It is called with mu held.
func (c *client) closeLocked() {
	if !c.closed {
		c.closed = true
		close(c.ended)
	}
	_ = c.conn.Close()
}

// drainIdle closes the connection with a shutdown error if it is idle. A busy
// one is closed by setBusy when its transaction has ended.
func (c *client) drainIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && !c.closed {
		c.sendShutdown()
	}
}

// sendShutdown sends the shutdown error and closes the connection. It is called
// with mu held.
func (c *client) sendShutdown() {
	data, err := (&pgproto3.ErrorResponse{
		Severity: "FATAL",
		Code:     decider.CodeAdminShutdown,
		Message:  "this daemon stops, connect to another",
	}).Encode(nil)
	if err == nil {
		_ = c.raw.SetWriteDeadline(time.Now().Add(lastWords)) // an earlier one may have passed
		_, _ = c.conn.Write(data)
	}
	c.closeLocked()
}

// setBusy sets whether a batch or transaction of the client is in progress. It
// closes a connection that becomes idle while the listener drains. It reports
// whether the connection is still open.
func (c *client) setBusy(busy bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.busy = busy
	if !busy && c.listener.draining.Load() {
		c.sendShutdown()
		return false
	}
	return true
}

// run serves the client until the connection ends.
func (c *client) run() {
	c.setReadDeadline(time.Now().Add(c.listener.deps.Timeouts.Startup.Duration()))
	if !c.handleStartup() {
		return
	}
	c.started = true
	c.setReadDeadline(time.Time{})
	defer c.listener.deps.Disconnect(c.id)
	for {
		b, err := c.receive()
		if err != nil {
			return
		}
		if !c.setBusy(true) {
			return
		}
		if !c.guard.SetPhase(rationer.PhaseRunning) {
			c.leaving = true
			c.fatal(limitError(guarder.ReasonMemory))
			return
		}
		if !c.handle(b) {
			return
		}
		c.releaseBatch()
		c.chargeState()
		if !c.guard.SetPhase(rationer.PhaseIdle) {
			c.leaving = true
			c.fatal(limitError(guarder.ReasonMemory))
			return
		}
		if !c.setBusy(c.status != statusIdle) {
			return
		}
	}
}

// receive reads the client's messages up to the end of a batch.
func (c *client) receive() (*batch, error) {
	b := newBatch(c)
	for {
		msg, err := c.backend.Receive()
		if errors.Is(err, errRefused) {
			b.fail(codeOutOfMemory, "client limit: memory")
			if c.frames.refused == 'Q' {
				return b, nil
			}
			continue
		}
		if err != nil {
			c.reportReadError(err, guarder.ReasonMessage)
			return nil, err
		}
		done, err := b.add(msg)
		if done || err != nil {
			return b, err
		}
	}
}

// reportTooLarge sends a fatal error if err says that a message exceeded
// maxMessageSize.
func (c *client) reportTooLarge(err error) {
	if _, over := err.(*pgproto3.ExceededMaxBodyLenErr); over {
		c.guard.Report(guarder.ReasonSize)
		c.fatal(&Error{Op: "receive", Kind: KindProtocol, Code: "54000", Text: "a message is larger than the proxy's limit of 16 MB"})
	}
}

// handle answers one batch. It reports whether the connection stays open.
func (c *client) handle(b *batch) bool {
	switch {
	case b.failure != nil:
		return c.sendError(b.failure.Code, b.failure.Text, "", b.omitReady)
	case c.txLost:
		return c.answerLostTx(b)
	case b.isLocal():
		return c.answerLocal(b)
	}
	return c.forward(b)
}

// answerLostTx answers a batch of a client whose transaction was lost. A batch
// that ends the transaction is answered with ROLLBACK, any other with an error,
// as PostgreSQL answers in a failed transaction.
func (c *client) answerLostTx(b *batch) bool {
	if b.class.End {
		c.status = statusIdle
		c.txLost = false
		c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
		c.sendReady()
		return c.backend.Flush() == nil
	}
	return c.sendError("25P02", "current transaction is aborted, commands ignored until end of transaction block", "", false)
}

// forward passes a batch to the daemon, waits for its outcome and sends it to
// the client. It reports whether the connection stays open.
func (c *client) forward(b *batch) bool {
	deps := c.listener.deps
	if c.status != statusIdle {
		deps.Step(c.id, b.class.End, b.payload)
	} else {
		deps.Submit(decider.Request{
			ClientID:   c.id,
			Customer:   c.customer,
			Database:   c.database,
			Rank:       b.rank(),
			Write:      b.class.Write,
			Begin:      b.class.Begin,
			RequestKey: b.hints.RequestKey,
			Digest:     b.digest(c.customer),
			MaxAge:     b.hints.MaxAge,
			Timeout:    deps.StatementTimeout,
			Session:    c.session,
			Payload:    b.payload,
		})
	}
	select {
	case outcome := <-c.outcomes:
		return c.sendOutcome(b, outcome)
	case <-c.ended:
		return false
	}
}
