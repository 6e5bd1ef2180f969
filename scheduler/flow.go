package scheduler

import "container/heap"

// Lane is a part of a queue: work in LanePrimary runs on the primary only, work
// in LaneAny on any server that covers its floor.
type Lane int

// The lanes and their number.
const (
	LanePrimary Lane = iota
	LaneAny
	lanes = 2
)

// notInHeap is the heap index of a flow that is not in a lane's heap.
const notInHeap = -1

// flow is the waiting and running work of one customer in one rank.
type flow struct {
	customer string
	// startTag is the virtual time at which the flow's next item starts, in
	// milliseconds of work (start-time fair queueing).
	startTag float64
	// running is the number of started items, and limit the maximum, 0 for
	// none.
	running int
	limit   int
	// queuedCost is the cost of the waiting items in milliseconds.
	queuedCost float64
	waiting    [lanes]fifo
	heapIndex  [lanes]int
	// parked says that the flow's work in a lane is not examined until Unpark.
	parked [lanes]bool
}

func newFlow(customer string) *flow {
	return &flow{customer: customer, heapIndex: [lanes]int{notInHeap, notInHeap}}
}

// blocked reports whether the customer has reached its concurrency limit.
func (f *flow) blocked() bool {
	return f.limit > 0 && f.running >= f.limit
}

func (f *flow) empty() bool {
	return f.waiting[LanePrimary].len() == 0 && f.waiting[LaneAny].len() == 0
}

// fifo is a first-in, first-out queue of items. It reuses its memory.
type fifo struct {
	items []Item
	head  int
}

func (q *fifo) len() int {
	return len(q.items) - q.head
}

func (q *fifo) push(item Item) {
	if q.head > 0 && q.head == len(q.items) {
		q.items = q.items[:0]
		q.head = 0
	}
	q.items = append(q.items, item)
}

func (q *fifo) peek() Item {
	return q.items[q.head]
}

func (q *fifo) pop() Item {
	item := q.items[q.head]
	q.items[q.head] = Item{}
	q.head++
	if q.head > 64 && q.head*2 > len(q.items) {
		n := copy(q.items, q.items[q.head:])
		q.items = q.items[:n]
		q.head = 0
	}
	return item
}

// removeIf removes and returns the items that match.
func (q *fifo) removeIf(match func(Item) bool) []Item {
	var out []Item
	kept := q.items[:0]
	for _, item := range q.items[q.head:] {
		if match(item) {
			out = append(out, item)
			continue
		}
		kept = append(kept, item)
	}
	clear(q.items[len(kept):])
	q.items = kept
	q.head = 0
	return out
}

// flowHeap is a heap of the flows that have work in one lane and are not
// blocked, ordered by start tag.
type flowHeap struct {
	lane  Lane
	flows []*flow
}

func (h *flowHeap) Len() int { return len(h.flows) }

func (h *flowHeap) Less(i, j int) bool {
	if h.flows[i].startTag != h.flows[j].startTag {
		return h.flows[i].startTag < h.flows[j].startTag
	}
	return h.flows[i].customer < h.flows[j].customer
}

func (h *flowHeap) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].heapIndex[h.lane] = i
	h.flows[j].heapIndex[h.lane] = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex[h.lane] = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	f.heapIndex[h.lane] = notInHeap
	return f
}

// reposition inserts, moves or removes the flow after a change of its start
// tag, limit or work.
func (h *flowHeap) reposition(f *flow) {
	wanted := f.waiting[h.lane].len() > 0 && !f.blocked() && !f.parked[h.lane]
	queued := f.heapIndex[h.lane] != notInHeap
	switch {
	case wanted && queued:
		heap.Fix(h, f.heapIndex[h.lane])
	case wanted:
		heap.Push(h, f)
	case queued:
		heap.Remove(h, f.heapIndex[h.lane])
	}
}

// remove takes the flow out of the heap until the next reposition.
func (h *flowHeap) remove(f *flow) {
	if f.heapIndex[h.lane] != notInHeap {
		heap.Remove(h, f.heapIndex[h.lane])
	}
}
