package limiter

import (
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/placer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// requestTimeout is how long a gateway waits for an answer before it asks the next
	// daemon in order. Two attempts fit into maxWait.
	requestTimeout timekeeper.Millis = 70
	// requestInterval is the shortest time between two requests to a coordinator.
	requestInterval timekeeper.Millis = 20
	// lostPause and unavailablePause are how long a daemon that did not answer, or that
	// grants no tokens, is not asked. lostPause doubles with each loss in a row, at most
	// maxLossDoublings times: each attempt costs waiting operations requestTimeout.
	lostPause        timekeeper.Millis = 500
	unavailablePause timekeeper.Millis = 40
	maxLossDoublings                   = 3
	// suggestionTime is how long a gateway asks the daemon that another one has named
	// instead of the first in its own order.
	suggestionTime timekeeper.Millis = 3000
	// fallbackHosts is how many daemons of each failure domain admit operations of an
	// account on their own while they reach no coordinator.
	fallbackHosts = 2
	// fallbackPart is the part of an account's rate that all these daemons together
	// admit, and fallbackInterval the longest time between two operations of one.
	fallbackPart                       = 0.02
	fallbackInterval timekeeper.Millis = 10_000
)

// route is the path to the coordinator of a shard.
type route struct {
	shard int
	// order are the daemons that may grant the shard's tokens, the coordinator first.
	order []placer.Host
	// refused says until when a daemon is not asked, and losses how often in a row it did
	// not answer, by name.
	refused map[string]timekeeper.Millis
	losses  map[string]int
	// suggested is asked first until suggestedUntil.
	suggested      placer.Host
	suggestedUntil timekeeper.Millis
	// number is that of the request in flight, 0 if there is none; asked are the
	// accounts that it names.
	number     uint64
	to         placer.Host
	sentAt     timekeeper.Millis
	asked      []string
	answeredAt timekeeper.Millis
	logged     string
}

// target returns the daemon to ask, which has no name if none can be.
func (r *route) target(now timekeeper.Millis) placer.Host {
	if now < r.suggestedUntil && now >= r.refused[r.suggested.Name] {
		return r.suggested
	}
	for _, h := range r.order {
		if now >= r.refused[h.Name] {
			return h
		}
	}
	return placer.Host{}
}

func (r *route) suggest(now timekeeper.Millis, h placer.Host) {
	r.suggested, r.suggestedUntil = h, now+suggestionTime
}

func (g *Gateway) setPlacement(p placer.Placement) {
	g.placement, g.placed = p, true
	for len(g.routes) < shardCount {
		g.routes = append(g.routes, &route{shard: len(g.routes)})
	}
	for _, r := range g.routes {
		order := p.OrderIn(p.Self().Domain, shardKey(r.shard))
		r.order = order[:min(maxCoordinators, len(order))]
		if r.logged != r.order[0].Name {
			g.deps.Log(observer.Decision{Part: "limits", Outcome: "coordinator changed", Inputs: []observer.Field{
				observer.F("shard", r.shard), observer.F("before", r.logged), observer.F("coordinator", r.order[0].Name), observer.F("hosts", p.HostCount()),
			}})
			r.logged = r.order[0].Name
		}
	}
}

// route returns the route to the coordinator of an account.
func (g *Gateway) route(account string) *route {
	if len(g.routes) == 0 {
		return &route{}
	}
	return g.routes[shardOf(account)]
}

// outgoing is a request for tokens with the daemon that gets it.
type outgoing struct {
	to      placer.Host
	request TokensRequest
}

// requests returns the requests that are due, at most one for each coordinator.
func (g *Gateway) requests(now timekeeper.Millis) []outgoing {
	if !g.placed {
		return nil
	}
	byShard := map[int][]string{}
	for _, name := range sortedBy(g.due) {
		shard := shardOf(name)
		byShard[shard] = append(byShard[shard], name)
	}
	var out []outgoing
	for shard, r := range g.routes {
		keepAlive := now-r.sentAt >= askPeriod
		if len(byShard[shard]) == 0 && !keepAlive {
			continue
		}
		to := r.target(now)
		if r.number != 0 || to.Name == "" || now < r.sentAt+requestInterval && to.Name != g.placement.Self().Name && to.Name == r.to.Name {
			continue
		}
		if items := g.items(now, byShard[shard]); len(items) > 0 || keepAlive {
			g.numbers++
			r.number, r.to, r.sentAt = g.numbers, to, now
			r.asked = r.asked[:0]
			for _, item := range items {
				r.asked = append(r.asked, item.Account)
			}
			g.inFlight[r.number] = r
			out = append(out, outgoing{to: to, request: TokensRequest{Number: r.number, Shard: shard, From: g.placement.Self().Name, Items: items}})
		}
	}
	return out
}

// items returns what to request for the accounts.
func (g *Gateway) items(now timekeeper.Millis, names []string) []TokensItem {
	var out []TokensItem
	for _, name := range names {
		l := g.due[name]
		delete(g.due, name)
		item := TokensItem{Account: name, Charged: l.charged}
		l.asked = 0
		for i, w := range l.waiting {
			if w.due == 0 && now >= l.againAt {
				item.Need++
				l.asked = i + 1
			}
		}
		if now >= l.askAheadAt || item.Need > 0 {
			item.Ahead = l.ahead(now)
		}
		if item.Need+item.Ahead+item.Charged == 0 {
			continue
		}
		l.askAheadAt = now + aheadPeriod*3/4
		item.Demand = l.demand
		l.sentDemand, l.sentCharged = l.demand, l.charged
		l.demand, l.charged = 0, 0
		out = append(out, item)
	}
	return out
}

// failed ends the wait for the answer to a request. What it asked for is part of the
// next one.
func (g *Gateway) failed(now timekeeper.Millis, r *route, pause timekeeper.Millis) {
	delete(g.inFlight, r.number)
	r.number = 0
	if r.refused == nil {
		r.refused, r.losses = map[string]timekeeper.Millis{}, map[string]int{}
	}
	if pause == lostPause {
		pause <<= min(r.losses[r.to.Name], maxLossDoublings)
		r.losses[r.to.Name]++
	}
	r.refused[r.to.Name] = now + pause
	for _, name := range r.asked {
		if l := g.accounts[name]; l != nil {
			l.asked = 0
			g.due[name] = l
			l.demand, l.charged = l.demand+l.sentDemand, l.charged+l.sentCharged
			l.sentDemand, l.sentCharged = 0, 0
		}
	}
}

// fallback is what a gateway admits of an account while it reaches no coordinator.
type fallback struct {
	active bool
	bucket Bucket
}

// decideAlone decides about an operation whose wait has ended without an answer.
func (g *Gateway) decideAlone(now timekeeper.Millis, l *ledger, w waiter) Decision {
	r := g.route(l.account.Name)
	if r.answeredAt >= w.since && r.answeredAt > 0 {
		return g.refuse(now, l, w.id, "no answer in time")
	}
	perSecond := max(float64(l.account.RateLimit)*fallbackPart/float64(fallbackHosts*max(1, len(g.placement.Domains()))), 1000/float64(fallbackInterval))
	f := &l.fallback
	if f.bucket.RefilledAt == 0 {
		f.bucket = Bucket{Tokens: 1, RefilledAt: now}
	}
	f.bucket.Refill(now, perSecond, 1)
	if !f.active {
		f.active = true
		g.deps.Log(observer.Decision{Part: "account " + l.account.Name, Outcome: "fallback started", Inputs: []observer.Field{
			observer.F("limit", l.account.RateLimit), observer.F("answered", int64(r.answeredAt)),
		}})
	}
	if g.placed && g.placement.Rank("fallback/"+l.account.Name) < fallbackHosts && f.bucket.Take(1, 0) == 1 {
		g.stats.add(l.account.Name, Count{Admitted: 1})
		return Decision{ID: w.id}
	}
	l.spread = max(l.spread, 1000)
	return g.refuse(now, l, w.id, "no coordinator answers")
}

func (g *Gateway) endFallback(now timekeeper.Millis, l *ledger) {
	l.fallback.active = false
	g.deps.Log(observer.Decision{Part: "account " + l.account.Name, Outcome: "fallback ended", Inputs: []observer.Field{
		observer.F("tokens", l.held(now)),
	}})
}
