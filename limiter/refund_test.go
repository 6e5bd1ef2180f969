package limiter

import (
	"testing"

	"github.com/heatherhall/heatherhall/cataloger"
)

// TestRefund guards against a returned token that is not given to the operation that
// waits for one, or that may be used for longer than a granted one.
func TestRefund(t *testing.T) {
	account := cataloger.Account{Name: "a", RateLimit: 10}
	l := New(1, Deps{Account: func(string) (cataloger.Account, bool) { return account, true }})
	if d := l.Admit(1000, "first", account); d.Outcome != Waiting {
		t.Fatalf("got %+v without any token, want it to wait", d)
	}
	l.Refund(1010, 1000, account)
	if d := l.gateway.takeDecisions(); len(d) != 1 || d[0].ID != "first" || d[0].Outcome != Admitted {
		t.Errorf("decided %+v, want the waiting operation to be admitted", d)
	}
	l.Refund(1020, 1000, account)
	if d := l.Admit(1030, "second", account); d.Outcome != Admitted {
		t.Errorf("got %+v with a returned token, want it admitted", d)
	}
	l.Refund(1040, 1000, account)
	if d := l.Admit(1000+tokenLifetime, "third", account); d.Outcome != Waiting {
		t.Errorf("got %+v with an expired token, want it to wait", d)
	}
}
