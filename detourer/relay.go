package detourer

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/multiplexer"
)

// Methods of a relay: one connection to a backend server that another daemon
// holds. It lasts as long as the connection that asked for it.
const (
	methodConnect = "connect"
	methodRun     = "run"
)

// relayIdle is how long a relay may rest before its connections are closed; it
// exceeds the time that daemons leave connections idle.
const relayIdle = 5 * time.Minute

// ServerConn is an open connection to a backend server. Its fields are seams.
type ServerConn struct {
	// Run sends statements in order and returns an answer to each. An error means
	// that the connection is of no use any more.
	Run func(statements []multiplexer.Statement) ([]multiplexer.Answer, error)
	// Close closes the connection; it may be called at any time.
	Close func()
}

// ConnectFunc opens a connection to a backend server. An answer that is not CodeOK
// says why the server refused it.
type ConnectFunc func(ctx context.Context, server cataloger.Server) (ServerConn, multiplexer.Answer, error)

// served is another daemon's connection to this one.
type served struct {
	Handler
	// life ends the connection when it fires.
	life *time.Timer

	mu   sync.Mutex
	link *ServerConn
}

// connect opens the connection that a relay stands for.
func (s *served) connect(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	var server cataloger.Server
	if err := json.Unmarshal(*r.Params, &server); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	call, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	link, answer, err := s.Connect(call, server)
	if err != nil {
		return nil, err
	}
	if answer.Code != multiplexer.CodeOK {
		return answer, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link != nil {
		link.Close()
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "the relay is open"}
	}
	s.link = &link
	s.life.Reset(relayIdle)
	return answer, nil
}

// run runs statements on the relay's connection.
func (s *served) run(r *jsonrpc2.Request) (any, error) {
	var statements []multiplexer.Statement
	if err := json.Unmarshal(*r.Params, &statements); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	s.mu.Lock()
	link := s.link
	s.mu.Unlock()
	if link == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "the relay is not open"}
	}
	s.life.Reset(relayIdle)
	return link.Run(statements)
}

// close closes the relay's connection, if one is open.
func (s *served) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link != nil {
		s.link.Close()
	}
}

// Relay opens a connection to a backend server through another daemon, the last
// one first through which that worked.
func (d *PeerClient) Relay(ctx context.Context, server cataloger.Server) (ServerConn, multiplexer.Answer, error) {
	d.mu.Lock()
	peers, first := append([]string(nil), d.peers...), d.relay
	d.mu.Unlock()
	err := error(&Error{Op: methodConnect, Kind: KindNoPeers, Text: "no other daemon is known"})
	for i := range min(len(peers), tryLimit) {
		var link ServerConn
		var answer multiplexer.Answer
		if link, answer, err = d.relayThrough(ctx, peers[(first+i)%len(peers)], server); err == nil {
			return link, answer, nil
		}
		d.mu.Lock()
		d.relay = first + i + 1
		d.mu.Unlock()
		if ctx.Err() != nil {
			break
		}
	}
	return ServerConn{}, multiplexer.Answer{}, err
}

func (d *PeerClient) relayThrough(ctx context.Context, peer string, server cataloger.Server) (ServerConn, multiplexer.Answer, error) {
	var answer multiplexer.Answer
	call, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	conn, err := d.dialer.DialContext(call, "tcp", peer)
	if err != nil {
		return ServerConn{}, answer, &Error{Op: methodConnect, Kind: KindConnection, Text: err.Error()}
	}
	life, end := context.WithCancel(context.Background())
	rpc := jsonrpc2.NewConn(life, jsonrpc2.NewPlainObjectStream(conn), jsonrpc2.HandlerWithError(refuse), quiet)
	closeAll := func() {
		end()
		_ = rpc.Close() // it may have ended already
	}
	if err := rpc.Call(call, methodConnect, server, &answer); err != nil {
		closeAll()
		return ServerConn{}, answer, &Error{Op: methodConnect, Kind: KindConnection, Text: err.Error()}
	}
	if answer.Code != multiplexer.CodeOK {
		closeAll()
		return ServerConn{}, answer, nil
	}
	run := func(statements []multiplexer.Statement) ([]multiplexer.Answer, error) {
		var answers []multiplexer.Answer
		if err := rpc.Call(life, methodRun, statements, &answers); err != nil {
			return nil, &Error{Op: methodRun, Kind: KindConnection, Text: err.Error()}
		}
		return answers, nil
	}
	return ServerConn{Run: run, Close: closeAll}, answer, nil
}
