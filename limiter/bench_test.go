package limiter

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/placer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// BenchmarkDecision measures the admission of one operation at a gateway that is its own
// coordinator, with accounts that are used in turn.
func BenchmarkDecision(b *testing.B) {
	for _, accounts := range []int{10, 100, 10_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			byName := map[string]cataloger.Account{}
			var names []string
			for i := range accounts {
				name := fmt.Sprintf("account-%05d", i)
				names = append(names, name)
				byName[name] = cataloger.Account{Name: name, RateLimit: 1000, Burst: 1000}
			}
			l := New(1, Deps{Account: func(name string) (cataloger.Account, bool) {
				a, found := byName[name]
				return a, found
			}})
			self := placer.Host{Name: "h", Domain: "d", Address: "h"}
			l.SetPlacement(1, placer.New(self, nil))
			b.ReportAllocs()
			now, i := timekeeper.Millis(1), 0
			for b.Loop() {
				if i%100 == 0 {
					now++
				}
				if i%1000 == 0 {
					l.Tick(now)
				}
				l.Admit(now, "1", byName[names[i%accounts]])
				l.Take(now)
				i++
			}
		})
	}
}

// BenchmarkMessages measures the messages of a fleet whose accounts' load follows a Zipf
// distribution. Each account has twice its mean load as its limit, but at least 10
// operations a second. The figures are for each daemon and second; bytes are those of the
// messages as JSON without the envelope.
func BenchmarkMessages(b *testing.B) {
	tests := []struct {
		hosts, domains, accounts int
		load                     float64
	}{{32, 3, 83, 935}, {133, 3, 83, 1718}, {1000, 5, 10_000, 10_000}}
	for _, test := range tests {
		b.Run(fmt.Sprint(test.hosts), func(b *testing.B) {
			for b.Loop() {
				sim := newSimulation(1, test.hosts, test.domains, cataloger.Account{Name: "a", RateLimit: 1})
				sim.zipf = rand.NewZipf(sim.random, 1.2, 1, uint64(test.accounts-1))
				counts := make([]int, test.accounts)
				for range 100_000 {
					counts[sim.zipf.Uint64()]++
				}
				for i, n := range counts {
					limit := max(10, int(2*test.load*float64(n)/100_000))
					sim.many = append(sim.many, cataloger.Account{Name: fmt.Sprint(i), RateLimit: limit, Burst: limit})
				}
				for _, d := range sim.daemons {
					d.interval = timekeeper.Millis(float64(test.hosts) * 1000 / test.load)
				}
				sim.pass(5000)
				sim.messages, sim.bytes, sim.refused, sim.offered = 0, 0, 0, 0
				const length = 10_000
				sim.pass(length)
				perDaemon := float64(test.hosts) * length / 1000
				b.ReportMetric(float64(sim.messages)/perDaemon, "messages/s")
				b.ReportMetric(float64(sim.bytes)/perDaemon, "B/s")
				b.ReportMetric(float64(sim.largest), "largest-B")
				b.ReportMetric(float64(sim.messages)/float64(sim.offered), "messages/operation")
				b.ReportMetric(100*float64(sim.refused)/float64(sim.offered), "%rejected")
				b.ReportMetric(float64(sim.busiest())/(length/1000+5), "busiest-messages/s")
			}
		})
	}
}
