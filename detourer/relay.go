package detourer

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/multiplexer"
)

// Methods of a relay: a connection to a backend server that another daemon opens on
// behalf of this one. It lasts as long as the daemons' connection that opened it.
const (
	methodConnect = "connect"
	methodRun     = "run"
	// methodConnectAs is methodConnect with a client account. It has a name of its own,
	// so that an older daemon, which would ignore the account, rejects the call.
	methodConnectAs = "connectas"
)

// relayIdleTimeout is how long a relay may be idle before its connections are closed.
// It exceeds the time for which daemons leave connections idle.
const relayIdleTimeout = 5 * time.Minute

// ServerConn is an open connection to a backend server, directly or via a peer.
type ServerConn struct {
	// Run runs statements in order and returns an answer for each. After an error the
	// connection is unusable.
	Run func(statements []multiplexer.Statement) ([]multiplexer.Answer, error)
	// Close closes the connection. It may be called at any time.
	Close func()
}

// connectRequest asks another daemon for a relay with a client account.
type connectRequest struct {
	Server  cataloger.Server `json:"server"`
	Account string           `json:"account"`
}

// ConnectFunc opens a connection to a backend server for a client account; without
// one it is the daemon's own. If the server refuses it, the answer's code is not CodeOK
// and gives the reason.
type ConnectFunc func(ctx context.Context, server cataloger.Server, account string) (ServerConn, multiplexer.Answer, error)

// peerConn is a connection that another daemon has opened to this one.
type peerConn struct {
	Handler
	// expiry closes the connection when it fires.
	expiry *time.Timer
	// id is different for each connection; forwards says that it is a link.
	id       uint64
	forwards atomic.Bool

	mu sync.Mutex
	// serverConn is the relay's connection to a backend server; nil if none is open.
	serverConn *ServerConn
}

// connect opens the relay's connection to a backend server. A connection between
// daemons carries one relay at most.
func (c *peerConn) connect(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	var request connectRequest
	target := any(&request.Server)
	if r.Method == methodConnectAs {
		target = &request
	}
	if err := json.Unmarshal(*r.Params, target); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	if r.Method == methodConnectAs && request.Account == "" {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no account"}
	}
	call, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	conn, answer, err := c.Connect(call, request.Server, request.Account)
	if err != nil {
		return nil, err
	}
	if answer.Code != multiplexer.CodeOK {
		return answer, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serverConn != nil {
		conn.Close()
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "the relay is open"}
	}
	c.serverConn = &conn
	c.expiry.Reset(relayIdleTimeout)
	return answer, nil
}

// run runs statements on the relay's connection and extends its lifetime.
func (c *peerConn) run(r *jsonrpc2.Request) (any, error) {
	var statements []multiplexer.Statement
	if err := json.Unmarshal(*r.Params, &statements); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	c.mu.Lock()
	conn := c.serverConn
	c.mu.Unlock()
	if conn == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "the relay is not open"}
	}
	c.expiry.Reset(relayIdleTimeout)
	return conn.Run(statements)
}

// close ends what runs over the connection: the relay's connection and forwarded
// work.
func (c *peerConn) close() {
	if c.forwards.Load() {
		c.Forward.LinkClosed(c.id)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serverConn != nil {
		c.serverConn.Close()
	}
}

// Relay opens a connection to a backend server via a peer. It tries the peer that last
// succeeded first. If the server refuses the connection, the answer's code is not
// CodeOK and gives the reason.
func (c *PeerClient) Relay(ctx context.Context, server cataloger.Server, account string) (ServerConn, multiplexer.Answer, error) {
	c.mu.Lock()
	peers, first := append([]string(nil), c.peers...), c.nextRelay
	c.mu.Unlock()
	err := error(&Error{Op: methodConnect, Kind: KindNoPeers, Text: "no other daemon is known"})
	for i := range min(len(peers), maxAttempts) {
		var conn ServerConn
		var answer multiplexer.Answer
		if conn, answer, err = c.relayVia(ctx, peers[(first+i)%len(peers)], server, account); err == nil {
			return conn, answer, nil
		}
		c.mu.Lock()
		c.nextRelay = first + i + 1
		c.mu.Unlock()
		if ctx.Err() != nil {
			break
		}
	}
	return ServerConn{}, multiplexer.Answer{}, err
}

// relayVia opens a connection to a backend server via the given peer.
func (c *PeerClient) relayVia(ctx context.Context, peer string, server cataloger.Server, account string) (ServerConn, multiplexer.Answer, error) {
	var answer multiplexer.Answer
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	conn, err := c.dialer.DialContext(call, "tcp", peer)
	if err != nil {
		return ServerConn{}, answer, &Error{Op: methodConnect, Kind: KindConnection, Text: err.Error()}
	}
	relayCtx, cancelRelay := context.WithCancel(context.Background())
	rpc := jsonrpc2.NewConn(relayCtx, jsonrpc2.NewPlainObjectStream(conn), jsonrpc2.HandlerWithError(rejectRequest), discardLog)
	closeAll := func() {
		cancelRelay()
		_ = rpc.Close() // it may have ended already
	}
	method, params := methodConnect, any(server)
	if account != "" {
		method, params = methodConnectAs, connectRequest{Server: server, Account: account}
	}
	if err := rpc.Call(call, method, params, &answer); err != nil {
		closeAll()
		return ServerConn{}, answer, &Error{Op: methodConnect, Kind: KindConnection, Text: err.Error()}
	}
	if answer.Code != multiplexer.CodeOK {
		closeAll()
		return ServerConn{}, answer, nil
	}
	run := func(statements []multiplexer.Statement) ([]multiplexer.Answer, error) {
		var answers []multiplexer.Answer
		if err := rpc.Call(relayCtx, methodRun, statements, &answers); err != nil {
			return nil, &Error{Op: methodRun, Kind: KindConnection, Text: err.Error()}
		}
		return answers, nil
	}
	return ServerConn{Run: run, Close: closeAll}, answer, nil
}
