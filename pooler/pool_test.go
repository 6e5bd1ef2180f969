package pooler_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// TestPool checks that a connection is never taken twice, that the pool never
// opens connections beyond the share, and that lower ranks leave the last
// connections to urgent work.
func TestPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		last := pooler.Conn(0)
		const limit = 16
		pool := pooler.New(limit, 2, func() pooler.Conn { last++; return last })
		share := limit
		now := timekeeper.Millis(0)
		var opening, busy []pooler.Conn
		used := map[pooler.Conn]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"plan": func(t *rapid.T) {
				now += timekeeper.Millis(rapid.IntRange(0, 60_000).Draw(t, "passed"))
				before := pool.Size()
				opened, closed := pool.Plan(now, rapid.IntRange(0, 20).Draw(t, "demand"))
				if len(opened) > 0 && pool.Size() > share {
					t.Fatalf("opened %d connections beyond the share: size %d, share %d", len(opened), pool.Size(), share)
				}
				if pool.Size() != before+len(opened)-len(closed) {
					t.Fatalf("size went from %d to %d by opening %d and closing %d", before, pool.Size(), len(opened), len(closed))
				}
				opening = append(opening, opened...)
			},
			"share": func(t *rapid.T) {
				share = rapid.IntRange(1, limit).Draw(t, "share")
				pool.SetShare(share)
			},
			"opened": func(t *rapid.T) {
				if len(opening) > 0 {
					if !pool.MarkOpen(now, opening[0]) {
						t.Fatalf("MarkOpen rejected connection %d, which was being opened", opening[0])
					}
					opening = opening[1:]
				}
			},
			"take": func(t *rapid.T) {
				rank := scheduler.Rank(rapid.IntRange(0, 2).Draw(t, "rank"))
				conn, ready := pool.Take(rank)
				if !ready {
					return
				}
				if used[conn] {
					t.Fatalf("connection %d was taken twice", conn)
				}
				if rank != scheduler.RankUrgent && share >= 4 && pool.Busy() > share-share/4 {
					t.Fatalf("rank %v took connection %d of a share of %d", rank, pool.Busy(), share)
				}
				used[conn] = true
				busy = append(busy, conn)
			},
			"put": func(t *rapid.T) {
				if len(busy) > 0 {
					pool.Put(now, busy[0])
					delete(used, busy[0])
					busy = busy[1:]
				}
			},
			"lost": func(t *rapid.T) {
				if len(busy) > 0 {
					pool.Remove(now, busy[0])
					pool.Put(now, busy[0])
					if pool.Has(busy[0]) {
						t.Fatalf("lost connection %d is still in the pool", busy[0])
					}
					delete(used, busy[0])
					busy = busy[1:]
				}
			},
		})
	})
}

// TestMinOpen guards against a pool that opens a new connection whenever one becomes
// busy, only to keep another one idle, and closes it soon after.
func TestMinOpen(t *testing.T) {
	last := pooler.Conn(0)
	p := pooler.New(10, 0, func() pooler.Conn { last++; return last }).WithIdleLimit(100)
	p.SetMinOpen(2)
	open, _ := p.Plan(0, 0)
	if len(open) != 2 {
		t.Fatalf("opens %d connections, want 2", len(open))
	}
	for _, c := range open {
		p.MarkOpen(0, c)
	}
	busy, _ := p.Take(scheduler.RankUrgent)
	if open, closed := p.Plan(10, 0); len(open)+len(closed) != 0 {
		t.Errorf("opens %v and closes %v with one of two connections busy, want none", open, closed)
	}
	p.Put(20, busy)
	if open, closed := p.Plan(10_000, 0); len(open)+len(closed) != 0 {
		t.Errorf("opens %v and closes %v after a long idle time, want none", open, closed)
	}
	p.SetMinOpen(0)
	if _, closed := p.Plan(10_000, 0); len(closed) != 2 {
		t.Errorf("closes %d connections without a minimum, want 2", len(closed))
	}
}
