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

// BackendSettings configures the stand-in of one backend server.
type BackendSettings struct {
	Name string `json:"name"`
	// Address is the address to listen on, as IP:PORT.
	Address string `json:"address"`
	// Primary is the address of the primary to replicate from at the start; empty
	// for the primary itself.
	Primary string `json:"primary,omitempty"`
	// Slots is the maximum number of data statements that run at the same time.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections. Connections for
	// replication and control do not count.
	Connections int `json:"connections"`
	// ConnectDelay is the time that opening a connection takes.
	ConnectDelay timekeeper.Millis `json:"connect"`
	// ServiceTime is the time that each data statement takes.
	ServiceTime timekeeper.Millis `json:"service"`
	// ShipDelay is the time until a replica receives a log entry, ApplyLag the
	// further time until it applies the entry.
	ShipDelay timekeeper.Millis `json:"ship"`
	ApplyLag  timekeeper.Millis `json:"lag"`
}

// Backend is a stand-in for a backend server. It speaks the PostgreSQL protocol
// and replicates from the primary of its database group or to its replicas.
type Backend struct {
	settings BackendSettings
	engine   *Engine
	slots    chan struct{}
	faults   *faults
	listener net.Listener

	mu            sync.Mutex
	sessions      map[uint32]*session
	lastSessionID uint32
	// admitted is the number of sessions that count against the connection limit.
	admitted        int
	stopReplication context.CancelFunc
	executed        atomic.Int64
	// goroutines counts the sessions and replication streams that run.
	goroutines sync.WaitGroup
}

// NewBackend returns a backend server that listens on the address of the
// settings. It fails with KindInvalid if Slots or Connections is below 1, and
// with KindUnavailable if it can't listen.
func NewBackend(settings BackendSettings) (*Backend, error) {
	if settings.Slots < 1 || settings.Connections < 1 {
		return nil, newError("start", KindInvalid, "%s: slots and connections must be at least 1", settings.Name)
	}
	listener, err := net.Listen("tcp", settings.Address)
	if err != nil {
		return nil, newError("start", KindUnavailable, "%w", err)
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

// Report returns the server's status report.
func (b *Backend) Report() sequencer.Report {
	return b.engine.Report()
}

// Executed returns the number of data statements that the server has executed,
// including failed ones.
func (b *Backend) Executed() int64 {
	return b.executed.Load()
}

// Run accepts connections, and replicates if the settings name a primary, until
// the context ends. The channel that it returns is closed when all sessions and
// the replication have ended.
func (b *Backend) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	if b.settings.Primary != "" {
		b.startReplication(ctx, 1, b.settings.Primary)
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
		b.goroutines.Wait()
	}()
	return done
}

func (b *Backend) accept(ctx context.Context) {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		s := b.addSession(conn)
		b.goroutines.Add(1)
		go func() {
			defer b.goroutines.Done()
			s.run(ctx)
			b.removeSession(s)
		}()
		if ctx.Err() != nil {
			_ = conn.Close()
		}
	}
}

func (b *Backend) addSession(conn net.Conn) *session {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastSessionID++
	s := newSession(b, conn, b.lastSessionID)
	b.sessions[s.id] = s
	return s
}

func (b *Backend) removeSession(s *session) {
	_ = s.conn.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.sessions, s.id)
	if s.admitted {
		b.admitted--
	}
}

// admit counts a session against the connection limit. It returns false if the
// limit is reached.
func (b *Backend) admit(s *session) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.admitted >= b.settings.Connections {
		return false
	}
	b.admitted++
	s.admitted = true
	return true
}

// cancel cancels the running statement of the session with the given process ID.
// It does not check the secret key of the cancel request.
func (b *Backend) cancel(id uint32) {
	b.mu.Lock()
	s := b.sessions[id]
	b.mu.Unlock()
	if s != nil {
		s.cancelStatement()
	}
}

// makeUnresponsive makes all current sessions but one ignore their messages and
// discard their answers until the connection is closed. New connections are not
// affected.
func (b *Backend) makeUnresponsive(except *session) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.sessions {
		if s != except {
			s.unresponsive.Store(true)
		}
	}
}

// startReplication stops replicating from an earlier primary, if any, and starts
// to replicate from the primary of a term at an address.
func (b *Backend) startReplication(ctx context.Context, term int64, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopReplication != nil {
		b.stopReplication()
	}
	ctx, b.stopReplication = context.WithCancel(ctx)
	r := &replication{engine: b.engine, faults: b.faults, term: term, primaryAddress: address, localAddress: b.settings.Address}
	b.goroutines.Add(1)
	go func() {
		defer b.goroutines.Done()
		r.run(ctx)
	}()
}

// isPartitionedFrom reports whether the cut fault applies to the IP address of
// an IP:PORT address.
func (b *Backend) isPartitionedFrom(address string) bool {
	ip, _, _ := strings.Cut(address, ":")
	return b.faults.isPartitioned(ip)
}

// sleep waits for d or until the channel is closed. It returns false if the
// channel was closed first.
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
