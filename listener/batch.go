package listener

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/heatherhall/heatherhall/classifier"
	"github.com/heatherhall/heatherhall/scheduler"
)

// statement is a prepared statement. The proxy keeps it and parses it anew on
// each server connection that runs it, so that connections can be pooled.
type statement struct {
	sql   string
	types []uint32
	class classifier.Classification
	hints classifier.Hints
}

// batch is what a caller sends up to a Query or Sync message.
type batch struct {
	client  *client
	payload []byte
	class   classifier.Classification
	hints   classifier.Hints
	failure *Error
	// simple says that the batch is one Query message.
	simple bool
	// silent says that no ReadyForQuery is due.
	silent bool
	// current is the statement that the server's unnamed one holds.
	current string
	parsed  bool
	// hidden tells of each ParseComplete whether the caller did not ask for it.
	hidden []bool
	runs   int
}

func newBatch(c *client) *batch {
	return &batch{client: c, hints: c.defaults}
}

// add takes one message. It reports whether the batch is complete.
func (b *batch) add(msg pgproto3.FrontendMessage) (bool, error) {
	switch m := msg.(type) {
	case *pgproto3.Query:
		b.simple = true
		b.query(m)
		return true, nil
	case *pgproto3.Sync:
		b.encode(m)
		return true, nil
	case *pgproto3.Terminate:
		return true, &Error{Op: "receive", Kind: KindProtocol, Text: "the caller has ended the connection"}
	}
	if b.failure != nil {
		return false, nil
	}
	switch m := msg.(type) {
	case *pgproto3.Parse:
		b.parse(m)
	case *pgproto3.Bind:
		b.bind(m)
	case *pgproto3.Describe:
		b.describe(m)
	case *pgproto3.Execute:
		b.runs++
		b.encode(m)
	case *pgproto3.Close:
		b.close(m)
	case *pgproto3.Flush:
		b.fail("0A000", "Flush is not supported, end the batch with Sync")
	case *pgproto3.FunctionCall:
		b.fail("0A000", "function calls are not supported")
	default:
		b.fail("0A000", "the message is not supported")
	}
	return false, nil
}

func (b *batch) fail(code, text string) {
	if b.failure == nil {
		b.failure = &Error{Op: "batch", Kind: KindProtocol, Code: code, Text: text}
	}
}

func (b *batch) encode(msg pgproto3.FrontendMessage) {
	payload, err := msg.Encode(b.payload)
	if err != nil {
		b.fail(codeProtocol, err.Error())
		return
	}
	b.payload = payload
}

// classify reads a text's hints and what it does.
func (b *batch) classify(sql string) (statement, bool) {
	text, class, hints, err := b.client.listener.deps.Classifier.Classify(sql)
	if err != nil {
		b.fail("22023", err.Error())
		return statement{}, false
	}
	if class.UnsupportedFeature != "" {
		b.fail("0A000", class.UnsupportedFeature+" can't be kept by pooled connections and is refused")
		return statement{}, false
	}
	return statement{sql: text, class: class, hints: hints}, true
}

func (b *batch) query(m *pgproto3.Query) {
	s, ok := b.classify(m.String)
	if !ok {
		return
	}
	b.merge(s)
	b.runs = 1
	b.encode(&pgproto3.Query{String: s.sql})
}

// merge takes a statement's class and hints into the batch's.
func (b *batch) merge(s statement) {
	b.class.Write = b.class.Write || s.class.Write
	b.class.Begin = b.class.Begin || s.class.Begin
	b.class.RollbackOnly = s.class.RollbackOnly
	b.class.End = b.class.End || s.class.End
	b.class.StatementCount += s.class.StatementCount
	b.class.Set = s.class.Set
	b.class.Show = s.class.Show
	b.hints = s.hints.WithDefaults(b.hints)
	if b.hints.RequestKey != "" && b.class.Begin && b.class.StatementCount > 1 {
		b.fail("HH004", "a request key goes on a single statement or on BEGIN alone")
	}
}

func (b *batch) parse(m *pgproto3.Parse) {
	s, ok := b.classify(m.Query)
	if !ok {
		return
	}
	if s.class.Set != nil && !s.class.Set.Local {
		b.fail("0A000", "SET is taken as a simple query only")
		return
	}
	s.types = append([]uint32(nil), m.ParameterOIDs...)
	b.client.prepared[m.Name] = s
	b.sendParse(m.Name, s, false)
}

func (b *batch) sendParse(name string, s statement, hidden bool) {
	b.encode(&pgproto3.Parse{Query: s.sql, ParameterOIDs: s.types})
	b.hidden = append(b.hidden, hidden)
	b.current = name
	b.parsed = true
}

// ensure makes the server's unnamed statement the one of the given name.
func (b *batch) ensure(name string) (statement, bool) {
	s, found := b.client.prepared[name]
	if !found {
		b.fail("26000", "prepared statement "+strconv.Quote(name)+" does not exist")
		return s, false
	}
	if !b.parsed || b.current != name {
		b.sendParse(name, s, true)
	}
	return s, true
}

func (b *batch) bind(m *pgproto3.Bind) {
	s, ok := b.ensure(m.PreparedStatement)
	if !ok {
		return
	}
	b.merge(s)
	bound := *m
	bound.PreparedStatement = ""
	b.encode(&bound)
}

func (b *batch) describe(m *pgproto3.Describe) {
	if m.ObjectType != 'S' {
		b.encode(m)
		return
	}
	if _, ok := b.ensure(m.Name); !ok {
		return
	}
	b.encode(&pgproto3.Describe{ObjectType: 'S'})
}

func (b *batch) close(m *pgproto3.Close) {
	closed := *m
	if m.ObjectType == 'S' {
		delete(b.client.prepared, m.Name)
		closed.Name = ""
		b.parsed = false
	}
	b.encode(&closed)
}

// rank returns the rank asked for. Work that says nothing is standard.
func (b *batch) rank() scheduler.Rank {
	if b.hints.HasRank {
		return b.hints.Rank
	}
	return scheduler.RankStandard
}

// digest binds a request key to the customer and the batch.
func (b *batch) digest(customer string) string {
	if b.hints.RequestKey == "" {
		return ""
	}
	d := xxhash.New()
	_, _ = d.WriteString(customer)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(b.payload)
	return strconv.FormatUint(d.Sum64(), 16)
}

// visible drops the ParseComplete messages that the caller did not ask for.
func (b *batch) visible(payload []byte) []byte {
	if !b.hides() {
		return payload
	}
	out := make([]byte, 0, len(payload))
	seen := 0
	for rest := payload; len(rest) >= headerLength; {
		size := 1 + int(binary.BigEndian.Uint32(rest[1:headerLength]))
		if size > len(rest) {
			break
		}
		if rest[0] != parseCompleteType {
			out = append(out, rest[:size]...)
		} else {
			if seen >= len(b.hidden) || !b.hidden[seen] {
				out = append(out, rest[:size]...)
			}
			seen++
		}
		rest = rest[size:]
	}
	return out
}

const (
	// headerLength is the length of a message's type and size.
	headerLength      = 5
	parseCompleteType = '1'
)

func (b *batch) hides() bool {
	for _, hidden := range b.hidden {
		if hidden {
			return true
		}
	}
	return false
}
