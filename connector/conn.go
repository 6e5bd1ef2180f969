package connector

import (
	"context"
	"encoding/base64"
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
	codeRepeated = dispatcher.CodeRepeated
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

// collected is the answer to one batch.
type collected struct {
	payload []byte
	tags    []byte
	code    string
	status  byte
	rows    [][]string
	seen    sequencer.Position
	final   sequencer.Position
	lost    bool
}

// collector gathers an answer while it is read.
type collector struct {
	collected
	keepRows bool
	begun    bool
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
func (c *Conn) Run(ctx context.Context, answer func(dispatcher.Answer)) <-chan struct{} {
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

func (a *collector) add(msg pgproto3.BackendMessage, position sequencer.Position) {
	if !a.begun {
		a.begun = true
		a.seen = position
	}
	if len(a.payload) > answerLimit {
		a.code = codeTooLong
		return
	}
	payload, err := msg.Encode(a.payload)
	if err != nil {
		return
	}
	switch msg.(type) {
	case *pgproto3.CommandComplete, *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.NoData:
		a.tags = append(a.tags, payload[len(a.payload):]...)
	}
	a.payload = payload
}

func rowTexts(m *pgproto3.DataRow) []string {
	row := make([]string, len(m.Values))
	for i, value := range m.Values {
		row[i] = string(value)
	}
	return row
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
func (c *Conn) run(e dispatcher.Exec) dispatcher.Answer {
	start := time.Now()
	if e.SQL != "" {
		e.Payload = encodeQuery(e.SQL)
	}
	var answer dispatcher.Answer
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
	answer.Took = milliseconds(start)
	return answer
}

func toAnswer(got collected, sent bool) dispatcher.Answer {
	if got.lost && !sent {
		return dispatcher.Answer{Reply: dispatcher.ReplyUnsent}
	}
	if got.lost {
		return dispatcher.Answer{Reply: dispatcher.ReplyLost}
	}
	if got.code == codeTooLong {
		got.payload = encodeError(codeTooLong, "the result is larger than the proxy's limit of 16 MB")
	}
	return dispatcher.Answer{
		Reply:   dispatcher.ReplyDone,
		Code:    got.code,
		Payload: got.payload,
		Status:  string(got.status),
		Seen:    got.seen,
		Final:   got.final,
	}
}

func encodeError(code, text string) []byte {
	data, err := (&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: text}).Encode(nil)
	if err != nil {
		return nil
	}
	return data
}

func encodeQuery(sql string) []byte {
	data, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		return nil
	}
	return data
}

func keyOf(e dispatcher.Exec) deduplicator.Key {
	return deduplicator.Key{Customer: e.Customer, Request: e.Key, Digest: e.Digest, Made: e.Made}
}

// runKeyed runs a batch with a request key at most once.
func (c *Conn) runKeyed(e dispatcher.Exec) dispatcher.Answer {
	run := deduplicator.New(keyOf(e))
	step := run.Start()
	var work, last collected
	for {
		batch := e.Payload
		if step.Action == deduplicator.ActionQuery {
			batch = encodeQuery(step.SQL)
		}
		got, sent := c.send(batch, step.Action == deduplicator.ActionQuery)
		if got.lost {
			return toAnswer(got, sent || step.Action != deduplicator.ActionQuery)
		}
		if step.Action == deduplicator.ActionWork {
			work = got
		}
		if got.code != "" {
			last = got
		}
		step = run.Next(deduplicator.Result{Code: got.code, Rows: got.rows, Outcome: encodeOutcome(got)})
		if step.Action != deduplicator.ActionQuery && step.Action != deduplicator.ActionWork {
			return finishKeyed(step, work, last, got)
		}
	}
}

// finishKeyed turns the last step of a keyed run into an answer.
func finishKeyed(step deduplicator.Step, work, failed, got collected) dispatcher.Answer {
	answer := dispatcher.Answer{Reply: dispatcher.ReplyDone, Status: string(got.status), Seen: got.seen, Final: got.final}
	switch step.Action {
	case deduplicator.ActionFinish:
		answer.Payload = work.payload
		answer.Code = work.code
	case deduplicator.ActionRepeat:
		answer.Payload = decodeOutcome(step.Outcome)
		answer.Repeat = true
	case deduplicator.ActionReused:
		answer.Reused = true
	default:
		answer.Payload = failed.payload
		answer.Code = failed.code
	}
	return answer
}

// encodeOutcome encodes an answer for the ledger.
func encodeOutcome(got collected) string {
	data := got.payload
	if len(data) > outcomeLimit {
		data = got.tags
	}
	return base64.StdEncoding.EncodeToString(data)
}

func decodeOutcome(outcome string) []byte {
	data, err := base64.StdEncoding.DecodeString(outcome)
	if err != nil {
		return nil
	}
	return data
}

// runBegin begins a transaction and claims its key in it. Where the key was
// used before, the transaction is rolled back and the caller told so.
func (c *Conn) runBegin(e dispatcher.Exec) dispatcher.Answer {
	begin, sent := c.send(e.Payload, false)
	if begin.lost || begin.code != "" || begin.status != 'T' {
		return toAnswer(begin, sent)
	}
	key := keyOf(e)
	claim, _ := c.send(encodeQuery(deduplicator.Claim(key)), false)
	if claim.code == "42P01" {
		claim = c.createAndClaim(e, key)
	}
	switch {
	case claim.lost:
		return dispatcher.Answer{Reply: dispatcher.ReplyLost}
	case claim.code == "":
		c.key = key
		c.claimed = true
		return toAnswer(begin, true)
	case claim.code == "23505":
		return c.repeatedBegin(key)
	}
	ended, _ := c.send(encodeQuery("ROLLBACK"), false)
	if ended.lost {
		return toAnswer(ended, true)
	}
	claim.status = ended.status
	return toAnswer(claim, true)
}

// createAndClaim makes the ledger table and begins again.
func (c *Conn) createAndClaim(e dispatcher.Exec, key deduplicator.Key) collected {
	made, _ := c.send(encodeQuery("ROLLBACK; "+deduplicator.Create()), false)
	if made.lost || made.code != "" {
		return made
	}
	if begin, _ := c.send(e.Payload, false); begin.lost || begin.code != "" {
		return begin
	}
	claim, _ := c.send(encodeQuery(deduplicator.Claim(key)), false)
	return claim
}

// repeatedBegin answers the beginning of a transaction whose key was used.
func (c *Conn) repeatedBegin(key deduplicator.Key) dispatcher.Answer {
	got, _ := c.send(encodeQuery("ROLLBACK"), false)
	if !got.lost {
		got, _ = c.send(encodeQuery(deduplicator.Lookup(key)), true)
	}
	if got.lost {
		return toAnswer(got, true)
	}
	answer := toAnswer(got, true)
	if len(got.rows) == 1 && deduplicator.Compare(key, got.rows[0]).Action == deduplicator.ActionReused {
		answer.Reused = true
		return answer
	}
	answer.Repeat = true
	answer.Code = codeRepeated
	answer.Payload = encodeError(codeRepeated, "a transaction with this request key has committed before")
	return answer
}

// runCommit records the outcome of a keyed transaction and commits it.
func (c *Conn) runCommit(e dispatcher.Exec) dispatcher.Answer {
	c.claimed = false
	recorded, sent := c.send(encodeQuery(deduplicator.Record(c.key, "committed")), false)
	if recorded.lost {
		// The commit was not sent.
		return toAnswer(recorded, sent)
	}
	got, _ := c.send(e.Payload, false)
	return toAnswer(got, true)
}
