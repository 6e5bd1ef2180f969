package listener

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/heatherhall/heatherhall/classifier"
	"github.com/heatherhall/heatherhall/scheduler"
)

// statement is a client's prepared statement. The proxy stores it and sends its
// Parse again with each batch that uses it, since successive batches may run on
// different pooled connections.
type statement struct {
	sql   string
	types []uint32
	class classifier.Classification
	hints classifier.Hints
}

// batch holds a client's messages up to and including a Query or Sync message.
type batch struct {
	client *client
	// payload is the encoded messages to send to the server.
	payload []byte
	class   classifier.Classification
	hints   classifier.Hints
	// failure is the first error in the batch; the messages after it are ignored.
	failure *Error
	// simple is set if the batch is one Query message.
	simple bool
	// omitReady is set if no ReadyForQuery follows an error.
	omitReady bool
	// parsedName is the client's name for the statement that the batch last
	// parsed as the server's unnamed statement. It is valid if hasParsed is set.
	parsedName string
	hasParsed  bool
	// addedParses has an element for each Parse in the payload; it is true for
	// those that the proxy added.
	addedParses  []bool
	executeCount int
}

func newBatch(c *client) *batch {
	return &batch{client: c, hints: c.defaults}
}

// add adds one message. It reports whether the batch is complete, and returns an
// error if the client ends the connection.
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
		b.executeCount++
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

// fail records an error, unless the batch already has one.
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

// classify parses a query text and separates its hints from it. It reports false
// and fails the batch for invalid hints and for unsupported features.
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
	b.executeCount = 1
	b.encode(&pgproto3.Query{String: s.sql})
}

// merge adds a statement's classification and hints to those of the batch. The
// batch's RollbackOnly, Set and Show are those of its last statement. Hints of
// later statements override those of earlier ones.
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
	c := b.client
	old, found := c.prepared[m.Name]
	size := c.stateSize - statementCost(found, m.Name, old) + statementCost(true, m.Name, s)
	if limit := c.listener.deps.State; limit > 0 && size > limit {
		b.fail("53400", "the prepared statements are larger than the limit of "+strconv.FormatInt(limit, 10)+" bytes")
		return
	}
	c.stateSize = size
	c.prepared[m.Name] = s
	b.sendParse(m.Name, s, false)
}

// statementCost returns the memory of a prepared statement in bytes, 0 if there is none.
func statementCost(found bool, name string, s statement) int64 {
	const entryCost = 256
	if !found {
		return 0
	}
	return int64(len(name)+len(s.sql)+4*len(s.types)) + entryCost
}

// sendParse adds to the payload a Parse of s as the server's unnamed statement.
// The argument added is true if the client did not send a Parse itself.
func (b *batch) sendParse(name string, s statement, added bool) {
	b.encode(&pgproto3.Parse{Query: s.sql, ParameterOIDs: s.types})
	b.addedParses = append(b.addedParses, added)
	b.parsedName = name
	b.hasParsed = true
}

// ensureParsed returns the prepared statement of a name and adds its Parse,
// unless the server's unnamed statement is this statement already. It reports
// false and fails the batch if there is no statement of that name.
func (b *batch) ensureParsed(name string) (statement, bool) {
	s, found := b.client.prepared[name]
	if !found {
		b.fail("26000", "prepared statement "+strconv.Quote(name)+" does not exist")
		return s, false
	}
	if !b.hasParsed || b.parsedName != name {
		b.sendParse(name, s, true)
	}
	return s, true
}

func (b *batch) bind(m *pgproto3.Bind) {
	s, ok := b.ensureParsed(m.PreparedStatement)
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
	if _, ok := b.ensureParsed(m.Name); !ok {
		return
	}
	b.encode(&pgproto3.Describe{ObjectType: 'S'})
}

func (b *batch) close(m *pgproto3.Close) {
	closed := *m
	if m.ObjectType == 'S' {
		old, found := b.client.prepared[m.Name]
		b.client.stateSize -= statementCost(found, m.Name, old)
		delete(b.client.prepared, m.Name)
		closed.Name = ""
		b.hasParsed = false
	}
	b.encode(&closed)
}

// rank returns the rank that the hints ask for, or RankStandard without one.
func (b *batch) rank() scheduler.Rank {
	if b.hints.HasRank {
		return b.hints.Rank
	}
	return scheduler.RankStandard
}

// digest returns a hash of the customer and the payload, by which the reuse of a
// request key for other work is detected. It is empty without a request key.
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

// stripAddedParses returns a server's messages without the ParseComplete messages
// of those Parse messages that the proxy added.
func (b *batch) stripAddedParses(payload []byte) []byte {
	if !b.hasAddedParse() {
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
			if seen >= len(b.addedParses) || !b.addedParses[seen] {
				out = append(out, rest[:size]...)
			}
			seen++
		}
		rest = rest[size:]
	}
	return out
}

const (
	// headerLength is the length in bytes of a message's type and size.
	headerLength = 5
	// parseCompleteType is the type byte of ParseComplete.
	parseCompleteType = '1'
)

func (b *batch) hasAddedParse() bool {
	for _, added := range b.addedParses {
		if added {
			return true
		}
	}
	return false
}
