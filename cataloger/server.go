package cataloger

import "github.com/heatherhall/heatherhall/timekeeper"

// Server is a backend server as it registered itself. ID stays the same when
// the server starts again.
type Server struct {
	ID      string
	Group   string
	Address string
	// Domain is the server's failure domain.
	Domain string
	// Slots is how many statements the server runs at once.
	Slots int
	// Leaving says that the server shuts down soon and should get no new work.
	Leaving bool
	// Primary says that the server is the primary in its own view.
	Primary bool
	// Started distinguishes incarnations of the same ID; 0 where the start
	// time is not known.
	Started timekeeper.Millis
	// Warmup is how many milliseconds the server remains slow after its start.
	Warmup timekeeper.Millis
}
