// Package router chooses the backend server that runs a piece of work.
package router

import (
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Candidate is a backend server as the router sees it.
type Candidate struct {
	Name    string
	Primary bool
	// Usable is false for servers that are leaving, silent or fenced.
	Usable bool
	// Available is how many more pieces of work the server takes now.
	Available int
	// InFlight is how many pieces of work the server runs for this daemon.
	InFlight int
	// ServiceTime is the expected service time in milliseconds.
	ServiceTime float64
	// RoundTripTime is the expected network time to the server and back in
	// milliseconds.
	RoundTripTime float64
	Applied       sequencer.Position
	// Lag is the time in milliseconds by which the server applies entries later
	// than the primary.
	Lag float64
}

// wait is the expected time to an answer in milliseconds.
func (c Candidate) wait() float64 {
	return c.RoundTripTime + c.ServiceTime*float64(c.InFlight+1)
}

// ReadRequirement is what a read asks of the server that runs it.
type ReadRequirement struct {
	Floor   sequencer.Position
	History sequencer.History
}

// Covers reports whether the candidate has applied the floor.
func (r ReadRequirement) Covers(c Candidate) bool {
	return r.History.Covers(c.Applied, r.Floor)
}

// SelectForRead returns the index of the free server that runs a read, or -1: the
// replica with the least expected wait that covers the floor, the primary last.
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

// EstimateCatchUp returns the least expected time until a replica covers the floor,
// given how long ago the floor's entry was seen on the primary. It reports
// whether that is known.
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
