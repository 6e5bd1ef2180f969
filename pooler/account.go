package pooler

import (
	"math"
	"slices"

	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// accountIdleLimit is how long a connection of an account may stay idle while the
	// share has room.
	accountIdleLimit timekeeper.Millis = 600_000
	// useHalfLife is the age at which a use of a connection has half its weight in the
	// expected time to the next one.
	useHalfLife = 60_000.0
	// holdSmoothing is the weight of a new measurement in the mean hold time.
	holdSmoothing = 0.05
	// accountDivisor limits an account to the share divided by this while others use the
	// server too, since connections with open transactions can't be evicted.
	accountDivisor = 2
	// minForgottenUses is the weight of past uses below which an account without
	// connections is forgotten first.
	minForgottenUses = 0.01
	// refusedHold is how long the pool stays at its size after a refusal: a server goes on
	// counting the connections of a host that lost power for 3 s.
	refusedHold timekeeper.Millis = 3000
	// unusedHold is how long a connection that was never taken is not evicted: the work
	// that it was opened for may take it only after other work has asked for its place.
	unusedHold timekeeper.Millis = 50
	// deniedPause is the pause after the server has refused an account.
	deniedPause timekeeper.Millis = 1000
	// regrowInterval is the time after refusedHold in which the pool may grow by one
	// connection.
	regrowInterval timekeeper.Millis = 500
	// maxRefusedBackoff bounds the pause after refusals in a row, which doubles from
	// openBackoff.
	maxRefusedBackoff timekeeper.Millis = 800
)

// account is what a pool knows of a client account. The empty name stands for the
// connections without an account.
type account struct {
	open, opening, idle int
	// uses is the number of uses, of which each loses weight with its age, as of usedAt.
	uses   float64
	usedAt timekeeper.Millis
	// deniedUntil is until when no connection of the account is opened.
	deniedUntil timekeeper.Millis
}

// held is a connection in use since a time.
type held struct {
	account string
	since   timekeeper.Millis
}

// usesAt returns the weight of the past uses.
func (a *account) usesAt(now timekeeper.Millis) float64 {
	return a.uses * math.Exp2(-float64(now-a.usedAt)/useHalfLife)
}

// useRate returns how often per millisecond the n-th connection of the account is
// expected to be used, counted from 1: as often as at least n are in use at once.
func (p *Pool) useRate(now timekeeper.Millis, a *account, n int) float64 {
	rate := a.usesAt(now) * math.Ln2 / useHalfLife
	return rate * math.Pow(min(1, rate*p.holdTime), float64(n-1))
}

// Eviction is an idle connection that makes room for another account.
type Eviction struct {
	Conn    Conn
	Account string
	// Idle is how long the connection was idle.
	Idle timekeeper.Millis
}

// account returns the state of an account.
func (p *Pool) account(name string) *account {
	a := p.accounts[name]
	if a == nil {
		p.forgetAccounts()
		a = &account{}
		p.accounts[name] = a
	}
	return a
}

// forgetAccounts bounds the memory for accounts without connections: beyond the limit
// it forgets those that have used the server least, until half of the limit is free.
func (p *Pool) forgetAccounts() {
	limit := 64 + 4*p.share
	if len(p.accounts) < limit {
		return
	}
	now := timekeeper.Millis(0)
	for _, a := range p.accounts {
		now = max(now, a.usedAt)
	}
	for uses := minForgottenUses; len(p.accounts) > limit/2 && uses < math.MaxFloat32; uses *= 2 {
		for name, a := range p.accounts {
			if a.open == 0 && name != "" && a.usesAt(now) < uses {
				delete(p.accounts, name)
			}
		}
	}
}

// countClosed records that a connection of an account has ended.
func (p *Pool) countClosed(name string) {
	p.account(name).open--
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
func (p *Pool) TakeAs(now timekeeper.Millis, rank scheduler.Rank, name string) (Conn, bool) {
	conn, a, ready := p.take(rank, name)
	if ready {
		p.busy[conn] = held{account: name, since: now}
		a.uses, a.usedAt = a.usesAt(now)+1, now
	}
	return conn, ready
}

// take removes an idle connection of an account from the idle ones.
func (p *Pool) take(rank scheduler.Rank, name string) (Conn, *account, bool) {
	if !p.CanTakeAs(rank, name) {
		return 0, nil, false
	}
	for at := len(p.idle) - 1; at >= 0; at-- {
		if i := p.idle[at]; i.account == name {
			p.idle = slices.Delete(p.idle, at, at+1)
			a := p.account(name)
			a.idle--
			return i.conn, a, true
		}
	}
	return 0, nil, false
}

// CanOpenAs reports whether work of a rank may open one more connection of an account:
// no pause applies to the server or the account, the account holds less than its part of the share, a connection is
// idle or the share has room, and the last connections of the share stay reserved for
// urgent work.
func (p *Pool) CanOpenAs(now timekeeper.Millis, rank scheduler.Rank, name string) bool {
	if now < p.openAfter || p.Open(name) >= p.accountLimit(name) {
		return false
	}
	if a := p.accounts[name]; a != nil && now < a.deniedUntil {
		return false
	}
	if limit := p.sizeLimit(now); p.Size() > limit || p.Size() == limit && len(p.idle) == 0 {
		return false
	}
	return rank == scheduler.RankUrgent || len(p.busy)+len(p.opening) < max(1, p.share-p.share/urgentReserve)
}

// Open returns how many connections of an account are open or being opened.
func (p *Pool) Open(name string) int {
	if a := p.accounts[name]; a != nil {
		return a.open
	}
	return 0
}

// accountLimit returns how many connections an account may have.
func (p *Pool) accountLimit(name string) int {
	others := len(p.accounts)
	for _, known := range []string{"", name} {
		if p.accounts[known] != nil {
			others--
		}
	}
	if others == 0 {
		return p.share
	}
	return max(1, p.share/accountDivisor)
}

// OpenAs returns a new connection of an account for work of a rank. If the share is
// full, it evicts the idle connection that is expected to be needed last, which is
// returned for closing; its zero value stands for none. It evicts none of an account for which keep returns true, and
// for a further connection of an account only one that is needed less. It returns false
// if there is no such connection, or if CanOpenAs does.
func (p *Pool) OpenAs(now timekeeper.Millis, rank scheduler.Rank, name string, keep func(account string) bool) (Conn, Eviction, bool) {
	if !p.CanOpenAs(now, rank, name) {
		return 0, Eviction{}, false
	}
	var evicted Eviction
	if p.Size() == p.sizeLimit(now) {
		found := false
		if evicted, found = p.evict(now, name, keep); !found {
			return 0, evicted, false
		}
	}
	return p.open(name), evicted, true
}

// sizeLimit returns how many connections the pool may have.
func (p *Pool) sizeLimit(now timekeeper.Millis) int {
	if p.refusedUntil == 0 {
		return p.share
	}
	return min(p.share, p.refusedSize+int(max(now-p.refusedUntil, 0)/regrowInterval))
}

// Refuse removes a connection of an account that the server has refused because of its
// limit. For refusedHold the pool does not grow beyond its size, so that a new
// connection takes the place of an idle one, and then by one every regrowInterval.
func (p *Pool) Refuse(now timekeeper.Millis, conn Conn) {
	if _, opening := p.opening[conn]; !opening {
		return
	}
	first, before := now >= p.openAfter, p.openAfter
	p.Remove(now, conn)
	p.openAfter = before
	if first { // the others were opened before this refusal was known
		p.openAfter = now + min(openBackoff<<min(p.refused, 8), maxRefusedBackoff)
		p.refused++
	}
	p.refusedSize, p.refusedUntil = max(1, p.Size()-len(p.opening)), now+refusedHold
}

// Deny removes a connection that the server has refused because of its account. For
// deniedPause no other of the account is opened; other accounts don't wait.
func (p *Pool) Deny(now timekeeper.Millis, conn Conn) {
	name, opening := p.opening[conn]
	if !opening {
		return
	}
	before := p.openAfter
	p.Remove(now, conn)
	p.openAfter = before
	p.account(name).deniedUntil = now + deniedPause
}

// evict removes an idle connection of another account than the given one.
// Connections without an account up to the minimum stay.
func (p *Pool) evict(now timekeeper.Millis, name string, keep func(account string) bool) (Eviction, bool) {
	plain, wanted := p.account(""), p.account(name)
	at, rate := p.leastNeeded(now, func(i idle) bool {
		other := i.account
		if i.unused && now-i.since < unusedHold {
			return false
		}
		if other == "" && (plain.idle <= p.minIdle || plain.open <= p.minOpen) {
			return false
		}
		return other != name && (keep == nil || !keep(other))
	})
	if at < 0 || name != "" && wanted.open > 0 && rate >= p.useRate(now, wanted, wanted.open+1) {
		return Eviction{}, false
	}
	i := p.idle[at]
	p.removeIdle(at)
	return Eviction{Conn: i.conn, Account: i.account, Idle: now - i.since}, true
}

// leastNeeded returns the index of the idle connection that is expected to be used least
// often, the one that was idle for longest first, and how often that is. It considers
// those for which match returns true, and returns a negative index if there is
// none. To open a connection costs the same for all accounts, so how soon it is needed
// decides.
func (p *Pool) leastNeeded(now timekeeper.Millis, match func(idle) bool) (int, float64) {
	best, lowest := -1, 0.0
	for at, i := range p.idle {
		if !match(i) {
			continue
		}
		a := p.account(i.account)
		if rate := p.useRate(now, a, a.open-a.opening); best < 0 || rate < lowest {
			best, lowest = at, rate
		}
	}
	return best, lowest
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
