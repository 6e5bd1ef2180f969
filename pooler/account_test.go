package pooler

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	simulatedAccounts = 83
	// simulatedRate is the load of one carrier on one server in operations per second:
	// 935 for 8 groups of 3 servers, by the carriers of 3 failure domains.
	simulatedRate   = 13.0
	simulatedTime   = 1_800_000.0
	simulatedWarmup = 300_000.0
	handshake       = 12
)

// result says how an operation got its connection.
type result int

const (
	reused result = iota
	started
	// waits: the operation has to wait for a busy connection.
	waits
	results
)

// simulate returns how many connections per second are started and how many operations
// per second wait, for accounts whose load follows a Zipf distribution with exponent
// 1.2. take runs one operation that ends after hold.
func simulate(take func(now timekeeper.Millis, account string, hold timekeeper.Millis) result) (startRate, waitRate float64) {
	random := rand.New(rand.NewSource(1))
	weights := make([]float64, simulatedAccounts)
	total := 0.0
	for i := range weights {
		total += math.Pow(float64(i+1), -1.2)
		weights[i] = total
	}
	var counts [results]float64
	for now := 0.0; now < simulatedTime; now += random.ExpFloat64() * 1000 / simulatedRate {
		account, _ := slices.BinarySearch(weights, random.Float64()*total)
		got := take(timekeeper.Millis(now), fmt.Sprintf("a%d", account), []timekeeper.Millis{8, 24, 40}[random.Intn(3)])
		if now >= simulatedWarmup {
			counts[got] += 1000 / (simulatedTime - simulatedWarmup)
		}
	}
	return counts[started], counts[waits]
}

// inUse is a connection of a simulation that is idle from a time on.
type inUse struct {
	conn    Conn
	account string
	until   timekeeper.Millis
}

// lru returns a simulation's pool that evicts the connection that was unused for longest.
func lru(size int) func(timekeeper.Millis, string, timekeeper.Millis) result {
	var conns []inUse
	return func(now timekeeper.Millis, account string, hold timekeeper.Millis) result {
		best, oldest := -1, -1
		for i, c := range conns {
			if c.until <= now && c.account == account && (best < 0 || c.until > conns[best].until) {
				best = i
			}
			if c.until <= now && (oldest < 0 || c.until < conns[oldest].until) {
				oldest = i
			}
		}
		switch {
		case best >= 0:
			conns[best].until = now + hold
			return reused
		case len(conns) < size:
			conns = append(conns, inUse{account: account, until: now + handshake + hold})
		case oldest >= 0:
			conns[oldest] = inUse{account: account, until: now + handshake + hold}
		default:
			return waits
		}
		return started
	}
}

// pooled returns a simulation's pool that is a Pool.
func pooled(size int) func(timekeeper.Millis, string, timekeeper.Millis) result {
	last := Conn(0)
	p := New(size, 0, func() Conn { last++; return last })
	var busy []inUse
	return func(now timekeeper.Millis, account string, hold timekeeper.Millis) result {
		slices.SortFunc(busy, func(a, b inUse) int { return cmp.Compare(a.until, b.until) })
		for len(busy) > 0 && busy[0].until <= now {
			p.Put(busy[0].until, busy[0].conn)
			busy = busy[1:]
		}
		got := reused
		if !p.CanTakeAs(scheduler.RankUrgent, account) {
			conn, _, found := p.OpenAs(now, scheduler.RankUrgent, account, nil)
			if !found {
				return waits
			}
			got = started
			p.MarkOpen(now, conn)
			hold += handshake
		}
		conn, _ := p.TakeAs(now, scheduler.RankUrgent, account)
		busy = append(busy, inUse{conn: conn, until: now + hold})
		return got
	}
}

// TestConnectionStarts guards against an eviction that starts more connections than to
// evict the one that was unused for longest. Load: 83 accounts (Zipf 1.2), 13 operations
// of 8 to 40 ms per second on one server's 8, 25 and 76 connections.
func TestConnectionStarts(t *testing.T) {
	for _, size := range []int{8, 25, 76} {
		byAge, waitsByAge := simulate(lru(size))
		chosen, waitsChosen := simulate(pooled(size))
		t.Logf("%d connections: %.2f starts and %.3f waits per second evicting the oldest, %.2f and %.3f with the pool", size, byAge, waitsByAge, chosen, waitsChosen)
		if chosen > byAge {
			t.Errorf("%d connections: %.2f starts per second, want at most the %.2f of evicting the oldest", size, chosen, byAge)
		}
	}
}

// TestAccounts guards against a connection that is taken for another account or twice,
// against connections beyond the share, also after it was lowered or the server refused
// one, and against an account without a connection that can't get one while another's is
// idle.
func TestAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		last := Conn(0)
		const limit = 8
		p := New(limit, 0, func() Conn { last++; return last })
		share, now := limit, timekeeper.Millis(0)
		owner, opening, busy := map[Conn]string{}, []Conn{}, []Conn{}
		name := func() string { return fmt.Sprintf("a%d", rapid.IntRange(0, 11).Draw(t, "account")) }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if p.Size() != len(owner) || p.Busy() != len(busy) {
					t.Fatalf("the pool has %d connections and %d busy ones, want %d and %d", p.Size(), p.Busy(), len(owner), len(busy))
				}
			},
			"open": func(t *rapid.T) {
				account := name()
				idle := p.Size() - p.Busy() - len(opening)
				conn, evicted, found := p.OpenAs(now, scheduler.RankUrgent, account, nil)
				if e := evicted; e.Conn != 0 {
					if owner[e.Conn] != e.Account || e.Account == account || !found {
						t.Fatalf("evicted %+v of account %s for account %s", e, owner[e.Conn], account)
					}
					delete(owner, e.Conn)
				}
				if !found {
					if p.Open(account) == 0 && now >= p.openAfter && (idle > 0 || p.Size() < p.sizeLimit(now)) && p.Size() <= p.sizeLimit(now) {
						t.Fatalf("account %s gets no connection, %d are idle and %d of %d open", account, idle, p.Size(), share)
					}
					return
				}
				owner[conn] = account
				opening = append(opening, conn)
				if p.Size() > share {
					t.Fatalf("%d connections with a share of %d", p.Size(), share)
				}
			},
			"opened": func(*rapid.T) {
				if len(opening) > 0 {
					p.MarkOpen(now, opening[0])
					now += unusedHold
					opening = opening[1:]
				}
			},
			"refused": func(*rapid.T) {
				if len(opening) > 0 {
					p.Refuse(now, opening[0])
					delete(owner, opening[0])
					opening = opening[1:]
				}
			},
			"take": func(t *rapid.T) {
				account := name()
				conn, ready := p.TakeAs(now, scheduler.RankUrgent, account)
				if ready && (owner[conn] != account || slices.Contains(busy, conn)) {
					t.Fatalf("took connection %d of account %s for %s; busy %v", conn, owner[conn], account, busy)
				}
				if ready {
					busy = append(busy, conn)
				}
			},
			"put": func(t *rapid.T) {
				now += timekeeper.Millis(rapid.IntRange(0, 10_000).Draw(t, "passed"))
				if len(busy) > 0 {
					p.Put(now, busy[0])
					busy = busy[1:]
				}
			},
			"share": func(t *rapid.T) {
				share = rapid.IntRange(1, limit).Draw(t, "share")
				p.SetShare(share)
				_, closed := p.Plan(now, 0)
				for _, conn := range closed {
					delete(owner, conn)
				}
				if p.Size() > share && p.Size() > len(busy)+len(opening) {
					t.Fatalf("%d connections, %d busy and %d opening, with a share of %d", p.Size(), len(busy), len(opening), share)
				}
			},
		})
	})
}
