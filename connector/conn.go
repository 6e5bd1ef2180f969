package connector

import (
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
	// positionName is the parameter under which a server reports its position.
	positionName = "position"
	// answerLimit bounds the size of an answer in bytes.
	answerLimit = 16 << 20
	// outcomeLimit bounds the outcome that the ledger keeps in bytes; of a
	// longer one only the tags are kept.
	outcomeLimit = 8 << 10
	// codeTooLong is the SQLSTATE of an answer beyond the limit.
	codeTooLong = "54000"
	// codeRepeated is the SQLSTATE of the beginning of a transaction whose key
	// was used by a transaction that committed.
	codeRepeated = dispatcher.CodeAlreadyCommitted
)

// Conn is a connection that runs one piece of work at a time.
type Conn struct {
	conn     net.Conn
	frontend *pgproto3.Frontend
	pid      uint32
	secret   []byte
	work     chan dispatcher.Exec
	answers  chan collected
	key      deduplicator.Key
	claimed  bool

	mu       sync.Mutex
	position sequencer.Position
	active   *collector
	broken   bool
}

// Open opens a connection.
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
		conn:     hijacked.Conn,
		frontend: hijacked.Frontend,
		pid:      hijacked.PID,
		secret:   hijacked.SecretKey,
		work:     make(chan dispatcher.Exec, 1),
		answers:  make(chan collected, 1),
	}
	c.notePosition(hijacked.ParameterStatuses[positionName])
	return c, nil
}

// PID returns the number of the server's session.
func (c *Conn) PID() uint32 {
	return c.pid
}

// Cancel asks the server to cancel the statement that runs. It takes effect or
// not; the answer tells.
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
	// The server closes the connection once it has taken the request.
	_ = conn.SetReadDeadline(time.Now().Add(dialTimeout))
	_, _ = conn.Read(make([]byte, 1))
}

// Close closes the connection; Run then ends.
func (c *Conn) Close() {
	_ = c.conn.Close()
}

// Exec hands a piece of work to Run.
func (c *Conn) Exec(e dispatcher.Exec) {
	c.work <- e
}

// Run carries out work until the connection or the context ends, and reports
// each answer. The channel it returns is closed at the end.
func (c *Conn) Run(ctx context.Context, answer func(dispatcher.ExecResult)) <-chan struct{} {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, c.Close)
	read := make(chan struct{})
	go func() {
		defer close(read)
		c.read()
	}()
	go func() {
		defer close(done)
		defer stop()
		for {
			select {
			case <-read:
				return
			case e := <-c.work:
				answer(c.run(e))
			}
		}
	}()
	return done
}

// read gathers the server's messages until the connection ends.
func (c *Conn) read() {
	for {
		msg, err := c.frontend.Receive()
		c.mu.Lock()
		if err != nil {
			c.broken = true
			if c.active != nil {
				c.active = nil
				c.answers <- collected{lost: true}
			}
			c.mu.Unlock()
			_ = c.conn.Close()
			return
		}
		c.take(msg)
		c.mu.Unlock()
	}
}

// take adds one message to the answer that is being read.
func (c *Conn) take(msg pgproto3.BackendMessage) {
	if status, ok := msg.(*pgproto3.ParameterStatus); ok {
		if status.Name == positionName {
			c.notePosition(status.Value)
		}
		return
	}
	a := c.active
	if a == nil {
		return
	}
	switch m := msg.(type) {
	case *pgproto3.ReadyForQuery:
		a.status = m.TxStatus
		a.final = c.position
		if !a.begun {
			a.seen = c.position
		}
		c.active = nil
		c.answers <- a.collected
		return
	case *pgproto3.NoticeResponse:
	case *pgproto3.ErrorResponse:
		if a.code == "" {
			a.code = m.Code
		}
	case *pgproto3.DataRow:
		if a.keepRows {
			a.rows = append(a.rows, rowTexts(m))
		}
	}
	a.add(msg, c.position)
}

func (c *Conn) notePosition(value string) {
	if value == "" {
		return
	}
	if position, err := sequencer.ParsePosition(value); err == nil {
		c.position = position
	}
}

// send sends a batch and waits for its answer. It reports whether any byte may
// have left.
func (c *Conn) send(batch []byte, keepRows bool) (collected, bool) {
	c.mu.Lock()
	if c.broken {
		c.mu.Unlock()
		return collected{lost: true}, false
	}
	c.active = &collector{keepRows: keepRows}
	c.mu.Unlock()
	if n, err := c.conn.Write(batch); err != nil {
		_ = c.conn.Close()
		<-c.answers
		return collected{lost: true}, n > 0
	}
	return <-c.answers, true
}

// run carries out one piece of work.
func (c *Conn) run(e dispatcher.Exec) dispatcher.ExecResult {
	start := time.Now()
	if e.SQL != "" {
		e.Payload = encodeQuery(e.SQL)
	}
	var answer dispatcher.ExecResult
	switch {
	case e.Key != "" && e.Begin:
		answer = c.runBegin(e)
	case e.Key != "" && e.Commit && c.claimed:
		answer = c.runCommit(e)
	case e.Key != "" && !c.claimed:
		answer = c.runKeyed(e)
	default:
		got, sent := c.send(e.Payload, false)
		answer = toAnswer(got, sent)
	}
	answer.Conn = e.Conn
	answer.ServiceTime = milliseconds(start)
	return answer
}
