package decider

import (
	"github.com/heatherhall/heatherhall/limiter"
	"github.com/heatherhall/heatherhall/planner"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// bucketIdleTimeout is how long an unused token bucket is kept.
const bucketIdleTimeout timekeeper.Millis = 60_000

// takeToken takes the token of one statement from the customer's bucket at this gateway
// daemon and returns 0. If there is none it returns the time until there is one. The
// bucket's capacity is the statements of one second.
func (n *Node) takeToken(now timekeeper.Millis, customer string, plan planner.Plan) timekeeper.Millis {
	if plan.RateLimit <= 0 {
		return 0
	}
	rate := float64(plan.RateLimit)
	b := n.buckets[customer]
	if b == nil {
		b = &limiter.Bucket{Tokens: rate, RefilledAt: now}
		n.buckets[customer] = b
	}
	b.Refill(now, rate, rate)
	if b.Take(1, 0) == 0 {
		return b.Due(1, rate)
	}
	return 0
}

const (
	// retryRefill is the part of a retry that each request of a customer adds to
	// its retry budget at this daemon.
	retryRefill = 0.1
	// retryCap is the maximum of a customer's retry budget, and its initial value.
	retryCap = 10.0
)

// depositRetry adds retryRefill to a customer's retry budget, up to retryCap.
func (n *Node) depositRetry(customer string) {
	budget, found := n.retryBudgets[customer]
	if !found {
		budget = retryCap
	}
	n.retryBudgets[customer] = min(retryCap, budget+retryRefill)
}

// withdrawRetry takes one retry from a customer's retry budget. It returns false
// if less than one is left.
func (n *Node) withdrawRetry(customer string) bool {
	if n.retryBudgets[customer] < 1 {
		return false
	}
	n.retryBudgets[customer]--
	return true
}

// tickLimits removes expired refusals and unused token buckets.
func (n *Node) tickLimits(now timekeeper.Millis) {
	for key, until := range n.refusals {
		if now >= until {
			delete(n.refusals, key)
		}
	}
	for customer, b := range n.buckets {
		if now-b.RefilledAt > bucketIdleTimeout {
			delete(n.buckets, customer)
		}
	}
}

// refusalKey identifies the queue of a home that has refused a customer's work.
type refusalKey struct {
	database string
	customer string
	rank     scheduler.Rank
}

// maxRefusalPeriod is the maximum time for which the gateway daemon refuses work
// itself after the home refused work of the same customer, database and rank
// because of overload.
const maxRefusalPeriod timekeeper.Millis = 100

// cacheRefusal makes this daemon refuse further work for the queue of a refused
// request, for the home's retry time but at most maxRefusalPeriod.
func (n *Node) cacheRefusal(now timekeeper.Millis, p *pending, retry timekeeper.Millis) {
	key := refusalKey{database: p.work.Database, customer: p.work.Customer, rank: p.work.Rank}
	n.refusals[key] = now + min(retry, maxRefusalPeriod)
}

// refusedUntil returns the time until which this daemon refuses a request's work
// itself, or 0.
func (n *Node) refusedUntil(r Request, plan planner.Plan) timekeeper.Millis {
	return n.refusals[refusalKey{database: r.Database, customer: r.Customer, rank: max(r.Rank, plan.Rank)}]
}
