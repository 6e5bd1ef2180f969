package checker

import (
	"slices"
	"testing"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// catalog is a catalog as the tests change it.
type catalog struct {
	version   int64
	idle      timekeeper.Millis
	databases []cataloger.Database
	groups    []cataloger.Group
	accounts  []cataloger.Account
}

// valid returns a catalog without findings.
func valid() catalog {
	return catalog{
		version: 7, idle: 3000,
		databases: []cataloger.Database{{Name: "d", Group: "g", Timeout: 1000, LatencyObjective: 100, Closed: true}},
		groups:    []cataloger.Group{{Name: "g", ConnectionLimit: 3}},
		accounts:  []cataloger.Account{{Name: "a", Keys: []cataloger.KeyDigest{"k", "l"}, RateLimit: 5, Burst: 1}},
	}
}

func place[T any](values []T) []Item[T] {
	items := make([]Item[T], 0, len(values))
	for _, v := range values {
		items = append(items, Item[T]{Value: v, Place: Place{Path: "p"}})
	}
	return items
}

func (c catalog) draft() Draft {
	return Draft{
		Version: Item[int64]{Value: c.version}, IdleTimeout: Item[timekeeper.Millis]{Value: c.idle}, ReservedConnections: 2,
		Databases: place(c.databases), Groups: place(c.groups), Accounts: place(c.accounts),
	}
}

func codes(findings []Finding) []Code {
	var out []Code
	for _, f := range findings {
		out = append(out, f.Code)
	}
	slices.Sort(out)
	return out
}

// TestCheck guards against a fault that is not found, and a finding about a valid catalog,
// also at the edge of each limit.
func TestCheck(t *testing.T) {
	tests := map[string]struct {
		change func(*catalog)
		want   []Code
	}{
		"valid":          {func(*catalog) {}, nil},
		"database twice": {func(c *catalog) { c.databases = append(c.databases, c.databases[0]) }, []Code{CodeDatabaseRepeated}},
		"group twice":    {func(c *catalog) { c.groups = append(c.groups, c.groups[0]) }, []Code{CodeGroupRepeated}},
		"account twice":  {func(c *catalog) { c.accounts = append(c.accounts, c.accounts[0]) }, []Code{CodeAccountRepeated}},
		"key twice":      {func(c *catalog) { c.accounts[0].Keys = []cataloger.KeyDigest{"k", "k"} }, nil},
		"key of two": {func(c *catalog) {
			c.accounts = append(c.accounts, cataloger.Account{Name: "b", Keys: []cataloger.KeyDigest{"l"}})
		}, []Code{CodeKeyShared}},
		"unused group":       {func(c *catalog) { c.groups = append(c.groups, cataloger.Group{Name: "h", ConnectionLimit: 3}) }, []Code{CodeGroupUnused}},
		"missing group":      {func(c *catalog) { c.groups = nil }, []Code{CodeGroupMissing}},
		"no database":        {func(c *catalog) { c.databases, c.accounts = nil, nil }, []Code{CodeGroupUnused, CodeNoDatabase}},
		"no closed database": {func(c *catalog) { c.databases[0].Closed = false }, []Code{CodeAccountUnused}},
		"no account":         {func(c *catalog) { c.accounts = nil }, []Code{CodeNoAccount}},
		"no key":             {func(c *catalog) { c.accounts[0].Keys = nil }, []Code{CodeNoAccount, CodeNoKey}},
		"rate without burst": {func(c *catalog) { c.accounts[0].Burst = 0 }, []Code{CodeRateWithoutBurst}},
		"burst without rate": {func(c *catalog) { c.accounts[0].RateLimit = 0 }, []Code{CodeBurstWithoutRate}},
		"no rate":            {func(c *catalog) { c.accounts[0].RateLimit, c.accounts[0].Burst = 0, 0 }, nil},
		"long timeout":       {func(c *catalog) { c.databases[0].Timeout = 1001 }, []Code{CodeTimeoutLong}},
		"short timeout":      {func(c *catalog) { c.databases[0].Timeout = 99 }, []Code{CodeTimeoutShort}},
		"timeout as aimed":   {func(c *catalog) { c.databases[0].Timeout = 100 }, nil},
		"no objective":       {func(c *catalog) { c.databases[0].LatencyObjective = 0 }, nil},
		"idle timeout short": {func(c *catalog) { c.idle = 999 }, []Code{CodeIdleShort}},
		"idle timeout equal": {func(c *catalog) { c.idle = 1000 }, nil},
		"no idle timeout":    {func(c *catalog) { c.idle = 0 }, nil},
		"few connections":    {func(c *catalog) { c.groups[0].ConnectionLimit = 2 }, []Code{CodeConnectionsFew}},
		"max age 0":          {func(c *catalog) { c.databases[0].Consistency = cataloger.ConsistencyBoundedStaleness }, []Code{CodeMaxAgeZero}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := valid()
			tt.change(&c)
			if got := codes(Check(c.draft())); !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// TestCompare guards against a change that cuts clients without a warning, and a warning
// about one that does not.
func TestCompare(t *testing.T) {
	tests := map[string]struct {
		change func(*catalog)
		want   []Code
	}{
		"nothing":         {func(*catalog) {}, nil},
		"same version":    {func(c *catalog) { c.version = 7 }, []Code{CodeVersionNotHigher}},
		"database goes":   {func(c *catalog) { c.databases = nil }, []Code{CodeDatabaseGone}},
		"database opens":  {func(c *catalog) { c.databases[0].Closed = false }, []Code{CodeChanged}},
		"account goes":    {func(c *catalog) { c.accounts = nil }, []Code{CodeAccountGone}},
		"account renamed": {func(c *catalog) { c.accounts[0].Name = "b" }, []Code{CodeAccountGone, CodeChanged, CodeKeyMoved, CodeKeyMoved}},
		"key goes":        {func(c *catalog) { c.accounts[0].Keys = c.accounts[0].Keys[:1] }, []Code{CodeKeyGone}},
		"key is new":      {func(c *catalog) { c.accounts[0].Keys = append(c.accounts[0].Keys, "m") }, []Code{CodeChanged}},
		"key gets shared": {func(c *catalog) {
			c.accounts = append(c.accounts, cataloger.Account{Name: "b", Keys: []cataloger.KeyDigest{"l"}})
		}, []Code{CodeChanged, CodeKeyGone}},
		"rate falls":     {func(c *catalog) { c.accounts[0].RateLimit = 4 }, []Code{CodeLimitFalls}},
		"rate rises":     {func(c *catalog) { c.accounts[0].RateLimit = 6 }, []Code{CodeChanged}},
		"rate is lifted": {func(c *catalog) { c.accounts[0].RateLimit, c.accounts[0].Burst = 0, 0 }, []Code{CodeChanged}},
		"burst falls":    {func(c *catalog) { c.accounts[0].Burst = 0 }, []Code{CodeLimitFalls}},
		"fewer slots":    {func(c *catalog) { c.groups[0].ConnectionLimit = 2 }, []Code{CodeLimitFalls}},
		"timeout falls":  {func(c *catalog) { c.databases[0].Timeout = 999 }, []Code{CodeLimitFalls}},
		"idle falls":     {func(c *catalog) { c.idle = 2999 }, []Code{CodeLimitFalls}},
		"idle is lifted": {func(c *catalog) { c.idle = 0 }, []Code{CodeChanged}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := valid()
			c.version = 8
			tt.change(&c)
			if got := codes(Compare(c.draft(), valid().draft())); !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
	open, unlimited := valid(), valid()
	open.databases[0].Closed = false
	unlimited.idle, unlimited.accounts[0].RateLimit = 0, 0
	closing := valid()
	closing.version = 8
	if got := codes(Compare(closing.draft(), open.draft())); !slices.Equal(got, []Code{CodeDatabaseClosed}) {
		t.Errorf("a database that becomes closed: got %v", got)
	}
	if got := codes(Compare(closing.draft(), unlimited.draft())); !slices.Equal(got, []Code{CodeLimitFalls, CodeLimitFalls}) {
		t.Errorf("limits where there were none: got %v", got)
	}
}
