package checker

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/heatherhall/heatherhall/cataloger"
)

// index holds the entries of a draft that count, by name, and the accounts by key.
type index struct {
	databases map[string]Item[cataloger.Database]
	groups    map[string]Item[cataloger.Group]
	accounts  map[string]Item[cataloger.Account]
	catalog   cataloger.Catalog
}

func newIndex(d Draft) index {
	x := index{databases: map[string]Item[cataloger.Database]{}, groups: map[string]Item[cataloger.Group]{}, accounts: map[string]Item[cataloger.Account]{}}
	for _, item := range d.Databases {
		x.databases[item.Value.Name] = item
	}
	for _, item := range d.Groups {
		x.groups[item.Value.Name] = item
	}
	accounts := make([]cataloger.Account, 0, len(d.Accounts))
	for _, item := range d.Accounts {
		accounts = append(accounts, item.Value)
		if _, found := x.accounts[item.Value.Name]; !found {
			x.accounts[item.Value.Name] = item
		}
	}
	x.catalog = cataloger.New(d.Version.Value, nil, nil).WithAccounts(accounts)
	return x
}

// Compare returns how a catalog differs from the version in force.
func Compare(d, inForce Draft) []Finding {
	r := &report{draft: d}
	if version := d.Version; version.Value <= inForce.Version.Value {
		r.add(CodeVersionNotHigher, version.Place, "version %d is not higher than version %d in force", version.Value, inForce.Version.Value)
	}
	compareLimit(r, d.IdleTimeout.Place, "the timeout of idle transactions", inForce.IdleTimeout.Value, d.IdleTimeout.Value, true)
	before, after := newIndex(inForce), newIndex(d)
	r.compareDatabases(before, after)
	r.compareGroups(before, after)
	r.compareAccounts(before, after)
	return r.findings
}

// compareValue reports a value that changes without cutting clients.
func compareValue[T comparable](r *report, place Place, what string, before, after T) {
	if before != after {
		r.add(CodeChanged, place, "%s changes from %v to %v", what, before, after)
	}
}

// compareLimit reports a limit that changes. If zeroUnlimited is set, 0 is no limit.
func compareLimit[T ~int | ~int64](r *report, place Place, what string, before, after T, zeroUnlimited bool) {
	falls := after < before
	if zeroUnlimited {
		falls = after > 0 && (before <= 0 || falls)
	}
	if !falls {
		compareValue(r, place, what, before, after)
		return
	}
	text := fmt.Sprint(before)
	if zeroUnlimited && before <= 0 {
		text = "unlimited"
	}
	r.add(CodeLimitFalls, place, "%s falls from %s to %d", what, text, after)
}

// names returns the names of entries in both maps in order.
func names[T any](before, after map[string]T) []string {
	return slices.Compact(slices.Sorted(func(yield func(string) bool) {
		for _, m := range []map[string]T{before, after} {
			for name := range maps.Keys(m) {
				if !yield(name) {
					return
				}
			}
		}
	}))
}

func (r *report) compareDatabases(before, after index) {
	for _, name := range names(before.databases, after.databases) {
		old, wasThere := before.databases[name]
		item, isThere := after.databases[name]
		a, b, place := old.Value, item.Value, item.Place
		what := fmt.Sprintf("database %q", name)
		switch {
		case !isThere:
			r.add(CodeDatabaseGone, old.Place, "%s goes", what)
			continue
		case !wasThere:
			r.add(CodeChanged, place, "%s is new", what)
			continue
		case b.Closed && !a.Closed:
			r.add(CodeDatabaseClosed, r.at(place, FieldClosed), "%s becomes closed", what)
		case a.Closed && !b.Closed:
			r.add(CodeChanged, r.at(place, FieldClosed), "%s becomes open", what)
		}
		compareLimit(r, r.at(place, FieldTimeout), what+": the statement timeout", a.Timeout, b.Timeout, false)
		compareValue(r, r.at(place, FieldGroup), what+": the group", a.Group, b.Group)
		compareValue(r, r.at(place, FieldConsistency), what+": the consistency", consistencyNames[a.Consistency], consistencyNames[b.Consistency])
		compareValue(r, r.at(place, FieldMaxAge), what+": the greatest age of reads", a.MaxAge, b.MaxAge)
		compareValue(r, r.at(place, FieldObjective), what+": the latency objective", a.LatencyObjective, b.LatencyObjective)
		compareValue(r, r.at(place, FieldRank), what+": the rank", int(a.Rank), int(b.Rank))
	}
}

// consistencyNames are the names of consistencies in texts.
var consistencyNames = map[cataloger.Consistency]string{
	cataloger.ConsistencyPrimary: "primary", cataloger.ConsistencySession: "session", cataloger.ConsistencyBoundedStaleness: "bounded staleness",
}

func (r *report) compareGroups(before, after index) {
	for _, name := range names(before.groups, after.groups) {
		old, wasThere := before.groups[name]
		item, isThere := after.groups[name]
		what := fmt.Sprintf("group %q", name)
		switch {
		case !isThere:
			r.add(CodeChanged, old.Place, "%s goes", what)
		case !wasThere:
			r.add(CodeChanged, item.Place, "%s is new", what)
		default:
			compareLimit(r, r.at(item.Place, FieldConnections), what+": the connection limit", old.Value.ConnectionLimit, item.Value.ConnectionLimit, false)
			compareValue(r, r.at(item.Place, FieldSynchronousReplicas), what+": the number of synchronous replicas", old.Value.SynchronousReplicas, item.Value.SynchronousReplicas)
		}
	}
}

func (r *report) compareAccounts(before, after index) {
	for _, name := range names(before.accounts, after.accounts) {
		old, wasThere := before.accounts[name]
		item, isThere := after.accounts[name]
		a, b, place := old.Value, item.Value, item.Place
		what := fmt.Sprintf("account %q", name)
		switch {
		case !isThere:
			r.add(CodeAccountGone, old.Place, "%s goes", what)
		case !wasThere:
			r.add(CodeChanged, place, "%s is new", what)
		default:
			compareLimit(r, r.at(place, FieldRate), what+": the rate", a.RateLimit, b.RateLimit, true)
			// Without a rate a burst limits nothing.
			if a.RateLimit > 0 && b.RateLimit > 0 {
				compareLimit(r, r.at(place, FieldBurst), what+": the burst", a.Burst, b.Burst, false)
			}
			compareValue(r, r.at(place, FieldRank), what+": the rank", int(a.Rank), int(b.Rank))
		}
		r.compareKeys(before, after, old, item)
	}
}

// compareKeys reports the keys of an account that goes, stays or is new. The keys of an
// account that goes are reported only if they move.
func (r *report) compareKeys(before, after index, old, item Item[cataloger.Account]) {
	place := cmp.Or(item.Place, old.Place)
	for _, key := range uniqueKeys(old.Value) {
		if owner, found := before.catalog.AccountByKey(key); !found || owner.Name != old.Value.Name {
			continue
		}
		owner, found := after.catalog.AccountByKey(key)
		switch {
		case found && owner.Name != old.Value.Name:
			r.add(CodeKeyMoved, r.at(after.accounts[owner.Name].Place, FieldKeys), "the key with fingerprint %s moves from account %q to %q", key.Fingerprint(), old.Value.Name, owner.Name)
		case !found && item.Value.Name != "":
			r.add(CodeKeyGone, r.at(place, FieldKeys), "the key with fingerprint %s no longer identifies account %q", key.Fingerprint(), old.Value.Name)
		}
	}
	if old.Value.Name == "" {
		return
	}
	for _, key := range uniqueKeys(item.Value) {
		owner, found := after.catalog.AccountByKey(key)
		if _, known := before.catalog.AccountByKey(key); found && !known && owner.Name == item.Value.Name {
			r.add(CodeChanged, r.at(place, FieldKeys), "account %q gets the key with fingerprint %s", owner.Name, key.Fingerprint())
		}
	}
}

// uniqueKeys returns the account's keys in order, each once.
func uniqueKeys(a cataloger.Account) []cataloger.KeyDigest {
	return slices.Compact(slices.Sorted(slices.Values(a.Keys)))
}
