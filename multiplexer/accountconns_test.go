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
	served, other := 0, 0
	for i := range 1000 {
		h.After(timekeeper.Millis(20*i), func() {
			database, key := "standard", fmt.Sprintf("k%d", i%83)
			if i%10 == 0 {
				database = "open"
			}
			h.runStatement(database, key, Statement{Kind: KindRead}, func(a Answer, _ timekeeper.Millis) {
				if a.Code == CodeOK {
					served++
				} else {
					other++
				}
			})
		})
	}
	h.run(22_000)
	if served != 1000 || other != 0 {
		t.Errorf("%d of 1000 statements were served and %d were not, want all served", served, other)
	}
}

// TestRareAccount guards against a rarely active account that waits for long, and against
// one whose connection displaces that of a busy account again and again. Load: 7 accounts
// with a statement of 8 ms every 40 ms each, and 7 others with one statement each, 3 s apart, over
// 8 connections to each server.
func TestRareAccount(t *testing.T) {
	h := newAccountHarness(t, 8, 37, 8)
	rare, busy := counts{}, counts{}
	for i := range 7 {
		h.streamAs(fmt.Sprintf("k%d", i), 40, 30_000, &busy)
	}
	h.run(10_000)
	before := h.m.AccountConnCounts()
	for i := range 7 {
		h.After(timekeeper.Millis(3000*i), func() { h.streamAs(fmt.Sprintf("k%d", 7+i), 1, 1, &rare) })
	}
	h.run(22_000)
	if rare.served != 7 || rare.slowest > 80 || busy.served != 7*750 {
		t.Errorf("rare %+v, busy %+v, want all 7 and 5250 served, the rare ones within 80 ms", rare, busy)
	}
	if opened := h.m.AccountConnCounts().Opened - before.Opened; opened > 14 {
		t.Errorf("%d connections were opened for 7 rare statements, want at most 14", opened)
	}
}

// TestAccountFlood guards against an account that holds all connections. Load: one account
// with 40 statements of 8 ms at once every 50 ms, more than the servers run, and 20 accounts
// with one every 200 ms, over 8 connections to each server.
func TestAccountFlood(t *testing.T) {
	h := newAccountHarness(t, 8, 21, 8)
	flood, others := counts{}, counts{}
	for range 40 {
		h.streamAs("k0", 50, 10_000, &flood)
	}
	for i := range 20 {
		h.After(timekeeper.Millis(10*i), func() { h.streamAs(fmt.Sprintf("k%d", i+1), 200, 10_000, &others) })
	}
	h.run(12_000)
	t.Logf("flood %+v, others %+v, connections %+v", flood, others, h.m.AccountConnCounts())
	if others.served != 1000 || others.slowest > 200 {
		t.Errorf("others %+v, want all 1000 served within 200 ms", others)
	}
	if flood.served < 2000 {
		t.Errorf("flood %+v, want 2000 or more served", flood)
	}
}

// TestShareLowered guards against a pool that stays above a lowered share or goes on
// opening connections above it. Load: 16 accounts with a statement of 8 ms every 100 ms
// each; the share falls from 8 to 2 when other hosts appear.
func TestShareLowered(t *testing.T) {
	h := newAccountHarness(t, 8, 16, 8)
	results := counts{}
	for i := range 16 {
		h.streamAs(fmt.Sprintf("k%d", i), 100, 6000, &results)
	}
	h.run(3000)
	h.execute(h.m.SetPlacement(h.Now(), placement(3)))
	h.run(200)
	h.checkSend = func(c *conn) {
		if size := c.server.pool.Size(); size > minShare {
			t.Fatalf("%d connections to server %s, want at most %d", size, c.server.ID, minShare)
		}
	}
	h.run(4000)
	t.Logf("%+v, connections %+v", results, h.m.AccountConnCounts())
	if results.served != 16*60 {
		t.Errorf("%+v, want all %d served", results, 16*60)
	}
}

// TestAccountRefused guards against a daemon that goes on opening connections at a server
// that is full, and one that does not give idle ones up for other accounts.
func TestAccountRefused(t *testing.T) {
	h := newAccountHarness(t, 8, 16, 8)
	h.connectionLimit = 4
	results := counts{}
	for i := range 16 {
		h.streamAs(fmt.Sprintf("k%d", i), 100, 6000, &results)
	}
	h.run(8000)
	t.Logf("%+v, connections %+v, refused %d", results, h.m.AccountConnCounts(), h.refused)
	if results.served != 16*60 || h.refused > 30 {
		t.Errorf("%+v and %d connections refused, want all %d served and at most 30 refused", results, h.refused, 16*60)
	}
}

// TestAccountDenied guards against an account that the servers refuse and whose statements
// keep other accounts from opening connections. Load: a statement of that account every
// 20 ms, and 16 accounts with one every 100 ms each over 8 connections to each server.
func TestAccountDenied(t *testing.T) {
	h := newAccountHarness(t, 8, 17, 8)
	h.denied = "a0"
	denied, others := counts{}, counts{}
	h.streamAs("k0", 20, 6000, &denied)
	for i := range 16 {
		h.streamAs(fmt.Sprintf("k%d", i+1), 100, 6000, &others)
	}
	h.run(8000)
	if others.served != 16*60 || others.slowest > 100 {
		t.Errorf("others %+v, want all %d served within 100 ms", others, 16*60)
	}
	if denied.served > 0 || denied.rejected != 300 || h.refused > 30 {
		t.Errorf("denied account %+v with %d connections refused, want 300 rejected statements and at most 30 connections", denied, h.refused)
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
	for i := range 10 {
		h.streamAs(fmt.Sprintf("k%d", i), 50, 2500, &results)
	}
	h.run(membershipSettleTime)
	if results.served != 500 {
		t.Errorf("%+v, want all 500 served", results)
	}
}

// streamAs runs a read with a key at an interval for some time and counts the results.
func (h *harness) streamAs(key string, interval, length timekeeper.Millis, results *counts) {
	for at := timekeeper.Millis(0); at < length; at += interval {
		h.After(at, func() {
			h.runStatement("standard", key, Statement{Kind: KindRead}, results.add)
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
