package listener

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/heatherhall/heatherhall/decider"
	"github.com/heatherhall/heatherhall/planner"
	"github.com/heatherhall/heatherhall/sessioner"
)

// SQLSTATEs of refused connections.
const (
	codePassword    = "28P01"
	codeNotReady    = "57P03"
	codeConnections = "53300"
	codeProtocol    = "08P01"
	codeToken       = "HH010"
	codeDenied      = "42501"
)

// sessionParameter is the parameter that carries the session token.
const sessionParameter = "heatherhall.session"

// mechanism is the only way to authenticate.
const mechanism = "SCRAM-SHA-256"

// start answers the startup messages and authenticates the caller. It reports
// whether the connection goes on.
func (c *client) start() bool {
	for {
		msg, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest:
			if !c.answerTLS() {
				return false
			}
		case *pgproto3.GSSEncRequest:
			if _, err := c.conn.Write([]byte("N")); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			c.cancel(m)
			return false
		case *pgproto3.StartupMessage:
			if err := c.welcome(m.Parameters); err != nil {
				c.fatal(err)
				return false
			}
			return true
		}
	}
}

func (c *client) answerTLS() bool {
	if c.listener.deps.TLS == nil {
		_, err := c.conn.Write([]byte("N"))
		return err == nil
	}
	if _, err := c.conn.Write([]byte("S")); err != nil {
		return false
	}
	c.conn = tls.Server(c.conn, c.listener.deps.TLS)
	c.backend = pgproto3.NewBackend(c.conn, c.conn)
	return true
}

// The process number of a cancel key holds the host's number in its upper 12
// bits and the connection's number in the rest.
const callerBits = 20

func (c *client) cancel(m *pgproto3.CancelRequest) {
	if len(m.SecretKey) != 4 {
		return
	}
	c.listener.deps.Cancel(decider.CancelKeyMessage{
		Host:     uint16(m.ProcessID >> callerBits),
		ClientID: uint64(m.ProcessID & (1<<callerBits - 1)),
		Secret:   binary.BigEndian.Uint32(m.SecretKey),
	})
}

// fatal sends an error that ends the connection.
func (c *client) fatal(e *Error) {
	c.listener.deps.Log("listener: refused a caller: %s", e.Text)
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: e.Code, Message: e.Text})
	_ = c.backend.Flush()
}

func (c *client) welcome(parameters map[string]string) *Error {
	deps := c.listener.deps
	if !deps.Ready() || c.listener.draining.Load() {
		return &Error{Op: "start", Kind: KindDenied, Code: codeNotReady, Text: "this daemon is not ready, connect to another"}
	}
	c.customer = parameters["user"]
	c.database = parameters["database"]
	if c.database == "" {
		c.database = c.customer
	}
	customer, plan, known := deps.Lists().Customer(c.customer)
	if err := c.authenticate(customer.Verifier); err != nil {
		return err
	}
	if !known {
		return denied()
	}
	if !deps.Databases[c.database] {
		return &Error{Op: "start", Kind: KindDenied, Code: decider.CodeUndefinedDatabase, Text: "database " + c.database + " does not exist"}
	}
	if !plan.Allows(c.database) {
		return &Error{Op: "start", Kind: KindDenied, Code: codeDenied, Text: "the plan " + plan.Name + " may not use database " + c.database}
	}
	if !c.listener.count(c.customer, plan.MaxConnections) {
		return &Error{Op: "start", Kind: KindDenied, Code: codeConnections, Text: "the plan's number of connections is used up"}
	}
	c.counted = true
	if err := c.openSession(parameters); err != nil {
		return err
	}
	return c.greet()
}

func denied() *Error {
	return &Error{Op: "start", Kind: KindDenied, Code: codePassword, Text: "customer or password is wrong"}
}

// stranger is the verifier for customers that are not on the lists: its
// password is not known to anyone, and the exchange looks like any other.
var stranger = "SCRAM-SHA-256$4096:" + "c3RyYW5nZXJzc3RyYW5nZXI=" + "$" +
	"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

// authenticate carries out a SCRAM exchange against a verifier.
func (c *client) authenticate(text string) *Error {
	if text == "" {
		text = stranger
	}
	verifier, err := planner.ParseVerifier(text)
	if err != nil {
		return denied()
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return scram.StoredCredentials{
			KeyFactors: scram.KeyFactors{Salt: string(verifier.Salt), Iters: verifier.Iterations},
			StoredKey:  verifier.StoredKey,
			ServerKey:  verifier.ServerKey,
		}, nil
	})
	if err != nil {
		return denied()
	}
	c.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})
	return c.converse(server.NewConversation())
}

func (c *client) converse(conversation *scram.ServerConversation) *Error {
	if err := c.flushAuth(pgproto3.AuthTypeSASL); err != nil {
		return err
	}
	msg, err := c.backend.Receive()
	if err != nil {
		return broken(err)
	}
	first, ok := msg.(*pgproto3.SASLInitialResponse)
	if !ok || first.AuthMechanism != mechanism {
		return &Error{Op: "authenticate", Kind: KindProtocol, Code: codeProtocol, Text: "want " + mechanism}
	}
	answer, err := conversation.Step(string(first.Data))
	if err != nil {
		return denied()
	}
	c.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)})
	if err := c.flushAuth(pgproto3.AuthTypeSASLContinue); err != nil {
		return err
	}
	if msg, err = c.backend.Receive(); err != nil {
		return broken(err)
	}
	final, ok := msg.(*pgproto3.SASLResponse)
	if !ok {
		return &Error{Op: "authenticate", Kind: KindProtocol, Code: codeProtocol, Text: "want the end of the exchange"}
	}
	answer, err = conversation.Step(string(final.Data))
	if err != nil || !conversation.Valid() {
		return denied()
	}
	c.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
	c.backend.Send(&pgproto3.AuthenticationOk{})
	return nil
}

func (c *client) flushAuth(kind uint32) *Error {
	if err := c.backend.Flush(); err != nil {
		return broken(err)
	}
	if err := c.backend.SetAuthType(kind); err != nil {
		return broken(err)
	}
	return nil
}

func broken(err error) *Error {
	return &Error{Op: "authenticate", Kind: KindProtocol, Code: codeProtocol, Text: err.Error()}
}

// openSession takes the session from the token that the caller gave, if any, as
// a startup parameter or among its options.
func (c *client) openSession(parameters map[string]string) *Error {
	token := parameters[sessionParameter]
	for _, option := range strings.Fields(parameters["options"]) {
		option = strings.TrimPrefix(strings.TrimPrefix(option, "-c"), "--")
		if value, found := strings.CutPrefix(option, sessionParameter+"="); found {
			token = value
		}
	}
	return c.takeToken(token)
}

// takeToken opens the session that a token, or only a name, stands for. Names
// have no dots.
func (c *client) takeToken(token string) *Error {
	switch {
	case token == "":
		c.session = sessioner.New()
		return nil
	case !strings.Contains(token, "."):
		c.session = sessioner.NewNamed()
		return nil
	}
	session, err := c.listener.deps.Signer.ParseToken(c.listener.deps.Clock.Now(), c.customer, token)
	if err != nil {
		return &Error{Op: "token", Kind: KindDenied, Code: codeToken, Text: err.Error()}
	}
	c.session = session
	return nil
}

// greet sends what a caller gets before its first statement.
func (c *client) greet() *Error {
	var secret [4]byte
	_, _ = rand.Read(secret[:])
	c.secret = binary.BigEndian.Uint32(secret[:])
	for _, p := range [][2]string{
		{"server_version", "15.0"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
	} {
		c.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	c.backend.Send(&pgproto3.BackendKeyData{
		ProcessID: uint32(c.listener.deps.HostNumber)<<callerBits | uint32(c.id&(1<<callerBits-1)),
		SecretKey: secret[:],
	})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: statusIdle})
	if err := c.backend.Flush(); err != nil {
		return broken(err)
	}
	return nil
}
