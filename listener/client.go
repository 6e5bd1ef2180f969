package listener

import (
	"net"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/heatherhall/heatherhall/classifier"
	"github.com/heatherhall/heatherhall/decider"
	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/sessioner"
)

// Transaction states as ReadyForQuery reports them.
const (
	statusIdle    byte = 'I'
	statusOpen    byte = 'T'
	statusAborted byte = 'E'
)

// messageLimit bounds the size of one message of a caller in bytes.
const messageLimit = 16 << 20

// client is one caller's connection.
type client struct {
	listener *Listener
	conn     net.Conn
	backend  *pgproto3.Backend
	id       uint64
	secret   uint32
	customer string
	database string
	counted  bool
	session  sessioner.Session
	defaults classifier.Hints
	prepared map[string]statement
	outcomes chan dispatcher.Outcome
	// ended is closed with the connection.
	ended  chan struct{}
	status byte
	// gone says that the proxy has lost the open transaction.
	gone bool
	// told is the floor in the token last sent to the caller.
	told sequencer.Position

	mu     sync.Mutex
	busy   bool
	closed bool
}

func newClient(l *Listener, conn net.Conn, id uint64) *client {
	backend := pgproto3.NewBackend(conn, conn)
	backend.SetMaxBodyLen(messageLimit)
	return &client{
		listener: l,
		conn:     conn,
		backend:  backend,
		id:       id,
		prepared: map[string]statement{},
		outcomes: make(chan dispatcher.Outcome, 1),
		ended:    make(chan struct{}),
		status:   statusIdle,
	}
}

func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
}

// end closes the connection. The client must be locked.
func (c *client) end() {
	if !c.closed {
		c.closed = true
		close(c.ended)
	}
	_ = c.conn.Close()
}

// drainIdle tells an idle caller that the daemon stops. A busy one is told when
// its transaction has ended.
func (c *client) drainIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && !c.closed {
		c.stopped()
	}
}

// stopped sends the end of the connection. The client must be locked.
func (c *client) stopped() {
	data, err := (&pgproto3.ErrorResponse{
		Severity: "FATAL",
		Code:     decider.CodeAdminShutdown,
		Message:  "this daemon stops, connect to another",
	}).Encode(nil)
	if err == nil {
		_, _ = c.conn.Write(data)
	}
	c.end()
}

// setBusy marks whether the caller has something in progress. It reports false
// if the connection is closed meanwhile.
func (c *client) setBusy(busy bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.busy = busy
	if !busy && c.listener.draining.Load() {
		c.stopped()
		return false
	}
	return true
}

// run serves the caller until the connection ends.
func (c *client) run() {
	if !c.start() {
		return
	}
	defer c.listener.deps.Disconnect(c.id)
	for {
		b, err := c.receive()
		if err != nil {
			return
		}
		if !c.setBusy(true) {
			return
		}
		if !c.handle(b) {
			return
		}
		if !c.setBusy(c.status != statusIdle) {
			return
		}
	}
}

// receive reads the caller's messages up to the end of a batch.
func (c *client) receive() (*batch, error) {
	b := newBatch(c)
	for {
		msg, err := c.backend.Receive()
		if err != nil {
			c.tooLong(err)
			return nil, err
		}
		done, err := b.add(msg)
		if done || err != nil {
			return b, err
		}
	}
}

// tooLong tells the caller that a message was beyond the limit.
func (c *client) tooLong(err error) {
	if _, over := err.(*pgproto3.ExceededMaxBodyLenErr); over {
		c.fatal(&Error{Op: "receive", Kind: KindProtocol, Code: "54000", Text: "a message is larger than the proxy's limit of 16 MB"})
	}
}

// handle answers one batch. It reports whether the connection goes on.
func (c *client) handle(b *batch) bool {
	switch {
	case b.failure != nil:
		return c.answerError(b.failure.Code, b.failure.Text, "", b.silent)
	case c.gone:
		return c.refuseLost(b)
	case b.local():
		return c.finishLocal(b)
	}
	return c.forward(b)
}

// refuseLost answers a batch after the proxy has lost the caller's transaction: all
// but its end is refused, and its end is a rollback.
func (c *client) refuseLost(b *batch) bool {
	if b.class.End {
		c.status = statusIdle
		c.gone = false
		c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
		c.ready()
		return c.backend.Flush() == nil
	}
	return c.answerError("25P02", "current transaction is aborted, commands ignored until end of transaction block", "", false)
}

// forward sends a batch to the daemon and its outcome to the caller.
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
		return c.answer(b, outcome)
	case <-c.ended:
		return false
	}
}
