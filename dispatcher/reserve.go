package dispatcher

import (
	"math"

	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// reserveWindow is the time over which the urgent load is averaged.
	reserveWindow timekeeper.Millis = 1000
	// reserveWaste is the greatest part of the database's slots that may stand
	// idle for the sake of urgent work.
	reserveWaste = 0.04
)

// reserve decides how many slots of the primary browse reads leave free. Slots
// that urgent work keeps busy anyway cost nothing to reserve; a slot that it
// keeps busy for a part of the time is reserved only if the idle rest is a small
// part of the database's capacity.
type reserve struct {
	busy  float64
	since timekeeper.Millis
	// load is how many slots urgent work kept busy in the last window.
	load  float64
	slots int
}

// took notes the service time of urgent work on the primary in milliseconds.
func (r *reserve) took(ms float64) {
	r.busy += ms
}

// update takes a window's load into account once the window is over. total is
// the number of the database's slots, primary that of its primary.
func (r *reserve) update(now timekeeper.Millis, total, primary int) {
	passed := now - r.since
	if passed < reserveWindow {
		return
	}
	r.load = (r.load + r.busy/float64(passed)) / 2
	r.busy = 0
	r.since = now
	whole := math.Ceil(r.load)
	if whole-r.load > reserveWaste*float64(total) {
		whole = math.Floor(r.load)
	}
	r.slots = max(0, min(int(whole), primary-1))
}

// held returns how many slots of a server work of a rank must leave free.
func (d *Dispatcher) held(s *server, rank scheduler.Rank) int {
	if s != d.primary || rank != scheduler.RankBrowse || d.settings.Fifo {
		return 0
	}
	return d.reserve.slots
}

// updateReserve looks at the urgent load of the last window.
func (d *Dispatcher) updateReserve(now timekeeper.Millis) {
	if d.primary == nil {
		return
	}
	total := 0
	for _, s := range d.servers {
		if s.usable(now, d.settings.Silence) {
			total += s.slots(now)
		}
	}
	d.reserve.update(now, total, d.primary.slots(now))
}
