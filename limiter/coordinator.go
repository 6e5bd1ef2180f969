package limiter

import (
	"math"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/placer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// takeoverTokens is what a bucket holds at most when a coordinator has taken over or
	// was frozen.
	takeoverTokens = 1.0
	// minCapacity is the least that a bucket can hold, and what it holds when a
	// coordinator starts. All domains together hold at most sharedCapacity of these
	// tokens: twelve exceeded the bound of an account with one operation a second when
	// gateways were cut off at the same time.
	minCapacity, sharedCapacity = 4.0, 9.0
	// maxRateReserve is by how many operations a second all domains together may exceed
	// the rate, and rateReserve by what part of it, so that rounding leaves nothing
	// unused.
	maxRateReserve, rateReserve = 1.0, 0.05
	// maxDebt is for how long ahead a coordinator grants tokens that may be used only
	// once they are due. It smooths arrivals at accounts without a burst.
	maxDebt timekeeper.Millis = 100
	// demandPeriod is the time between two messages to another domain's coordinator,
	// and minDemandPeriod that after a change.
	demandPeriod, minDemandPeriod timekeeper.Millis = 250, 20
	// countPeriod is the time between two counts of all accounts' demand.
	countPeriod timekeeper.Millis = 50
	// entriesPerPeriod is how many accounts lengthen the time between two messages by
	// another demandPeriod, up to maxDemandPeriod, so that they fit narrow links.
	entriesPerPeriod                   = 200
	maxDemandPeriod  timekeeper.Millis = 750
	// silenceLimit is the silence after which the coordinators of two domains presume
	// that they are cut off from each other.
	silenceLimit timekeeper.Millis = 1000
	// capacityTime is how long a bucket takes to shrink to nothing. Tokens would be lost
	// with a rate share that moves, before the other domain can borrow them.
	capacityTime timekeeper.Millis = 2000
	// demandReserve is how much more than its measured demand a domain is to get.
	demandReserve = 1.25
	// countsInMemory is over how many operations at the rate limit an account's demand is
	// averaged, for at most maxMemory: rates of a few operations a second look different
	// in every period.
	countsInMemory                   = 20
	maxMemory      timekeeper.Millis = 10_000
	// minDemand is the demand in operations a second that counts as none.
	minDemand = 0.05
)

// tally is what a coordinator knows about an account.
type tally struct {
	account cataloger.Account
	bucket  Bucket
	// counted is how many operations have arrived since countedAt, and demand the
	// moving average of operations a second.
	counted   int
	countedAt timekeeper.Millis
	demand    float64
	gifts     map[string]*gift
	usedAt    timekeeper.Millis
	// capacity is that of the bucket, which follows a lower rate share slowly.
	capacity float64
	loan     loan
	// loggedShare is the rate share that was last logged.
	loggedShare float64
}

// gift is what passes between this domain and another of one account's rate.
type gift struct {
	// given is the part of the rate that the other domain may use from the message
	// loweredIn on, and charged what it may be using until it has confirmed that.
	given, charged float64
	loweredIn      int64
	// planned is what is to be given once the deputy knows, and told what it was told.
	planned, told float64
	// held is the part that this domain may use of the other's.
	held float64
	// demand is that of the other domain.
	demand float64
}

// peer is the coordinator of another domain for a shard.
type peer struct {
	host  placer.Host
	hosts hostCount
	// from and epoch identify the sender of the last message, heard is its number and
	// heardAt when it arrived, 0 if none has.
	from    string
	epoch   int64
	heard   int64
	heardAt timekeeper.Millis
	// sent is the number of the last message to the domain, and confirmed of the last
	// that it has confirmed.
	sent, confirmed int64
	nextSend        timekeeper.Millis
	// toldEntries says that the last message named accounts.
	toldEntries bool
	// changed says that the peer should hear of a change early.
	changed bool
	sentAt  timekeeper.Millis
	// lowered says that a gift of the peer fell in a message that is not confirmed yet,
	// because the deputy does not know of it; confirms is the last that may be.
	lowered  bool
	confirms int64
	// removedAt is when the domain's last host has disappeared; 0 if it has hosts.
	removedAt timekeeper.Millis
}

// Coordinator keeps the token buckets of the shards that are placed on this daemon.
type Coordinator struct {
	deps      Deps
	epoch     int64
	placement placer.Placement
	shards    []*shard
	sweepAt   timekeeper.Millis
	leaving   bool
	// complete says that the hosts of all domains have been known.
	complete bool
}

func newCoordinator(epoch int64, deps Deps) *Coordinator {
	return &Coordinator{deps: deps, epoch: epoch}
}

// shard is the state of one shard's accounts in this domain.
type shard struct {
	coord    *Coordinator
	number   int
	accounts map[string]*tally
	peers    map[string]*peer
	// borrowing are the accounts whose tokens other domains are to be asked for.
	borrowing []*tally
	standing
}

// burstPart is the part of an account's burst that all buckets together hold. The rest of
// what may run in a window covers tokens that were granted ahead, and takeovers.
const burstPart = 0.75

// hostCount is the number of a domain's hosts. It falls only after a time, because the
// daemons' lists differ for a while.
type hostCount struct {
	count, next int
	lowerSince  timekeeper.Millis
}

func (h *hostCount) set(now timekeeper.Millis, n int) {
	if n >= h.count {
		h.count, h.lowerSince = n, 0
	} else if h.lowerSince == 0 {
		h.lowerSince = now
	}
	h.next = n
	h.settle(now)
}

// settle takes over a lower number that has lasted.
func (h *hostCount) settle(now timekeeper.Millis) {
	if h.lowerSince > 0 && now-h.lowerSince >= departureHold {
		h.count, h.lowerSince = h.next, 0
	}
}

// base returns the rate share of a domain that nobody has any demand of.
func (s *shard) base(domain string) float64 {
	total, own := 0, 0
	for name, p := range s.peers {
		total += p.hosts.count
		if name == domain {
			own = p.hosts.count
		}
	}
	self := s.hosts.count
	if domain == s.coord.placement.Self().Domain {
		own = self
	}
	return float64(own) / float64(max(total+self, 1))
}

// tally returns the state of an account, or nil if it has no rate limit.
func (s *shard) tally(now timekeeper.Millis, name string) *tally {
	account, found := s.coord.deps.Account(name)
	if !found || account.RateLimit <= 0 {
		delete(s.accounts, name)
		return nil
	}
	t := s.accounts[name]
	if t == nil {
		t = &tally{gifts: map[string]*gift{}, bucket: Bucket{Tokens: s.startTokens(), RefilledAt: max(s.grantsSince, now-idleRetention)}, countedAt: now}
		s.accounts[name] = t
		t.loggedShare = s.base(s.coord.placement.Self().Domain)
	}
	t.account, t.usedAt = account, now
	return t
}

// gift returns what passes between this domain and another.
func (t *tally) gift(domain string) *gift {
	if t.gifts[domain] == nil {
		t.gifts[domain] = &gift{}
	}
	return t.gifts[domain]
}

// share returns the part of an account's rate that this daemon may grant: the domain's
// base share without what was given away, and with what other domains have given.
func (s *shard) share(now timekeeper.Millis, t *tally) float64 {
	share := s.base(s.coord.placement.Self().Domain)
	for _, g := range t.gifts {
		share += g.held - g.charged
	}
	return max(0, min(1, share)) * s.part(now)
}

// minCapacity is the least that a bucket of the shard can hold.
func (s *shard) minCapacity() float64 {
	return min(minCapacity, sharedCapacity/float64(len(s.peers)+1))
}

// refill brings an account's bucket up to date and returns its rate.
func (s *shard) refill(now timekeeper.Millis, t *tally) float64 {
	share := s.share(now, t)
	limit := float64(t.account.RateLimit)
	rate := (limit + min(maxRateReserve, limit*rateReserve)) * share
	if s.unsettled(now) {
		rate = 0
	}
	capacity := max(s.minCapacity(), burstPart*float64(t.account.Burst)*share)
	if elapsed := now - t.bucket.RefilledAt; elapsed < capacityTime {
		capacity = max(capacity, t.capacity-burstPart*float64(t.account.Burst)*float64(elapsed)/float64(capacityTime))
	}
	t.capacity = min(capacity, max(s.minCapacity(), burstPart*float64(t.account.Burst)))
	t.bucket.Refill(now, rate, t.capacity)
	return rate
}

// count adds operations to an account's demand.
func (t *tally) count(now timekeeper.Millis, n int) {
	if elapsed := now - t.countedAt; elapsed >= demandPeriod {
		memory := min(max(countsInMemory*1000/float64(t.account.RateLimit), float64(2*demandPeriod)), float64(maxMemory))
		weight := float64(elapsed) / (float64(elapsed) + memory)
		t.demand += weight * (float64(t.counted)*1000/float64(elapsed) - t.demand)
		t.counted, t.countedAt = 0, now
	}
	t.counted += n
}

// demandNow returns an account's demand. It follows a sudden increase at once.
func (t *tally) demandNow(now timekeeper.Millis) float64 {
	const shortest, enough = 100, 8
	if t.counted < enough {
		return t.demand
	}
	return max(t.demand, float64(t.counted)*1000/float64(max(now-t.countedAt, shortest)))
}

// Tokens answers a gateway's request.
func (c *Coordinator) Tokens(now timekeeper.Millis, r TokensRequest) TokensAnswer {
	if r.Shard >= len(c.shards) {
		return TokensAnswer{Unavailable: true}
	}
	s := c.shards[r.Shard]
	s.asked(now, r.From)
	s.updateGranting(now)
	if !s.mayGrant(now) {
		a := TokensAnswer{Unavailable: true}
		if s.role == roleNone && len(s.order) > 0 {
			a.Host, a.Address = s.order[0].Name, s.order[0].Address
		}
		return a
	}
	if r.Domain != "" {
		return s.lend(now, r)
	}
	a := TokensAnswer{Items: make([]TokensGrant, 0, len(r.Items))}
	for _, item := range r.Items {
		a.Items = append(a.Items, s.grant(now, item))
	}
	return a
}

// grant takes tokens for one item of a request.
func (s *shard) grant(now timekeeper.Millis, item TokensItem) TokensGrant {
	out := TokensGrant{Account: item.Account}
	t := s.tally(now, item.Account)
	if t == nil {
		out.Granted, out.Ahead = item.Need, 0
		return out
	}
	t.count(now, item.Demand)
	s.rebalance(now, t)
	rate := s.refill(now, t)
	t.bucket.Tokens = max(t.bucket.Tokens-float64(item.Charged), -float64(t.account.RateLimit))
	out.Granted = t.bucket.Take(item.Need, rate*float64(maxDebt)/1000)
	out.Wait = t.bucket.Due(0, rate)
	if out.Granted == item.Need && t.bucket.Tokens > 0 {
		// Tokens that expire unused are lost to the account, so half of them stay here.
		out.Ahead = t.bucket.Take(min(item.Ahead, int(t.bucket.Tokens/2)), 0)
	}
	if out.Granted < item.Need && s.borrow(now, t, item.Need-out.Granted+int(t.demandNow(now)*float64(loanAhead)/1000)) {
		out.Again = borrowTime
	} else if out.Granted < item.Need {
		out.Retry = max(1, t.bucket.Due(1, rate))
		limit := max(1, float64(t.account.RateLimit)*max(s.share(now, t), 0.01))
		out.Spread = timekeeper.Millis(min(float64(maxRetry), 1000*t.demandNow(now)/limit))
	}
	return out
}

// rebalance decides what part of an account's rate each other domain may use, from the
// demand of all domains.
func (s *shard) rebalance(now timekeeper.Millis, t *tally) {
	if len(s.peers) == 0 || s.role != roleFirst {
		return
	}
	own := s.coord.placement.Self().Domain
	limit := float64(t.account.RateLimit)
	total := demandReserve * t.demandNow(now)
	for name := range s.peers {
		total += demandReserve * t.gift(name).demand
	}
	target := func(domain string, demand float64) float64 {
		if total < limit {
			return (demandReserve*demand + (limit-total)*s.base(domain)) / limit
		}
		return demandReserve * demand / total
	}
	surplus := s.base(own) - target(own, t.demandNow(now))
	missing := 0.0
	for name := range s.peers {
		missing += max(0, target(name, t.gift(name).demand)-s.base(name))
	}
	for _, name := range sortedBy(s.peers) {
		p, g := s.peers[name], t.gift(name)
		if p.heardAt == 0 || now-p.heardAt > silenceLimit {
			continue // it goes on with what it has
		}
		given := 0.0
		if surplus > 0 && missing > 0 {
			given = min(1, surplus/missing) * max(0, target(name, g.demand)-s.base(name))
		}
		s.give(now, p, g, given)
	}
	s.logShare(now, t)
}

// minGiftChange is the change of a gift below which the other domain isn't told.
const minGiftChange = 0.05

// give changes what another domain may use. An increase counts against this domain at
// once and is announced when the deputy knows of it; a decrease counts only once the
// other domain has confirmed it.
func (s *shard) give(now timekeeper.Millis, p *peer, g *gift, given float64) {
	g.planned = g.given
	if math.Abs(given-g.given) < minGiftChange && (given > 0 || g.given == 0) {
		return
	}
	p.changed = p.changed || math.Abs(given-g.given) > 2*minGiftChange
	if given < g.given {
		g.loweredIn = p.sent + 1
		g.given, g.planned = given, given
		return
	}
	switch {
	case !s.deputyInTouch(now): // the deputy may be granting what would be given
	case s.alone():
		g.given, g.planned = given, given
		g.charged = max(g.charged, given)
	default:
		g.planned, s.dirty = given, true
	}
}

// logShare logs a rate share that has changed by more than a tenth of the rate.
func (s *shard) logShare(now timekeeper.Millis, t *tally) {
	share := s.share(now, t)
	if math.Abs(share-t.loggedShare) <= 0.1 {
		return
	}
	s.coord.deps.Log(observer.Decision{Part: "account " + t.account.Name, Outcome: "rate share changed", Inputs: []observer.Field{
		observer.F("percent", int(100*share)), observer.F("before", int(100*t.loggedShare)), observer.F("demand", int(t.demandNow(now))),
		observer.F("limit", t.account.RateLimit), observer.F("domains", len(s.peers)+1),
	}})
	t.loggedShare = share
}
