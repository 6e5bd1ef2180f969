package listener

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/heatherhall/heatherhall/decider"
	"github.com/heatherhall/heatherhall/guarder"
	"github.com/heatherhall/heatherhall/planner"
	"github.com/heatherhall/heatherhall/sessioner"
)

// SQLSTATEs of the errors that end a connection, and of an invalid session token.
const (
	codePassword    = "28P01"
	codeNotReady    = "57P03"
	codeConnections = "53300"
	codeProtocol    = "08P01"
	codeToken       = "HH010"
	codeDenied      = "42501"
)

// sessionParameter is the name of the parameter that holds the session token.
const sessionParameter = "heatherhall.session"

// mechanism is the only supported SASL mechanism.
const mechanism = "SCRAM-SHA-256"

// handleStartup answers the messages that precede the session, up to the startup
// message, and authenticates the client. It reports whether the session has
// started; if not, the connection is to be closed.
func (c *client) handleStartup() bool {
	for {
		msg, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			c.reportReadError(err, guarder.ReasonStartup)
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
			if err := c.acceptStartup(m.Parameters); err != nil {
				c.fatal(err)
				return false
			}
			return true
		}
	}
}

// answerTLS answers an SSLRequest and switches to TLS if it is configured. It
// reports whether the connection stays open.
func (c *client) answerTLS() bool {
	if c.listener.deps.TLS == nil {
		_, err := c.conn.Write([]byte("N"))
		return err == nil
	}
	if _, err := c.conn.Write([]byte("S")); err != nil {
		return false
	}
	c.setConn(tls.Server(c.conn, c.listener.deps.TLS))
	return true
}

// connIDBits is the number of low bits of a cancel key's process ID that hold the
// connection's number. The upper 12 bits hold the host's number.
const connIDBits = 20

// cancel handles a CancelRequest.
func (c *client) cancel(m *pgproto3.CancelRequest) {
	if len(m.SecretKey) != 4 {
		return
	}
	c.listener.deps.Cancel(decider.CancelKeyMessage{
		Host:     uint16(m.ProcessID >> connIDBits),
		ClientID: uint64(m.ProcessID & (1<<connIDBits - 1)),
		Secret:   binary.BigEndian.Uint32(m.SecretKey),
	})
}

// fatal logs and sends an error after which the connection ends.
func (c *client) fatal(e *Error) {
	c.listener.deps.Log("listener: refused a caller: %s", e.Text)
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: e.Code, Message: e.Text})
	_ = c.backend.Flush()
}

// acceptStartup authenticates the client, checks its database and its plan,
// counts its connection and starts its session.
func (c *client) acceptStartup(parameters map[string]string) *Error {
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
		return authFailed()
	}
	if !deps.Databases[c.database] {
		return &Error{Op: "start", Kind: KindDenied, Code: decider.CodeUndefinedDatabase, Text: "database " + c.database + " does not exist"}
	}
	if !plan.Allows(c.database) {
		return &Error{Op: "start", Kind: KindDenied, Code: codeDenied, Text: "the plan " + plan.Name + " may not use database " + c.database}
	}
	if !c.listener.admit(c.customer, plan.MaxConnections) {
		return &Error{Op: "start", Kind: KindDenied, Code: codeConnections, Text: "the plan's number of connections is used up"}
	}
	c.admitted = true
	if err := c.openSession(parameters); err != nil {
		return err
	}
	if !c.guard.Started() {
		return limitError(c.guard.Stopped())
	}
	return c.sendStartupResponse()
}

func authFailed() *Error {
	return &Error{Op: "start", Kind: KindDenied, Code: codePassword, Text: "customer or password is wrong"}
}

// dummyVerifier is the SCRAM verifier for customers that are not on the lists.
// It matches no known password; with it, the exchange does not show whether a
// customer exists.
var dummyVerifier = "SCRAM-SHA-256$4096:" + "c3RyYW5nZXJzc3RyYW5nZXI=" + "$" +
	"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

// authenticate runs a SCRAM exchange against a customer's verifier, or against
// dummyVerifier if the text is empty.
func (c *client) authenticate(verifierText string) *Error {
	if verifierText == "" {
		verifierText = dummyVerifier
	}
	verifier, err := planner.ParseVerifier(verifierText)
	if err != nil {
		return authFailed()
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return scram.StoredCredentials{
			KeyFactors: scram.KeyFactors{Salt: string(verifier.Salt), Iters: verifier.Iterations},
			StoredKey:  verifier.StoredKey,
			ServerKey:  verifier.ServerKey,
		}, nil
	})
	if err != nil {
		return authFailed()
	}
	c.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})
	return c.exchangeSCRAM(server.NewConversation())
}

// exchangeSCRAM runs the messages of a SCRAM exchange. It returns an error of
// KindDenied if the client does not prove that it knows the password.
func (c *client) exchangeSCRAM(conversation *scram.ServerConversation) *Error {
	if err := c.flushAuth(pgproto3.AuthTypeSASL); err != nil {
		return err
	}
	msg, err := c.backend.Receive()
	if err != nil {
		return protocolError(err)
	}
	first, ok := msg.(*pgproto3.SASLInitialResponse)
	if !ok || first.AuthMechanism != mechanism {
		return &Error{Op: "authenticate", Kind: KindProtocol, Code: codeProtocol, Text: "want " + mechanism}
	}
	response, err := conversation.Step(string(first.Data))
	if err != nil {
		return authFailed()
	}
	c.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(response)})
	if err := c.flushAuth(pgproto3.AuthTypeSASLContinue); err != nil {
		return err
	}
	if msg, err = c.backend.Receive(); err != nil {
		return protocolError(err)
	}
	final, ok := msg.(*pgproto3.SASLResponse)
	if !ok {
		return &Error{Op: "authenticate", Kind: KindProtocol, Code: codeProtocol, Text: "want the end of the exchange"}
	}
	response, err = conversation.Step(string(final.Data))
	if err != nil || !conversation.Valid() {
		return authFailed()
	}
	c.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(response)})
	c.backend.Send(&pgproto3.AuthenticationOk{})
	return nil
}

// flushAuth sends the buffered authentication message. The kind selects how
// pgproto3.Backend decodes the client's response.
func (c *client) flushAuth(kind uint32) *Error {
	if err := c.backend.Flush(); err != nil {
		return protocolError(err)
	}
	if err := c.backend.SetAuthType(kind); err != nil {
		return protocolError(err)
	}
	return nil
}

func protocolError(err error) *Error {
	return &Error{Op: "authenticate", Kind: KindProtocol, Code: codeProtocol, Text: err.Error()}
}

// openSession starts the session. The client may pass a session token as a
// startup parameter or in the options parameter, which takes precedence.
func (c *client) openSession(parameters map[string]string) *Error {
	token := parameters[sessionParameter]
	for _, option := range strings.Fields(parameters["options"]) {
		option = strings.TrimPrefix(strings.TrimPrefix(option, "-c"), "--")
		if value, found := strings.CutPrefix(option, sessionParameter+"="); found {
			token = value
		}
	}
	return c.setSession(token)
}

// setSession sets the session from a token. An empty token starts a new session.
// Session names have no dots, but tokens do: a text without a dot is the name of
// a session, which starts without known floors. An invalid token is refused.
func (c *client) setSession(token string) *Error {
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

// sendStartupResponse sends the parameters, the cancel key and ReadyForQuery
// after authentication.
func (c *client) sendStartupResponse() *Error {
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
		ProcessID: uint32(c.listener.deps.HostNumber)<<connIDBits | uint32(c.id&(1<<connIDBits-1)),
		SecretKey: secret[:],
	})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: statusIdle})
	if err := c.backend.Flush(); err != nil {
		return protocolError(err)
	}
	return nil
}
