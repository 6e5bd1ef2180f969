// Package planner keeps the operators' two lists: the customers with their
// plans, and the plans with what each may use. Edits are numbered versions at
// the platform; a daemon only ever moves to a higher one.
package planner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Customer is an entry of the first list.
type Customer struct {
	Name string `json:"name"`
	Plan string `json:"plan"`
	// Verifier is the SCRAM-SHA-256 verifier of the customer's password, in
	// PostgreSQL's form.
	Verifier string `json:"verifier"`
}

// Plan is an entry of the second list: what its customers may use.
type Plan struct {
	Name string `json:"name"`
	// Databases the plan may use; "*" stands for all.
	Databases []string `json:"databases"`
	// Rank is the most urgent rank that the plan may ask for.
	Rank scheduler.Rank `json:"rank"`
	// MaxStatements is how many statements a customer may have running in a
	// database; 0 is any number.
	MaxStatements int `json:"statements"`
	// MaxConnections is how many client connections a customer may have at one
	// daemon; 0 is any number.
	MaxConnections int `json:"connections"`
	// RateLimit is how many statements a second a customer may send to one daemon;
	// 0 is any number.
	RateLimit int `json:"rate"`
	// MaxAge is the greatest max_age that the plan's reads may state; 0 is any.
	MaxAge timekeeper.Millis `json:"age"`
}

// Lists are the two lists at one version. Values are immutable.
type Lists struct {
	version   int64
	customers map[string]Customer
	plans     map[string]Plan
}

// Empty returns the lists of version 0.
func Empty() Lists {
	return Lists{customers: map[string]Customer{}, plans: map[string]Plan{}}
}

// Version returns the version.
func (l Lists) Version() int64 {
	return l.version
}

// Customer returns a customer with its plan.
func (l Lists) Customer(name string) (Customer, Plan, bool) {
	customer, found := l.customers[name]
	return customer, l.plans[customer.Plan], found
}

// Allows reports whether the plan may use a database.
func (p Plan) Allows(database string) bool {
	return slices.Contains(p.Databases, "*") || slices.Contains(p.Databases, database)
}

// File is the form of the lists in a file or snapshot.
type File struct {
	Version   int64      `json:"version"`
	Customers []Customer `json:"customers"`
	Plans     []Plan     `json:"plans"`
}

// File returns the lists in the form of a file, sorted by name.
func (l Lists) File() File {
	return File{
		Version:   l.version,
		Customers: slices.SortedFunc(maps.Values(l.customers), func(a, b Customer) int { return cmp.Compare(a.Name, b.Name) }),
		Plans:     slices.SortedFunc(maps.Values(l.plans), func(a, b Plan) int { return cmp.Compare(a.Name, b.Name) }),
	}
}

// Lists checks a file and returns its lists. All faults are reported at once,
// each with its place.
func (f File) Lists() (Lists, error) {
	if faults := f.Validate(); len(faults) > 0 {
		return Lists{}, &Error{Op: "check", Kind: KindInvalid, Text: strings.Join(faults, "; ")}
	}
	out := Empty()
	out.version = f.Version
	for _, c := range f.Customers {
		out.customers[c.Name] = c
	}
	for _, p := range f.Plans {
		out.plans[p.Name] = p
	}
	return out, nil
}

// Validate returns the faults of a file, each with its place.
func (f File) Validate() []string {
	var faults []string
	add := func(place, text string) { faults = append(faults, place+": "+text) }
	plans := map[string]bool{}
	for i, p := range f.Plans {
		place := fmt.Sprintf("plans[%d]", i)
		if plans[p.Name] {
			add(place+".name", fmt.Sprintf("%q stands twice", p.Name))
		}
		plans[p.Name] = true
		p.check(place, add)
	}
	customers := map[string]bool{}
	for i, c := range f.Customers {
		place := fmt.Sprintf("customers[%d]", i)
		if customers[c.Name] {
			add(place+".name", fmt.Sprintf("%q stands twice", c.Name))
		}
		customers[c.Name] = true
		c.check(place, plans, add)
	}
	return faults
}

func (p Plan) check(place string, add func(place, text string)) {
	if p.Name == "" {
		add(place+".name", "want a name")
	}
	if len(p.Databases) == 0 {
		add(place+".databases", `want at least one database, or "*"`)
	}
	limits := []struct {
		name  string
		value int64
	}{
		{"statements", int64(p.MaxStatements)},
		{"connections", int64(p.MaxConnections)},
		{"rate", int64(p.RateLimit)},
		{"age", int64(p.MaxAge)},
	}
	for _, limit := range limits {
		if limit.value < 0 {
			add(place+"."+limit.name, "want 0 or more")
		}
	}
}

func (c Customer) check(place string, plans map[string]bool, add func(place, text string)) {
	if c.Name == "" {
		add(place+".name", "want a name")
	}
	if !plans[c.Plan] {
		add(place+".plan", fmt.Sprintf("there is no plan %q", c.Plan))
	}
	if err := ValidateVerifier(c.Verifier); err != nil {
		add(place+".verifier", err.Error())
	}
}
