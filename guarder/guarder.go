// Package guarder applies the decisions of package rationer to clients' connections:
// it lets their goroutines wait for memory, stops them, and counts and logs why.
package guarder

import (
	"sync"
	"time"

	"github.com/heatherhall/heatherhall/rationer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Reason says why a client was refused or closed. Its text is the label of the metric.
type Reason string

// Reasons.
const (
	// ReasonConnections: all connections are in use by sessions.
	ReasonConnections Reason = "connections"
	// ReasonDisplaced: the connection had no session while others needed its place.
	ReasonDisplaced Reason = "displaced"
	// ReasonMemory: the memory for all clients is used up.
	ReasonMemory Reason = "memory"
	// ReasonConnMemory: the connection needs more than one connection may hold.
	ReasonConnMemory Reason = "connection memory"
	// ReasonSize: a message is over the protocol's limit.
	ReasonSize Reason = "size"
	// ReasonStartup, ReasonMessage and ReasonUnread: the client was too slow to start
	// a session, to send the rest of a message, or to read an answer.
	ReasonStartup Reason = "startup"
	ReasonMessage Reason = "message"
	ReasonUnread  Reason = "unread"
	// ReasonResult: a server's result is larger than the limit of one result.
	ReasonResult Reason = "result"
)

// Reasons lists all reasons.
var Reasons = []Reason{
	ReasonConnections, ReasonDisplaced, ReasonMemory, ReasonConnMemory, ReasonSize, ReasonStartup, ReasonMessage, ReasonUnread, ReasonResult,
}

// logInterval is the min time between two log lines with the same reason.
const logInterval timekeeper.Millis = 1000

// Timeouts limit how long a client may take.
type Timeouts struct {
	// Startup is for the start of a session, Message for the rest of a message that has
	// begun, and Unread for each part of an answer.
	Startup, Message, Unread timekeeper.Millis
}

// Deps are the functions that a Guard needs. Nil functions are skipped.
type Deps struct {
	// Count counts a refused or closed client.
	Count func(Reason)
	// Log writes a line about the latest client with a reason, and how many clients
	// were not logged since the last line with this reason.
	Log func(reason Reason, client string, held, used int64, unlogged int)
}

// Guard keeps the clients' connections of a daemon within its memory and descriptors.
// It is safe for concurrent use.
type Guard struct {
	deps     Deps
	clock    timekeeper.Clock
	settings rationer.Settings

	mu       sync.Mutex
	rationer *rationer.Rationer
	conns    map[*rationer.Conn]*Conn
	logged   map[Reason]logState
}

type logState struct {
	at       timekeeper.Millis
	unlogged int
}

// New returns a Guard without connections.
func New(settings rationer.Settings, clock timekeeper.Clock, deps Deps) *Guard {
	return &Guard{
		deps: deps, clock: clock, settings: settings, rationer: rationer.New(settings),
		conns: map[*rationer.Conn]*Conn{}, logged: map[Reason]logState{},
	}
}

// Conn is a client's connection, or an account for memory that belongs to none. One
// goroutine uses it at a time.
type Conn struct {
	guard *Guard
	conn  *rationer.Conn
	// client names the client in the log.
	client string
	// stop makes the connection's reads and writes fail.
	stop func()
	// verdicts receives the verdict that Reserve waits for.
	verdicts chan rationer.Verdict
	// stopped is the reason for which the connection was stopped; guarded by the
	// Guard's lock.
	stopped Reason
	// held is what the connection holds, as its own goroutine knows.
	held int64
}

// Open admits a connection. It returns nil if there are too many; the caller then
// refuses the client. stop is called, under a lock, to make reads and writes of the
// connection fail; it must not block.
func (g *Guard) Open(client string, stop func()) *Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	conn, evicted := g.rationer.Open()
	if evicted != nil {
		g.stop(evicted, ReasonDisplaced)
	}
	if conn == nil {
		g.report(ReasonConnections, client, 0)
		return nil
	}
	c := &Conn{guard: g, conn: conn, client: client, stop: stop}
	g.conns[conn] = c
	return c
}

// OpenSystem returns an account for memory that is held for no connection; name names
// it in the log.
func (g *Guard) OpenSystem(name string) *Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &Conn{guard: g, conn: g.rationer.OpenSystem(), client: name, stop: func() {}}
	g.conns[c.conn] = c
	return c
}

// stop stops a connection for a reason. g.mu must be held.
func (g *Guard) stop(conn *rationer.Conn, reason Reason) {
	c := g.conns[conn]
	if c == nil {
		return
	}
	c.stopped = reason
	g.report(reason, c.client, conn.Held())
	c.stop()
}

// report counts and logs that a client was refused or closed. g.mu must be held.
func (g *Guard) report(reason Reason, client string, held int64) {
	if g.deps.Count != nil {
		g.deps.Count(reason)
	}
	state, found := g.logged[reason]
	now := g.clock.Now()
	if found && now-state.at < logInterval {
		state.unlogged++
		g.logged[reason] = state
		return
	}
	if g.deps.Log != nil {
		g.deps.Log(reason, client, held, g.rationer.Used(), state.unlogged)
	}
	g.logged[reason] = logState{at: now}
}

// apply tells other connections what was decided about them. g.mu must be held.
func (g *Guard) apply(changes []rationer.Change) {
	for _, change := range changes {
		if change.Verdict == rationer.Stopped {
			g.stop(change.Conn, ReasonMemory)
			continue
		}
		if c := g.conns[change.Conn]; c != nil && c.verdicts != nil {
			c.verdicts <- change.Verdict
		}
	}
}

// relieve stops connections until no more than the budget is held. g.mu must be held.
func (g *Guard) relieve() {
	now := g.clock.Now()
	g.apply(g.rationer.Relieve(now))
	for range g.conns {
		if !g.rationer.Over() {
			return
		}
		changes := g.rationer.Relieve(now)
		if len(changes) == 0 {
			return
		}
		g.apply(changes)
	}
}

// Used returns the bytes that are held for clients, and Connections the number of
// their connections.
func (g *Guard) Used() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rationer.Used()
}

// Connections returns the number of clients' connections.
func (g *Guard) Connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rationer.Connections()
}

// Report counts and logs that the connection is refused or closed for a reason other
// than a verdict.
func (c *Conn) Report(reason Reason) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.report(reason, c.client, c.held)
}

// Stopped returns the reason for which the connection was stopped, or an empty one.
func (c *Conn) Stopped() Reason {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.stopped
}

// Held returns what the connection holds.
func (c *Conn) Held() int64 { return c.held }

// Started records that the connection has a session. It reports false if the
// connection was stopped before.
func (c *Conn) Started() bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.guard.rationer.Started(c.conn)
}

// SetPhase records what the connection does from now on. It reports false if the
// connection was stopped before. For connections that hold no memory, which are not
// stopped for memory, it does nothing.
func (c *Conn) SetPhase(phase rationer.Phase) bool {
	if c.held == 0 {
		return true
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.rationer.SetPhase(c.conn, phase)
	return c.stopped == ""
}

// Reserve reserves n bytes for a connection in a phase, and waits until it may hold
// them. The verdict is Granted, TooLarge, Refused or Stopped; all others than Granted
// are counted and logged.
func (c *Conn) Reserve(phase rationer.Phase, n int64) rationer.Verdict {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rationer.SetPhase(c.conn, phase)
	verdict := g.rationer.Reserve(g.clock.Now(), c.conn, n)
	if verdict == rationer.Queued {
		verdict = c.await()
	}
	switch verdict {
	case rationer.Granted:
		c.held += n
	case rationer.TooLarge:
		g.report(ReasonConnMemory, c.client, c.held)
	case rationer.Refused:
		g.report(ReasonMemory, c.client, c.held)
	}
	return verdict
}

// Hold reserves n bytes for no connection, if they are free now, and returns the
// function that returns them.
func (g *Guard) Hold(name string, n int64) (release func(), held bool) {
	c := g.OpenSystem(name)
	g.mu.Lock()
	verdict := g.rationer.Reserve(g.clock.Now(), c.conn, n)
	if verdict != rationer.Granted {
		g.apply(g.rationer.Cancel(c.conn))
		g.report(ReasonMemory, name, 0)
	}
	g.mu.Unlock()
	if verdict != rationer.Granted {
		c.Close()
		return nil, false
	}
	return c.Close, true
}

// await waits for the verdict about a connection that is queued. g.mu must be held; it
// is released while the connection waits.
func (c *Conn) await() rationer.Verdict {
	g := c.guard
	c.verdicts = make(chan rationer.Verdict, 1)
	defer func() { c.verdicts = nil }()
	ticker := time.NewTicker(max(g.settings.Patience.Duration()/2, time.Millisecond))
	defer ticker.Stop()
	for {
		g.mu.Unlock()
		select {
		case verdict := <-c.verdicts:
			g.mu.Lock()
			return verdict
		case <-ticker.C:
		}
		g.mu.Lock()
		g.relieve()
		select {
		case verdict := <-c.verdicts:
			return verdict
		default:
		}
		if c.stopped != "" {
			g.apply(g.rationer.Cancel(c.conn))
			return rationer.Stopped
		}
	}
}

// Charge adds n bytes that the connection holds already, in a phase, and stops the
// biggest holders if that is more than the budget.
func (c *Conn) Charge(phase rationer.Phase, n int64) {
	if n <= 0 {
		return
	}
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.held += n
	g.rationer.SetPhase(c.conn, phase)
	g.rationer.Charge(c.conn, n)
	if g.rationer.Over() {
		g.relieve()
	}
}

// Release returns n bytes.
func (c *Conn) Release(n int64) {
	n = min(n, c.held)
	if n <= 0 {
		return
	}
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.held -= n
	g.apply(g.rationer.Release(c.conn, n))
}

// Close removes the connection and returns its memory.
func (c *Conn) Close() {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c.conn)
	c.held = 0
	g.apply(g.rationer.Close(c.conn))
}
