package proxier

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/heatherhall/heatherhall/timekeeper"
)

var (
	simulationSeeds = flag.Int("simulation.seeds", 100, "how many random schedules are played")
	simulationFirst = flag.Int64("simulation.first", 1, "the first schedule's seed")
)

// trouble is a fault that starts and ends at some time of a schedule.
type trouble struct {
	name  string
	begin func(w *world)
	end   func(w *world)
}

// troubles returns one of each kind, with its victims drawn.
func (w *world) troubles() []trouble {
	d := w.daemons[w.random.Intn(len(w.daemons))]
	s := w.servers[w.random.Intn(len(w.servers))]
	lead := func(w *world) *fakeServer {
		for _, s := range w.servers {
			if s.primary {
				return s
			}
		}
		return w.servers[0]
	}
	var victim *fakeServer
	return []trouble{
		{"store down", func(w *world) { w.down = true }, func(w *world) { w.down = false }},
		{"store loses answers", func(w *world) { w.lossy = true }, func(w *world) { w.lossy = false }},
		{"store's readings behind", func(w *world) { w.behind = 3000 }, func(w *world) { w.behind = 0 }},
		{"store's readings fall behind with a promotion", func(w *world) { w.lapse = true }, func(w *world) { w.lapse, w.behind = false, 0 }},
		{"daemon cut from the store", func(*world) { d.storeCut = true }, func(*world) { d.storeCut = false }},
		{"daemon frozen", func(w *world) { d.frozenUntil = w.Now() + 2500 }, func(*world) {}},
		{"daemon killed", func(w *world) { w.kill(d) }, func(w *world) { w.start(d) }},
		{"daemon cut from a server", func(*world) { d.serverCut[s.id] = true }, func(*world) { delete(d.serverCut, s.id) }},
		{"primary cut from half of the daemons", func(w *world) {
			victim = lead(w)
			for _, d := range w.daemons[:len(w.daemons)/2] {
				d.serverCut[victim.id] = true
			}
		}, func(w *world) {
			for _, d := range w.daemons {
				delete(d.serverCut, victim.id)
			}
		}},
		{"primary dark", func(w *world) { victim = lead(w); victim.down = true }, func(*world) { victim.down = false }},
		{"primary leaves", func(w *world) { victim = lead(w); victim.leaving = true }, func(*world) { victim.leaving = false }},
		{"server loses answers", func(*world) { s.mute = true }, func(*world) { s.mute = false }},
		{"replica deaf", func(*world) { s.deaf = true }, func(*world) { s.deaf = false }},
	}
}

// mark begins or ends a trouble and notes when for all that it may touch.
func (w *world) mark(what string, change func(*world)) {
	w.note("%s", what)
	change(w)
	for _, d := range w.daemons {
		d.changed = w.Now()
	}
	for _, s := range w.servers {
		s.changed = w.Now()
	}
}

// play plays one random schedule and returns its world.
func play(seed int64) *world {
	w := newWorld(seed, 3, testLease)
	for i := range 9 {
		w.After(200, func() { w.connect(fmt.Sprintf("c%d", i), []string{"primary", "session", "bounded"}[i%3]) })
	}
	for range 2 + w.random.Intn(6) {
		at := timekeeper.Millis(1500 + w.random.Intn(14_000))
		length := timekeeper.Millis(300 + w.random.Intn(7000))
		all := w.troubles()
		t := all[w.random.Intn(len(all))]
		w.After(at, func() { w.mark(t.name+" begins", t.begin) })
		w.After(at+length, func() { w.mark(t.name+" ends", t.end) })
	}
	w.run(26_000)
	return w
}

// TestRandomSchedules plays several daemons' decisions against fakes of the
// store, the servers and callers in virtual time, with faults that overlap, and
// checks what callers and servers see.
func TestRandomSchedules(t *testing.T) {
	served := 0
	for i := range *simulationSeeds {
		seed := *simulationFirst + int64(i)
		w := play(seed)
		served += w.served
		if len(w.faults) > 0 {
			t.Errorf("seed %d: %s\n%s", seed, strings.Join(w.faults, "\n"), strings.Join(w.history, "\n"))
			return
		}
	}
	t.Logf("%d schedules, %d operations served", *simulationSeeds, served)
	if served < 300**simulationSeeds {
		t.Errorf("only %d operations were served in %d schedules", served, *simulationSeeds)
	}
}
