package faker

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/heatherhall/heatherhall/timekeeper"
)

// faults holds the delays and the injected faults of a backend server. Tests
// change them while the server runs.
type faults struct {
	mu      sync.Mutex
	service time.Duration
	ship    time.Duration
	lag     time.Duration
	stall   bool
	drop    bool
	// cut holds the IP addresses that the server is partitioned from.
	cut map[string]bool
}

func newFaults(s BackendSettings) *faults {
	return &faults{
		service: s.ServiceTime.Duration(),
		ship:    s.ShipDelay.Duration(),
		lag:     s.ApplyLag.Duration(),
		cut:     map[string]bool{},
	}
}

// set changes one fault, given as name=value:
//
//   - service, ship and lag set a delay in milliseconds (see BackendSettings).
//   - stall=on stops replication on this replica.
//   - drop=on closes the connection of the next transaction that commits
//     changes, after the commit and without an answer.
//   - cut=IP,IP partitions the server from these addresses, and from no others;
//     cut= ends the partition.
//
// Any value but on ends stall and drop. It fails with KindInvalid if the name is
// unknown or the delay is not a whole number.
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
		for _, ip := range strings.Split(value, ",") {
			f.cut[ip] = true
		}
		return nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return newError("fault", KindInvalid, "%q: want name=milliseconds", change)
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
		return newError("fault", KindInvalid, "unknown fault %q", name)
	}
	return nil
}

func (f *faults) isPartitioned(ip string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[ip]
}

func (f *faults) serviceTime() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.service
}

// consumeDrop reports whether the drop fault is set and clears it.
func (f *faults) consumeDrop() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	drop := f.drop
	f.drop = false
	return drop
}

// delays returns the time until the replica receives an entry, the further time
// until it applies the entry, and whether replication is stopped.
func (f *faults) delays() (ship, lag time.Duration, stalled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ship, f.lag, f.stall
}

// SetFault changes a fault of the server, given as name=value: service, ship and
// lag in milliseconds, stall=on, drop=on and cut=IP,IP. silence=on makes all
// current connections unresponsive until they are closed. It fails with
// KindInvalid if the name is unknown or a delay is not a whole number.
func (b *Backend) SetFault(change string) error {
	if change == "silence=on" {
		b.makeUnresponsive(nil)
		return nil
	}
	return b.faults.set(change)
}
