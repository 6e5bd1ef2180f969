package scheduler

// level is the state of one rank.
type level struct {
	class RankPolicy
	clock float64
	flows map[string]*flow
	lanes [lanes]laneState
}

// laneState is the state of one rank in one lane. Lanes are accounted apart:
// work that any server may run does not wait behind work for the primary.
type laneState struct {
	heap    flowHeap
	credit  float64
	backlog float64
	count   int
}

func (l *level) count() int {
	return l.lanes[LanePrimary].count + l.lanes[LaneAny].count
}

// first returns the flow with the lowest tag in the open lanes. Where one flow
// is first in both, its earlier item goes.
func (l *level) first(open [2]bool) (*flow, Lane) {
	primary, other := l.lanes[LanePrimary].first(open[LanePrimary]), l.lanes[LaneAny].first(open[LaneAny])
	switch {
	case other == nil:
		return primary, LanePrimary
	case primary == nil:
		return other, LaneAny
	case primary != other && primary.tag <= other.tag:
		return primary, LanePrimary
	case primary != other:
		return other, LaneAny
	case primary.waiting[LaneAny].peek().Arrived < primary.waiting[LanePrimary].peek().Arrived:
		return primary, LaneAny
	}
	return primary, LanePrimary
}

// first returns the lane's flow with the lowest tag, or nil.
func (s *laneState) first(open bool) *flow {
	if !open || s.heap.Len() == 0 {
		return nil
	}
	return s.heap.flows[0]
}

// settle puts a flow where its tag, limit and work say, in both lanes.
func (l *level) settle(f *flow) {
	for i := range l.lanes {
		l.lanes[i].heap.settle(f)
	}
}

func (l *level) unqueue(f *flow, item Item) {
	state := &l.lanes[item.Lane]
	state.count--
	state.backlog -= item.Cost
	f.backlog -= item.Cost
	if state.count == 0 {
		state.backlog = 0
	}
}

func (l *level) removeFrom(f *flow, match func(Item) bool) []Item {
	var out []Item
	for lane := range f.waiting {
		gone := f.waiting[lane].removeIf(match)
		for _, item := range gone {
			l.unqueue(f, item)
		}
		l.lanes[lane].heap.settle(f)
		out = append(out, gone...)
	}
	l.forget(f)
	return out
}

func (l *level) flow(customer string) *flow {
	f := l.flows[customer]
	if f == nil {
		f = newFlow(customer)
		f.tag = l.clock
		l.flows[customer] = f
	}
	return f
}

// forget drops a flow that has neither waiting nor running work and no debt
// towards the other customers.
func (l *level) forget(f *flow) {
	if f.empty() && f.running == 0 && f.tag <= l.clock {
		delete(l.flows, f.customer)
	}
}
