package scheduler

import "container/heap"

// Lane tells where work may run.
type Lane int

// The lanes. Work in LanePrimary runs on the primary only; work in LaneAny on
// any server that meets its floor.
const (
	LanePrimary Lane = iota
	LaneAny
	lanes = 2
)

// notQueued is the heap index of a flow outside a heap.
const notQueued = -1

// flow is the waiting work of one customer in one rank.
type flow struct {
	customer string
	tag      float64
	running  int
	limit    int
	backlog  float64
	waiting  [lanes]fifo
	index    [lanes]int
}

func newFlow(customer string) *flow {
	return &flow{customer: customer, index: [lanes]int{notQueued, notQueued}}
}

// blocked reports whether the customer's limit holds its work back.
func (f *flow) blocked() bool {
	return f.limit > 0 && f.running >= f.limit
}

func (f *flow) empty() bool {
	return f.waiting[LanePrimary].len() == 0 && f.waiting[LaneAny].len() == 0
}

// fifo is a first-in, first-out list of items that reuses its memory.
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

// removeIf takes out the items that match and returns them.
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

// flowHeap orders the flows that have work in one lane by their tags.
type flowHeap struct {
	lane  Lane
	flows []*flow
}

func (h *flowHeap) Len() int { return len(h.flows) }

func (h *flowHeap) Less(i, j int) bool {
	if h.flows[i].tag != h.flows[j].tag {
		return h.flows[i].tag < h.flows[j].tag
	}
	return h.flows[i].customer < h.flows[j].customer
}

func (h *flowHeap) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].index[h.lane] = i
	h.flows[j].index[h.lane] = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index[h.lane] = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	f.index[h.lane] = notQueued
	return f
}

// settle puts the flow where its tag, limit and work say: in the heap or out.
func (h *flowHeap) settle(f *flow) {
	wanted := f.waiting[h.lane].len() > 0 && !f.blocked()
	queued := f.index[h.lane] != notQueued
	switch {
	case wanted && queued:
		heap.Fix(h, f.index[h.lane])
	case wanted:
		heap.Push(h, f)
	case queued:
		heap.Remove(h, f.index[h.lane])
	}
}

// remove takes the flow out of the heap for the time being.
func (h *flowHeap) remove(f *flow) {
	if f.index[h.lane] != notQueued {
		heap.Remove(h, f.index[h.lane])
	}
}
