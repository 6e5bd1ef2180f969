package decider

import (
	"github.com/heatherhall/heatherhall/planner"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// bucket is a customer's token bucket at this entry. Levels are in thousandths
// of a statement, so that a millisecond's worth is a whole number.
type bucket struct {
	level int64
	at    timekeeper.Millis
}

const (
	// milli is one statement in a bucket.
	milli = 1000
	// bucketLife is how long an unused bucket is kept.
	bucketLife timekeeper.Millis = 60_000
)

// spend takes a statement from the customer's bucket. It returns the time after
// which there is one again, or 0.
func (n *Node) spend(now timekeeper.Millis, customer string, plan planner.Plan) timekeeper.Millis {
	if plan.RateLimit <= 0 {
		return 0
	}
	rate := int64(plan.RateLimit)
	b := n.buckets[customer]
	if b == nil {
		b = &bucket{level: rate * milli, at: now}
		n.buckets[customer] = b
	}
	b.level = min(rate*milli, b.level+rate*int64(now-b.at))
	b.at = now
	if b.level < milli {
		return max(1, timekeeper.Millis((milli-b.level)/rate))
	}
	b.level -= milli
	return 0
}

const (
	// retryEarned is the part of a retry that each request of a customer adds to
	// its budget at this daemon.
	retryEarned = 0.1
	// retryLimit is the greatest number of retries a customer saves up, and what it
	// begins with.
	retryLimit = 10.0
)

// earnRetry adds a request's part to its customer's retry budget.
func (n *Node) earnRetry(customer string) {
	present, found := n.retries[customer]
	if !found {
		present = retryLimit
	}
	n.retries[customer] = min(retryLimit, present+retryEarned)
}

// spendRetry takes one retry from a customer's budget, if there is one.
func (n *Node) spendRetry(customer string) bool {
	if n.retries[customer] < 1 {
		return false
	}
	n.retries[customer]--
	return true
}

// tickLimits forgets what is no longer needed of customers.
func (n *Node) tickLimits(now timekeeper.Millis) {
	for key, until := range n.blocked {
		if now >= until {
			delete(n.blocked, key)
		}
	}
	for customer, b := range n.buckets {
		if now-b.at > bucketLife {
			delete(n.buckets, customer)
		}
	}
}

// blockKey names a queue that has refused a customer's work.
type blockKey struct {
	database string
	customer string
	rank     scheduler.Rank
}

// blockLimit is the longest time for which the entry refuses work by itself
// after a home refused the like.
const blockLimit timekeeper.Millis = 100

func (n *Node) block(now timekeeper.Millis, p *pending, retry timekeeper.Millis) {
	key := blockKey{database: p.work.Database, customer: p.work.Customer, rank: p.work.Rank}
	n.blocked[key] = now + min(retry, blockLimit)
}

func (n *Node) blockedUntil(r Request, plan planner.Plan) timekeeper.Millis {
	return n.blocked[blockKey{database: r.Database, customer: r.Customer, rank: max(r.Rank, plan.Rank)}]
}
