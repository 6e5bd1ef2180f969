package dispatcher_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

func pos(term, offset int64) sequencer.Position {
	return sequencer.Position{Term: term, Offset: offset}
}

// bench drives one dispatcher of three servers by hand: p is the primary.
type bench struct {
	t        testing.TB
	d        *dispatcher.Dispatcher
	now      timekeeper.Millis
	execs    []dispatcher.Exec
	outcomes []dispatcher.Outcome
	asks     []dispatcher.Poll
	closed   []pooler.Conn
	// cancels are the connections on which a statement is to be cancelled, and
	// total how many there were.
	cancels []pooler.Conn
	total   int
	servers map[pooler.Conn]string
	number  uint64
}

var (
	groupServers = []dispatcher.Server{
		{Name: "p", Slots: 2, Connections: 16},
		{Name: "a", Slots: 2, Connections: 16},
		{Name: "b", Slots: 2, Connections: 16},
	}
	firstTerm = sequencer.History{{Term: 1}}
)

func newBench(t testing.TB, tune func(*dispatcher.Settings)) *bench {
	settings := dispatcher.DefaultSettings("db", groupServers)
	if tune != nil {
		tune(&settings)
	}
	b := &bench{t: t, now: 10_000, servers: map[pooler.Conn]string{}}
	last := pooler.Conn(0)
	b.d = dispatcher.New(settings, dispatcher.Deps{
		NextConn: func() pooler.Conn { last++; return last },
		InvariantViolated: func(format string, args ...any) {
			t.Errorf("invariant: "+format, args...)
		},
	})
	b.do(b.d.Tick(b.now))
	b.report("p", sequencer.RolePrimary, pos(1, 10))
	b.report("a", sequencer.RoleReplica, pos(1, 10))
	b.report("b", sequencer.RoleReplica, pos(1, 10))
	// Servers take their full load step by step.
	b.now += 500
	b.report("p", sequencer.RolePrimary, pos(1, 10))
	b.report("a", sequencer.RoleReplica, pos(1, 10))
	b.report("b", sequencer.RoleReplica, pos(1, 10))
	return b
}

// do takes commands; connections open at once.
func (b *bench) do(commands []dispatcher.Command) {
	for _, c := range slices.Clone(commands) {
		switch command := c.(type) {
		case dispatcher.OpenConn:
			b.servers[command.Conn] = command.Server
			b.do(b.d.ConnOpened(b.now, command.Conn))
		case dispatcher.CloseConn:
			b.closed = append(b.closed, command.Conn)
		case dispatcher.Exec:
			b.execs = append(b.execs, command)
		case dispatcher.DeliverOutcome:
			b.outcomes = append(b.outcomes, command.Outcome)
		case dispatcher.CancelExec:
			b.cancels = append(b.cancels, command.Conn)
		case dispatcher.Poll:
			b.asks = append(b.asks, command)
		}
	}
}

func (b *bench) report(name string, role sequencer.Role, held sequencer.Position) {
	b.number++
	b.do(b.d.ReportReceived(b.now, name, b.number, true, sequencer.Report{
		Server: name, Role: role, PromisedTerm: held.Term, Received: held, Applied: held, History: firstTerm, UpstreamIdleMillis: 10,
	}))
}

func (b *bench) submit(w dispatcher.Work) {
	w.Database = "db"
	w.Timeout = 10_000
	b.do(b.d.Submit(b.now, w))
}

// last returns the last piece of work sent and the server it went to.
func (b *bench) last() (dispatcher.Exec, string) {
	b.t.Helper()
	if len(b.execs) == 0 {
		b.t.Fatal("nothing was sent")
	}
	e := b.execs[len(b.execs)-1]
	return e, b.servers[e.Conn]
}

func (b *bench) answer(a dispatcher.ExecResult) {
	e, _ := b.last()
	a.Conn = e.Conn
	if a.ExecStatus == "" {
		a.ExecStatus, a.TxStatus = dispatcher.ExecStatusComplete, "I"
	}
	b.do(b.d.ExecFinished(b.now, a))
}

func (b *bench) outcome() dispatcher.Outcome {
	b.t.Helper()
	if len(b.outcomes) != 1 {
		b.t.Fatalf("outcomes: got %v, want one", b.outcomes)
	}
	return b.outcomes[0]
}

func TestAcknowledgedByMajorityOnly(t *testing.T) {
	b := newBench(t, nil)
	b.submit(dispatcher.Work{ID: "w", Write: true})
	b.answer(dispatcher.ExecResult{FinalPosition: pos(1, 11)})
	b.report("p", sequencer.RolePrimary, pos(1, 11))
	if len(b.outcomes) > 0 {
		t.Fatal("acknowledged on the primary's word alone")
	}
	b.report("a", sequencer.RoleReplica, pos(1, 11))
	if o := b.outcome(); o.Class != dispatcher.OutcomeDone || o.Position != pos(1, 11) {
		t.Errorf("got %+v", o)
	}
}

func TestLostAnswers(t *testing.T) {
	lost := dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusConnLost}
	unsent := dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusUnsent}
	demoted := dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusComplete, TxStatus: "I", Code: "25006"}
	tests := map[string]struct {
		work    dispatcher.Work
		answers []dispatcher.ExecResult
		want    dispatcher.OutcomeClass
		sent    int
	}{
		"write without a key may have run":  {dispatcher.Work{Write: true}, []dispatcher.ExecResult{lost}, dispatcher.OutcomeUnknown, 1},
		"write that never left":             {dispatcher.Work{Write: true}, []dispatcher.ExecResult{unsent, unsent, unsent, unsent}, dispatcher.OutcomeRefused, 4},
		"server proves it did not run":      {dispatcher.Work{Write: true}, []dispatcher.ExecResult{demoted, demoted, demoted, demoted}, dispatcher.OutcomeRefused, 4},
		"keyed write is resolved":           {dispatcher.Work{Write: true, Key: "k", Digest: "d"}, []dispatcher.ExecResult{lost, {ExecStatus: dispatcher.ExecStatusComplete, TxStatus: "I", Replayed: true, FinalPosition: pos(1, 10)}}, dispatcher.OutcomeDone, 2},
		"an early doubt is not forgotten":   {dispatcher.Work{Write: true, Key: "k", Digest: "d"}, []dispatcher.ExecResult{lost, demoted, demoted, demoted}, dispatcher.OutcomeUnknown, 4},
		"doubt of another home's attempt":   {dispatcher.Work{Write: true, Key: "k", Digest: "d", MayHaveRun: true}, []dispatcher.ExecResult{demoted, demoted, demoted, demoted}, dispatcher.OutcomeUnknown, 4},
		"read runs again":                   {dispatcher.Work{}, []dispatcher.ExecResult{lost, {ExecStatus: dispatcher.ExecStatusComplete, TxStatus: "I", ReadPosition: pos(1, 10)}}, dispatcher.OutcomeDone, 2},
		"beginning never began":             {dispatcher.Work{Begin: true}, []dispatcher.ExecResult{lost, {ExecStatus: dispatcher.ExecStatusComplete, TxStatus: "T"}}, dispatcher.OutcomeDone, 2},
		"whole transaction in one may have": {dispatcher.Work{Begin: true, Write: true}, []dispatcher.ExecResult{lost}, dispatcher.OutcomeUnknown, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, nil)
			test.work.ID = "w"
			b.submit(test.work)
			for _, a := range test.answers {
				b.answer(a)
			}
			if o := b.outcome(); o.Class != test.want || len(b.execs) != test.sent {
				t.Errorf("got %+v after %d attempts, want %s after %d", o, len(b.execs), test.want, test.sent)
			}
		})
	}
}

func TestLostConnectionIsClosed(t *testing.T) {
	b := newBench(t, nil)
	b.submit(dispatcher.Work{ID: "w", Write: true})
	e, _ := b.last()
	b.answer(dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusConnLost})
	if len(b.closed) != 1 || b.closed[0] != e.Conn {
		t.Errorf("closed: got %v, want connection %d", b.closed, e.Conn)
	}
}

func TestReadRouting(t *testing.T) {
	tests := map[string]struct {
		work    dispatcher.Work
		replica sequencer.Position
		primary bool
	}{
		"no floor":             {dispatcher.Work{}, pos(1, 10), false},
		"floor covered":        {dispatcher.Work{Floor: pos(1, 10)}, pos(1, 10), false},
		"floor not covered":    {dispatcher.Work{Floor: pos(1, 12)}, pos(1, 10), true},
		"floor is a lost tail": {dispatcher.Work{Floor: pos(0, 7)}, pos(1, 10), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, func(s *dispatcher.Settings) { s.MaxCatchUpWait = 0 })
			b.report("p", sequencer.RolePrimary, pos(1, 12))
			test.work.ID = "r"
			b.submit(test.work)
			if _, server := b.last(); (server == "p") != test.primary {
				t.Errorf("read went to %s, want the primary: %v", server, test.primary)
			}
		})
	}
}

func TestRowsBelowTheFloorStay(t *testing.T) {
	b := newBench(t, nil)
	b.submit(dispatcher.Work{ID: "r", Floor: pos(1, 10)})
	b.answer(dispatcher.ExecResult{ReadPosition: pos(1, 9), Payload: []byte("stale")})
	if len(b.outcomes) > 0 || len(b.execs) != 2 {
		t.Fatalf("rows read below the floor: outcomes %v, %d attempts", b.outcomes, len(b.execs))
	}
}

func TestBarrierNeedsFreshMajority(t *testing.T) {
	b := newBench(t, nil)
	b.submit(dispatcher.Work{ID: "r", Barrier: true})
	if len(b.execs) > 0 || len(b.asks) != 3 {
		t.Fatalf("a session of unknown floor: %d sent, %d asked, want 0 and 3", len(b.execs), len(b.asks))
	}
	answer := func(name string, number uint64, held sequencer.Position) {
		b.do(b.d.ReportReceived(b.now, name, number, false, sequencer.Report{
			Server: name, Role: sequencer.RoleReplica, PromisedTerm: 1, Received: held, Applied: held, History: firstTerm, UpstreamIdleMillis: 10,
		}))
	}
	answer("a", b.asks[1].Seq, pos(1, 14))
	if len(b.execs) > 0 {
		t.Fatal("went on with one answer")
	}
	answer("b", b.asks[2].Seq, pos(1, 13))
	if _, server := b.last(); server != "a" {
		t.Errorf("read went to %s, want a, which holds all that may have been acknowledged", server)
	}
}

func TestAgeWithoutProofIsRefused(t *testing.T) {
	b := newBench(t, nil)
	b.now += 5000
	b.do(b.d.Tick(b.now))
	b.submit(dispatcher.Work{ID: "r", MaxAge: 1000})
	b.now += 5000
	b.do(b.d.Tick(b.now))
	if o := b.outcome(); o.Class != dispatcher.OutcomeRefused || o.Code != dispatcher.CodeMaxAgeUnmet {
		t.Errorf("got %+v, want a refusal for want of a proof", o)
	}
}

func TestSubmittedTwiceRunsOnce(t *testing.T) {
	b := newBench(t, nil)
	b.submit(dispatcher.Work{ID: "w", Write: true})
	b.submit(dispatcher.Work{ID: "w", Write: true})
	if len(b.execs) != 1 {
		t.Errorf("sent %d times, want once", len(b.execs))
	}
}

func TestIdleTransactionIsRolledBack(t *testing.T) {
	b := newBench(t, nil)
	b.submit(dispatcher.Work{ID: "t", Begin: true, Rank: scheduler.RankBrowse})
	b.answer(dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusComplete, TxStatus: "T"})
	b.outcomes = nil
	b.now += 6000
	b.do(b.d.Tick(b.now))
	if o := b.outcome(); o.Code != dispatcher.CodeIdleInTransaction || len(b.closed) == 0 {
		t.Errorf("got %+v, closed %v, want the transaction rolled back", o, b.closed)
	}
}

func TestSilentPathIsRetired(t *testing.T) {
	b := newBench(t, nil)
	b.submit(dispatcher.Work{ID: "w", Write: true, Key: "k", Digest: "d"})
	e, _ := b.last()
	b.do(b.d.SessionInspected(b.now, e.Conn, true))
	b.do(b.d.SessionInspected(b.now, e.Conn, false))
	if len(b.closed) > 0 {
		t.Fatal("retired while the answer may be under way")
	}
	b.do(b.d.SessionInspected(b.now, e.Conn, false))
	retired := 0
	for _, conn := range b.closed {
		if b.servers[conn] == "p" {
			retired++
		}
	}
	if retired < 2 {
		t.Errorf("%d connections to the server were retired, want all of its path", retired)
	}
	if again, _ := b.last(); again.Conn == e.Conn || again.Key != "k" {
		t.Errorf("the keyed write went out as %+v, want it over another connection", again)
	}
}

func TestRetryBudget(t *testing.T) {
	b := newBench(t, nil)
	for i := range 400 {
		b.submit(dispatcher.Work{ID: fmt.Sprint(i), Write: true, Key: fmt.Sprint(i), Digest: "d"})
		b.answer(dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusConnLost})
		b.now += 10
		for _, name := range []string{"a", "b"} {
			b.report(name, sequencer.RoleReplica, pos(1, 10))
		}
		b.report("p", sequencer.RolePrimary, pos(1, 10))
		for len(b.execs) > 0 && len(b.outcomes) <= i {
			b.answer(dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusConnLost})
		}
	}
	if sent := len(b.execs); sent > 400*11/10+20 {
		t.Errorf("%d attempts for 400 requests, want at most 1.1 each and the budget saved up", sent)
	}
}

// BenchmarkDecision measures the decisions of one read: route, admit, release.
func BenchmarkDecision(b *testing.B) {
	bench := newBench(b, nil)
	b.ReportAllocs()
	for i := range b.N {
		bench.execs, bench.outcomes = bench.execs[:0], bench.outcomes[:0]
		bench.submit(dispatcher.Work{ID: fmt.Sprint(i)})
		bench.answer(dispatcher.ExecResult{ReadPosition: pos(1, 10), ServiceTime: 1})
	}
}

// TestPreemption checks that urgent work which waits for the primary cancels a
// browse read there, that the read runs again, and that one read is cancelled at
// most twice.
func TestPreemption(t *testing.T) {
	b := newBench(t, func(s *dispatcher.Settings) { s.MaxCatchUpWait = 0 })
	// Only the primary covers the reads, so they take both of its slots.
	b.report("p", sequencer.RolePrimary, pos(1, 12))
	for _, id := range []string{"r1", "r2"} {
		b.submit(dispatcher.Work{ID: id, Rank: scheduler.RankBrowse, Floor: pos(1, 12)})
	}
	for round := range 3 {
		b.submit(dispatcher.Work{ID: fmt.Sprint("w", round), Rank: scheduler.RankUrgent, Write: true})
	}
	if len(b.cancels) != 1 {
		t.Fatalf("cancelled: got %v, want one read at a time", b.cancels)
	}
	for len(b.cancels) > 0 {
		conn := b.cancels[0]
		b.cancels = b.cancels[1:]
		b.total++
		b.do(b.d.ExecFinished(b.now, dispatcher.ExecResult{Conn: conn, ExecStatus: dispatcher.ExecStatusComplete, TxStatus: "I", Code: "57014"}))
	}
	if len(b.outcomes) > 0 {
		t.Errorf("a cancelled read was answered: %v", b.outcomes)
	}
	if b.total < 2 || b.total > 4 {
		t.Errorf("%d cancellations of two reads, want 2 to 4", b.total)
	}
}
