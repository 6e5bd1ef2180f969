package limiter

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// faults are what a schedule can do to a simulation for a time.
var faults = map[string]func(t *rapid.T, sim *simulation) (repair func()){
	"cut the coordinator off with half of the hosts": func(t *rapid.T, sim *simulation) func() {
		domain := rapid.SampledFrom(sim.daemons).Draw(t, "daemon").host.Domain
		for i, d := range sim.daemons {
			d.side = i / len(sim.domains()) % 2
		}
		sim.coordinator(domain).side = 1
		return sim.heal
	},
	"partition": func(t *rapid.T, sim *simulation) func() {
		for _, d := range sim.daemons {
			d.side = rapid.IntRange(0, 1).Draw(t, "side")
		}
		return sim.heal
	},
	"cut a domain off": func(t *rapid.T, sim *simulation) func() {
		domain := rapid.SampledFrom(sim.daemons).Draw(t, "daemon").host.Domain
		for _, d := range sim.daemons {
			if d.host.Domain == domain {
				d.side = 1
			}
		}
		return sim.heal
	},
	"restart all": func(_ *rapid.T, sim *simulation) func() {
		for _, d := range sim.daemons {
			sim.start(d)
		}
		return func() {}
	},
	"restart one": func(t *rapid.T, sim *simulation) func() {
		sim.start(rapid.SampledFrom(sim.daemons).Draw(t, "daemon"))
		return func() {}
	},
	"freeze the coordinator": func(t *rapid.T, sim *simulation) func() {
		d := sim.coordinator(rapid.SampledFrom(sim.daemons).Draw(t, "daemon").host.Domain)
		d.frozenUntil = sim.Now() + timekeeper.Millis(rapid.IntRange(50, 6000).Draw(t, "freeze"))
		return func() {}
	},
	"lose messages": func(t *rapid.T, sim *simulation) func() {
		sim.loss, sim.duplication = rapid.IntRange(0, 60).Draw(t, "loss"), rapid.IntRange(0, 60).Draw(t, "duplication")
		sim.maxDelay = timekeeper.Millis(rapid.IntRange(1, 400).Draw(t, "delay"))
		return func() { sim.loss, sim.duplication, sim.maxDelay = 0, 0, 1 }
	},
	"different lists": func(t *rapid.T, sim *simulation) func() {
		for _, d := range sim.daemons {
			missing := map[string]bool{}
			if rapid.Bool().Draw(t, "incomplete") {
				missing[rapid.SampledFrom(sim.daemons).Draw(t, "missing").host.Name] = true
			}
			sim.place(d, missing)
		}
		return func() {
			for _, d := range sim.daemons {
				sim.place(d, nil)
			}
		}
	},
	"load moves": func(t *rapid.T, sim *simulation) func() {
		domain := rapid.SampledFrom(sim.daemons).Draw(t, "daemon").host.Domain
		for _, d := range sim.daemons {
			if d.host.Domain != domain {
				d.interval = 0
			}
		}
		return sim.flood
	},
}

func (sim *simulation) heal() {
	for _, d := range sim.daemons {
		d.side = 0
	}
}

func (sim *simulation) domains() map[string]bool {
	out := map[string]bool{}
	for _, d := range sim.daemons {
		out[d.host.Domain] = true
	}
	return out
}

// flood makes all daemons get twice the rate limit each, up to one operation a
// millisecond.
func (sim *simulation) flood() {
	for _, d := range sim.daemons {
		d.interval = max(1, timekeeper.Millis(500/d.account.RateLimit))
	}
}

// TestBound guards against more operations in any 5 s than an account may run, while it
// floods all daemons: through faults one after the other and two at once, and through a
// limit that is lowered on the way.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := cataloger.Account{Name: "a", RateLimit: rapid.SampledFrom([]int{1, 10, 100, 400}).Draw(t, "rate")}
		limit.Burst = limit.RateLimit * rapid.IntRange(0, 2).Draw(t, "burst")
		sim := newSimulation(rapid.Int64().Draw(t, "seed"), rapid.SampledFrom([]int{2, 6, 15}).Draw(t, "hosts"), rapid.IntRange(1, 3).Draw(t, "domains"), limit)
		sim.pass(2000)
		sim.flood()
		names := sortedBy(faults)
		schedule := ""
		for range rapid.IntRange(1, 5).Draw(t, "faults") {
			name := rapid.SampledFrom(names).Draw(t, "fault")
			length := timekeeper.Millis(rapid.IntRange(100, 12_000).Draw(t, "length"))
			schedule += fmt.Sprintf("%d: %s for %d\n", sim.Now(), name, length)
			repair := faults[name](t, sim)
			sim.pass(length)
			if rapid.Bool().Draw(t, "repaired") || name == "different lists" {
				repair()
				sim.pass(timekeeper.Millis(rapid.IntRange(0, 3000).Draw(t, "pause")))
			}
		}
		sim.pass(3000)
		if e := sim.excess(0, limit); e > 0 {
			t.Fatalf("%.0f operations above the bound for %+v\n%s", e, limit, schedule)
		}
		limit.RateLimit, limit.Burst = (limit.RateLimit+3)/4, limit.Burst/4
		lowered := sim.Now()
		for _, d := range sim.daemons {
			sim.After(timekeeper.Millis(rapid.IntRange(0, 4000).Draw(t, "delay of the catalog")), func() { d.account = limit })
		}
		sim.pass(13_000)
		if e := sim.excess(lowered+5000, limit); e > 0 {
			t.Fatalf("%.0f operations above the bound for the lowered %+v\n%s", e, limit, schedule)
		}
	})
}

// TestGivenShareInPartition guards against domains that take back what a domain uses that
// is cut off and does not hear of it, as the load moves to them at once or later, and
// against a cut-off domain that loses its share.
func TestGivenShareInPartition(t *testing.T) {
	limit := cataloger.Account{Name: "a", RateLimit: 400}
	for name, pause := range map[string]timekeeper.Millis{"load moves at once": 0, "load moves later": 5000} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, 15, 3, limit)
			sim.pass(2000)
			sim.flood()
			for _, d := range sim.daemons {
				if d.host.Domain != "d1" {
					d.interval = 0
				}
			}
			sim.pass(6000)
			for _, d := range sim.daemons {
				if d.host.Domain == "d1" {
					d.side = 1
				}
			}
			before := len(sim.runs)
			sim.pass(pause)
			if ran := len(sim.runs) - before; float64(ran) < 0.8*float64(limit.RateLimit)*float64(pause)/1000 {
				t.Errorf("the domain with all of the load ran %d operations in %d ms after it was cut off, want at least 8 tenths of the limit", ran, pause)
			}
			sim.flood()
			sim.pass(10_000)
			sim.heal()
			sim.pass(5000)
			if e := sim.excess(0, limit); e > 0 {
				t.Errorf("%.0f operations above the bound", e)
			}
		})
	}
}
