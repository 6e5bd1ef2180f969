// Package listener takes callers over the PostgreSQL protocol: it authenticates
// them, turns their messages into requests, and sends them their outcomes.
package listener

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"

	"github.com/heatherhall/heatherhall/classifier"
	"github.com/heatherhall/heatherhall/decider"
	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/planner"
	"github.com/heatherhall/heatherhall/sessioner"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Deps are what the listener needs of its daemon. The functions are seams.
type Deps struct {
	Submit     func(decider.Request)
	Step       func(caller uint64, commit bool, payload []byte)
	Disconnect func(caller uint64)
	// Cancel takes a cancel request. Its key names the caller's daemon and
	// connection.
	Cancel func(key decider.CancelKeyMessage)
	Lists  func() planner.Lists
	Ready  func() bool
	// Databases are the databases that exist.
	Databases  map[string]bool
	Signer     *sessioner.Signer
	Classifier *classifier.Classifier
	Clock      timekeeper.Clock
	TLS        *tls.Config
	Log        func(format string, args ...any)
	// StatementTimeout is how long a caller waits for an outcome.
	StatementTimeout timekeeper.Millis
	// HostNumber is a number for this daemon's host, for cancel keys.
	HostNumber uint16
}

// Listener takes callers on one address.
type Listener struct {
	deps     Deps
	listener net.Listener
	last     atomic.Uint64
	draining atomic.Bool

	mu      sync.Mutex
	clients map[uint64]*client
	counts  map[string]int
	wait    sync.WaitGroup
}

// New listens on an address.
func New(address string, deps Deps) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindListen, Text: err.Error()}
	}
	return &Listener{deps: deps, listener: l, clients: map[uint64]*client{}, counts: map[string]int{}}, nil
}

// Address returns the address that takes callers.
func (l *Listener) Address() string {
	return l.listener.Addr().String()
}

// Run takes callers until the context ends. The channel it returns is closed
// when all callers' connections have ended.
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
		l.wait.Wait()
	}()
	return done
}

func (l *Listener) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		c := newClient(l, conn, l.last.Add(1))
		l.mu.Lock()
		l.clients[c.id] = c
		l.mu.Unlock()
		l.wait.Add(1)
		go func() {
			defer l.wait.Done()
			c.run()
			l.forget(c)
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

func (l *Listener) forget(c *client) {
	c.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.clients, c.id)
	if c.counted {
		l.counts[c.customer]--
		if l.counts[c.customer] == 0 {
			delete(l.counts, c.customer)
		}
	}
}

// count admits one more connection of a customer. It reports false beyond the
// limit; 0 is no limit.
func (l *Listener) count(customer string, limit int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit > 0 && l.counts[customer] >= limit {
		return false
	}
	l.counts[customer]++
	return true
}

// Connections returns the number of callers' connections.
func (l *Listener) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.clients)
}

// Reply hands an outcome to the caller that waits for it.
func (l *Listener) Reply(caller uint64, o dispatcher.Outcome) {
	l.mu.Lock()
	c := l.clients[caller]
	l.mu.Unlock()
	if c == nil {
		return
	}
	select {
	case c.outcomes <- o:
	default:
	}
}

// Drain stops taking callers and closes the connections of those that are idle;
// the others are closed when their transaction ends.
func (l *Listener) Drain() {
	l.draining.Store(true)
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.clients {
		c.drainIdle()
	}
}

// OwnsCancelKey reports whether a cancel key names a caller of this listener.
func (l *Listener) OwnsCancelKey(key decider.CancelKeyMessage) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.clients[key.ClientID]
	return c != nil && c.secret == key.Secret
}
