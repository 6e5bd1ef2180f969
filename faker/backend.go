package faker

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// BackendSettings describe one backend server stand-in.
type BackendSettings struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Primary is the address of the primary to follow at the start; empty for
	// the primary itself.
	Primary     string            `json:"primary,omitempty"`
	Slots       int               `json:"slots"`
	Connections int               `json:"connections"`
	Connect     timekeeper.Millis `json:"connect"`
	Service     timekeeper.Millis `json:"service"`
	Ship        timekeeper.Millis `json:"ship"`
	Lag         timekeeper.Millis `json:"lag"`
}

// Backend is a stand-in for a backend server: it speaks the PostgreSQL protocol
// and replicates with its group.
type Backend struct {
	settings BackendSettings
	engine   *Engine
	slots    chan struct{}
	faults   *faults
	listener net.Listener

	mu       sync.Mutex
	sessions map[uint32]*session
	next     uint32
	counted  int
	upstream context.CancelFunc
	executed atomic.Int64
	wait     sync.WaitGroup
}

// NewBackend starts listening on the settings' address.
func NewBackend(settings BackendSettings) (*Backend, error) {
	if settings.Slots < 1 || settings.Connections < 1 {
		return nil, fail("start", KindInvalid, "%s: slots and connections must be at least 1", settings.Name)
	}
	listener, err := net.Listen("tcp", settings.Address)
	if err != nil {
		return nil, fail("start", KindUnavailable, "%w", err)
	}
	log := NewReplica(settings.Name)
	if settings.Primary == "" {
		log = NewPrimary(settings.Name)
	}
	b := &Backend{
		settings: settings,
		engine:   NewEngine(log),
		slots:    make(chan struct{}, settings.Slots),
		faults:   newFaults(settings),
		listener: listener,
		sessions: map[uint32]*session{},
	}
	return b, nil
}

// Address returns the address the server listens on.
func (b *Backend) Address() string {
	return b.listener.Addr().String()
}

// Report returns the server's account of its log.
func (b *Backend) Report() sequencer.Report {
	return b.engine.Report()
}

// Executed returns how many data statements the server has run.
func (b *Backend) Executed() int64 {
	return b.executed.Load()
}

// Run serves until the context ends. The channel it returns is closed when all
// connections are closed.
func (b *Backend) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	if b.settings.Primary != "" {
		b.follow(ctx, 1, b.settings.Primary)
	}
	go func() {
		<-ctx.Done()
		_ = b.listener.Close()
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, s := range b.sessions {
			_ = s.conn.Close()
		}
	}()
	go func() {
		defer close(done)
		b.accept(ctx)
		b.wait.Wait()
	}()
	return done
}

func (b *Backend) accept(ctx context.Context) {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		s := b.newSession(conn)
		b.wait.Add(1)
		go func() {
			defer b.wait.Done()
			s.run(ctx)
			b.forget(s)
		}()
		if ctx.Err() != nil {
			_ = conn.Close()
		}
	}
}

func (b *Backend) newSession(conn net.Conn) *session {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	s := newSession(b, conn, b.next)
	b.sessions[s.id] = s
	return s
}

func (b *Backend) forget(s *session) {
	_ = s.conn.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.sessions, s.id)
	if s.counted {
		b.counted--
	}
}

// admit counts a session against the connection limit.
func (b *Backend) admit(s *session) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.counted >= b.settings.Connections {
		return false
	}
	b.counted++
	s.counted = true
	return true
}

// cancel interrupts the statement of the session with the given key.
func (b *Backend) cancel(id uint32) {
	b.mu.Lock()
	s := b.sessions[id]
	b.mu.Unlock()
	if s != nil {
		s.interrupt()
	}
}

// silence makes all present connections go silent for good, but for one.
func (b *Backend) silence(except *session) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.sessions {
		if s != except {
			s.silent.Store(true)
		}
	}
}

// follow makes the server replicate from the primary of a term.
func (b *Backend) follow(ctx context.Context, term int64, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.upstream != nil {
		b.upstream()
	}
	ctx, b.upstream = context.WithCancel(ctx)
	r := &replication{engine: b.engine, faults: b.faults, term: term, address: address, local: b.settings.Address}
	b.wait.Add(1)
	go func() {
		defer b.wait.Done()
		r.run(ctx)
	}()
}

// cutFrom reports whether a fault cuts the server off from an address.
func (b *Backend) cutFrom(address string) bool {
	host, _, _ := strings.Cut(address, ":")
	return b.faults.isCut(host)
}

// sleep waits for d or until the channel is closed; it reports which.
func sleep(d time.Duration, stop <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	}
}
