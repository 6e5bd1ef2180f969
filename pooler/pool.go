// Package pooler decides which connections of a daemon to one backend server
// are opened, used, kept idle and closed.
package pooler

import (
	"cmp"
	"slices"

	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Conn is a connection's id. A daemon never uses an id twice.
type Conn uint64

const (
	// defaultIdleLimit is how long connections beyond the minimum stay idle.
	defaultIdleLimit timekeeper.Millis = 30_000
	// openBackoff is the pause before the next connection after the server
	// refused one or could not be reached.
	openBackoff timekeeper.Millis = 100
	// urgentReserve reserves connections for urgent work: one in this many of
	// the share.
	urgentReserve = 4
)

// idle is an unused connection and the time at which it became idle.
type idle struct {
	conn    Conn
	account string
	since   timekeeper.Millis
	// unused says that the connection was never taken.
	unused bool
}

// Pool holds the connections of one daemon to one backend server. It is not
// safe for concurrent use.
type Pool struct {
	nextConn func() Conn
	limit    int
	minIdle  int
	minOpen  int
	share    int
	// idle are the unused connections, the one that is idle for longest first.
	idle []idle
	// busy and opening hold the accounts of the connections; empty for one without an
	// account.
	busy    map[Conn]held
	opening map[Conn]string
	// accounts holds the accounts that have connections or have used one not long ago.
	accounts map[string]*account
	// holdTime is the mean time in milliseconds for which a connection is taken.
	holdTime float64
	// refused counts the openings in a row that the server has refused because of its
	// limit. Until refusedUntil, the pool stays at refusedSize.
	refused      int
	refusedSize  int
	refusedUntil timekeeper.Millis
	// openAfter is the end of the last openBackoff.
	openAfter timekeeper.Millis
	// idleLimit is how long connections beyond the minimum stay idle.
	idleLimit timekeeper.Millis
	// surplusIdleLimit replaces idleLimit while more than one connection is
	// open, unless it is 0.
	surplusIdleLimit timekeeper.Millis
}

// New returns an empty pool. limit is how many connections the server accepts
// from all daemons, minIdle how many idle connections are kept open ahead of
// demand, and nextConn returns the ids of new connections.
func New(limit, minIdle int, nextConn func() Conn) *Pool {
	return &Pool{
		nextConn: nextConn, limit: limit, minIdle: minIdle, share: limit, idleLimit: defaultIdleLimit,
		busy: map[Conn]held{}, opening: map[Conn]string{}, accounts: map[string]*account{},
	}
}

// WithIdleLimit sets how long connections beyond the minimum stay idle, and
// returns the pool.
func (p *Pool) WithIdleLimit(limit timekeeper.Millis) *Pool {
	p.idleLimit = limit
	return p
}

// SetShare sets the share of connections: how many connections to the server
// this daemon may have, of those that the server accepts from all daemons
// together. The share is clamped to the range from 1 to the server's limit.
func (p *Pool) SetShare(share int) {
	p.share = min(max(share, 1), p.limit)
}

// SetSurplusIdleLimit sets how long connections stay idle while more than one
// is open. If it is 0, the idle limit of the pool applies.
func (p *Pool) SetSurplusIdleLimit(limit timekeeper.Millis) {
	p.surplusIdleLimit = limit
}

// SetMinIdle sets how many idle connections are kept open ahead of demand.
func (p *Pool) SetMinIdle(minIdle int) {
	p.minIdle = minIdle
}

// SetMinOpen sets how many connections are kept open, whether busy or idle.
func (p *Pool) SetMinOpen(minOpen int) {
	p.minOpen = minOpen
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
	return p.CanTakeAs(rank, "")
}

// allowed reports whether work of a rank may use one more connection. The last
// connections of the share are reserved for urgent work.
func (p *Pool) allowed(rank scheduler.Rank) bool {
	if rank == scheduler.RankUrgent {
		return true
	}
	return len(p.busy) < max(1, p.share-p.share/urgentReserve)
}

// Take returns an idle connection without an account for work of a rank, the last
// used one first. It returns false if no connection is idle or the rank may not use
// one more.
func (p *Pool) Take(rank scheduler.Rank) (Conn, bool) {
	conn, _, ready := p.take(rank, "")
	if ready {
		p.busy[conn] = held{}
	}
	return conn, ready
}

// Put makes a connection idle again. Its answers must have been read
// completely, and no transaction may be open on it.
func (p *Pool) Put(now timekeeper.Millis, conn Conn) {
	h, found := p.busy[conn]
	if !found {
		return
	}
	delete(p.busy, conn)
	p.holdTime += holdSmoothing * (float64(now-h.since) - p.holdTime)
	p.addIdle(now, conn, h.account)
}

// MarkOpen records that a connection was opened and is idle. It returns false
// if the pool was not opening it.
func (p *Pool) MarkOpen(now timekeeper.Millis, conn Conn) bool {
	name, found := p.opening[conn]
	if !found {
		return false
	}
	delete(p.opening, conn)
	p.account(name).opening--
	p.addIdle(now, conn, name)
	p.idle[len(p.idle)-1].unused = true
	p.refused, p.refusedSize = 0, max(p.refusedSize, p.Size()-len(p.opening))
	return true
}

// Remove removes a connection that was closed or could not be opened. If it was
// being opened, no other is opened for openBackoff.
func (p *Pool) Remove(now timekeeper.Millis, conn Conn) {
	if name, found := p.opening[conn]; found {
		p.openAfter = now + openBackoff
		delete(p.opening, conn)
		p.account(name).opening--
		p.countClosed(name)
		return
	}
	if h, found := p.busy[conn]; found {
		delete(p.busy, conn)
		p.countClosed(h.account)
		return
	}
	if at := slices.IndexFunc(p.idle, func(i idle) bool { return i.conn == conn }); at >= 0 {
		p.removeIdle(at)
	}
}

// Has reports whether the connection is in the pool.
func (p *Pool) Has(conn Conn) bool {
	_, busy := p.busy[conn]
	_, opening := p.opening[conn]
	return busy || opening || slices.ContainsFunc(p.idle, func(i idle) bool { return i.conn == conn })
}

// RemoveIdle removes all idle connections and returns them for closing, for
// example because their network path may be broken.
func (p *Pool) RemoveIdle() []Conn {
	var out []Conn
	for len(p.idle) > 0 {
		out = append(out, p.idle[0].conn)
		p.removeIdle(0)
	}
	return out
}

// Plan returns the connections to open and the surplus connections to close.
// demand is how many idle connections without an account are wanted; the minimum of idle ones
// applies if it is higher. No more connections are opened than the share allows,
// and none during openBackoff.
func (p *Pool) Plan(now timekeeper.Millis, demand int) (toOpen, toClose []Conn) {
	toClose = p.removeSurplus(now)
	if now < p.openAfter {
		return nil, toClose
	}
	plain := p.account("")
	wanted := max(max(demand, p.minIdle)-plain.idle-plain.opening, p.minOpen-plain.open)
	for demand > p.minIdle && p.Size() >= p.sizeLimit(now) && wanted > p.sizeLimit(now)-p.Size() {
		evicted, found := p.evict(now, "", nil)
		if !found {
			break
		}
		toClose = append(toClose, evicted.Conn)
	}
	for range min(wanted, p.sizeLimit(now)-p.Size()) {
		toOpen = append(toOpen, p.open(""))
	}
	return toOpen, toClose
}

// removeSurplus removes idle connections while the pool is above the share, and
// those that were idle for too long. It returns them for closing.
func (p *Pool) removeSurplus(now timekeeper.Millis) []Conn {
	var out []Conn
	for p.Size() > p.share && len(p.idle) > 0 {
		at, _ := p.leastNeeded(now, func(idle) bool { return true })
		out = append(out, p.idle[at].conn)
		p.removeIdle(at)
	}
	for at := 0; at < len(p.idle); {
		oldest, limit := p.idle[at], p.idleLimit
		if p.surplusIdleLimit > 0 && p.Size() > 1 {
			limit = p.surplusIdleLimit
		}
		expired := p.Idle("") > p.minIdle && p.account("").open > p.minOpen && now-oldest.since > limit
		if oldest.account != "" {
			expired = now-oldest.since > cmp.Or(p.surplusIdleLimit, accountIdleLimit)
		}
		if expired {
			p.removeIdle(at)
			out = append(out, oldest.conn)
			continue
		}
		if p.account("").open == p.Size() {
			break // the others have been idle for less long
		}
		at++
	}
	return out
}
