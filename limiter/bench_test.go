package limiter

import (
	"fmt"
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
