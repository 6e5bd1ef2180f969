package cataloger

import "github.com/heatherhall/heatherhall/timekeeper"

// Server is a backend server as it registered itself.
type Server struct {
	ID      string
	Group   string
	Address string
	Domain  string
	Slots   int
	// Leaving says that the server shuts down soon and is to get no new work.
	Leaving bool
	// Primary is the server's own view of its role.
	Primary bool
	// Started tells incarnations of one id apart; 0 where it is not known.
	Started timekeeper.Millis
	// Warmup is how much longer the server stays slow after its start.
	Warmup timekeeper.Millis
}
