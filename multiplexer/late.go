package multiplexer

import (
	"slices"

	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// maxYielded is how many jobs in a row may start while late ones wait. Then a
	// late one is next, so that databases with objectives that no server can meet
	// are served too.
	maxYielded = 15
	// lateFactor is how many times the expected time a statement must have left. A
	// queue longer than the objective makes all statements start at the limit, and
	// with the mean alone half of them end after it.
	lateFactor = 1.5
	// lateTries is how many late jobs are examined for one that fits.
	lateTries = 8
)

// updateLate takes those jobs out of the queue that miss their latency objective
// anyway while others of their rank still can meet theirs, and rejects late jobs
// that have waited too long. If they stayed in the queue, they would stand in
// front of their customers' later jobs until those are late too.
func (b *groupBalance) updateLate(now timekeeper.Millis) {
	g := b.group
	for _, j := range b.late {
		if g.waiting[j.id] == j && now > j.item.Deadline {
			g.removeWaiting(j)
			g.reject(now, j, defaultRetryDelay, "no server was free in time")
		}
	}
	b.late = slices.DeleteFunc(b.late, func(j *job) bool { return g.waiting[j.id] != j })
	if g.queue.Len() == 0 {
		return
	}
	var needed [scheduler.NumRanks][2]timekeeper.Millis
	for r := range needed {
		needed[r][scheduler.LanePrimary] = timekeeper.Millis(lateFactor * b.ExpectedTime(now, g.lease.Server, scheduler.Rank(r)))
		needed[r][scheduler.LaneAny] = timekeeper.Millis(lateFactor * b.ShortestTime(now, scheduler.Rank(r)))
	}
	misses := func(j *job) bool {
		objective := j.database.LatencyObjective
		return objective > 0 && now-j.arrived+needed[rankOf(j.database)][j.lane] > objective
	}
	var timely, missing [scheduler.NumRanks]int
	for _, j := range g.waiting {
		switch r := rankOf(j.database); {
		case j.late:
		case misses(j):
			missing[r]++
		default:
			timely[r]++
		}
	}
	for r := range missing {
		if missing[r] == 0 || timely[r] == 0 {
			continue
		}
		removed := g.queue.RemoveMatching(func(item scheduler.Item) bool {
			j := g.waiting[item.ID]
			return item.Rank == scheduler.Rank(r) && j != nil && misses(j)
		})
		for _, item := range removed {
			j := g.waiting[item.ID]
			j.late = true
			b.late = append(b.late, j)
		}
	}
}

// countYield accounts for the start of a job.
func (b *groupBalance) countYield(j *job) {
	b.yielded++
	if j.late || len(b.late) == 0 {
		b.yielded = 0
	}
}

// startLate starts the first late job that fits if at least limit other jobs have
// started before it. It reports whether it has started one.
func (b *groupBalance) startLate(now timekeeper.Millis, limit int) bool {
	if b == nil || b.yielded < limit {
		return false
	}
	g := b.group
	for i, tries := 0, 0; i < len(b.late) && tries < lateTries; tries++ {
		j := b.late[i]
		if g.waiting[j.id] != j {
			b.late = slices.Delete(b.late, i, i+1)
			continue
		}
		s := g.selectServer(now, j)
		if s == nil {
			i++
			continue
		}
		b.late = slices.Delete(b.late, i, i+1)
		g.removeWaiting(j)
		j.item = scheduler.Item{} // the queue no longer accounts for it
		g.start(now, j, s)
		return true
	}
	return false
}

// lateCount returns the number of late jobs that wait.
func (b *groupBalance) lateCount() int {
	if b == nil {
		return 0
	}
	count := 0
	for _, j := range b.late {
		if b.group.waiting[j.id] == j {
			count++
		}
	}
	return count
}

// returnLate puts the late jobs back into the queue.
func (b *groupBalance) returnLate(now timekeeper.Millis) {
	if b == nil {
		return
	}
	late := b.late
	b.late = nil
	for _, j := range late {
		j.late = false
		if b.group.waiting[j.id] == j {
			b.group.removeWaiting(j)
			b.group.enqueue(now, j)
		}
	}
}
