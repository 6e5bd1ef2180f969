package timekeeper

import "container/heap"

// TimerQueue runs functions at times of a virtual clock, in order of time;
// functions with the same time run in the order in which they were added. It is
// not safe for concurrent use.
type TimerQueue struct {
	now     Millis
	lastSeq int
	timers  timerHeap
}

// timer is a function that is due at a time.
type timer struct {
	at  Millis
	seq int
	fn  func()
}

type timerHeap []timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// NewTimerQueue returns an empty queue whose clock starts at the given time.
func NewTimerQueue(now Millis) *TimerQueue {
	return &TimerQueue{now: now}
}

// Now returns the current time of the queue's clock.
func (q *TimerQueue) Now() Millis {
	return q.now
}

// After schedules fn to run after d; a negative d counts as 0.
func (q *TimerQueue) After(d Millis, fn func()) {
	q.lastSeq++
	heap.Push(&q.timers, timer{at: q.now + max(d, 0), seq: q.lastSeq, fn: fn})
}

// RunUntil advances the clock to the given time and runs the functions that are
// due by then. It calls keepGoing before each function, unless keepGoing is nil,
// and runs no more functions once it returns false.
func (q *TimerQueue) RunUntil(until Millis, keepGoing func() bool) {
	for len(q.timers) > 0 && q.timers[0].at <= until && (keepGoing == nil || keepGoing()) {
		next := heap.Pop(&q.timers).(timer)
		q.now = next.at
		next.fn()
	}
	q.now = max(q.now, until)
}
