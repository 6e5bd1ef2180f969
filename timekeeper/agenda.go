package timekeeper

import "container/heap"

// TimerQueue runs functions in the order of a virtual clock's times; those of one
// time in the order in which they were added. It is not safe for concurrent use.
type TimerQueue struct {
	now   Millis
	count int
	queue entries
}

// entry is a function that is due at a time.
type entry struct {
	at    Millis
	count int
	run   func()
}

type entries []entry

// Len implements heap.Interface.
func (e entries) Len() int { return len(e) }

// Less implements heap.Interface.
func (e entries) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].count < e[j].count
}

// Swap implements heap.Interface.
func (e entries) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *entries) Push(x any) { *e = append(*e, x.(entry)) }

// Pop implements heap.Interface.
func (e *entries) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// NewTimerQueue returns an empty agenda whose clock stands at the given time.
func NewTimerQueue(now Millis) *TimerQueue {
	return &TimerQueue{now: now}
}

// Now returns the time that the clock stands at.
func (a *TimerQueue) Now() Millis {
	return a.now
}

// After adds a function that is due after d.
func (a *TimerQueue) After(d Millis, run func()) {
	a.count++
	heap.Push(&a.queue, entry{at: a.now + max(d, 0), count: a.count, run: run})
}

// RunUntil runs what is due until the given time, as long as more, asked before each
// function, does not say otherwise; it may be nil. The clock then stands at that
// time.
func (a *TimerQueue) RunUntil(until Millis, more func() bool) {
	for len(a.queue) > 0 && a.queue[0].at <= until && (more == nil || more()) {
		next := heap.Pop(&a.queue).(entry)
		a.now = next.at
		next.run()
	}
	a.now = max(a.now, until)
}
