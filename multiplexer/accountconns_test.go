package multiplexer

import (
	"fmt"
	"testing"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// newAccountHarness returns a harness whose databases are closed, for accounts a0, a1
// and so on with the keys k0, k1 and so on. It fails the test if a statement runs on a
// connection of another account.
func newAccountHarness(t *testing.T, service timekeeper.Millis, accounts, connections int) *harness {
	h := newHarness(t, service)
	var list []cataloger.Account
	for i := range accounts {
		list = append(list, cataloger.Account{Name: fmt.Sprintf("a%d", i), Keys: []cataloger.KeyDigest{cataloger.DigestKey(fmt.Sprintf("k%d", i))}})
	}
	h.execute(h.m.SetCatalog(h.Now(), cataloger.New(2, []cataloger.Database{
		{Name: "urgent", Group: testGroup, Consistency: cataloger.ConsistencyPrimary, Timeout: 800, Closed: true},
		{Name: "standard", Group: testGroup, Consistency: cataloger.ConsistencySession, MaxAge: 2500, Timeout: 800, Rank: 1, Closed: true},
		{Name: "open", Group: testGroup, Consistency: cataloger.ConsistencySession, MaxAge: 2500, Timeout: 800, Rank: 1},
	}, []cataloger.Group{{Name: testGroup, ConnectionLimit: connections + 2 + restartHeadroom}}).WithAccounts(list)))
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
