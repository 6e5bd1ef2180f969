package checker

import (
	"fmt"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// maxTimeoutRatio is how many times the latency objective a statement timeout may be.
const maxTimeoutRatio = 10

// Field is a field of an entry.
type Field int

// Fields that findings name.
const (
	FieldTimeout Field = iota
	FieldMaxAge
	FieldGroup
	FieldConsistency
	FieldObjective
	FieldRank
	FieldClosed
	FieldConnections
	FieldSynchronousReplicas
	FieldKeys
	FieldRate
	FieldBurst
)

// Item is a value of a file and its place.
type Item[T any] struct {
	Value T
	Place Place
}

// Draft is a catalog with all entries of its file, also those that do not count.
type Draft struct {
	Version     Item[int64]
	Databases   []Item[cataloger.Database]
	Groups      []Item[cataloger.Group]
	Accounts    []Item[cataloger.Account]
	IdleTimeout Item[timekeeper.Millis]
	// Root is the place of the whole catalog.
	Root Place
	// FieldNames are the fields' names in the file.
	FieldNames map[Field]string
	// ReservedConnections are the connections of a server that are kept from statements.
	ReservedConnections int
}

// report collects findings about a draft.
type report struct {
	draft    Draft
	findings []Finding
}

func (r *report) add(code Code, place Place, format string, args ...any) {
	r.findings = append(r.findings, NewFinding(code, place, fmt.Sprintf(format, args...)))
}

// at returns the place of a field of an entry.
func (r *report) at(entry Place, field Field) Place {
	entry.Path += "." + r.draft.FieldNames[field]
	return entry
}

// Check returns the findings about a catalog by itself.
func Check(d Draft) []Finding {
	r := &report{draft: d}
	r.checkDatabases()
	r.checkGroups()
	r.checkAccounts()
	return r.findings
}

func (r *report) checkDatabases() {
	groups := map[string]bool{}
	for _, g := range r.draft.Groups {
		groups[g.Value.Name] = true
	}
	hasKey := false
	for _, a := range r.draft.Accounts {
		hasKey = hasKey || len(a.Value.Keys) > 0
	}
	if len(r.draft.Databases) == 0 {
		r.add(CodeNoDatabase, r.draft.Root, "the catalog has no databases")
	}
	seen := map[string]Place{}
	var longest cataloger.Database
	for _, item := range r.draft.Databases {
		d, place := item.Value, item.Place
		if first, found := seen[d.Name]; found {
			r.add(CodeDatabaseRepeated, place, "database %q is also at %s", d.Name, first.Path)
		}
		seen[d.Name] = place
		if !groups[d.Group] {
			r.add(CodeGroupMissing, r.at(place, FieldGroup), "database %q: there is no group %q", d.Name, d.Group)
		}
		if d.Closed && !hasKey {
			r.add(CodeNoAccount, place, "database %q is closed, but no account has a key", d.Name)
		}
		if objective := d.LatencyObjective; objective > 0 && d.Timeout < objective {
			r.add(CodeTimeoutShort, r.at(place, FieldTimeout), "database %q: the statement timeout of %d ms is below the latency objective of %d ms", d.Name, d.Timeout, objective)
		} else if objective > 0 && d.Timeout/maxTimeoutRatio >= objective && d.Timeout != objective*maxTimeoutRatio {
			r.add(CodeTimeoutLong, r.at(place, FieldTimeout), "database %q: the statement timeout of %d ms is above %d times the latency objective of %d ms", d.Name, d.Timeout, maxTimeoutRatio, objective)
		}
		if d.Consistency == cataloger.ConsistencyBoundedStaleness && d.MaxAge <= 0 {
			r.add(CodeMaxAgeZero, r.at(place, FieldMaxAge), "database %q: the greatest age of reads is %d ms", d.Name, d.MaxAge)
		}
		if d.Timeout > longest.Timeout {
			longest = d
		}
	}
	if idle := r.draft.IdleTimeout; idle.Value > 0 && idle.Value < longest.Timeout {
		r.add(CodeIdleShort, idle.Place, "the timeout of idle transactions of %d ms is below the statement timeout of %d ms of database %q", idle.Value, longest.Timeout, longest.Name)
	}
}

func (r *report) checkGroups() {
	used := map[string]bool{}
	for _, d := range r.draft.Databases {
		used[d.Value.Group] = true
	}
	seen := map[string]Place{}
	for _, item := range r.draft.Groups {
		g, place := item.Value, item.Place
		if first, found := seen[g.Name]; found {
			r.add(CodeGroupRepeated, place, "group %q is also at %s", g.Name, first.Path)
		}
		seen[g.Name] = place
		if !used[g.Name] {
			r.add(CodeGroupUnused, place, "no database uses group %q", g.Name)
		}
		if g.ConnectionLimit <= r.draft.ReservedConnections {
			r.add(CodeConnectionsFew, r.at(place, FieldConnections), "group %q: the connection limit of %d is not above the %d connections reserved on each server", g.Name, g.ConnectionLimit, r.draft.ReservedConnections)
		}
	}
}

func (r *report) checkAccounts() {
	closed := false
	for _, d := range r.draft.Databases {
		closed = closed || d.Value.Closed
	}
	seen := map[string]Place{}
	owners := map[cataloger.KeyDigest]Item[cataloger.Account]{}
	for _, item := range r.draft.Accounts {
		a, place := item.Value, item.Place
		if first, found := seen[a.Name]; found {
			r.add(CodeAccountRepeated, place, "account %q is also at %s", a.Name, first.Path)
			continue
		}
		seen[a.Name] = place
		if !closed {
			r.add(CodeAccountUnused, place, "account %q: no database is closed", a.Name)
		}
		if len(a.Keys) == 0 {
			r.add(CodeNoKey, r.at(place, FieldKeys), "account %q has no key", a.Name)
		}
		for _, key := range a.Keys {
			if owner, found := owners[key]; found && owner.Value.Name != a.Name {
				r.add(CodeKeyShared, r.at(place, FieldKeys), "accounts %q and %q both hold the key with fingerprint %s, see %s", owner.Value.Name, a.Name, key.Fingerprint(), owner.Place.Path)
				continue
			}
			owners[key] = item
		}
		if a.RateLimit > 0 && a.Burst < 1 {
			r.add(CodeRateWithoutBurst, r.at(place, FieldBurst), "account %q has a rate of %d and a burst of %d", a.Name, a.RateLimit, a.Burst)
		}
		if a.RateLimit == 0 && a.Burst > 0 {
			r.add(CodeBurstWithoutRate, r.at(place, FieldRate), "account %q has a rate of 0 and a burst of %d", a.Name, a.Burst)
		}
	}
}
