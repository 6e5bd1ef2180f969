package planner

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Edit is a change of the lists. Applied to version BaseVersion it makes the next
// version.
type Edit struct {
	// ID is the edit's unique id. If the platform's response to a write of the
	// edit is lost, the id of the stored edit shows whether the write took
	// effect.
	ID string `json:"id"`
	// BaseVersion is the version of the lists that the operator edited.
	BaseVersion int64      `json:"base"`
	Author      string     `json:"author,omitempty"`
	Customers   []Customer `json:"customers,omitempty"`
	Plans       []Plan     `json:"plans,omitempty"`
	// Removed lists the names of the customers and plans to remove.
	Removed Removals `json:"without,omitzero"`
}

// Removals lists customers and plans by name.
type Removals struct {
	Customers []string `json:"customers,omitempty"`
	Plans     []string `json:"plans,omitempty"`
}

// UnmarshalJSON decodes an edit. It returns an Error of KindInvalid if the text
// can't be decoded, the id is missing or the base version is negative.
func (e *Edit) UnmarshalJSON(data []byte) error {
	type plain Edit
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return &Error{Op: "decode edit", Kind: KindInvalid, Text: err.Error()}
	}
	if p.ID == "" || p.BaseVersion < 0 {
		return &Error{Op: "decode edit", Kind: KindInvalid, Text: "want an id and a base of 0 or more"}
	}
	*e = Edit(p)
	return nil
}

// EditKey returns the key of the row with the edit that makes a version. Keys
// sort in the order of their versions.
func EditKey(version int64) string {
	return fmt.Sprintf("lists/%012d", version)
}

// EditKeyPrefix is the prefix of the keys that EditKey returns.
const EditKeyPrefix = "lists/"

// Apply returns the next version of the lists, with an edit applied. It returns
// the lists unchanged with an Error of KindConflict if the edit has another base
// version, and of KindInvalid if the resulting lists are not valid.
func (l Lists) Apply(e Edit) (Lists, error) {
	if e.BaseVersion != l.version {
		return l, &Error{Op: "edit", Kind: KindConflict, Text: fmt.Sprintf("the edit was made from version %d, the lists are at %d", e.BaseVersion, l.version)}
	}
	next := Lists{version: l.version + 1, customers: maps.Clone(l.customers), plans: maps.Clone(l.plans)}
	for _, name := range e.Removed.Customers {
		delete(next.customers, name)
	}
	for _, name := range e.Removed.Plans {
		delete(next.plans, name)
	}
	for _, c := range e.Customers {
		next.customers[c.Name] = c
	}
	for _, p := range e.Plans {
		next.plans[p.Name] = p
	}
	if problems := next.File().Validate(); len(problems) > 0 {
		return l, &Error{Op: "edit", Kind: KindInvalid, Text: problems[0]}
	}
	return next, nil
}

// Diff returns the edit that changes these lists into the wanted ones. Its base
// version is the version of these lists.
func (l Lists) Diff(id, author string, wanted Lists) Edit {
	e := Edit{ID: id, BaseVersion: l.version, Author: author}
	for _, c := range wanted.File().Customers {
		if current, found := l.customers[c.Name]; !found || current != c {
			e.Customers = append(e.Customers, c)
		}
	}
	for _, p := range wanted.File().Plans {
		if current, found := l.plans[p.Name]; !found || !samePlan(current, p) {
			e.Plans = append(e.Plans, p)
		}
	}
	for _, c := range l.File().Customers {
		if _, found := wanted.customers[c.Name]; !found {
			e.Removed.Customers = append(e.Removed.Customers, c.Name)
		}
	}
	for _, p := range l.File().Plans {
		if _, found := wanted.plans[p.Name]; !found {
			e.Removed.Plans = append(e.Removed.Plans, p.Name)
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
	return len(e.Customers)+len(e.Plans)+len(e.Removed.Customers)+len(e.Removed.Plans) == 0
}

// Summary describes the edit in plain text, one line for each change.
func (e Edit) Summary() []string {
	var lines []string
	for _, p := range e.Plans {
		lines = append(lines, "plan "+p.Name+" set")
	}
	for _, name := range e.Removed.Plans {
		lines = append(lines, "plan "+name+" removed")
	}
	for _, c := range e.Customers {
		lines = append(lines, "customer "+c.Name+" set, plan "+c.Plan)
	}
	for _, name := range e.Removed.Customers {
		lines = append(lines, "customer "+name+" removed")
	}
	return lines
}

// Skip returns the lists unchanged at the next version, for an edit that Apply
// rejects as invalid. All daemons skip the same edits, so their lists stay equal.
// An edit with another base version leaves the version unchanged too.
func (l Lists) Skip(e Edit) Lists {
	if e.BaseVersion != l.version {
		return l
	}
	return Lists{version: l.version + 1, customers: l.customers, plans: l.plans}
}
