// Package listener serves clients over the PostgreSQL protocol: it authenticates
// them, turns their messages into requests to the daemon, and sends the outcomes
// back.
package listener

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heatherhall/heatherhall/classifier"
	"github.com/heatherhall/heatherhall/decider"
	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/guarder"
	"github.com/heatherhall/heatherhall/planner"
	"github.com/heatherhall/heatherhall/sessioner"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Deps are the functions and values that the listener needs from its daemon.
type Deps struct {
	// Submit starts a unit of work. Its outcome is passed to Listener.Reply.
	Submit func(decider.Request)
	// Step runs a further batch of the client's open transaction; commit is true
	// for the batch that ends the transaction. The outcome of the batch is passed
	// to Listener.Reply.
	Step func(clientID uint64, commit bool, payload []byte)
	// Disconnect reports that the client's connection has ended.
	Disconnect func(clientID uint64)
	// Cancel handles a CancelRequest. The key names the daemon and the
	// connection of the client whose work is to be cancelled.
	Cancel func(key decider.CancelKeyMessage)
	// Lists returns the current lists.
	Lists func() planner.Lists
	// Ready reports whether the daemon accepts clients.
	Ready func() bool
	// Databases is the set of existing databases.
	Databases  map[string]bool
	Signer     *sessioner.Signer
	Classifier *classifier.Classifier
	Clock      timekeeper.Clock
	// TLS is the TLS configuration for clients, or nil without TLS.
	TLS *tls.Config
	Log func(format string, args ...any)
	// StatementTimeout is how long a client waits for an outcome.
	StatementTimeout timekeeper.Millis
	// Guard keeps clients within their limits, and Timeouts limits how long they may
	// take. State is the max size of a client's prepared statements in bytes.
	Guard    *guarder.Guard
	Timeouts guarder.Timeouts
	State    int64
	// HostNumber identifies this daemon's host in cancel keys.
	HostNumber uint16
}

// Listener accepts and serves client connections on one address.
type Listener struct {
	deps     Deps
	listener net.Listener
	lastID   atomic.Uint64
	draining atomic.Bool

	mu      sync.Mutex
	clients map[uint64]*client
	// connCounts holds the number of admitted connections by customer.
	connCounts map[string]int
	connsWait  sync.WaitGroup
}

// New returns a listener on an address. Run accepts its connections. The error
// is of KindListen.
func New(address string, deps Deps) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindListen, Text: err.Error()}
	}
	return &Listener{deps: deps, listener: l, clients: map[uint64]*client{}, connCounts: map[string]int{}}, nil
}

// Address returns the address on which the listener accepts clients.
func (l *Listener) Address() string {
	return l.listener.Addr().String()
}

// Run serves clients in the background until the context ends. The channel that
// it returns is closed when all connections have ended.
func (l *Listener) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = l.listener.Close()
		l.closeAll()
	})
	go func() {
		defer close(done)
		defer stop()
		l.accept()
		<-ctx.Done()
		l.connsWait.Wait()
	}()
	return done
}

// acceptPause is the pause after a connection could not be accepted.
const acceptPause = 100 * time.Millisecond

func (l *Listener) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// No descriptor is left, or the client has gone already.
			l.deps.Log("listener: accept: %v", err)
			time.Sleep(acceptPause)
			continue
		}
		c := newClient(l, conn, l.lastID.Add(1))
		if c == nil {
			continue
		}
		l.mu.Lock()
		l.clients[c.id] = c
		l.mu.Unlock()
		l.connsWait.Add(1)
		go func() {
			defer l.connsWait.Done()
			c.run()
			l.remove(c)
		}()
	}
}

func (l *Listener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.clients {
		c.close()
	}
}

func (l *Listener) remove(c *client) {
	c.close()
	c.guard.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.clients, c.id)
	if c.admitted {
		l.connCounts[c.customer]--
		if l.connCounts[c.customer] == 0 {
			delete(l.connCounts, c.customer)
		}
	}
}

// admit counts one more connection of a customer. It reports false if the limit
// is reached; a limit of 0 means no limit.
func (l *Listener) admit(customer string, limit int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit > 0 && l.connCounts[customer] >= limit {
		return false
	}
	l.connCounts[customer]++
	return true
}

// Connections returns the number of client connections.
func (l *Listener) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.clients)
}

// Reply passes an outcome to the client that waits for it. It drops the outcome
// if the connection has ended or an earlier outcome has not been read yet.
func (l *Listener) Reply(clientID uint64, o dispatcher.Outcome) {
	l.mu.Lock()
	c := l.clients[clientID]
	l.mu.Unlock()
	if c == nil {
		return
	}
	select {
	case c.outcomes <- o:
	default:
	}
}

// Drain stops accepting clients and closes idle connections; the others are
// closed when their transaction ends.
func (l *Listener) Drain() {
	l.draining.Store(true)
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.clients {
		c.drainIdle()
	}
}

// OwnsCancelKey reports whether a cancel key names a connection of this listener
// and has its secret.
func (l *Listener) OwnsCancelKey(key decider.CancelKeyMessage) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.clients[key.ClientID]
	return c != nil && c.secret == key.Secret
}
