package limiter

import (
	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/placer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// maxWait is how long an operation waits for a token.
	maxWait timekeeper.Millis = 150
	// tokenLifetime is how long after the request a granted token may be used.
	tokenLifetime timekeeper.Millis = 300
	// aheadPeriod is for how long ahead tokens are requested for a busy account.
	aheadPeriod timekeeper.Millis = 250
	// measurePeriod is the period over which arrivals are counted.
	measurePeriod timekeeper.Millis = 250
	// maxRefusal is how long a gateway refuses operations on its own after a
	// coordinator had no tokens.
	maxRefusal timekeeper.Millis = 250
	// maxRetry bounds the times after which refused operations are to return.
	maxRetry timekeeper.Millis = 5000
	// rejectionLogInterval is the time between two log lines about an account's
	// refused operations.
	rejectionLogInterval timekeeper.Millis = 1000
)

// minAhead is the demand in aheadPeriod from which on an account counts as busy.
const minAhead = 2

// waiter is an operation that waits for a token.
type waiter struct {
	id    string
	since timekeeper.Millis
	// due is when the token that was granted may be used; 0 if none was.
	due timekeeper.Millis
}

// grant is a number of tokens that were granted for expected operations.
type grant struct {
	count   int
	expires timekeeper.Millis
}

// ledger is what a gateway knows about an account.
type ledger struct {
	account cataloger.Account
	grants  []grant
	waiting []waiter
	// asked is how many of the waiting operations, from the first, the request in
	// flight asks for.
	asked int
	// demand and charged are counts that the coordinator has not been told, and
	// sentDemand and sentCharged those in the request in flight.
	demand, charged, sentDemand, sentCharged int
	// arrivals counts operations since measuredAt, and rate is the moving average of
	// arrivals a second.
	arrivals   int
	measuredAt timekeeper.Millis
	rate       float64
	// refuseUntil is until when operations are refused without asking, because no
	// token is due before. Refused operations are to return within spread after it.
	refuseUntil, spread timekeeper.Millis
	refusals            int
	loggedAt            timekeeper.Millis
	loggedRefusals      int
	askAheadAt          timekeeper.Millis
	// againAt is when to ask again for operations that wait.
	againAt  timekeeper.Millis
	usedAt   timekeeper.Millis
	fallback fallback
}

// Gateway asks coordinators for tokens on behalf of this daemon's clients.
type Gateway struct {
	deps      Deps
	stats     *Stats
	placement placer.Placement
	placed    bool
	routes    []*route
	accounts  map[string]*ledger
	// active are the accounts that have operations waiting, and due those that the next
	// request is to name.
	active, due map[string]*ledger
	numbers     uint64
	inFlight    map[uint64]*route
	decisions   []Decision
	sweepAt     timekeeper.Millis
}

func newGateway(deps Deps, stats *Stats) *Gateway {
	return &Gateway{deps: deps, stats: stats, accounts: map[string]*ledger{}, active: map[string]*ledger{}, due: map[string]*ledger{}, inFlight: map[uint64]*route{}}
}

// ledger returns the state of an account with the limits of its current definition.
func (g *Gateway) ledger(now timekeeper.Millis, account cataloger.Account) *ledger {
	l := g.accounts[account.Name]
	if l == nil {
		l = &ledger{measuredAt: now}
		g.accounts[account.Name] = l
	}
	l.account, l.usedAt = account, now
	return l
}

// measure updates the moving average of arrivals.
func (l *ledger) measure(now timekeeper.Millis) {
	elapsed := now - l.measuredAt
	if elapsed < measurePeriod {
		return
	}
	l.rate = (l.rate + float64(l.arrivals)*1000/float64(elapsed)) / 2
	l.arrivals, l.measuredAt = 0, now
}

// held returns the number of tokens that may be used at now.
func (l *ledger) held(now timekeeper.Millis) int {
	n := 0
	for len(l.grants) > 0 && (now >= l.grants[0].expires || l.grants[0].count == 0) {
		l.grants = l.grants[1:]
	}
	for _, t := range l.grants {
		n += t.count
	}
	return n
}

func (g *Gateway) admit(now timekeeper.Millis, id string, account cataloger.Account) Decision {
	if account.RateLimit <= 0 {
		return Decision{ID: id}
	}
	l := g.ledger(now, account)
	l.measure(now)
	l.arrivals++
	l.demand++
	if len(l.waiting) == 0 && l.held(now) > 0 {
		l.grants[0].count--
		g.stats.add(account.Name, Count{Admitted: 1})
		g.askAhead(now, l)
		return Decision{ID: id}
	}
	if now < l.refuseUntil {
		return g.refuse(now, l, id, "no tokens")
	}
	l.waiting = append(l.waiting, waiter{id: id, since: now})
	g.active[account.Name], g.due[account.Name] = l, l
	return Decision{ID: id, Outcome: Waiting}
}

// askAhead makes the next request ask for tokens of a busy account.
func (g *Gateway) askAhead(now timekeeper.Millis, l *ledger) {
	if now >= l.askAheadAt && l.ahead(now) > 0 {
		g.due[l.account.Name] = l
	}
}

// ahead returns how many tokens to request for operations that are expected.
func (l *ledger) ahead(now timekeeper.Millis) int {
	expected := int(l.rate * float64(aheadPeriod) / 1000)
	if expected < minAhead || now < l.refuseUntil {
		return 0
	}
	return max(0, expected-l.held(now))
}

// refuse refuses an operation. Operations that are refused together are told to
// return at different times.
func (g *Gateway) refuse(now timekeeper.Millis, l *ledger, id, reason string) Decision {
	l.refusals++
	g.stats.add(l.account.Name, Count{Refused: 1})
	if now-l.loggedAt >= rejectionLogInterval || l.loggedAt == 0 {
		g.deps.Log(observer.Decision{Part: "account " + l.account.Name, Outcome: "rejected: " + reason, Inputs: []observer.Field{
			observer.F("limit", l.account.RateLimit), observer.F("burst", l.account.Burst), observer.F("tokens", l.held(now)),
			observer.F("coordinator", g.route(l.account.Name).target(now).Name), observer.F("rejected", l.refusals-l.loggedRefusals),
		}})
		l.loggedAt, l.loggedRefusals = now, l.refusals
	}
	return Decision{ID: id, Outcome: Refused, RetryAfter: max(1, l.refuseUntil-now) + spreadOut(l.refusals, l.spread)}
}

// spreadOut returns the delay of the n-th refused operation within a period. Any few
// in a row are far apart: the step is the golden ratio of the period.
func spreadOut(n int, period timekeeper.Millis) timekeeper.Millis {
	const step, parts = 40503, 1 << 16
	return period * timekeeper.Millis(n*step%parts) / parts
}

func (g *Gateway) charge(now timekeeper.Millis, account cataloger.Account) {
	if account.RateLimit <= 0 {
		return
	}
	l := g.ledger(now, account)
	if l.held(now) > 0 {
		l.grants[0].count--
		return
	}
	l.charged++
	g.due[account.Name] = l
}

// refund gives a token back: to an operation that waits for one, or for the next one.
func (g *Gateway) refund(now, admittedAt timekeeper.Millis, account cataloger.Account) {
	l := g.accounts[account.Name]
	if l == nil || now >= admittedAt+tokenLifetime {
		return
	}
	for i, w := range l.waiting {
		if w.due == 0 {
			l.waiting = append(l.waiting[:i:i], l.waiting[i+1:]...)
			if i < l.asked {
				l.asked--
			}
			g.admitWaiting(w)
			return
		}
	}
	l.grants = append(l.grants, grant{count: 1, expires: admittedAt + tokenLifetime})
}

func (g *Gateway) cancel(id, account string) {
	l := g.accounts[account]
	if l == nil {
		return
	}
	for i, w := range l.waiting {
		if w.id == id {
			l.waiting = append(l.waiting[:i:i], l.waiting[i+1:]...)
			if i < l.asked {
				l.asked--
			}
			return
		}
	}
}

func (g *Gateway) waitingCount() int {
	n := 0
	for _, l := range g.active {
		n += len(l.waiting)
	}
	return n
}

// takeDecision returns the outcome of one operation if it is known by now.
func (g *Gateway) takeDecision(d Decision) Decision {
	for i, known := range g.decisions {
		if known.ID == d.ID {
			g.decisions = append(g.decisions[:i:i], g.decisions[i+1:]...)
			return known
		}
	}
	return d
}

func (g *Gateway) takeDecisions() []Decision {
	out := g.decisions
	g.decisions = nil
	return out
}

// answered handles a coordinator's answer.
func (g *Gateway) answered(now timekeeper.Millis, number uint64, a TokensAnswer) {
	r := g.inFlight[number]
	if r == nil {
		return
	}
	if a.Unavailable || now-r.sentAt > tokenLifetime {
		g.failed(now, r, unavailablePause)
		if a.Host != "" {
			r.suggest(now, placer.Host{Name: a.Host, Address: a.Address})
		}
		return
	}
	delete(g.inFlight, number)
	r.number, r.answeredAt = 0, now
	delete(r.refused, r.to.Name)
	delete(r.losses, r.to.Name)
	for _, item := range a.Items {
		l := g.accounts[item.Account]
		if l == nil {
			continue
		}
		g.applyGrant(now, l, item, r.sentAt)
	}
	for _, name := range r.asked {
		if l := g.accounts[name]; l != nil {
			l.asked, l.sentDemand, l.sentCharged = 0, 0, 0
		}
	}
}

// applyGrant gives tokens to the operations that they were requested for and refuses
// the others.
func (g *Gateway) applyGrant(now timekeeper.Millis, l *ledger, item TokensGrant, sentAt timekeeper.Millis) {
	if item.Ahead > 0 {
		l.grants = append(l.grants, grant{count: item.Ahead, expires: sentAt + tokenLifetime})
	}
	l.spread = item.Spread
	var kept []waiter
	granted, asked := item.Granted, l.asked
	for i, w := range l.waiting {
		switch {
		case w.due > 0 || i >= asked:
			kept = append(kept, w)
		case granted > 0 && item.Wait > 0:
			granted--
			w.due = now + item.Wait
			kept = append(kept, w)
		case granted > 0:
			granted--
			g.admitWaiting(w)
			g.stats.add(l.account.Name, Count{Admitted: 1})
		case item.Again > 0:
			l.againAt = now + item.Again
			kept = append(kept, w)
		default:
			l.refuseUntil = now + min(max(item.Retry, 1), maxRefusal)
			g.decisions = append(g.decisions, g.refuse(now, l, w.id, "no tokens"))
		}
	}
	l.waiting, l.asked = kept, 0
	if granted > 0 && item.Wait == 0 {
		// Their operations have left meanwhile.
		l.grants = append(l.grants, grant{count: granted, expires: sentAt + tokenLifetime})
	}
	if l.fallback.active {
		g.endFallback(now, l)
	}
}

func (g *Gateway) admitWaiting(w waiter) {
	g.decisions = append(g.decisions, Decision{ID: w.id})
}

// lost handles a request that gets no answer.
func (g *Gateway) lost(now timekeeper.Millis, number uint64) {
	if r := g.inFlight[number]; r != nil {
		g.failed(now, r, lostPause)
	}
}

// tick handles the time limits of requests and waiting operations.
func (g *Gateway) tick(now timekeeper.Millis) {
	for _, number := range sortedBy(g.inFlight) {
		if r := g.inFlight[number]; now-r.sentAt >= requestTimeout {
			g.failed(now, r, lostPause)
		}
	}
	for _, name := range sortedBy(g.active) {
		l := g.active[name]
		l.measure(now)
		g.tickWaiting(now, l)
		switch {
		case len(l.waiting) == 0:
			delete(g.active, name)
		case l.asked == 0 && now >= l.againAt:
			g.due[name] = l
		}
	}
	if now < g.sweepAt {
		return
	}
	g.sweepAt = now + idleRetention/4
	for name, l := range g.accounts {
		if now-l.usedAt > idleRetention && len(l.waiting) == 0 {
			delete(g.accounts, name)
		}
	}
}

// tickWaiting admits operations whose token is due, and ends waits that last too long.
func (g *Gateway) tickWaiting(now timekeeper.Millis, l *ledger) {
	var kept []waiter
	asked := l.asked
	for i, w := range l.waiting {
		switch {
		case w.due > 0 && now > w.due+tokenLifetime:
			g.decisions = append(g.decisions, g.refuse(now, l, w.id, "the token has expired"))
		case w.due > 0 && now >= w.due:
			g.stats.add(l.account.Name, Count{Admitted: 1})
			g.admitWaiting(w)
		case w.due == 0 && now-w.since >= maxWait:
			g.decisions = append(g.decisions, g.decideAlone(now, l, w))
		default:
			kept = append(kept, w)
			continue
		}
		if i < asked {
			l.asked--
		}
	}
	l.waiting = kept
}
