package limiter

import (
	"fmt"
	"testing"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/placer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// TestIdleAccountsAreForgotten guards against memory that grows with every account that
// ever had an operation.
func TestIdleAccountsAreForgotten(t *testing.T) {
	l := New(1, Deps{Account: func(name string) (cataloger.Account, bool) {
		return cataloger.Account{Name: name, RateLimit: 10, Burst: 10}, true
	}})
	l.SetPlacement(1000, placer.New(placer.Host{Name: "h", Domain: "d", Address: "h"}, nil))
	now := timekeeper.Millis(1000)
	for i := range 1000 {
		l.Admit(now, "1", cataloger.Account{Name: fmt.Sprint(i), RateLimit: 10, Burst: 10})
	}
	held := func() int {
		n := len(l.gateway.accounts) + len(l.gateway.active) + len(l.gateway.due)
		for _, s := range l.coord.shards {
			n += len(s.accounts)
		}
		return n
	}
	if held() < 2000 {
		t.Fatalf("%d entries held after 1,000 accounts, want at least 2,000", held())
	}
	for ; now < 200_000; now += 50 {
		l.Tick(now)
		l.Take(now)
	}
	if held() > 0 {
		t.Errorf("%d entries held after 200 s without operations, want none", held())
	}
}
