package scheduler

import (
	"fmt"

	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// minCredit is the lower bound of a rank's credit in milliseconds of work.
	// It limits how far the credit falls while the rank uses capacity that no
	// other rank needs.
	minCredit = -200.0
	// maxCredit is the upper bound of the credit that a rank accumulates, in
	// milliseconds of work.
	maxCredit = 400.0
	// maxSkippedFlows is how many customers one search examines unless SetSkipLimit
	// says otherwise: customers whose next item does not fit are skipped.
	maxSkippedFlows = 8
)

// Item is one unit of work to be queued.
type Item struct {
	ID       string
	Customer string
	Rank     Rank
	Lane     Lane
	// Cost is the expected service time in milliseconds.
	Cost float64
	// Arrived is when the work arrived. If a customer's work of one rank waits
	// in both lanes, the earlier arrival goes first.
	Arrived timekeeper.Millis
	// Deadline is the latest time at which the work may start.
	Deadline timekeeper.Millis
	// Weight divides the customer's share of its rank: an item of weight 2 counts as
	// twice its cost. 0 means 1.
	Weight float64
	// ConcurrencyLimit is how many statements the customer may have running in
	// this rank; 0 means no limit.
	ConcurrencyLimit int
}

func (i Item) weight() float64 {
	if i.Weight == 0 {
		return 1
	}
	return i.Weight
}

// Queue holds the waiting work of one database or database group. Ranks share
// the capacity by deficit round robin, and the customers of a rank by start-time
// fair queueing.
// A Queue is not safe for concurrent use.
type Queue struct {
	ranks [NumRanks]rankQueue
	// limit is the maximum number of items.
	limit int
	// skipLimit is how many customers one search examines.
	skipLimit int
	// capacity is the number of items per lane that can run at once.
	capacity [lanes]float64
	// skipped are the flows that the current search has taken out of the heap.
	skipped []*flow
	// parking says that the current search parks the customer that it examines.
	parking bool
}

// New returns an empty queue that accepts at most limit items.
func New(policies RankPolicies, limit int) *Queue {
	q := &Queue{limit: limit, skipLimit: maxSkippedFlows, capacity: [lanes]float64{1, 1}}
	for i := range q.ranks {
		q.ranks[i] = rankQueue{policy: policies[i], flows: map[string]*flow{}}
		for lane := range q.ranks[i].lanes {
			q.ranks[i].lanes[lane].heap.lane = Lane(lane)
		}
	}
	return q
}

// SetCapacity sets how many items of a lane can run at once. Push estimates
// waits from it. Values below 1 count as 1.
func (q *Queue) SetCapacity(lane Lane, slots int) {
	q.capacity[lane] = max(1, float64(slots))
}

// SetSkipLimit sets how many customers one search of Pop examines.
func (q *Queue) SetSkipLimit(customers int) {
	q.skipLimit = customers
}

// LenByRank returns the number of waiting items of a rank.
func (q *Queue) LenByRank(rank Rank) int {
	return q.ranks[rank].count()
}

// LenByLane returns the number of waiting items of a lane.
func (q *Queue) LenByLane(lane Lane) int {
	total := 0
	for i := range q.ranks {
		total += q.ranks[i].lanes[lane].count
	}
	return total
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	return q.LenByLane(LanePrimary) + q.LenByLane(LaneAny)
}

// Push adds an item. It fails with KindOverload if the queue is full or the
// item is expected to start after its deadline; the error's RetryAfter is the
// time after which a retry is useful.
func (q *Queue) Push(now timekeeper.Millis, item Item) error {
	r := &q.ranks[item.Rank]
	f := r.flow(item.Customer)
	f.limit = item.ConcurrencyLimit
	wait := q.estimateWait(item, f)
	start := now + timekeeper.Millis(wait)
	if start > item.Deadline {
		r.removeIfIdle(f)
		return overload(start-item.Deadline, fmt.Sprintf("expected to start %d ms after the deadline", start-item.Deadline))
	}
	if q.Len() >= q.limit {
		r.removeIfIdle(f)
		return overload(r.policy.MaxWait, fmt.Sprintf("%d items are waiting", q.limit))
	}
	if f.empty() {
		f.startTag = max(f.startTag, r.virtualTime)
	}
	f.waiting[item.Lane].push(item)
	f.queuedCost += item.Cost
	state := &r.lanes[item.Lane]
	state.queuedCost += item.Cost
	state.count++
	state.heap.reposition(f)
	return nil
}

func overload(retry timekeeper.Millis, text string) error {
	return &Error{Op: "push", Kind: KindOverload, Text: text, RetryAfter: max(retry, 1)}
}

// estimateWait returns the expected wait of a new item in milliseconds. It is
// the minimum of three estimates: from the work ahead in this and more urgent
// ranks, from the rank's guaranteed share, and from the customer's own queued
// work if each active customer of the rank gets the same share.
func (q *Queue) estimateWait(item Item, f *flow) float64 {
	ahead := 0.0
	for rank := range item.Rank + 1 {
		ahead += q.ranks[rank].lanes[item.Lane].queuedCost
	}
	lowerShares := 0
	for rank := item.Rank + 1; rank < NumRanks; rank++ {
		if q.ranks[rank].lanes[item.Lane].count > 0 {
			lowerShares += q.ranks[rank].policy.Share
		}
	}
	capacity := q.capacity[item.Lane]
	state := &q.ranks[item.Rank].lanes[item.Lane]
	wait := ahead / (capacity * float64(max(100-lowerShares, 1)) / 100)
	rate := capacity * float64(q.ranks[item.Rank].policy.Share) / 100
	if rate > 0 {
		wait = min(wait, state.queuedCost/rate)
	}
	active := max(state.heap.Len()+state.parked, 1)
	if state.queuedCost > 0 {
		wait = min(wait, wait*f.queuedCost*float64(active)/state.queuedCost)
	}
	return wait
}

// Pop removes and returns the next item in the open lanes for which fits
// returns true. A rank with enough credit goes first; otherwise the most urgent
// rank does. It returns false if there is no such item.
func (q *Queue) Pop(open [2]bool, fits func(Item) bool) (Item, bool) {
	preferred, lane := q.rankWithCredit(open)
	if preferred != NumRanks {
		only := [2]bool{}
		only[lane] = true
		if item, found := q.popRank(preferred, only, fits); found {
			return item, true
		}
	}
	for rank := range Rank(NumRanks) {
		if q.ranks[rank].count() == 0 {
			continue
		}
		if item, found := q.popRank(rank, open, fits); found {
			return item, true
		}
	}
	return Item{}, false
}

// rankWithCredit returns the rank and lane with the most credit that may go
// before more urgent ranks: the credit must cover the average cost of an item
// waiting there. RankUrgent needs no credit and is never returned. If there is
// no such rank, it returns NumRanks.
func (q *Queue) rankWithCredit(open [2]bool) (Rank, Lane) {
	best, lane, credit := Rank(NumRanks), LanePrimary, 0.0
	for rank := Rank(1); rank < NumRanks; rank++ {
		for i := range q.ranks[rank].lanes {
			state := &q.ranks[rank].lanes[i]
			if !open[i] || state.heap.Len() == 0 || state.credit < state.queuedCost/float64(max(state.count, 1)) {
				continue
			}
			if best == NumRanks || state.credit > credit {
				best, lane, credit = rank, Lane(i), state.credit
			}
		}
	}
	return best, lane
}

// popRank removes and returns the next item of a rank in the open lanes that
// fits. It skips customers whose next item does not fit, and gives up after
// the skip limit, not counting those that are parked.
func (q *Queue) popRank(rank Rank, open [2]bool, fits func(Item) bool) (Item, bool) {
	r := &q.ranks[rank]
	defer q.restoreSkipped(r)
	for skipped := 0; skipped < q.skipLimit; skipped++ {
		f, lane := r.first(open)
		if f == nil {
			return Item{}, false
		}
		if !fits(f.waiting[lane].peek()) {
			r.lanes[lane].heap.remove(f)
			if q.parking {
				f.parked[lane], q.parking = true, false
				r.lanes[lane].parked++
				skipped--
				continue
			}
			q.skipped = append(q.skipped, f)
			continue
		}
		item := f.waiting[lane].pop()
		q.charge(r, f, item)
		return item, true
	}
	return Item{}, false
}

// Park is called by the fits function of Pop, which then returns false: the
// customer's work of the item's rank and lane is not examined again before Unpark.
// Customers that wait for something of their own, like a connection, so take no time
// from the search for one whose work fits.
func (q *Queue) Park() {
	q.parking = true
}

// Unpark lets Pop examine a customer's work again.
func (q *Queue) Unpark(customer string) {
	for i := range q.ranks {
		if f := q.ranks[i].flows[customer]; f != nil {
			q.ranks[i].unpark(f)
			q.ranks[i].reposition(f)
		}
	}
}

// restoreSkipped puts the skipped flows back into the heaps.
func (q *Queue) restoreSkipped(r *rankQueue) {
	for _, f := range q.skipped {
		r.reposition(f)
	}
	q.skipped = q.skipped[:0]
}

// charge accounts for a started item. The customer's start tag advances by the
// cost, and the rank's credit falls by it. The rank and all other ranks with
// waiting work in the lane gain their share of the cost as credit.
func (q *Queue) charge(r *rankQueue, f *flow, item Item) {
	r.virtualTime = max(r.virtualTime, f.startTag)
	f.startTag += item.Cost * item.weight()
	f.running++
	r.recordRemoval(f, item)
	for i := range q.ranks {
		other := &q.ranks[i]
		state := &other.lanes[item.Lane]
		if state.count > 0 || other == r {
			state.credit = min(maxCredit, state.credit+item.Cost*float64(other.policy.Share)/100)
		}
	}
	state := &r.lanes[item.Lane]
	state.credit = max(minCredit, state.credit-item.Cost)
	r.reposition(f)
}

// Done records the end of a started item and corrects the customer's start tag
// and the rank's credit by the difference between the expected cost and
// serviceTime, the real one in milliseconds.
func (q *Queue) Done(item Item, serviceTime float64) {
	r := &q.ranks[item.Rank]
	f := r.flows[item.Customer]
	if f == nil {
		return
	}
	f.running--
	f.startTag += (serviceTime - item.Cost) * item.weight()
	state := &r.lanes[item.Lane]
	state.credit = min(maxCredit, max(minCredit, state.credit+item.Cost-serviceTime))
	r.reposition(f)
	r.removeIfIdle(f)
}

// Expire removes and returns the items whose deadline has passed, sorted by
// deadline and id.
func (q *Queue) Expire(now timekeeper.Millis) []Item {
	return q.remove(func(item Item) bool { return item.Deadline < now })
}

// Remove removes the waiting item with the given id. It reports whether there
// was one.
func (q *Queue) Remove(id string) bool {
	return len(q.remove(func(item Item) bool { return item.ID == id })) > 0
}

// RemoveMatching removes and returns the waiting items for which match returns
// true, sorted by deadline and id.
func (q *Queue) RemoveMatching(match func(Item) bool) []Item {
	return q.remove(match)
}

// RemoveAll removes and returns all waiting items, sorted by deadline and id.
func (q *Queue) RemoveAll() []Item {
	return q.remove(func(Item) bool { return true })
}

func (q *Queue) remove(match func(Item) bool) []Item {
	var out []Item
	for i := range q.ranks {
		r := &q.ranks[i]
		if r.count() == 0 {
			continue
		}
		for _, f := range r.flows {
			out = append(out, r.removeItems(f, match)...)
		}
	}
	sortItems(out)
	return out
}
