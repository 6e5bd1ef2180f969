// Package rationer decides which clients' connections a daemon accepts, and which
// of them wait, are refused or are closed when memory or descriptors run short. It
// does no I/O.
package rationer

import (
	"container/list"

	"github.com/heatherhall/heatherhall/timekeeper"
)

// Settings configures a Rationer.
type Settings struct {
	// Memory is the budget in bytes for what the daemon holds for all clients.
	Memory int64
	// ConnMemory is the budget of one connection.
	ConnMemory int64
	// Connections is the max number of connections.
	Connections int
	// Patience is how long a connection waits for memory before the biggest holder
	// is stopped.
	Patience timekeeper.Millis
	// MaxWait is how long a connection waits before it is refused itself.
	MaxWait timekeeper.Millis
}

// newcomerShare is the part of Memory, in quarters, up to which connections that hold
// nothing yet get memory. The rest lets those that hold part of a message complete it;
// otherwise all could wait for each other.
const newcomerShare = 3

// evictingDivisor divides Connections into how many evicted connections may be open. The
// reserve of descriptors is a third of Connections.
const evictingDivisor = 8

// Phase is what a connection does. It decides whether the connection may be stopped.
type Phase int

// Phases of a connection.
const (
	// PhaseStarting is before the session, PhaseIdle between two messages.
	PhaseStarting Phase = iota
	PhaseIdle
	// PhaseReceiving is while a message arrives.
	PhaseReceiving
	// PhaseRunning is while a statement waits or runs. Its connection is never
	// stopped, since its outcome is to reach the client.
	PhaseRunning
	// PhaseSending is while the client reads the answer.
	PhaseSending
)

// Verdict is the decision about a connection that asks for memory.
type Verdict int

// Verdicts.
const (
	// Granted: the memory is reserved.
	Granted Verdict = iota
	// Queued: the connection must stop reading until its verdict.
	Queued
	// TooLarge: the connection would exceed ConnMemory.
	TooLarge
	// Refused: the memory of all clients is used up. The message is to be refused.
	Refused
	// Stopped: the connection is to be closed.
	Stopped
)

// Conn is a client's connection, as the Rationer knows it.
type Conn struct {
	phase Phase
	held  int64
	// wanted is the amount that the connection waits for, since queuedAt.
	wanted   int64
	queuedAt timekeeper.Millis
	// stopped says that the connection was chosen to be stopped.
	stopped, system bool
	// counted says that the connection counts towards Connections, and evicted that it
	// was evicted and is not closed yet.
	counted, evicted bool
	// starting, waiting and holding are the connection's places in the lists of the
	// Rationer; nil if it is not listed.
	starting, waiting, holding *list.Element
}

// Held returns the bytes that are reserved for the connection.
func (c *Conn) Held() int64 { return c.held }

// Change tells the driver about a connection other than the one that it called for.
type Change struct {
	Conn *Conn
	// Verdict is Granted, Refused or Stopped.
	Verdict Verdict
}

// Rationer decides about the connections of one daemon.
type Rationer struct {
	settings Settings
	used     int64
	// stopping is the part of used that stopped connections hold until they are
	// closed.
	stopping int64
	// relievedAt is when a connection was last stopped because others waited.
	relievedAt timekeeper.Millis
	count      int
	// evicting is how many evicted connections are not closed yet.
	evicting int
	// starting holds the connections without a session, the oldest first. The
	// waiting ones are in order of arrival: partial those that hold memory already,
	// newcomers the others. holders are the connections that hold memory.
	starting, partial, newcomers, holders *list.List
}

// New returns a Rationer without connections.
func New(settings Settings) *Rationer {
	return &Rationer{settings: settings, starting: list.New(), partial: list.New(), newcomers: list.New(), holders: list.New()}
}

// Used returns the bytes that are reserved.
func (r *Rationer) Used() int64 { return r.used }

// Connections returns the number of connections.
func (r *Rationer) Connections() int { return r.count }

// Open decides about a new connection. At the limit it returns the connection that
// has been without a session for longest, which is to be closed in favour of the new
// one, or no connection at all if all have sessions or too many evicted ones are not
// closed yet: they use descriptors beyond the limit.
func (r *Rationer) Open() (c, evicted *Conn) {
	if r.count >= r.settings.Connections {
		oldest := r.starting.Front()
		if oldest == nil || r.evicting > r.settings.Connections/evictingDivisor {
			return nil, nil
		}
		evicted = oldest.Value.(*Conn)
		r.stop(evicted)
		r.starting.Remove(oldest)
		evicted.starting = nil
		r.uncount(evicted)
		evicted.evicted = true
		r.evicting++
	}
	r.count++
	c = &Conn{counted: true}
	c.starting = r.starting.PushBack(c)
	return c, evicted
}

func (r *Rationer) stop(c *Conn) {
	c.stopped = true
	r.stopping += c.held
}

func (r *Rationer) uncount(c *Conn) {
	if c.counted {
		c.counted = false
		r.count--
	}
}

// OpenSystem returns an account for memory that is held for no connection, such as
// answers of servers. It is never stopped, and ConnMemory does not apply to it.
func (r *Rationer) OpenSystem() *Conn {
	return &Conn{system: true, phase: PhaseRunning}
}

// Started records that a connection has a session. It reports false if the connection
// was stopped before.
func (r *Rationer) Started(c *Conn) bool {
	if c.starting != nil {
		r.starting.Remove(c.starting)
		c.starting = nil
		c.phase = PhaseIdle
	}
	return !c.stopped
}

// SetPhase records what a connection does from now on.
func (r *Rationer) SetPhase(c *Conn, phase Phase) { c.phase = phase }

// Reserve asks for n bytes more for a connection. After Queued, the verdict is in a
// later Change, or Cancel gives up.
func (r *Rationer) Reserve(now timekeeper.Millis, c *Conn, n int64) Verdict {
	switch {
	case c.stopped:
		return Stopped
	case !c.system && c.held+n > r.settings.ConnMemory:
		return TooLarge
	}
	queue, limit := r.newcomers, r.settings.Memory*newcomerShare/4
	if c.held > 0 || c.system {
		queue, limit = r.partial, r.settings.Memory
	}
	if queue.Len() == 0 && r.used+n <= limit {
		r.Charge(c, n)
		return Granted
	}
	c.wanted, c.queuedAt = n, now
	c.waiting = queue.PushBack(c)
	return Queued
}

// Charge reserves n bytes that are held already, also beyond the budget. The driver
// calls Relieve while Over reports true.
func (r *Rationer) Charge(c *Conn, n int64) {
	if n <= 0 {
		return
	}
	r.used += n
	c.held += n
	if c.stopped {
		r.stopping += n
	}
	if c.holding == nil {
		c.holding = r.holders.PushBack(c)
	}
}

// Over reports whether more than the budget is held, apart from what stopped
// connections are about to release.
func (r *Rationer) Over() bool { return r.used-r.stopping > r.settings.Memory }

// Release returns n bytes of a connection and grants them to others.
func (r *Rationer) Release(c *Conn, n int64) []Change {
	n = min(n, c.held)
	r.used -= n
	c.held -= n
	if c.stopped {
		r.stopping -= n
	}
	if c.held == 0 && c.holding != nil {
		r.holders.Remove(c.holding)
		c.holding = nil
	}
	return r.grant()
}

// Cancel ends a connection's wait without a verdict.
func (r *Rationer) Cancel(c *Conn) []Change {
	r.dequeue(c)
	return r.grant()
}

func (r *Rationer) dequeue(c *Conn) {
	if c.waiting == nil {
		return
	}
	// Remove has no effect on the list that the element is not in.
	r.partial.Remove(c.waiting)
	r.newcomers.Remove(c.waiting)
	c.waiting = nil
}

// grant gives memory to those that wait, in order, first to those that can complete
// what they hold.
func (r *Rationer) grant() []Change {
	var out []Change
	for _, q := range []struct {
		queue *list.List
		limit int64
	}{{r.partial, r.settings.Memory}, {r.newcomers, r.settings.Memory * newcomerShare / 4}} {
		for e := q.queue.Front(); e != nil; e = q.queue.Front() {
			c := e.Value.(*Conn)
			if r.used+c.wanted > q.limit {
				break
			}
			r.dequeue(c)
			r.Charge(c, c.wanted)
			out = append(out, Change{Conn: c, Verdict: Granted})
		}
	}
	return out
}

// Close removes a connection and returns who gets its memory.
func (r *Rationer) Close(c *Conn) []Change {
	r.uncount(c)
	if c.evicted {
		c.evicted = false
		r.evicting--
	}
	if c.starting != nil {
		r.starting.Remove(c.starting)
		c.starting = nil
	}
	r.dequeue(c)
	return r.Release(c, c.held)
}

// Relieve stops or refuses connections because memory has been short for too long:
// a connection has waited for longer than Patience, or Over reports true. The biggest
// holder that may be stopped goes first: one that waits has its message refused,
// another one is closed. A connection that has waited for longer than MaxWait is
// refused too.
func (r *Rationer) Relieve(now timekeeper.Millis) []Change {
	var out []Change
	pressed := r.overdue(now, r.settings.Patience) != nil && (r.relievedAt == 0 || now-r.relievedAt >= r.settings.Patience)
	if victim := r.biggest(); victim != nil && (pressed || r.Over()) {
		r.relievedAt = now
		verdict := Stopped
		if victim.waiting != nil {
			verdict = Refused
		} else {
			r.stop(victim)
		}
		r.dequeue(victim)
		out = append(out, Change{Conn: victim, Verdict: verdict})
	}
	for c := r.overdue(now, r.settings.MaxWait); c != nil; c = r.overdue(now, r.settings.MaxWait) {
		r.dequeue(c)
		out = append(out, Change{Conn: c, Verdict: Refused})
	}
	return append(out, r.grant()...)
}

// overdue returns a connection that has waited for at least a time, or nil.
func (r *Rationer) overdue(now, wait timekeeper.Millis) *Conn {
	for _, queue := range []*list.List{r.partial, r.newcomers} {
		if e := queue.Front(); e != nil && now-e.Value.(*Conn).queuedAt >= wait {
			return e.Value.(*Conn)
		}
	}
	return nil
}

// biggest returns the connection that holds most among those that may be stopped, the
// latest one if several do, or nil.
func (r *Rationer) biggest() *Conn {
	var out *Conn
	for e := r.holders.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		if !c.system && !c.stopped && c.phase != PhaseRunning && (out == nil || c.held >= out.held) {
			out = c
		}
	}
	return out
}
