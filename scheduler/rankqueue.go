package scheduler

// rankQueue is the queue of one rank.
type rankQueue struct {
	policy RankPolicy
	// virtualTime is the highest start tag of an item that has started, in
	// milliseconds of work. Flows that become active start from it.
	virtualTime float64
	flows       map[string]*flow
	lanes       [lanes]laneState
}

// laneState is the queue of one rank in one lane. Lanes are accounted
// separately, so that work for any server does not wait behind work for the
// primary.
type laneState struct {
	heap flowHeap
	// parked is how many flows are parked.
	parked int
	// credit is the credit of the rank in this lane, in milliseconds of work
	// (deficit round robin).
	credit float64
	// queuedCost is the cost of the waiting items in milliseconds, and count
	// their number.
	queuedCost float64
	count      int
}

func (r *rankQueue) count() int {
	return r.lanes[LanePrimary].count + r.lanes[LaneAny].count
}

// first returns the flow with the lowest start tag among the open lanes, and
// the lane. If the same flow is first in both lanes, its item that arrived
// earlier determines the lane.
func (r *rankQueue) first(open [2]bool) (*flow, Lane) {
	primary, other := r.lanes[LanePrimary].first(open[LanePrimary]), r.lanes[LaneAny].first(open[LaneAny])
	switch {
	case other == nil:
		return primary, LanePrimary
	case primary == nil:
		return other, LaneAny
	case primary != other && primary.startTag <= other.startTag:
		return primary, LanePrimary
	case primary != other:
		return other, LaneAny
	case primary.waiting[LaneAny].peek().Arrived < primary.waiting[LanePrimary].peek().Arrived:
		return primary, LaneAny
	}
	return primary, LanePrimary
}

// first returns the lane's flow with the lowest start tag, or nil.
func (s *laneState) first(open bool) *flow {
	if !open || s.heap.Len() == 0 {
		return nil
	}
	return s.heap.flows[0]
}

// reposition updates the flow's place in the heaps of both lanes.
func (r *rankQueue) reposition(f *flow) {
	for i := range r.lanes {
		r.lanes[i].heap.reposition(f)
	}
}

// recordRemoval updates the counts and costs after an item has left the flow.
func (r *rankQueue) recordRemoval(f *flow, item Item) {
	state := &r.lanes[item.Lane]
	state.count--
	state.queuedCost -= item.Cost
	f.queuedCost -= item.Cost
	if state.count == 0 {
		state.queuedCost = 0
	}
}

// removeItems removes and returns the flow's items that match.
func (r *rankQueue) removeItems(f *flow, match func(Item) bool) []Item {
	var out []Item
	for lane := range f.waiting {
		removed := f.waiting[lane].removeIf(match)
		for _, item := range removed {
			r.recordRemoval(f, item)
		}
		r.lanes[lane].heap.reposition(f)
		out = append(out, removed...)
	}
	r.removeIfIdle(f)
	return out
}

// flow returns the customer's flow. A new one starts at the virtual time.
func (r *rankQueue) flow(customer string) *flow {
	f := r.flows[customer]
	if f == nil {
		f = newFlow(customer)
		f.startTag = r.virtualTime
		r.flows[customer] = f
	}
	return f
}

// removeIfIdle deletes a flow that has no waiting or running work, unless its
// start tag is ahead of the virtual time: then the customer has used more than
// its fair share, which must not be forgotten.
func (r *rankQueue) removeIfIdle(f *flow) {
	if f.empty() && f.running == 0 && f.startTag <= r.virtualTime {
		r.unpark(f)
		delete(r.flows, f.customer)
	}
}

// unpark lets the flow return to the heaps with the next reposition.
func (r *rankQueue) unpark(f *flow) {
	for lane, parked := range f.parked {
		if parked {
			f.parked[lane] = false
			r.lanes[lane].parked--
		}
	}
}
