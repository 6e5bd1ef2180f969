package multiplexer

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// testAccounts returns accounts a0, a1 and so on with the keys k0, k1 and so on.
func testAccounts(n int) []cataloger.Account {
	var list []cataloger.Account
	for i := range n {
		list = append(list, cataloger.Account{Name: fmt.Sprintf("a%d", i), Keys: []cataloger.KeyDigest{cataloger.DigestKey(fmt.Sprintf("k%d", i))}})
	}
	return list
}

// newAccountHarness returns a harness with closed databases and a number of accounts. It
// fails the test if a statement runs on a connection of another account.
func newAccountHarness(t *testing.T, service timekeeper.Millis, accounts, connections int) *harness {
	h := newHarness(t, service)
	h.execute(h.m.SetCatalog(h.Now(), cataloger.New(2, []cataloger.Database{
		{Name: "urgent", Group: testGroup, Consistency: cataloger.ConsistencyPrimary, Timeout: 800, Closed: true},
		{Name: "standard", Group: testGroup, Consistency: cataloger.ConsistencySession, MaxAge: 2500, Timeout: 800, Rank: 1, Closed: true},
		{Name: "open", Group: testGroup, Consistency: cataloger.ConsistencySession, MaxAge: 2500, Timeout: 800, Rank: 1},
	}, []cataloger.Group{{Name: testGroup, ConnectionLimit: connections + 2 + restartHeadroom}}).WithAccounts(testAccounts(accounts))))
	h.checkSend = func(c *conn) {
		if c.job != nil && c.job.account != c.account {
			t.Fatalf("a statement of account %q runs on a connection of account %q", c.job.account, c.account)
		}
		if size := c.server.pool.Size(); size > connections {
			t.Fatalf("%d connections to server %s, want at most %d", size, c.server.ID, connections)
		}
	}
	return h
}

// TestAccountsInTurn guards against statements on another account's connection, and
// against accounts that never get one because others hold them all. Load: 83 accounts
// and an open database in turn over 8 connections to each server, one statement of 8 ms
// every 20 ms.
func TestAccountsInTurn(t *testing.T) {
	h := newAccountHarness(t, 8, 83, 8)
	results := counts{}
	for i := range 1000 {
		h.After(timekeeper.Millis(20*i), func() {
			database, key := "standard", fmt.Sprintf("k%d", i%83)
			if i%10 == 0 {
				database = "open"
			}
			h.runStatement(database, key, Statement{Kind: KindRead}, results.add)
		})
	}
	h.run(22_000)
	if results.served != 1000 {
		t.Errorf("%+v, want all 1000 served", results)
	}
}

// TestAccountLoads guards against accounts that wait for long, or whose work is rejected,
// because other accounts hold or take the connections: 8 to each server.
func TestAccountLoads(t *testing.T) {
	tests := map[string]struct {
		// run starts the load; results counts the statements that must be served.
		run              func(h *harness, results *counts)
		served, slowest  int
		refused, evicted int
	}{
		"rarely active accounts among busy ones": {
			// 7 accounts with a statement every 40 ms each, from which 7 others, each with
			// one statement, 3 s apart, must not take connections again and again.
			run: func(h *harness, results *counts) {
				h.streamAs(0, 7, 40, 30_000, &counts{})
				h.run(10_000)
				for i := range 7 {
					h.After(timekeeper.Millis(3000*i), func() { h.streamAs(7+i, 8+i, 1, 1, results) })
				}
			},
			served: 7, slowest: 80, evicted: 14,
		},
		"one account floods": {
			// 40 statements at once every 50 ms, more than the servers run, beside 20 accounts
			// with one every 200 ms each.
			run: func(h *harness, results *counts) {
				for range 40 {
					h.streamAs(0, 1, 50, 10_000, &counts{})
				}
				for i := range 20 {
					h.After(timekeeper.Millis(10*i), func() { h.streamAs(1+i, 2+i, 200, 10_000, results) })
				}
			},
			served: 1000, slowest: 200, evicted: 1200,
		},
		"the share is lowered while the pool is full": {
			// 16 accounts with a statement every 100 ms each; the share falls to 2.
			run: func(h *harness, results *counts) {
				h.streamAs(0, 16, 100, 6000, results)
				h.run(3000)
				h.execute(h.m.SetPlacement(h.Now(), placement(3)))
				h.run(200)
				h.checkSend = func(c *conn) {
					if size := c.server.pool.Size(); size > minShare {
						h.t.Fatalf("%d connections to server %s, want at most %d", size, c.server.ID, minShare)
					}
				}
			},
			served: 960, slowest: 400, evicted: 960,
		},
		"the server accepts half of the share": {
			run: func(h *harness, results *counts) {
				h.connectionLimit = 4
				h.streamAs(0, 16, 100, 6000, results)
			},
			served: 960, slowest: 400, refused: 30, evicted: 960,
		},
		"the servers refuse one account": {
			// A statement of that account every 20 ms, beside 16 accounts with one every 100 ms
			// each.
			run: func(h *harness, results *counts) {
				h.denied = "a0"
				h.streamAs(0, 1, 20, 6000, &counts{})
				h.streamAs(1, 17, 100, 6000, results)
			},
			served: 960, slowest: 100, refused: 30, evicted: 960,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newAccountHarness(t, 8, 21, 8)
			results := counts{}
			test.run(h, &results)
			h.run(22_000)
			if results.served != test.served || results.slowest > timekeeper.Millis(test.slowest) {
				t.Errorf("%+v, want all %d served within %d ms", results, test.served, test.slowest)
			}
			if evicted := h.m.AccountConnCounts().Evicted; evicted > uint64(test.evicted) || h.refused > test.refused {
				t.Errorf("%d connections evicted and %d refused, want at most %d and %d", evicted, h.refused, test.evicted, test.refused)
			}
		})
	}
}

// TestAccountCarrier guards against an account's work that goes to several carriers of a
// failure domain, each of which would need connections of its own for it.
func TestAccountCarrier(t *testing.T) {
	f := newFleet(t, 100)
	for _, d := range f.daemons {
		d.execute(d.mux.SetCatalog(f.Now(), cataloger.New(2, []cataloger.Database{
			{Name: "closed", Group: testGroup, Consistency: cataloger.ConsistencySession, MaxAge: 2500, Timeout: 1000, Closed: true},
		}, []cataloger.Group{{Name: testGroup, ConnectionLimit: 240}}).WithAccounts(testAccounts(20))))
	}
	carriers := map[int]bool{}
	for account := range 20 {
		before := make([]int, len(f.daemons))
		for i, d := range f.daemons {
			before[i] = d.ran
			if i%fleetDomains == 0 {
				d.askAs("closed", fmt.Sprintf("k%d", account), aRead, func(Answer, timekeeper.Millis) {})
			}
		}
		f.RunUntil(f.Now()+1000, nil)
		var ran []int
		for i, d := range f.daemons {
			if d.ran > before[i] {
				ran, carriers[i] = append(ran, i), true
			}
		}
		if len(ran) != 1 {
			t.Errorf("account %d: the daemons %v run its statements, want one", account, ran)
		}
	}
	if len(carriers) != 3 {
		t.Errorf("the daemons %v run the statements of 20 accounts, want three", carriers)
	}
}

// TestShareOfRestarted guards against a daemon that opens more connections after its start
// than the others leave unused, while its list of hosts may be incomplete and the servers
// count the connections that it had before.
func TestShareOfRestarted(t *testing.T) {
	h := newAccountHarness(t, 8, 10, 70)
	h.m.placedAt, h.m.membershipSettled = h.Now(), false
	h.m.updatePoolLimits()
	h.checkSend = func(c *conn) {
		if size := c.server.pool.Size(); size > minShare && !h.m.membershipSettled {
			t.Fatalf("%d connections to server %s, want at most %d", size, c.server.ID, minShare)
		}
	}
	results := counts{}
	h.streamAs(0, 10, 50, 2500, &results)
	h.run(membershipSettleTime)
	if results.served != 500 {
		t.Errorf("%+v, want all 500 served", results)
	}
}

// streamAs runs a read of each account from one number up to another at an interval for
// some time, and counts the results.
func (h *harness) streamAs(from, to int, interval, length timekeeper.Millis, results *counts) {
	for at := timekeeper.Millis(0); at < length; at += interval {
		h.After(at, func() {
			for i := from; i < to; i++ {
				h.runStatement("standard", fmt.Sprintf("k%d", i), Statement{Kind: KindRead}, results.add)
			}
		})
	}
}

// TestAccountsFleet guards against accounts' work that is spread over so many daemons that
// each needs connections of its own for it, and against more connections than the servers
// accept. Load: 83 accounts (Zipf 1.2) with 117 operations per second together at 32
// daemons, one in ten an urgent write.
func TestAccountsFleet(t *testing.T) {
	f := newFleet(t, 32)
	for _, d := range f.daemons {
		d.execute(d.mux.SetCatalog(f.Now(), cataloger.New(2, []cataloger.Database{
			{Name: "urgent", Group: testGroup, Consistency: cataloger.ConsistencyPrimary, Timeout: 1000, Closed: true},
			{Name: "standard", Group: testGroup, Consistency: cataloger.ConsistencySession, MaxAge: 2500, Timeout: 1000, Rank: 1, Closed: true},
		}, []cataloger.Group{{Name: testGroup, ConnectionLimit: fleetConnectionLimit}}).WithAccounts(testAccounts(83))))
	}
	const rate, seconds, warmup = 117, 60, 20
	zipf := rand.NewZipf(f.random, 1.2, 1, 82)
	served, opened, took := 0, 0, []timekeeper.Millis{}
	for i := range rate * seconds {
		f.After(timekeeper.Millis(i*1000/rate), func() {
			if i == rate*warmup {
				opened, took = f.opened, took[:0]
			}
			database, st := "standard", aRead
			if i%10 == 0 {
				database, st = "urgent", aWrite
			}
			d := f.daemons[f.random.Intn(len(f.daemons))]
			var id uint64
			id = d.askAs(database, fmt.Sprintf("k%d", zipf.Uint64()), st, func(a Answer, duration timekeeper.Millis) {
				if a.Code == CodeOK {
					served++
					took = append(took, duration)
				}
				f.After(0, func() { d.execute(d.mux.Disconnect(f.Now(), id)) })
			})
		})
	}
	f.RunUntil(f.Now()+1000*(seconds+2), nil)
	slices.Sort(took)
	starts, p50, p99 := float64(f.opened-opened)/(seconds-warmup), took[len(took)/2], took[len(took)*99/100]
	t.Logf("served %d, %.1f starts per second, p50 %d ms, p99 %d ms, %d connections refused", served, starts, p50, p99, f.refused)
	if served != rate*seconds || f.refused > 0 {
		t.Errorf("%d of %d operations served and %d connections refused, want all and none", served, rate*seconds, f.refused)
	}
	if starts > 30 || p99 > 120 {
		t.Errorf("%.1f starts per second and a 99th percentile of %d ms, want at most 30 and 120", starts, p99)
	}
}

// BenchmarkAccounts measures one statement of accounts in turn, with all decisions about
// it and its connection, on 24 connections to one server.
func BenchmarkAccounts(b *testing.B) {
	for _, accounts := range []int{10, 100, 10_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			m := New(DefaultSettings("a"), Deps{})
			now := timekeeper.Millis(1000)
			m.SetCatalog(now, cataloger.New(1, []cataloger.Database{
				{Name: "closed", Group: testGroup, Consistency: cataloger.ConsistencyPrimary, Timeout: 800, Closed: true},
			}, []cataloger.Group{{Name: testGroup, ConnectionLimit: 24 + 2 + restartHeadroom}}).WithAccounts(testAccounts(accounts)))
			m.SetServers(now, []cataloger.Server{{ID: "s0", Group: testGroup, Address: "s0", Domain: "a", Slots: 5, Primary: true}})
			m.SetPrimaryLease(now, testGroup, elector.PrimaryLease{Server: "s0", Term: 1, ValidUntil: 1 << 50})
			m.SetPlacement(now, placement(1))
			now += membershipSettleTime
			m.Tick(now)
			for i := range accounts {
				m.Connect(now, uint64(i+1), "closed", fmt.Sprintf("k%d", i))
			}
			answered := 0
			var execute func(commands []Command)
			execute = func(commands []Command) {
				for _, command := range commands {
					switch c := command.(type) {
					case OpenConn:
						execute(m.ConnOpened(now, c.Conn, Answer{}))
					case Send:
						now++
						execute(m.AnswersReceived(now, c.Conn, make([]Answer, len(c.Statements))))
					case Reply:
						answered++
					}
				}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				execute(m.Run(now, uint64(i*7919%accounts+1), Statement{Kind: KindRead}))
			}
			if answered != b.N {
				b.Fatalf("%d of %d statements were answered", answered, b.N)
			}
		})
	}
}
