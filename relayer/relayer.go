// Package relayer transports messages between daemons as JSON-RPC notifications
// over TCP, and gossip packets as datagrams with an HMAC over UDP. Daemons prove
// to each other that they know the shared secret before they send messages.
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
	// protocolVersion is the version of the protocol between daemons. It is part
	// of the challenge; a daemon does not connect to one of another version.
	protocolVersion = 1
	// dialTimeout is the timeout of a connection attempt to a peer, and also the
	// timeout of the authentication that follows.
	dialTimeout = 500 * time.Millisecond
	// maxQueuedMessages is the capacity of the queue of messages to one peer. A
	// peer whose queue is full counts as lost.
	maxQueuedMessages = 4096
	// writeTimeout is the timeout of sending one message, after which the peer
	// counts as lost.
	writeTimeout = 2 * time.Second
)

// Handlers are the functions to which a Relayer reports. Messages that a peer
// sent over one connection are reported in the order in which they were sent.
type Handlers struct {
	// MessageReceived reports a message from a peer.
	MessageReceived func(from string, m decider.Message)
	// PacketReceived reports a gossip packet.
	PacketReceived func(m watcher.Message)
	// PeerLost reports that the connection to a peer has ended or could not be
	// opened, or that its queue is full. Messages to it may be lost.
	PeerLost func(peer string)
}

// Relayer sends and receives a daemon's messages to and from its peers.
type Relayer struct {
	self     string
	secret   []byte
	handlers Handlers
	listener net.Listener
	packets  net.PacketConn
	// localIP is the address that outgoing connections are made from.
	localIP net.IP

	// sentBytes counts the bytes sent to peers.
	sentBytes atomic.Int64

	mu    sync.Mutex
	peers map[string]*peer
	// goroutines counts the goroutines that Run waits for. None is added once stopped is
	// set.
	goroutines sync.WaitGroup
	stopped    bool
}

// start runs f in a goroutine that Run waits for. It reports false, without running f, once
// the relayer has stopped. The lock must be held.
func (r *Relayer) start(f func()) bool {
	if r.stopped {
		return false
	}
	r.goroutines.Add(1)
	go func() {
		defer r.goroutines.Done()
		f()
	}()
	return true
}

// SentBytes returns the number of bytes sent to peers so far.
func (r *Relayer) SentBytes() int64 {
	return r.sentBytes.Load()
}

// New returns a relayer that listens on an address over TCP and UDP and connects
// to peers from its IP address. The error is of KindListen.
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
		r.localIP = tcp.IP
	}
	return r, nil
}

// Run receives messages and gossip packets in the background until the context
// ends. The channel that it returns is closed when all of the relayer's
// goroutines have ended.
func (r *Relayer) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = r.listener.Close()
		_ = r.packets.Close()
	})
	r.mu.Lock()
	r.start(func() { r.accept(ctx) })
	r.start(r.receivePackets)
	r.mu.Unlock()
	go func() {
		defer close(done)
		defer stop()
		<-ctx.Done()
		r.mu.Lock()
		r.stopped = true
		r.mu.Unlock()
		r.goroutines.Wait()
	}()
	return done
}

func (r *Relayer) accept(ctx context.Context) {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		started := r.start(func() { r.serve(ctx, conn) })
		r.mu.Unlock()
		if !started {
			_ = conn.Close()
		}
	}
}

// serve handles a peer's requests until its connection or the context ends.
func (r *Relayer) serve(ctx context.Context, conn net.Conn) {
	in := &incoming{relayer: r, nonce: newNonce()}
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(conn, codec{sentBytes: &r.sentBytes}), in)
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
		_ = rpc.Close()
	}
}

// incoming is a connection that a peer has opened.
type incoming struct {
	relayer *Relayer
	nonce   string
	// peerName is empty until the peer has proved that it knows the secret.
	peerName string
}

// Handle implements jsonrpc2.Handler. Requests are handled one after the other,
// so that messages keep their order.
func (in *incoming) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	switch {
	case request.Method == methodChallenge:
		_ = conn.Reply(ctx, request.ID, challenge{Version: protocolVersion, Nonce: in.nonce})
	case request.Method == methodHello:
		in.handleHello(ctx, conn, request)
	case request.Method == methodMessage && in.peerName != "":
		in.receiveMessage(conn, request)
	default:
		_ = conn.Close()
	}
}

// handleHello checks the peer's proof of the secret and answers with this
// daemon's own. It closes the connection if the proof is wrong.
func (in *incoming) handleHello(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	var h hello
	if request.Params == nil || json.Unmarshal(*request.Params, &h) != nil || !in.relayer.checkProof(h.Name, in.nonce, h.Proof) {
		_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "the secret does not match"})
		_ = conn.Close()
		return
	}
	in.peerName = h.Name
	_ = conn.Reply(ctx, request.ID, welcome{Name: in.relayer.self, Proof: in.relayer.proof(in.relayer.self, h.Nonce)})
}

func (in *incoming) receiveMessage(conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	var m decider.Message
	if request.Params == nil || json.Unmarshal(*request.Params, &m) != nil {
		_ = conn.Close()
		return
	}
	in.relayer.handlers.MessageReceived(in.peerName, m)
}

// Send queues a message to a peer and connects to the peer if there is no
// connection. A failure is reported through Handlers.PeerLost, never from within
// this call. Once Run has ended it does nothing.
func (r *Relayer) Send(ctx context.Context, to watcher.Member, m decider.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[to.Name]
	if p == nil || p.address != to.Address {
		p = &peer{relayer: r, name: to.Name, address: to.Address, queue: make(chan decider.Message, maxQueuedMessages)}
		r.peers[to.Name] = p
		r.start(func() { p.run(ctx) })
	}
	select {
	case p.queue <- m:
	default:
		r.start(func() { r.peerLost(p) })
	}
}

// peerLost removes a peer's connection, so that the next message opens a new one,
// and reports the peer as lost.
func (r *Relayer) peerLost(p *peer) {
	r.mu.Lock()
	if r.peers[p.name] == p {
		delete(r.peers, p.name)
	}
	r.mu.Unlock()
	r.handlers.PeerLost(p.name)
}
