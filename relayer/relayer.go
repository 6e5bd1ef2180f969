// Package relayer carries messages between daemons: mail as JSON-RPC over TCP,
// and probes as signed datagrams over UDP. Daemons prove to each other that they
// know the common secret before any mail passes.
package relayer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/heatherhall/heatherhall/decider"
	"github.com/heatherhall/heatherhall/watcher"
)

const (
	// protocolVersion is the version of the messages; daemons of other versions
	// are told so.
	protocolVersion = 1
	dialTimeout     = 500 * time.Millisecond
	// queueLimit is how many messages wait for one peer before it counts as
	// lost.
	queueLimit = 4096
	// stallLimit is how long a peer may take no bytes before it counts as lost.
	stallLimit = 2 * time.Second
)

// Handlers are called with what comes in. Calls for one peer come in order.
type Handlers struct {
	MessageReceived func(from string, m decider.Message)
	PacketReceived  func(m watcher.Message)
	PeerLost        func(peer string)
}

// Relayer is a daemon's end of the connections to its peers.
type Relayer struct {
	self     string
	secret   []byte
	handlers Handlers
	listener net.Listener
	packets  net.PacketConn
	local    net.IP

	// sent counts the bytes sent to peers.
	sent atomic.Int64

	mu    sync.Mutex
	peers map[string]*peer
	wait  sync.WaitGroup
}

// SentBytes returns how many bytes went to peers so far.
func (r *Relayer) SentBytes() int64 {
	return r.sent.Load()
}

// New listens on an address over TCP and UDP.
func New(self, address string, secret []byte, handlers Handlers) (*Relayer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	packets, err := net.ListenPacket("udp", listener.Addr().String())
	if err != nil {
		_ = listener.Close()
		return nil, &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	r := &Relayer{
		self:     self,
		secret:   secret,
		handlers: handlers,
		listener: listener,
		packets:  packets,
		peers:    map[string]*peer{},
	}
	if tcp, ok := listener.Addr().(*net.TCPAddr); ok {
		r.local = tcp.IP
	}
	return r, nil
}

// Run serves until the context ends. The channel it returns is closed when all
// of its goroutines have ended.
func (r *Relayer) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = r.listener.Close()
		_ = r.packets.Close()
	})
	r.wait.Add(2)
	go func() {
		defer r.wait.Done()
		r.accept(ctx)
	}()
	go func() {
		defer r.wait.Done()
		r.receive()
	}()
	go func() {
		defer close(done)
		defer stop()
		<-ctx.Done()
		r.wait.Wait()
	}()
	return done
}

func (r *Relayer) accept(ctx context.Context) {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wait.Add(1)
		go func() {
			defer r.wait.Done()
			r.serve(ctx, conn)
		}()
	}
}

// serve takes a peer's calls until its connection ends.
func (r *Relayer) serve(ctx context.Context, conn net.Conn) {
	in := &incoming{relayer: r, nonce: newNonce()}
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(conn, codec{sent: &r.sent}), in)
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
		_ = rpc.Close()
	}
}

// incoming is the server's side of one connection.
type incoming struct {
	relayer *Relayer
	nonce   string
	peer    string
}

// Handle implements jsonrpc2.Handler. Calls are handled one after the other, so
// that messages keep their order.
func (in *incoming) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	switch {
	case request.Method == methodChallenge:
		_ = conn.Reply(ctx, request.ID, challenge{Version: protocolVersion, Nonce: in.nonce})
	case request.Method == methodHello:
		in.hello(ctx, conn, request)
	case request.Method == methodMail && in.peer != "":
		in.mail(conn, request)
	default:
		_ = conn.Close()
	}
}

func (in *incoming) hello(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	var h hello
	if request.Params == nil || json.Unmarshal(*request.Params, &h) != nil || !in.relayer.proves(h.Name, in.nonce, h.Proof) {
		_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "the secret does not match"})
		_ = conn.Close()
		return
	}
	in.peer = h.Name
	_ = conn.Reply(ctx, request.ID, welcome{Name: in.relayer.self, Proof: in.relayer.proof(in.relayer.self, h.Nonce)})
}

func (in *incoming) mail(conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	var m decider.Message
	if request.Params == nil || json.Unmarshal(*request.Params, &m) != nil {
		_ = conn.Close()
		return
	}
	in.relayer.handlers.MessageReceived(in.peer, m)
}

// Send sends a message to a peer. A message that can't be delivered is reported
// through Lost, never from within this call.
func (r *Relayer) Send(ctx context.Context, to watcher.Member, m decider.Message) {
	r.mu.Lock()
	p := r.peers[to.Name]
	if p == nil || p.address != to.Address {
		p = &peer{relayer: r, name: to.Name, address: to.Address, queue: make(chan decider.Message, queueLimit)}
		r.peers[to.Name] = p
		r.wait.Add(1)
		go func() {
			defer r.wait.Done()
			p.run(ctx)
		}()
	}
	r.mu.Unlock()
	select {
	case p.queue <- m:
	default:
		r.wait.Add(1)
		go func() {
			defer r.wait.Done()
			r.lost(p)
		}()
	}
}

func (r *Relayer) lost(p *peer) {
	r.mu.Lock()
	if r.peers[p.name] == p {
		delete(r.peers, p.name)
	}
	r.mu.Unlock()
	r.handlers.PeerLost(p.name)
}
