// Package router selects the backend server that runs a statement.
package router

import (
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Candidate describes a backend server for the selection.
type Candidate struct {
	Name    string
	Primary bool
	// Usable is false for servers that should get no new work, such as leaving,
	// unresponsive or fenced ones.
	Usable bool
	// Available is how many more statements the server takes now.
	Available int
	// InFlight is how many statements the server runs for this daemon.
	InFlight int
	// ServiceTime is the expected service time in milliseconds.
	ServiceTime float64
	// RoundTripTime is the expected network round trip to the server in
	// milliseconds.
	RoundTripTime float64
	// Expected replaces the expected wait that follows from ServiceTime,
	// RoundTripTime and InFlight, in milliseconds, unless it is 0.
	Expected float64
	Applied  sequencer.Position
	// Lag is how many milliseconds later than the primary the server applies
	// log entries.
	Lag float64
}

// wait returns the expected time to an answer in milliseconds.
func (c Candidate) wait() float64 {
	if c.Expected > 0 {
		return c.Expected
	}
	return c.RoundTripTime + c.ServiceTime*float64(c.InFlight+1)
}

// ReadRequirement is the floor that a server must cover to run a read, and the
// timeline history by which positions are compared with it.
type ReadRequirement struct {
	Floor   sequencer.Position
	History sequencer.History
}

// Covers reports whether the candidate has applied the floor.
func (r ReadRequirement) Covers(c Candidate) bool {
	return r.History.Covers(c.Applied, r.Floor)
}

// SelectForRead returns the index of the server that runs a read: the available
// replica that covers the floor with the shortest expected wait, or the primary
// if there is no such replica. It returns -1 if no server is left.
func SelectForRead(candidates []Candidate, requirement ReadRequirement) int {
	best := -1
	for i, c := range candidates {
		if !c.Usable || c.Available < 1 || !requirement.Covers(c) {
			continue
		}
		if best < 0 || better(c, candidates[best]) {
			best = i
		}
	}
	return best
}

// better reports whether a is preferred to b: a replica to the primary, then
// the shorter wait.
func better(a, b Candidate) bool {
	if a.Primary != b.Primary {
		return b.Primary
	}
	return a.wait() < b.wait()
}

// FindPrimary returns the index of the usable primary, or -1.
func FindPrimary(candidates []Candidate) int {
	for i, c := range candidates {
		if c.Primary && c.Usable {
			return i
		}
	}
	return -1
}

// EstimateCatchUp returns the shortest expected time in milliseconds until some
// replica covers the floor; seen is how many milliseconds ago the floor's entry
// was seen on the primary. It returns false if no replica is usable.
func EstimateCatchUp(candidates []Candidate, seen timekeeper.Millis) (timekeeper.Millis, bool) {
	best := timekeeper.Millis(0)
	known := false
	for _, c := range candidates {
		if !c.Usable || c.Primary {
			continue
		}
		wait := max(timekeeper.Millis(c.Lag)-seen+1, 1)
		if !known || wait < best {
			best = wait
			known = true
		}
	}
	return best, known
}
