package limiter

import (
	"testing"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/placer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// TestPartialPlacement guards against a daemon that starts while the store is down and
// takes its own domain for the whole fleet: it would grant an account's whole rate.
func TestPartialPlacement(t *testing.T) {
	account := cataloger.Account{Name: "a", RateLimit: 100, Burst: 100}
	self := placer.Host{Name: "h0", Domain: "d0", Address: "h0"}
	admitted := func(p placer.Placement) int {
		l := New(1, Deps{Account: func(string) (cataloger.Account, bool) { return account, true }})
		l.SetPlacement(1000, p)
		n := 0
		for now := timekeeper.Millis(1000); now < 5000; now += 5 {
			l.Tick(now)
			if l.Admit(now, "1", account).Outcome == Admitted {
				n++
			}
			_, decisions := l.Take(now)
			for _, d := range decisions {
				if d.Outcome == Admitted {
					n++
				}
			}
		}
		return n
	}
	// The fallback admits one operation and then its part of the rate for 4 s.
	fallback := 1 + int(4*float64(account.RateLimit)*fallbackPart/fallbackHosts)
	if n := admitted(placer.New(self, nil).WithPartial(true)); n > fallback {
		t.Errorf("%d operations admitted without knowing the other domains, want at most %d", n, fallback)
	}
	if n := admitted(placer.New(self, nil)); n < 300 {
		t.Errorf("%d operations admitted by the only daemon, want at least 300", n)
	}
}
