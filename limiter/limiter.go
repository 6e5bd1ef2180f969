// Package limiter enforces the rate limits of client accounts across all daemons. In
// each failure domain one daemon, the coordinator, keeps the token buckets of an
// account, and gateways ask it for tokens. The coordinators of the domains pass parts of
// an account's rate to each other. The package does no I/O: its methods take the
// current time and an input, and Take returns the messages to send.
package limiter

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/placer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// shardCount is how many coordinators each domain has. A number that followed the
	// number of hosts would let daemons whose lists differ ask two coordinators for the
	// tokens of one account.
	shardCount = 4
	// freezeGap is the time between two ticks above which the daemon was frozen.
	freezeGap timekeeper.Millis = 300
	// idleRetention is how long the state of an account without operations is kept.
	idleRetention timekeeper.Millis = 60_000
)

// Deps holds the functions that a Limiter needs from outside.
type Deps struct {
	// Log writes a log entry; nil writes none.
	Log func(observer.Decision)
	// Account returns an account of the catalog in force.
	Account func(name string) (cataloger.Account, bool)
}

// Outcome says what became of an operation that asked for a token.
type Outcome int

// Outcomes.
const (
	// Admitted: the operation may run.
	Admitted Outcome = iota
	// Waiting: Take returns the outcome later.
	Waiting
	// Refused: the operation must not run.
	Refused
)

// Decision is the outcome for one operation.
type Decision struct {
	ID      string
	Outcome Outcome
	// RetryAfter is when a refused operation may be sent again, from now.
	RetryAfter timekeeper.Millis
}

// Message is a request to another daemon: Tokens or Demand is set.
type Message struct {
	To     placer.Host
	Tokens *TokensRequest
	Demand *DemandRequest
	// ID identifies the message in TokensAnswered, DemandAnswered and Lost.
	ID uint64
	// borrowedFrom is the domain that a coordinator asks for tokens.
	borrowedFrom string
}

// Limiter is one daemon's part in enforcing rate limits, as a gateway and as a
// coordinator. It is not safe for concurrent use.
type Limiter struct {
	deps      Deps
	placement placer.Placement
	placed    bool
	gateway   *Gateway
	coord     *Coordinator
	wokenAt   timekeeper.Millis
	lastID    uint64
	sent      map[uint64]Message
	out       []Message
	stats     Stats
}

// New returns a Limiter without a placement, which admits operations on its own.
// epoch differs between any two runs of the daemon.
func New(epoch int64, deps Deps) *Limiter {
	if deps.Log == nil {
		deps.Log = func(observer.Decision) {}
	}
	l := &Limiter{deps: deps, sent: map[uint64]Message{}, stats: Stats{Accounts: map[string]Count{}}}
	l.gateway = newGateway(deps, &l.stats)
	l.coord = newCoordinator(epoch, deps)
	return l
}

// shardOf returns the shard of an account.
func shardOf(account string) int {
	return int(xxhash.Sum64String(account) % shardCount)
}

// shardKey is the name under which a shard is placed on a domain's hosts.
func shardKey(shard int) string {
	return "tokens/" + strconv.Itoa(shard)
}

// SetPlacement sets which daemons are live.
func (l *Limiter) SetPlacement(now timekeeper.Millis, p placer.Placement) {
	if l.placed && p.Equal(l.placement) {
		return
	}
	l.placement, l.placed = p, true
	l.gateway.setPlacement(p)
	l.coord.setPlacement(now, p)
}

// Admit asks for a token for an operation of an account. It returns Waiting if the
// outcome comes with a later call of Take.
func (l *Limiter) Admit(now timekeeper.Millis, id string, account cataloger.Account) Decision {
	l.wake(now)
	d := l.gateway.admit(now, id, account)
	if d.Outcome != Waiting {
		return d
	}
	l.collect(now)
	return l.gateway.takeDecision(d)
}

// Cancel ends an operation's wait.
func (l *Limiter) Cancel(id string, account string) {
	l.gateway.cancel(id, account)
}

// Charge takes a token for a run of an operation that may have run before.
func (l *Limiter) Charge(now timekeeper.Millis, account cataloger.Account) {
	l.gateway.charge(now, account)
}

// Refund returns a token that was given at admittedAt to an operation that then did not
// run. It expires like one that was granted then.
func (l *Limiter) Refund(now, admittedAt timekeeper.Millis, account cataloger.Account) {
	l.gateway.refund(now, admittedAt, account)
}

// Leave tells the other daemons that this one ends, so that they don't wait for it.
func (l *Limiter) Leave() {
	l.coord.leaving = true
}

// Waiting returns the number of operations that wait for a token.
func (l *Limiter) Waiting() int {
	return l.gateway.waitingCount()
}

// Tick handles time limits. Drivers call it every 10 to 50 ms.
func (l *Limiter) Tick(now timekeeper.Millis) {
	l.wake(now)
	l.gateway.tick(now)
	l.coord.tick(now)
	l.collect(now)
}

// wake notices that the daemon was frozen.
func (l *Limiter) wake(now timekeeper.Millis) {
	if l.wokenAt > 0 && now-l.wokenAt > freezeGap {
		l.coord.resume(now)
	}
	l.wokenAt = now
}

// Take returns the messages to send and the outcomes for operations that waited.
func (l *Limiter) Take(now timekeeper.Millis) ([]Message, []Decision) {
	l.collect(now)
	out := l.out
	l.out = nil
	return out, l.gateway.takeDecisions()
}

// collect takes the requests of both sides and answers those to this daemon itself.
func (l *Limiter) collect(now timekeeper.Millis) {
	for _, r := range l.gateway.requests(now) {
		if r.to.Name == l.placement.Self().Name {
			l.gateway.answered(now, r.request.Number, l.coord.Tokens(now, r.request))
			continue
		}
		l.send(Message{To: r.to, Tokens: &r.request})
	}
	for _, m := range l.coord.requests(now) {
		l.send(m)
	}
}

func (l *Limiter) send(m Message) {
	l.lastID++
	m.ID = l.lastID
	l.sent[m.ID] = m
	l.out = append(l.out, m)
	l.stats.Sent++
}

// HandleTokens answers a gateway's request.
func (l *Limiter) HandleTokens(now timekeeper.Millis, r TokensRequest) TokensAnswer {
	l.stats.Received++
	l.wake(now)
	return l.coord.Tokens(now, r)
}

// HandleDemand answers another coordinator or the deputy.
func (l *Limiter) HandleDemand(now timekeeper.Millis, r DemandRequest) DemandAnswer {
	l.stats.Received++
	l.wake(now)
	return l.coord.Demand(now, r)
}

// TokensAnswered handles the answer to a request for tokens.
func (l *Limiter) TokensAnswered(now timekeeper.Millis, id uint64, a TokensAnswer) {
	m, found := l.sent[id]
	delete(l.sent, id)
	switch {
	case !found || m.Tokens == nil:
	case m.Tokens.Domain != "":
		l.coord.borrowed(now, *m.Tokens, m.borrowedFrom, a)
	default:
		l.gateway.answered(now, m.Tokens.Number, a)
	}
}

// DemandAnswered handles the answer to a message about demand.
func (l *Limiter) DemandAnswered(now timekeeper.Millis, id uint64, a DemandAnswer) {
	m, found := l.sent[id]
	delete(l.sent, id)
	if found && m.Demand != nil && m.Demand.Domain == l.placement.Self().Domain {
		l.coord.pingAnswered(now, m.Demand.Shard, m.To.Name, a)
	}
}

// Lost handles a message that gets no answer.
func (l *Limiter) Lost(now timekeeper.Millis, id uint64) {
	m, found := l.sent[id]
	delete(l.sent, id)
	switch {
	case !found || m.Tokens == nil:
	case m.Tokens.Domain != "":
		l.coord.borrowed(now, *m.Tokens, m.borrowedFrom, TokensAnswer{Unavailable: true})
	default:
		l.gateway.lost(now, m.Tokens.Number)
	}
}

// sortedBy returns the keys of a map in order.
func sortedBy[K cmp.Ordered, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
