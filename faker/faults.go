package faker

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/heatherhall/heatherhall/timekeeper"
)

// faults are the conditions of a backend server that tests change while it
// runs.
type faults struct {
	mu      sync.Mutex
	service time.Duration
	ship    time.Duration
	lag     time.Duration
	stall   bool
	drop    bool
	cut     map[string]bool
}

func newFaults(s BackendSettings) *faults {
	return &faults{
		service: s.Service.Duration(),
		ship:    s.Ship.Duration(),
		lag:     s.Lag.Duration(),
		cut:     map[string]bool{},
	}
}

// set changes one condition, given as name=value: service, ship and lag take
// milliseconds; stall=on stops replication; drop=on closes the connection after
// the next commit without an answer; cut=IP,IP cuts addresses off, cut= heals.
func (f *faults) set(change string) error {
	name, value, _ := strings.Cut(change, "=")
	f.mu.Lock()
	defer f.mu.Unlock()
	switch name {
	case "stall":
		f.stall = value == "on"
		return nil
	case "drop":
		f.drop = value == "on"
		return nil
	case "cut":
		f.cut = map[string]bool{}
		for _, host := range strings.Split(value, ",") {
			f.cut[host] = true
		}
		return nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return fail("fault", KindInvalid, "%q: want name=milliseconds", change)
	}
	d := timekeeper.Millis(ms).Duration()
	switch name {
	case "service":
		f.service = d
	case "ship":
		f.ship = d
	case "lag":
		f.lag = d
	default:
		return fail("fault", KindInvalid, "unknown fault %q", name)
	}
	return nil
}

func (f *faults) isCut(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[host]
}

func (f *faults) serviceTime() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.service
}

// takeDrop reports whether the next commit's answer is to be lost, once.
func (f *faults) takeDrop() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	drop := f.drop
	f.drop = false
	return drop
}

// delays returns the time until an entry is held and the further time until it
// is applied, and whether replication stands still.
func (f *faults) delays() (ship, lag time.Duration, stalled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ship, f.lag, f.stall
}

// Fault changes a condition of the server, as name=value; silence=on makes all
// present connections go silent.
func (b *Backend) Fault(change string) error {
	if change == "silence=on" {
		b.silence(nil)
		return nil
	}
	return b.faults.set(change)
}
