// Package pooler decides which connections to one backend server are opened,
// used, kept warm and retired.
package pooler

import (
	"slices"

	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Conn names a connection. Numbers are never used twice in a daemon's life.
type Conn uint64

const (
	// defaultIdleLimit is how long a connection beyond the warm ones stays idle.
	defaultIdleLimit timekeeper.Millis = 30_000
	// openBackoff is the pause after the server refused or failed a connection.
	openBackoff timekeeper.Millis = 100
	// urgentReserve is the part of the share that only urgent work may use, as
	// one in so many connections.
	urgentReserve = 4
)

// idle is an unused connection with the time it was last used.
type idle struct {
	conn  Conn
	since timekeeper.Millis
}

// Pool is the set of connections of one daemon to one backend server. It is not
// safe for concurrent use.
type Pool struct {
	nextConn  func() Conn
	limit     int
	minIdle   int
	share     int
	idle      []idle
	busy      map[Conn]bool
	opening   map[Conn]bool
	openAfter timekeeper.Millis
	// idleLimit is how long a connection beyond the warm ones stays idle.
	idleLimit timekeeper.Millis
	// surplusIdleLimit is the same while more than one connection is open; 0 for no
	// difference.
	surplusIdleLimit timekeeper.Millis
}

// New returns an empty pool. The server takes limit connections in all; warm idle
// ones are kept ahead of need; next numbers new connections.
func New(limit, minIdle int, nextConn func() Conn) *Pool {
	return &Pool{nextConn: nextConn, limit: limit, minIdle: minIdle, share: limit, busy: map[Conn]bool{}, opening: map[Conn]bool{}, idleLimit: defaultIdleLimit}
}

// WithIdleLimit sets how long connections beyond the warm ones stay idle.
func (p *Pool) WithIdleLimit(limit timekeeper.Millis) *Pool {
	p.idleLimit = limit
	return p
}

// SetShare sets how many connections this daemon may have; it is kept between 1
// and the server's limit.
func (p *Pool) SetShare(share int) {
	p.share = min(max(share, 1), p.limit)
}

// SetSurplusIdleLimit sets how long connections stay idle while more than one is open;
// 0 makes no difference.
func (p *Pool) SetSurplusIdleLimit(limit timekeeper.Millis) {
	p.surplusIdleLimit = limit
}

// SetMinIdle sets how many idle connections are kept ahead of need.
func (p *Pool) SetMinIdle(minIdle int) {
	p.minIdle = minIdle
}

// Size returns how many connections are open or being opened.
func (p *Pool) Size() int {
	return len(p.idle) + len(p.busy) + len(p.opening)
}

// Busy returns how many connections are in use.
func (p *Pool) Busy() int {
	return len(p.busy)
}

// CanTake reports whether Take would return a connection for work of a rank.
func (p *Pool) CanTake(rank scheduler.Rank) bool {
	return len(p.idle) > 0 && p.allowed(rank)
}

// allowed keeps the last connections of the share for urgent work.
func (p *Pool) allowed(rank scheduler.Rank) bool {
	if rank == scheduler.RankUrgent {
		return true
	}
	return len(p.busy) < max(1, p.share-p.share/urgentReserve)
}

// Take returns an idle connection for work of a rank, the last used one first.
func (p *Pool) Take(rank scheduler.Rank) (Conn, bool) {
	if !p.CanTake(rank) {
		return 0, false
	}
	last := len(p.idle) - 1
	conn := p.idle[last].conn
	p.idle = p.idle[:last]
	p.busy[conn] = true
	return conn, true
}

// Put gives a connection back after its answer was read whole and no
// transaction is open on it.
func (p *Pool) Put(now timekeeper.Millis, conn Conn) {
	if !p.busy[conn] {
		return
	}
	delete(p.busy, conn)
	p.idle = append(p.idle, idle{conn: conn, since: now})
}

// MarkOpen takes a connection that has been opened. It reports whether the
// connection is wanted.
func (p *Pool) MarkOpen(now timekeeper.Millis, conn Conn) bool {
	if !p.opening[conn] {
		return false
	}
	delete(p.opening, conn)
	p.idle = append(p.idle, idle{conn: conn, since: now})
	return true
}

// Remove forgets a connection that was closed or could not be opened.
func (p *Pool) Remove(now timekeeper.Millis, conn Conn) {
	if p.opening[conn] {
		p.openAfter = now + openBackoff
	}
	delete(p.opening, conn)
	delete(p.busy, conn)
	p.idle = slices.DeleteFunc(p.idle, func(i idle) bool { return i.conn == conn })
}

// Has reports whether the pool knows the connection.
func (p *Pool) Has(conn Conn) bool {
	return p.busy[conn] || p.opening[conn] || slices.ContainsFunc(p.idle, func(i idle) bool { return i.conn == conn })
}

// RemoveIdle takes out all idle connections, for closing: the path they use is in
// doubt.
func (p *Pool) RemoveIdle() []Conn {
	var out []Conn
	for _, i := range p.idle {
		out = append(out, i.conn)
	}
	p.idle = nil
	return out
}

// Plan returns the connections to open and to close so that demand more pieces
// of work find one, a few stay warm, and the share is kept.
func (p *Pool) Plan(now timekeeper.Millis, demand int) (toOpen, toClose []Conn) {
	toClose = p.removeSurplus(now)
	if now < p.openAfter {
		return nil, toClose
	}
	wanted := max(demand, p.minIdle) - len(p.idle) - len(p.opening)
	for range min(wanted, p.share-p.Size()) {
		conn := p.nextConn()
		p.opening[conn] = true
		toOpen = append(toOpen, conn)
	}
	return toOpen, toClose
}

// removeSurplus takes out idle connections beyond the share or unused for long.
func (p *Pool) removeSurplus(now timekeeper.Millis) []Conn {
	var out []Conn
	for len(p.idle) > 0 {
		oldest, limit := p.idle[0], p.idleLimit
		if p.surplusIdleLimit > 0 && p.Size() > 1 {
			limit = p.surplusIdleLimit
		}
		overShare := p.Size() > p.share
		expired := len(p.idle) > p.minIdle && now-oldest.since > limit
		if !overShare && !expired {
			break
		}
		p.idle = p.idle[1:]
		out = append(out, oldest.conn)
	}
	return out
}
