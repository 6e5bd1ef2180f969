package pooler

import (
	"slices"

	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// accountIdleLimit is how long a connection of an account may stay idle while the
// share has room.
const accountIdleLimit timekeeper.Millis = 600_000

// account counts a client account's connections. The empty name stands for those
// without an account.
type account struct {
	open, opening, idle int
}

// Eviction is an idle connection that makes room for another account.
type Eviction struct {
	Conn    Conn
	Account string
	// Idle is how long the connection was idle.
	Idle timekeeper.Millis
}

// account returns the counts of an account, which are kept while it has connections.
func (p *Pool) account(name string) *account {
	a := p.accounts[name]
	if a == nil {
		a = &account{}
		p.accounts[name] = a
	}
	return a
}

// countClosed records that a connection of an account has ended.
func (p *Pool) countClosed(name string) {
	a := p.account(name)
	if a.open--; a.open == 0 && name != "" {
		delete(p.accounts, name)
	}
}

// removeIdle removes an idle connection by its index.
func (p *Pool) removeIdle(at int) {
	i := p.idle[at]
	p.idle = slices.Delete(p.idle, at, at+1)
	p.account(i.account).idle--
	p.countClosed(i.account)
}

// addIdle adds an idle connection.
func (p *Pool) addIdle(now timekeeper.Millis, conn Conn, name string) {
	p.idle = append(p.idle, idle{conn: conn, account: name, since: now})
	p.account(name).idle++
}

// open returns a new connection that is being opened.
func (p *Pool) open(name string) Conn {
	conn := p.nextConn()
	p.opening[conn] = name
	a := p.account(name)
	a.open++
	a.opening++
	return conn
}

// Idle returns how many connections of an account are idle.
func (p *Pool) Idle(name string) int {
	if a := p.accounts[name]; a != nil {
		return a.idle
	}
	return 0
}

// Opening returns how many connections of an account are being opened.
func (p *Pool) Opening(name string) int {
	if a := p.accounts[name]; a != nil {
		return a.opening
	}
	return 0
}

// OpeningAccounts returns how many connections of all accounts are being opened.
func (p *Pool) OpeningAccounts() int {
	return len(p.opening) - p.Opening("")
}

// CanTakeAs reports whether TakeAs would return a connection of an account.
func (p *Pool) CanTakeAs(rank scheduler.Rank, name string) bool {
	return p.allowed(rank) && p.Idle(name) > 0
}

// TakeAs returns an idle connection of an account for work of a rank, the last used
// one first. The empty name stands for connections without an account. It returns
// false if no connection of the account is idle or the rank may not use one more.
func (p *Pool) TakeAs(rank scheduler.Rank, name string) (Conn, bool) {
	if !p.CanTakeAs(rank, name) {
		return 0, false
	}
	for at := len(p.idle) - 1; at >= 0; at-- {
		if i := p.idle[at]; i.account == name {
			p.idle = slices.Delete(p.idle, at, at+1)
			p.busy[i.conn] = name
			p.account(name).idle--
			return i.conn, true
		}
	}
	return 0, false
}

// CanOpenAs reports whether work of a rank may open one more connection of an account:
// no openBackoff applies, and the last connections of the share stay reserved for urgent
// work.
func (p *Pool) CanOpenAs(now timekeeper.Millis, rank scheduler.Rank) bool {
	return now >= p.openAfter && (rank == scheduler.RankUrgent || len(p.busy)+len(p.opening) < max(1, p.share-p.share/urgentReserve))
}

// OpenAs returns a new connection of an account for work of a rank. If the share is
// full, it evicts an idle connection of another account, which is returned for
// closing. It returns false if there is none, if the rank may not use one more, and
// during openBackoff.
func (p *Pool) OpenAs(now timekeeper.Millis, rank scheduler.Rank, name string) (Conn, []Eviction, bool) {
	if !p.CanOpenAs(now, rank) {
		return 0, nil, false
	}
	var evicted []Eviction
	for p.Size() >= p.share {
		e, found := p.evict(now, name)
		if !found {
			return 0, evicted, false
		}
		evicted = append(evicted, e)
	}
	return p.open(name), evicted, true
}

// evict removes an idle connection of another account than the given one, the one
// that was idle for longest. Connections without an account up to the minimum stay.
func (p *Pool) evict(now timekeeper.Millis, name string) (Eviction, bool) {
	plain := p.account("")
	spare := plain.idle > p.minIdle && plain.open > p.minOpen
	for at, i := range p.idle {
		if i.account == name || i.account == "" && !spare {
			continue
		}
		p.removeIdle(at)
		return Eviction{Conn: i.conn, Account: i.account, Idle: now - i.since}, true
	}
	return Eviction{}, false
}

// RemoveIdleIf removes the idle connections of the accounts for which match returns
// true and returns them for closing.
func (p *Pool) RemoveIdleIf(match func(account string) bool) []Conn {
	var out []Conn
	for at := len(p.idle) - 1; at >= 0; at-- {
		if i := p.idle[at]; i.account != "" && match(i.account) {
			p.removeIdle(at)
			out = append(out, i.conn)
		}
	}
	return out
}
