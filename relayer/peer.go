package relayer

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/heatherhall/heatherhall/decider"
)

// Methods of the JSON-RPC protocol between daemons.
const (
	methodChallenge = "challenge"
	methodHello     = "hello"
	methodMessage   = "mail"
)

// idleTimeout is the time after which an unused connection to a peer is closed.
const idleTimeout = 5 * time.Minute

// peer is the outgoing connection to another daemon with its queue of messages.
type peer struct {
	relayer *Relayer
	name    string
	address string
	queue   chan decider.Message
}

// run connects to the peer and sends the queued messages until the context ends.
// If the connection fails or stays unused for idleTimeout, it reports the peer as
// lost and returns.
func (p *peer) run(ctx context.Context) {
	conn, rpc, err := p.dial(ctx)
	if err != nil {
		p.relayer.peerLost(p)
		return
	}
	defer func() { _ = rpc.Close() }()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-rpc.DisconnectNotify():
			p.relayer.peerLost(p)
			return
		case <-idle.C:
			p.relayer.peerLost(p)
			return
		case m := <-p.queue:
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := rpc.Notify(ctx, methodMessage, m); err != nil {
				p.relayer.peerLost(p)
				return
			}
			idle.Reset(idleTimeout)
		}
	}
}

// dial connects to the peer and authenticates both sides. It returns an error of
// KindDial, KindDenied or KindProtocol.
func (p *peer) dial(ctx context.Context) (net.Conn, *jsonrpc2.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: p.relayer.localIP}}
	conn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, nil, &Error{Op: "dial", Kind: KindDial, Err: err}
	}
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(conn, codec{sentBytes: &p.relayer.sentBytes}), rejectCalls{})
	if err := p.authenticate(ctx, rpc); err != nil {
		_ = rpc.Close()
		return nil, nil, err
	}
	return conn, rpc, nil
}

// authenticate proves to the peer that this daemon knows the secret, and checks
// the peer's own proof, its name and its protocol version.
func (p *peer) authenticate(ctx context.Context, rpc *jsonrpc2.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var c challenge
	if err := rpc.Call(ctx, methodChallenge, nil, &c); err != nil {
		return &Error{Op: "authenticate", Kind: KindDial, Err: err}
	}
	if c.Version != protocolVersion {
		return &Error{Op: "authenticate", Kind: KindProtocol, Err: errors.Errorf("%s uses protocol version %d, this daemon %d", p.name, c.Version, protocolVersion)}
	}
	nonce := newNonce()
	var w welcome
	err := rpc.Call(ctx, methodHello, hello{Name: p.relayer.self, Nonce: nonce, Proof: p.relayer.proof(p.relayer.self, c.Nonce)}, &w)
	if err != nil {
		return &Error{Op: "authenticate", Kind: KindDenied, Err: err}
	}
	if w.Name != p.name || !p.relayer.checkProof(w.Name, nonce, w.Proof) {
		return &Error{Op: "authenticate", Kind: KindDenied, Err: errors.Errorf("%s did not prove that it is %s", p.address, p.name)}
	}
	return nil
}

// rejectCalls closes an outgoing connection on which the peer sends a request:
// peers send their messages over connections that they open themselves.
type rejectCalls struct{}

// Handle implements jsonrpc2.Handler.
func (rejectCalls) Handle(_ context.Context, conn *jsonrpc2.Conn, _ *jsonrpc2.Request) {
	_ = conn.Close()
}
