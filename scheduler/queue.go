package scheduler

import (
	"fmt"

	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// debtLimit bounds how far a rank's credit falls while it uses capacity
	// that no other rank wants, in milliseconds of work.
	debtLimit = -200.0
	// creditLimit bounds the credit that a rank saves up, in milliseconds.
	creditLimit = 400.0
	// skipLimit bounds how many customers are passed over in one search.
	skipLimit = 8
)

// Item is one unit of waiting work.
type Item struct {
	ID       string
	Customer string
	Rank     Rank
	Lane     Lane
	// Cost is the expected service time in milliseconds.
	Cost float64
	// Arrived is when the work arrived. A customer's work of one rank goes in
	// this order where it waits in both lanes.
	Arrived timekeeper.Millis
	// Deadline is the time by which the work must have started.
	Deadline timekeeper.Millis
	// ConcurrencyLimit is how many statements the customer may have running; 0 is any
	// number.
	ConcurrencyLimit int
}

// Queue holds the waiting work of one database. It is not safe for concurrent
// use.
type Queue struct {
	levels   [Ranks]level
	limit    int
	capacity [lanes]float64
	skipped  []*flow
}

// New returns an empty queue that holds at most limit items.
func New(classes RankPolicies, limit int) *Queue {
	q := &Queue{limit: limit, capacity: [lanes]float64{1, 1}}
	for i := range q.levels {
		q.levels[i] = level{class: classes[i], flows: map[string]*flow{}}
		for lane := range q.levels[i].lanes {
			q.levels[i].lanes[lane].heap.lane = Lane(lane)
		}
	}
	return q
}

// SetCapacity tells how many items of a lane can run at once; waits are
// estimated from it.
func (q *Queue) SetCapacity(lane Lane, slots int) {
	q.capacity[lane] = max(1, float64(slots))
}

// LenByRank returns the number of waiting items of a rank.
func (q *Queue) LenByRank(rank Rank) int {
	return q.levels[rank].count()
}

// LenByLane returns the number of waiting items of a lane.
func (q *Queue) LenByLane(lane Lane) int {
	total := 0
	for i := range q.levels {
		total += q.levels[i].lanes[lane].count
	}
	return total
}

// Total returns the number of waiting items.
func (q *Queue) Total() int {
	return q.LenByLane(LanePrimary) + q.LenByLane(LaneAny)
}

// Push adds an item. It refuses work that is expected to start after its
// deadline, with the time after which a retry makes sense.
func (q *Queue) Push(now timekeeper.Millis, item Item) error {
	l := &q.levels[item.Rank]
	f := l.flow(item.Customer)
	f.limit = item.ConcurrencyLimit
	wait := q.estimate(item, f)
	start := now + timekeeper.Millis(wait)
	if start > item.Deadline {
		l.forget(f)
		return overload(start-item.Deadline, fmt.Sprintf("expected to start %d ms after the deadline", start-item.Deadline))
	}
	if q.Total() >= q.limit {
		l.forget(f)
		return overload(l.class.MaxWait, fmt.Sprintf("%d items are waiting", q.limit))
	}
	if f.empty() {
		f.tag = max(f.tag, l.clock)
	}
	f.waiting[item.Lane].push(item)
	f.backlog += item.Cost
	state := &l.lanes[item.Lane]
	state.backlog += item.Cost
	state.count++
	state.heap.settle(f)
	return nil
}

func overload(retry timekeeper.Millis, text string) error {
	return &Error{Op: "push", Kind: KindOverload, Text: text, RetryAfter: max(retry, 1)}
}

// estimate returns the expected wait of a new item in milliseconds: the least
// of what the work ahead, the rank's guaranteed share and the customer's own
// backlog say.
func (q *Queue) estimate(item Item, f *flow) float64 {
	ahead := 0.0
	for rank := range item.Rank + 1 {
		ahead += q.levels[rank].lanes[item.Lane].backlog
	}
	below := 0
	for rank := item.Rank + 1; rank < Ranks; rank++ {
		if q.levels[rank].lanes[item.Lane].count > 0 {
			below += q.levels[rank].class.Share
		}
	}
	capacity := q.capacity[item.Lane]
	state := &q.levels[item.Rank].lanes[item.Lane]
	wait := ahead / (capacity * float64(max(100-below, 1)) / 100)
	rate := capacity * float64(q.levels[item.Rank].class.Share) / 100
	if rate > 0 {
		wait = min(wait, state.backlog/rate)
	}
	active := max(state.heap.Len(), 1)
	if state.backlog > 0 {
		wait = min(wait, wait*f.backlog*float64(active)/state.backlog)
	}
	return wait
}

// Pop takes out the item that goes next among those in the given lanes that
// fit.
func (q *Queue) Pop(open [2]bool, fits func(Item) bool) (Item, bool) {
	favoured, lane := q.favoured(open)
	if favoured != Ranks {
		only := [2]bool{}
		only[lane] = true
		if item, found := q.take(favoured, only, fits); found {
			return item, true
		}
	}
	for rank := range Rank(Ranks) {
		if q.levels[rank].count() == 0 {
			continue
		}
		if item, found := q.take(rank, open, fits); found {
			return item, true
		}
	}
	return Item{}, false
}

// favoured returns the rank below the most urgent one that has saved up enough
// credit in a lane to go first there, or Ranks.
func (q *Queue) favoured(open [2]bool) (Rank, Lane) {
	best, lane, credit := Rank(Ranks), LanePrimary, 0.0
	for rank := Rank(1); rank < Ranks; rank++ {
		for i := range q.levels[rank].lanes {
			state := &q.levels[rank].lanes[i]
			if !open[i] || state.heap.Len() == 0 || state.credit < state.backlog/float64(max(state.count, 1)) {
				continue
			}
			if best == Ranks || state.credit > credit {
				best, lane, credit = rank, Lane(i), state.credit
			}
		}
	}
	return best, lane
}

// take removes the next fitting item of a rank.
func (q *Queue) take(rank Rank, open [2]bool, fits func(Item) bool) (Item, bool) {
	l := &q.levels[rank]
	defer q.restore(l)
	for range skipLimit {
		f, lane := l.first(open)
		if f == nil {
			return Item{}, false
		}
		if !fits(f.waiting[lane].peek()) {
			l.lanes[lane].heap.remove(f)
			q.skipped = append(q.skipped, f)
			continue
		}
		item := f.waiting[lane].pop()
		q.charge(l, f, item)
		return item, true
	}
	return Item{}, false
}

// restore puts the flows that were passed over back.
func (q *Queue) restore(l *level) {
	for _, f := range q.skipped {
		l.settle(f)
	}
	q.skipped = q.skipped[:0]
}

// charge accounts for a started item: its customer's tag moves on, its rank
// pays the cost, and ranks with waiting work in the lane save up their shares of
// it.
func (q *Queue) charge(l *level, f *flow, item Item) {
	l.clock = max(l.clock, f.tag)
	f.tag += item.Cost
	f.running++
	l.unqueue(f, item)
	for i := range q.levels {
		other := &q.levels[i]
		state := &other.lanes[item.Lane]
		if state.count > 0 || other == l {
			state.credit = min(creditLimit, state.credit+item.Cost*float64(other.class.Share)/100)
		}
	}
	state := &l.lanes[item.Lane]
	state.credit = max(debtLimit, state.credit-item.Cost)
	l.settle(f)
}

// Done tells that a started item has ended, after the given service time in
// milliseconds.
func (q *Queue) Done(item Item, took float64) {
	l := &q.levels[item.Rank]
	f := l.flows[item.Customer]
	if f == nil {
		return
	}
	f.running--
	f.tag += took - item.Cost
	state := &l.lanes[item.Lane]
	state.credit = min(creditLimit, max(debtLimit, state.credit+item.Cost-took))
	l.settle(f)
	l.forget(f)
}

// Expire takes out the items whose deadline has passed.
func (q *Queue) Expire(now timekeeper.Millis) []Item {
	return q.remove(func(item Item) bool { return item.Deadline < now })
}

// Remove takes out the item with the given id.
func (q *Queue) Remove(id string) bool {
	return len(q.remove(func(item Item) bool { return item.ID == id })) > 0
}

// RemoveAll takes out all items.
func (q *Queue) RemoveAll() []Item {
	return q.remove(func(Item) bool { return true })
}

func (q *Queue) remove(match func(Item) bool) []Item {
	var out []Item
	for i := range q.levels {
		l := &q.levels[i]
		if l.count() == 0 {
			continue
		}
		for _, f := range l.flows {
			out = append(out, l.removeFrom(f, match)...)
		}
	}
	sortItems(out)
	return out
}
