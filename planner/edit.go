package planner

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Edit is a change of the lists, made from one version and in force as the
// next.
type Edit struct {
	// ID tells the edit from others, so that an answer lost after the edit took
	// effect is resolved by reading.
	ID string `json:"id"`
	// Base is the version that the operator edited.
	Base      int64      `json:"base"`
	Author    string     `json:"author,omitempty"`
	Customers []Customer `json:"customers,omitempty"`
	Plans     []Plan     `json:"plans,omitempty"`
	// Without lists the names of the customers and plans that go.
	Without Without `json:"without,omitzero"`
}

// Without lists what an edit removes.
type Without struct {
	Customers []string `json:"customers,omitempty"`
	Plans     []string `json:"plans,omitempty"`
}

// UnmarshalJSON decodes an edit and checks that it names itself and its base.
func (e *Edit) UnmarshalJSON(data []byte) error {
	type plain Edit
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return &Error{Op: "decode edit", Kind: KindInvalid, Text: err.Error()}
	}
	if p.ID == "" || p.Base < 0 {
		return &Error{Op: "decode edit", Kind: KindInvalid, Text: "want an id and a base of 0 or more"}
	}
	*e = Edit(p)
	return nil
}

// Key returns the key of the row that holds the edit which makes a version.
// Keys sort as their versions do.
func Key(version int64) string {
	return fmt.Sprintf("lists/%012d", version)
}

// Prefix is the prefix of all edits' keys.
const Prefix = "lists/"

// With returns the lists with an edit in force, as the next version. The edit
// must have been made from this version and leave lists without faults.
func (l Lists) With(e Edit) (Lists, error) {
	if e.Base != l.version {
		return l, &Error{Op: "edit", Kind: KindConflict, Text: fmt.Sprintf("the edit was made from version %d, the lists are at %d", e.Base, l.version)}
	}
	next := Lists{version: l.version + 1, customers: maps.Clone(l.customers), plans: maps.Clone(l.plans)}
	for _, name := range e.Without.Customers {
		delete(next.customers, name)
	}
	for _, name := range e.Without.Plans {
		delete(next.plans, name)
	}
	for _, c := range e.Customers {
		next.customers[c.Name] = c
	}
	for _, p := range e.Plans {
		next.plans[p.Name] = p
	}
	if faults := next.File().Check(); len(faults) > 0 {
		return l, &Error{Op: "edit", Kind: KindInvalid, Text: faults[0]}
	}
	return next, nil
}

// Diff returns the edit that leads from these lists to the wanted ones.
func (l Lists) Diff(id, author string, wanted Lists) Edit {
	e := Edit{ID: id, Base: l.version, Author: author}
	for _, c := range wanted.File().Customers {
		if present, found := l.customers[c.Name]; !found || present != c {
			e.Customers = append(e.Customers, c)
		}
	}
	for _, p := range wanted.File().Plans {
		if present, found := l.plans[p.Name]; !found || !samePlan(present, p) {
			e.Plans = append(e.Plans, p)
		}
	}
	for _, c := range l.File().Customers {
		if _, found := wanted.customers[c.Name]; !found {
			e.Without.Customers = append(e.Without.Customers, c.Name)
		}
	}
	for _, p := range l.File().Plans {
		if _, found := wanted.plans[p.Name]; !found {
			e.Without.Plans = append(e.Without.Plans, p.Name)
		}
	}
	return e
}

func samePlan(a, b Plan) bool {
	same := slices.Equal(a.Databases, b.Databases)
	a.Databases, b.Databases = nil, nil
	return same && fmt.Sprint(a) == fmt.Sprint(b)
}

// Empty reports whether the edit changes nothing.
func (e Edit) Empty() bool {
	return len(e.Customers)+len(e.Plans)+len(e.Without.Customers)+len(e.Without.Plans) == 0
}

// Lines describes the edit for people, a line for each change.
func (e Edit) Lines() []string {
	var lines []string
	for _, p := range e.Plans {
		lines = append(lines, "plan "+p.Name+" set")
	}
	for _, name := range e.Without.Plans {
		lines = append(lines, "plan "+name+" removed")
	}
	for _, c := range e.Customers {
		lines = append(lines, "customer "+c.Name+" set, plan "+c.Plan)
	}
	for _, name := range e.Without.Customers {
		lines = append(lines, "customer "+name+" removed")
	}
	return lines
}

// Passed returns the lists unchanged at the next version, for an edit that
// can't be put in force. All daemons pass the same edits over, so that their
// lists stay equal.
func (l Lists) Passed(e Edit) Lists {
	if e.Base != l.version {
		return l
	}
	return Lists{version: l.version + 1, customers: l.customers, plans: l.plans}
}
