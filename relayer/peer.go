package relayer

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/heatherhall/heatherhall/decider"
)

// Methods of the protocol between daemons.
const (
	methodChallenge = "challenge"
	methodHello     = "hello"
	methodMail      = "mail"
)

// idleLimit is how long an unused connection to a peer is kept.
const idleLimit = 5 * time.Minute

// peer is the outgoing connection to another daemon.
type peer struct {
	relayer *Relayer
	name    string
	address string
	queue   chan decider.Message
}

// run dials the peer and sends what is queued, until the connection fails or
// was unused for long.
func (p *peer) run(ctx context.Context) {
	conn, rpc, err := p.dial(ctx)
	if err != nil {
		p.relayer.lost(p)
		return
	}
	defer func() { _ = rpc.Close() }()
	idle := time.NewTimer(idleLimit)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-rpc.DisconnectNotify():
			p.relayer.lost(p)
			return
		case <-idle.C:
			p.relayer.lost(p)
			return
		case m := <-p.queue:
			_ = conn.SetWriteDeadline(time.Now().Add(stallLimit))
			if err := rpc.Notify(ctx, methodMail, m); err != nil {
				p.relayer.lost(p)
				return
			}
			idle.Reset(idleLimit)
		}
	}
}

// dial connects and proves to each other that both know the secret.
func (p *peer) dial(ctx context.Context) (net.Conn, *jsonrpc2.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: p.relayer.local}}
	conn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, nil, &Error{Op: "dial", Kind: KindDial, Err: err}
	}
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(conn, codec{sent: &p.relayer.sent}), refuseCalls{})
	if err := p.greet(ctx, rpc); err != nil {
		_ = rpc.Close()
		return nil, nil, err
	}
	return conn, rpc, nil
}

func (p *peer) greet(ctx context.Context, rpc *jsonrpc2.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var c challenge
	if err := rpc.Call(ctx, methodChallenge, nil, &c); err != nil {
		return &Error{Op: "greet", Kind: KindDial, Err: err}
	}
	if c.Version != protocolVersion {
		return &Error{Op: "greet", Kind: KindProtocol, Err: errors.Errorf("%s speaks version %d, this daemon %d", p.name, c.Version, protocolVersion)}
	}
	nonce := newNonce()
	var w welcome
	err := rpc.Call(ctx, methodHello, hello{Name: p.relayer.self, Nonce: nonce, Proof: p.relayer.proof(p.relayer.self, c.Nonce)}, &w)
	if err != nil {
		return &Error{Op: "greet", Kind: KindDenied, Err: err}
	}
	if w.Name != p.name || !p.relayer.proves(w.Name, nonce, w.Proof) {
		return &Error{Op: "greet", Kind: KindDenied, Err: errors.Errorf("%s did not prove that it is %s", p.address, p.name)}
	}
	return nil
}

// refuseCalls answers nothing: peers send mail over connections of their own.
type refuseCalls struct{}

// Handle implements jsonrpc2.Handler.
func (refuseCalls) Handle(_ context.Context, conn *jsonrpc2.Conn, _ *jsonrpc2.Request) {
	_ = conn.Close()
}
