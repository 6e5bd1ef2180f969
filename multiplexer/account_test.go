package multiplexer

import (
	"testing"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// keyCatalog returns a catalog with a closed and an open database, in which
// each account has the keys listed under its name.
func keyCatalog(version int64, keys map[string][]string) cataloger.Catalog {
	var accounts []cataloger.Account
	for name, list := range keys {
		a := cataloger.Account{Name: name}
		for _, key := range list {
			a.Keys = append(a.Keys, cataloger.DigestKey(key))
		}
		accounts = append(accounts, a)
	}
	return cataloger.New(version, []cataloger.Database{
		{Name: "closed", Group: testGroup, Consistency: cataloger.ConsistencyPrimary, Timeout: 800, Closed: true},
		{Name: "open", Group: testGroup, Consistency: cataloger.ConsistencyPrimary, Timeout: 800},
	}, []cataloger.Group{{Name: testGroup, ConnectionLimit: 16}}).WithAccounts(accounts)
}

// newKeyHarness returns a harness with the catalog of one account, whose key is
// "key-a".
func newKeyHarness(t *testing.T) *harness {
	h := newHarness(t, 20)
	h.execute(h.m.SetCatalog(h.Now(), keyCatalog(2, map[string][]string{"a": {"key-a"}})))
	h.m.ConfirmCatalog(h.Now())
	return h
}

// TestConnectChecksKey guards against sessions on a closed database for keys that no
// account has, and against denying a key that a newer catalog may have added.
func TestConnectChecksKey(t *testing.T) {
	tests := map[string]struct {
		database, key string
		catalogAge    timekeeper.Millis
		want          Code
	}{
		"key of an account":           {"closed", "key-a", 0, CodeOK},
		"unknown key":                 {"closed", "key-b", 0, CodeDenied},
		"no key":                      {"closed", "", 0, CodeDenied},
		"name of an account":          {"closed", "a", 0, CodeDenied},
		"any word in an open one":     {"open", "key-b", 0, CodeOK},
		"unknown key, old catalog":    {"closed", "key-b", maxCatalogAge + 1, CodeNotRun},
		"known key, old catalog":      {"closed", "key-a", maxCatalogAge + 1, CodeOK},
		"digest instead of its key":   {"closed", string(cataloger.DigestKey("key-a")), 0, CodeDenied},
		"database that is not listed": {"other", "key-a", 0, CodeNoDatabase},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newKeyHarness(t)
			if a := h.m.Connect(h.Now()+tt.catalogAge, 1, tt.database, tt.key); a.Code != tt.want {
				t.Errorf("got %v, want %v", a, tt.want)
			}
		})
	}
}

// TestKeyInTwoAccounts guards against running work of a key for either of the accounts
// that list it.
func TestKeyInTwoAccounts(t *testing.T) {
	h := newHarness(t, 20)
	h.execute(h.m.SetCatalog(h.Now(), keyCatalog(2, map[string][]string{"a": {"shared", "key-a"}, "b": {"shared"}})))
	if a := h.m.Connect(h.Now(), 1, "closed", "shared"); a.Code != CodeDenied {
		t.Errorf("the shared key got %v, want denied", a.Code)
	}
	if a := h.m.Connect(h.Now(), 2, "closed", "key-a"); a.Code != CodeOK {
		t.Errorf("the account's own key got %v, want ok", a.Code)
	}
}

// TestKeyChanges guards against work that goes on for a key that a catalog has taken
// away or moved to another account.
func TestKeyChanges(t *testing.T) {
	next := map[string]map[string][]string{
		"taken away": {"a": {}},
		"moved":      {"a": {}, "b": {"key-a"}},
	}
	tests := map[string]struct {
		change string
		// statements are run in turn before the change, and last after it.
		statements []Kind
		last       Kind
		want       Code
		closes     int
	}{
		"idle session":              {"taken away", nil, KindWrite, CodeDenied, 1},
		"new statement, moved":      {"moved", nil, KindWrite, CodeOK, 0},
		"transaction":               {"taken away", []Kind{KindBegin, KindWrite}, KindWrite, CodeMalformed, 0},
		"commit":                    {"taken away", []Kind{KindBegin, KindWrite}, KindCommit, CodeAborted, 0},
		"commit, moved":             {"moved", []Kind{KindBegin, KindWrite}, KindCommit, CodeAborted, 0},
		"first in transaction":      {"taken away", []Kind{KindBegin}, KindWrite, CodeMalformed, 0},
		"begin after the key's end": {"taken away", nil, KindBegin, CodeDenied, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newKeyHarness(t)
			if a := h.m.Connect(h.Now(), 1, "closed", "key-a"); a.Code != CodeOK {
				t.Fatalf("connect: %v", a)
			}
			run := func(kind Kind) Answer {
				var answer Answer
				h.pending[1] = func(a Answer) { answer = a }
				h.execute(h.m.Run(h.Now(), 1, Statement{ID: "x", Kind: kind, Args: "item data"}))
				h.run(200)
				return answer
			}
			for _, kind := range tt.statements {
				if a := run(kind); a.Code != CodeOK {
					t.Fatalf("statement before the change: %v", a)
				}
			}
			h.execute(h.m.SetCatalog(h.Now(), keyCatalog(3, next[tt.change])))
			if a := run(tt.last); a.Code != tt.want {
				t.Errorf("after the change got %v %q, want %v", a.Code, a.Text, tt.want)
			}
			if h.sessionsClosed != tt.closes {
				t.Errorf("%d sessions closed, want %d", h.sessionsClosed, tt.closes)
			}
		})
	}
}

// TestQueuedStatementLosesItsKey guards against a queued statement that starts after
// its key was taken away.
func TestQueuedStatementLosesItsKey(t *testing.T) {
	h := newKeyHarness(t)
	h.setPrimary("s0", 1, true) // statements wait for the end of the change
	h.m.groups[testGroup].lease.ResumeAt = h.Now() + 300
	var code Code
	h.runStatement("closed", "key-a", Statement{ID: "x", Kind: KindWrite, Args: "item data"}, func(a Answer, _ timekeeper.Millis) { code = a.Code })
	h.execute(h.m.SetCatalog(h.Now(), keyCatalog(3, map[string][]string{"a": {}})))
	ran := h.servers["s0"].ran
	h.setPrimary("s0", 1, false)
	h.run(500)
	if code != CodeDenied || h.servers["s0"].ran != ran {
		t.Errorf("got %v and %d runs, want denied and none", code, h.servers["s0"].ran-ran)
	}
}

// TestCarrierResolvesKey guards against a carrier that runs a statement for a key that
// its own catalog denies, and against one that denies a key because its catalog is
// older than the requester's.
func TestCarrierResolvesKey(t *testing.T) {
	tests := map[string]struct {
		key     string
		catalog int64
		want    Code
	}{
		"known key":                         {"key-a", 2, CodeOK},
		"key that the newer catalog lacks":  {"key-b", 1, CodeDenied},
		"key of a catalog not yet received": {"key-b", 3, CodeOK},
		"daemon that knows no accounts":     {"", 0, CodeNotRun},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newKeyHarness(t)
			r := ForwardRequest{
				Work: 1, Statement: Statement{ID: "x", Kind: KindWrite, Args: "item data"}, Account: "b", Catalog: tt.catalog, Left: 500,
				Database: cataloger.Database{Name: "closed", Group: testGroup, Timeout: 800, Closed: true},
			}
			if tt.key != "" {
				r.Key = cataloger.DigestKey(tt.key)
			}
			var answer *ForwardAnswer
			collect := func(commands []Command) {
				for _, c := range commands {
					if reply, ok := c.(ForwardReply); ok {
						answer = &reply.Answer
					}
				}
				h.execute(commands)
			}
			collect(h.m.RunForwarded(h.Now(), 1, r))
			if accepted := answer == nil; accepted != (tt.want == CodeOK) || !accepted && answer.Answer.Code != tt.want {
				t.Errorf("answered at once with %+v, want %v", answer, tt.want)
			}
		})
	}
}
