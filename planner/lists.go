// Package planner implements the operators' lists of customers and plans. Each
// customer has a plan, which sets the databases, ranks and limits that the
// customer may use. The platform stores the lists as edits, each of which makes
// a numbered version; a daemon only moves to higher versions.
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

// Customer is an entry of the list of customers.
type Customer struct {
	Name string `json:"name"`
	Plan string `json:"plan"`
	// Verifier is the SCRAM-SHA-256 verifier of the customer's password, in
	// PostgreSQL's form.
	Verifier string `json:"verifier"`
}

// Plan is an entry of the list of plans: what its customers may use.
type Plan struct {
	Name string `json:"name"`
	// Databases are the databases that the plan may use; "*" stands for all.
	Databases []string `json:"databases"`
	// Rank is the most urgent priority rank that the plan may request.
	Rank scheduler.Rank `json:"rank"`
	// MaxStatements is how many statements a customer may have running in a
	// database; 0 means no limit.
	MaxStatements int `json:"statements"`
	// MaxConnections is how many client connections a customer may have to one
	// daemon; 0 means no limit.
	MaxConnections int `json:"connections"`
	// RateLimit is how many statements per second a customer may send to one
	// daemon; 0 means no limit.
	RateLimit int `json:"rate"`
	// MaxAge caps the max_age hint of the plan's reads, in milliseconds; 0 means
	// no cap.
	MaxAge timekeeper.Millis `json:"age"`
}

// Lists is an immutable, versioned set of customers and plans.
type Lists struct {
	version   int64
	customers map[string]Customer
	plans     map[string]Plan
}

// Empty returns the lists of version 0, without customers and plans.
func Empty() Lists {
	return Lists{customers: map[string]Customer{}, plans: map[string]Plan{}}
}

// Version returns the version of the lists, which each edit increases by one.
func (l Lists) Version() int64 {
	return l.version
}

// Customer returns a customer and its plan. The result is false if the customer
// is not on the lists.
func (l Lists) Customer(name string) (Customer, Plan, bool) {
	customer, found := l.customers[name]
	return customer, l.plans[customer.Plan], found
}

// Allows reports whether the plan may use a database.
func (p Plan) Allows(database string) bool {
	return slices.Contains(p.Databases, "*") || slices.Contains(p.Databases, database)
}

// File is the JSON form of the lists in a file or snapshot.
type File struct {
	Version   int64      `json:"version"`
	Customers []Customer `json:"customers"`
	Plans     []Plan     `json:"plans"`
}

// File returns the lists in their JSON form, sorted by name.
func (l Lists) File() File {
	return File{
		Version:   l.version,
		Customers: slices.SortedFunc(maps.Values(l.customers), func(a, b Customer) int { return cmp.Compare(a.Name, b.Name) }),
		Plans:     slices.SortedFunc(maps.Values(l.plans), func(a, b Plan) int { return cmp.Compare(a.Name, b.Name) }),
	}
}

// Lists validates a file and returns its lists. If the file is not valid it
// returns an Error of KindInvalid with all problems that Validate finds.
func (f File) Lists() (Lists, error) {
	if problems := f.Validate(); len(problems) > 0 {
		return Lists{}, &Error{Op: "check", Kind: KindInvalid, Text: strings.Join(problems, "; ")}
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

// Validate returns the validation errors of a file, each with the path of its
// field, such as "plans[0].rate: want 0 or more". A valid file has none.
func (f File) Validate() []string {
	var problems []string
	add := func(path, text string) { problems = append(problems, path+": "+text) }
	plans := map[string]bool{}
	for i, p := range f.Plans {
		path := fmt.Sprintf("plans[%d]", i)
		if plans[p.Name] {
			add(path+".name", fmt.Sprintf("%q is listed twice", p.Name))
		}
		plans[p.Name] = true
		p.check(path, add)
	}
	customers := map[string]bool{}
	for i, c := range f.Customers {
		path := fmt.Sprintf("customers[%d]", i)
		if customers[c.Name] {
			add(path+".name", fmt.Sprintf("%q is listed twice", c.Name))
		}
		customers[c.Name] = true
		c.check(path, plans, add)
	}
	return problems
}

func (p Plan) check(path string, add func(path, text string)) {
	if p.Name == "" {
		add(path+".name", "want a name")
	}
	if len(p.Databases) == 0 {
		add(path+".databases", `want at least one database, or "*"`)
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
			add(path+"."+limit.name, "want 0 or more")
		}
	}
}

func (c Customer) check(path string, plans map[string]bool, add func(path, text string)) {
	if c.Name == "" {
		add(path+".name", "want a name")
	}
	if !plans[c.Plan] {
		add(path+".plan", fmt.Sprintf("there is no plan %q", c.Plan))
	}
	if err := ValidateVerifier(c.Verifier); err != nil {
		add(path+".verifier", err.Error())
	}
}
