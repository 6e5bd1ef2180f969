package multiplexer

import (
	"testing"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/limiter"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// admissions is a limiter that decides nothing on its own.
type admissions struct {
	waiting   map[string]string
	cancelled int
	charged   int
	outcome   limiter.Outcome
}

// newAdmissionHarness returns a harness whose databases are closed to all but one
// account, and its limiter.
func newAdmissionHarness(t *testing.T) (*harness, *admissions) {
	h := newHarness(t, 10)
	a := &admissions{waiting: map[string]string{}, outcome: limiter.Waiting}
	h.m.deps.Admit = func(_ timekeeper.Millis, id string, account cataloger.Account) limiter.Decision {
		a.waiting[id] = account.Name
		return limiter.Decision{ID: id, Outcome: a.outcome, RetryAfter: 70}
	}
	h.m.deps.CancelAdmission = func(id, _ string) {
		delete(a.waiting, id)
		a.cancelled++
	}
	h.m.deps.Charge = func(timekeeper.Millis, cataloger.Account) { a.charged++ }
	h.setAccounts(2, cataloger.Account{Name: "shop", Keys: []cataloger.KeyDigest{cataloger.DigestKey("k")}, RateLimit: 10})
	return h, a
}

func (h *harness) setAccounts(version int64, accounts ...cataloger.Account) {
	h.execute(h.m.SetCatalog(h.Now(), cataloger.New(version, []cataloger.Database{
		{Name: "shop", Group: testGroup, Consistency: cataloger.ConsistencyPrimary, Timeout: 800, Closed: true},
	}, []cataloger.Group{{Name: testGroup, ConnectionLimit: 16}}).WithAccounts(accounts)))
	h.m.ConfirmCatalog(h.Now())
}

// ran returns how many statements the servers have run.
func (h *harness) ran() int {
	n := 0
	for _, s := range h.servers {
		n += s.ran
	}
	return n
}

// TestAdmissionEnds guards against operations that go on waiting for a token, or run
// without one, when their reason to wait has gone.
func TestAdmissionEnds(t *testing.T) {
	tests := map[string]struct {
		act       func(h *harness, a *admissions)
		want      Code
		answered  bool
		cancelled int
		ran       int
	}{
		"token granted": {act: func(h *harness, a *admissions) {
			for id := range a.waiting {
				h.execute(h.m.Admitted(h.Now(), []limiter.Decision{{ID: id}}))
			}
		}, want: CodeOK, answered: true, ran: 1},
		"no token": {act: func(h *harness, a *admissions) {
			for id := range a.waiting {
				h.execute(h.m.Admitted(h.Now(), []limiter.Decision{{ID: id, Outcome: limiter.Refused, RetryAfter: 30}}))
			}
		}, want: CodeNotRun, answered: true},
		"client leaves":     {act: func(h *harness, _ *admissions) { h.execute(h.m.Disconnect(h.Now(), h.session)) }, cancelled: 1},
		"time limit passes": {act: func(*harness, *admissions) {}, want: CodeNotRun, answered: true, cancelled: 1},
		"key removed":       {act: func(h *harness, _ *admissions) { h.setAccounts(3, cataloger.Account{Name: "shop"}) }, want: CodeDenied, answered: true, cancelled: 1},
		"key moved": {act: func(h *harness, _ *admissions) {
			h.setAccounts(3, cataloger.Account{Name: "other", Keys: []cataloger.KeyDigest{cataloger.DigestKey("k")}})
		}, want: CodeNotRun, answered: true, cancelled: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, a := newAdmissionHarness(t)
			var got []Answer
			h.runStatement("shop", "k", Statement{Kind: KindWrite, ID: "r"}, func(a Answer, _ timekeeper.Millis) { got = append(got, a) })
			h.run(100)
			if len(got) > 0 || h.ran() > 0 {
				t.Fatalf("got %v, %d statements ran before a token was granted", got, h.ran())
			}
			test.act(h, a)
			h.run(2000)
			if len(got) > 0 != test.answered || test.answered && got[0].Code != test.want || h.ran() != test.ran || a.cancelled != test.cancelled {
				t.Errorf("got %v, %d statements ran, %d waits cancelled; want %+v", got, h.ran(), a.cancelled, test)
			}
			if test.want == CodeNotRun && test.answered && got[0].RetryAfter <= 0 {
				t.Error("the answer does not say when to retry")
			}
			if n := h.m.InFlight(); n != 0 {
				t.Errorf("%d statements are in flight at the end", n)
			}
		})
	}
}

// TestTransactionTakesOneToken guards against transactions that are counted by their
// statements, and against one that stays open although its first statement was refused.
func TestTransactionTakesOneToken(t *testing.T) {
	for name, outcome := range map[string]limiter.Outcome{"admitted": limiter.Admitted, "refused": limiter.Refused} {
		t.Run(name, func(t *testing.T) {
			h, a := newAdmissionHarness(t)
			a.outcome = outcome
			if answer := h.m.Connect(h.Now(), 1000, "shop", "k"); answer.Code != CodeOK {
				t.Fatal(answer)
			}
			var codes []Code
			for _, kind := range []Kind{KindBegin, KindWrite, KindWrite, KindCommit} {
				h.pending[1000] = func(a Answer) { codes = append(codes, a.Code) }
				h.execute(h.m.Run(h.Now(), 1000, Statement{Kind: kind, ID: "r"}))
				h.run(200)
			}
			want := []Code{CodeOK, CodeOK, CodeOK, CodeOK}
			if outcome == limiter.Refused {
				want = []Code{CodeOK, CodeNotRun, CodeMalformed, CodeAborted}
			}
			for i := range want {
				if len(codes) != len(want) || codes[i] != want[i] {
					t.Fatalf("got %v, want %v", codes, want)
				}
			}
			if len(a.waiting) != 1 {
				t.Errorf("%d tokens were requested, want 1", len(a.waiting))
			}
		})
	}
}

// TestRepeatedRunIsCharged guards against reads that run twice after a lost answer and
// take one token.
func TestRepeatedRunIsCharged(t *testing.T) {
	h, a := newAdmissionHarness(t)
	a.outcome = limiter.Admitted
	h.servers["s0"].dropAnswers = true
	h.runStatement("shop", "k", Statement{Kind: KindRead, ID: "r"}, func(Answer, timekeeper.Millis) {})
	h.run(2000)
	if ran := h.ran(); ran < 2 || a.charged != ran-1 {
		t.Errorf("%d tokens were charged for %d runs after the first", a.charged, ran-1)
	}
}

// TestRefund guards against tokens that are lost to operations which did not run, and
// against tokens that are returned for operations which did.
func TestRefund(t *testing.T) {
	for name, primary := range map[string]bool{"no primary": false, "served": true} {
		t.Run(name, func(t *testing.T) {
			h, a := newAdmissionHarness(t)
			a.outcome = limiter.Admitted
			refunded := 0
			h.m.deps.Refund = func(_, _ timekeeper.Millis, _ cataloger.Account) { refunded++ }
			if !primary {
				h.setPrimary("s0", 1, true)
			}
			var code Code
			h.runStatement("shop", "k", Statement{ID: "x", Kind: KindWrite, Args: "item data"}, func(a Answer, _ timekeeper.Millis) { code = a.Code })
			h.run(300)
			if served := code == CodeOK; served != primary || (refunded == 1) == primary {
				t.Errorf("got %v and %d tokens returned", code, refunded)
			}
		})
	}
}
