package proxier

import (
	"fmt"
	"strings"
	"testing"

	"github.com/heatherhall/heatherhall/timekeeper"
)

// scenario is a schedule written down.
type scenario struct {
	// faults happen at their times.
	faults map[timekeeper.Millis]func(w *world)
	// lease is how long the daemons' leases last; at least testLease.
	lease timekeeper.Millis
	// leads is the server that must lead at the end, or empty for any but s0.
	leads string
	// by is when that must be so.
	by timekeeper.Millis
	// held is the longest that a daemon may hold work back in all.
	held timekeeper.Millis
	// not is until when s0 must lead still.
	not timekeeper.Millis
}

// start is when the faults of most scenarios begin.
const start timekeeper.Millis = 5000

// cutPrimary cuts daemons off from s0.
func cutPrimary(w *world, daemons ...int) {
	for _, i := range daemons {
		w.daemons[i].serverCut["s0"] = true
	}
}

// changes are schedules with what must come of them.
var changes = map[string]scenario{
	"a dark primary is replaced": {
		faults: map[timekeeper.Millis]func(w *world){start: func(w *world) { w.handOver(); w.servers[0].down = true }},
		by:     start + 2000 + promoteTime,
	},
	"a leaving primary hands over": {
		faults: map[timekeeper.Millis]func(w *world){start: func(w *world) { w.servers[0].leaving = true }},
		by:     start + 1500 + promoteTime,
	},
	"a primary that fails all statements hands over": {
		faults: map[timekeeper.Millis]func(w *world){start: func(w *world) { w.servers[0].broken = true }},
		held:   1500, by: start + 3000 + promoteTime,
	},
	"a primary that one daemon reaches is kept": {
		faults: map[timekeeper.Millis]func(w *world){start: func(w *world) { cutPrimary(w, 1, 2) }},
		leads:  "s0", by: start + 12_000,
	},
	"daemons that are cut from a primary use it through one that is not": {
		faults: map[timekeeper.Millis]func(w *world){
			start:        func(w *world) { cutPrimary(w, 1, 2) },
			start + 3000: func(w *world) { w.failedBefore = w.failed },
			start + 10_000: func(w *world) {
				if failed := w.failed - w.failedBefore; failed > 10 {
					w.fault("%d operations failed though a daemon reaches the primary, want 10 at most", failed)
				}
			},
		},
		lease: 14_000, leads: "s0", by: start + 10_100,
	},
	"a daemon without the store keeps its primary until its lease ends": {
		faults: map[timekeeper.Millis]func(w *world){start: func(w *world) { cutPrimary(w, 1, 2); w.daemons[0].storeCut, w.daemons[0].peerCut = true, true }},
		not:    start + 2000, by: start + testLease + 5000,
	},
	"a daemon that was killed does not delay a change for longer than its lease": {
		faults: map[timekeeper.Millis]func(w *world){start: func(w *world) { w.kill(w.daemons[2]); w.servers[0].down = true }},
		by:     start + testLease + 4000,
	},
	"no primary is replaced while the store is down": {
		faults: map[timekeeper.Millis]func(w *world){
			start:        func(w *world) { w.down = true; w.servers[0].down = true },
			start + 6000: func(w *world) { w.servers[0].down = false },
		},
		leads: "s0", by: start + 6500,
	},
	"replicas that lack commits wait for the primary's return": {
		faults: map[timekeeper.Millis]func(w *world){
			start:        func(w *world) { w.servers[1].deaf, w.servers[2].deaf = true, true },
			start + 500:  func(w *world) { w.servers[0].down = true },
			start + 4000: func(w *world) { w.servers[0].down = false },
		},
		leads: "s0", by: start + 9000,
	},
	"a daemon lost for good does not make a handover stop the group": {
		faults: map[timekeeper.Millis]func(w *world){
			2000:   func(w *world) { w.kill(w.daemons[2]) },
			10_500: func(w *world) { w.servers[0].leaving = true },
		},
		held: 1500, by: 22_000,
	},
	"a daemon lost at the start of a handover does not stop the group for long": {
		faults: map[timekeeper.Millis]func(w *world){
			10_000: func(w *world) { w.kill(w.daemons[2]) },
			10_100: func(w *world) { w.servers[0].leaving = true },
		},
		held: 3500, by: 26_000,
	},
	"readings from before its end do not carry a change out twice": {
		faults: map[timekeeper.Millis]func(w *world){
			start:       func(w *world) { w.servers[1].deaf = true },
			start + 500: func(w *world) { w.handOver(); w.servers[0].down = true },
			start + 600: func(w *world) {
				w.whenLeads(w.servers[2], func() { w.servers[1].deaf, w.behind = false, 3000 })
			},
			start + 12_000: func(w *world) { w.behind = 0 },
		},
		leads: "s2", by: start + 14_000,
	},
	"the duty's holder is killed in the middle of a change": {
		faults: map[timekeeper.Millis]func(w *world){
			start:        func(w *world) { w.servers[0].down = true },
			start + 1000: func(w *world) { w.killHolder() },
		},
		by: start + 12_000,
	},
}

func TestChangesOfPrimary(t *testing.T) {
	for name, test := range changes {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(8) {
				w := newWorld(seed+1, 3, max(test.lease, testLease))
				for i := range 6 {
					w.After(200, func() { w.connect(fmt.Sprintf("c%d", i), []string{"primary", "session", "bounded"}[i%3]) })
				}
				for at, f := range test.faults {
					w.After(at-w.Now(), func() { w.mark("fault", f) })
				}
				held := timekeeper.Millis(0)
				if test.held > 0 {
					w.watchHeld(&held)
				}
				if test.not > 0 {
					w.run(test.not)
					if !w.servers[0].primary {
						t.Fatalf("seed %d: s0 was replaced too early:\n%s", seed, strings.Join(w.history, "\n"))
					}
				}
				w.run(test.by)
				if lead := w.leader(); test.leads != "" && lead != test.leads || test.leads == "" && (lead == "" || lead == "s0") {
					t.Errorf("seed %d: %s leads:\n%s", seed, w.leader(), strings.Join(w.history, "\n"))
				}
				if held > test.held {
					t.Errorf("seed %d: work was held back for %d ms, want %d at most", seed, held, test.held)
				}
				if len(w.faults) > 0 {
					t.Fatalf("seed %d: %s\n%s", seed, strings.Join(w.faults, "\n"), strings.Join(w.history, "\n"))
				}
			}
		})
	}
}

// watchHeld adds up for how long the first daemon holds work back.
func (w *world) watchHeld(held *timekeeper.Millis) {
	const pause timekeeper.Millis = 20
	if w.daemons[0].node.elector.PrimaryLeases(w.Now())[testGroup].Paused {
		*held += pause
	}
	w.After(pause, func() { w.watchHeld(held) })
}

// whenLeads calls f once a server leads.
func (w *world) whenLeads(s *fakeServer, f func()) {
	if s.primary {
		f()
		return
	}
	w.After(10, func() { w.whenLeads(s, f) })
}

// leader returns the primary of the highest term that is up.
func (w *world) leader() string {
	best, term := "", int64(0)
	for _, s := range w.servers {
		if s.primary && !s.down && s.term > term {
			best, term = s.id, s.term
		}
	}
	return best
}

// killHolder kills the daemon that has the duty of changing primaries, and
// starts it again after a while.
func (w *world) killHolder() {
	for _, d := range w.daemons {
		if strings.Contains(string(w.rows["own/duty"].Value), `"`+d.name+`"`) {
			w.kill(d)
			w.After(6000, func() { w.start(d) })
		}
	}
}
