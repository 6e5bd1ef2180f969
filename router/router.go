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
	// Free is how many more pieces of work the server takes now.
	Free int
	// Running is how many pieces of work the server runs for this daemon.
	Running int
	// Service is the expected service time in milliseconds.
	Service float64
	// Distance is the expected network time to the server and back in
	// milliseconds.
	Distance float64
	Applied  sequencer.Position
	// Lag is the time in milliseconds by which the server applies entries later
	// than the primary.
	Lag float64
}

// wait is the expected time to an answer in milliseconds.
func (c Candidate) wait() float64 {
	return c.Distance + c.Service*float64(c.Running+1)
}

// Need is what a read asks of the server that runs it.
type Need struct {
	Floor   sequencer.Position
	History sequencer.History
}

// Covers reports whether the candidate has applied the floor.
func (n Need) Covers(c Candidate) bool {
	return n.History.Covers(c.Applied, n.Floor)
}

// Read returns the index of the free server that runs a read, or -1: the
// replica with the least expected wait that covers the floor, the primary last.
func Read(candidates []Candidate, need Need) int {
	best := -1
	for i, c := range candidates {
		if !c.Usable || c.Free < 1 || !need.Covers(c) {
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

// Primary returns the index of the usable primary, or -1.
func Primary(candidates []Candidate) int {
	for i, c := range candidates {
		if c.Primary && c.Usable {
			return i
		}
	}
	return -1
}

// CatchUp returns the least expected time until a replica covers the floor,
// given how long ago the floor's entry was seen on the primary. It reports
// whether that is known.
func CatchUp(candidates []Candidate, seen timekeeper.Millis) (timekeeper.Millis, bool) {
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
