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

// harness drives one dispatcher with three servers; p is the primary.
type harness struct {
	t        testing.TB
	d        *dispatcher.Dispatcher
	now      timekeeper.Millis
	execs    []dispatcher.Exec
	outcomes []dispatcher.Outcome
	polls    []dispatcher.Poll
	closed   []pooler.Conn
	// pendingCancels are the connections on which a cancellation was requested,
	// and cancelCount is how many of them the test has answered.
	pendingCancels []pooler.Conn
	cancelCount    int
	servers        map[pooler.Conn]string
	seq            uint64
}

var (
	groupServers = []dispatcher.Server{
		{Name: "p", Slots: 2, Connections: 16},
		{Name: "a", Slots: 2, Connections: 16},
		{Name: "b", Slots: 2, Connections: 16},
	}
	firstTerm = sequencer.History{{Term: 1}}
)

// newHarness returns a harness whose servers have all reported position 10 of
// term 1. Violated invariants fail the test.
func newHarness(t testing.TB, tune func(*dispatcher.Settings)) *harness {
	settings := dispatcher.DefaultSettings("db", groupServers)
	if tune != nil {
		tune(&settings)
	}
	h := &harness{t: t, now: 10_000, servers: map[pooler.Conn]string{}}
	last := pooler.Conn(0)
	h.d = dispatcher.New(settings, dispatcher.Deps{
		NextConn: func() pooler.Conn { last++; return last },
		InvariantViolated: func(format string, args ...any) {
			t.Errorf("invariant: "+format, args...)
		},
	})
	h.apply(h.d.Tick(h.now))
	h.report("p", sequencer.RolePrimary, pos(1, 10))
	h.report("a", sequencer.RoleReplica, pos(1, 10))
	h.report("b", sequencer.RoleReplica, pos(1, 10))
	// After 500 ms of slow start, both slots of each server are available.
	h.now += 500
	h.report("p", sequencer.RolePrimary, pos(1, 10))
	h.report("a", sequencer.RoleReplica, pos(1, 10))
	h.report("b", sequencer.RoleReplica, pos(1, 10))
	return h
}

// apply records the commands. Connections open immediately.
func (h *harness) apply(commands []dispatcher.Command) {
	for _, c := range slices.Clone(commands) {
		switch command := c.(type) {
		case dispatcher.OpenConn:
			h.servers[command.Conn] = command.Server
			h.apply(h.d.ConnOpened(h.now, command.Conn))
		case dispatcher.CloseConn:
			h.closed = append(h.closed, command.Conn)
		case dispatcher.Exec:
			h.execs = append(h.execs, command)
		case dispatcher.DeliverOutcome:
			h.outcomes = append(h.outcomes, command.Outcome)
		case dispatcher.CancelExec:
			h.pendingCancels = append(h.pendingCancels, command.Conn)
		case dispatcher.Poll:
			h.polls = append(h.polls, command)
		}
	}
}

func (h *harness) report(name string, role sequencer.Role, received sequencer.Position) {
	h.seq++
	h.apply(h.d.ReportReceived(h.now, name, h.seq, true, sequencer.Report{
		Server: name, Role: role, PromisedTerm: received.Term, Received: received, Applied: received, History: firstTerm, UpstreamIdleMillis: 10,
	}))
}

func (h *harness) submit(w dispatcher.Work) {
	w.Database = "db"
	w.Timeout = 10_000
	h.apply(h.d.Submit(h.now, w))
}

// lastExec returns the last Exec and the name of its server.
func (h *harness) lastExec() (dispatcher.Exec, string) {
	h.t.Helper()
	if len(h.execs) == 0 {
		h.t.Fatal("no Exec was emitted")
	}
	e := h.execs[len(h.execs)-1]
	return e, h.servers[e.Conn]
}

func (h *harness) finishExec(a dispatcher.ExecResult) {
	e, _ := h.lastExec()
	a.Conn = e.Conn
	if a.ExecStatus == "" {
		a.ExecStatus, a.TxStatus = dispatcher.ExecStatusComplete, "I"
	}
	h.apply(h.d.ExecFinished(h.now, a))
}

func (h *harness) outcome() dispatcher.Outcome {
	h.t.Helper()
	if len(h.outcomes) != 1 {
		h.t.Fatalf("outcomes: got %v, want one", h.outcomes)
	}
	return h.outcomes[0]
}

// A write must not be acknowledged before a majority has received its commit:
// after a failover it could be lost.
func TestAcknowledgedByMajorityOnly(t *testing.T) {
	h := newHarness(t, nil)
	h.submit(dispatcher.Work{ID: "w", Write: true})
	h.finishExec(dispatcher.ExecResult{FinalPosition: pos(1, 11)})
	h.report("p", sequencer.RolePrimary, pos(1, 11))
	if len(h.outcomes) > 0 {
		t.Fatal("acknowledged with the report of the primary only")
	}
	h.report("a", sequencer.RoleReplica, pos(1, 11))
	if o := h.outcome(); o.Class != dispatcher.OutcomeDone || o.Position != pos(1, 11) {
		t.Errorf("got %+v, want class done at position 1/11", o)
	}
}

// Guards against wrong outcomes and unsafe retries when a connection breaks or
// the server is no longer the primary: only work that did not run, or that may
// safely run twice, is sent again.
func TestLostAnswers(t *testing.T) {
	lost := dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusConnLost}
	unsent := dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusUnsent}
	demoted := dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusComplete, TxStatus: "I", Code: "25006"}
	tests := map[string]struct {
		work         dispatcher.Work
		answers      []dispatcher.ExecResult
		want         dispatcher.OutcomeClass
		wantAttempts int
	}{
		"write without a key may have run":   {dispatcher.Work{Write: true}, []dispatcher.ExecResult{lost}, dispatcher.OutcomeUnknown, 1},
		"write was not sent":                 {dispatcher.Work{Write: true}, []dispatcher.ExecResult{unsent, unsent, unsent, unsent}, dispatcher.OutcomeRefused, 4},
		"server is not the primary":          {dispatcher.Work{Write: true}, []dispatcher.ExecResult{demoted, demoted, demoted, demoted}, dispatcher.OutcomeRefused, 4},
		"keyed write is replayed":            {dispatcher.Work{Write: true, Key: "k", Digest: "d"}, []dispatcher.ExecResult{lost, {ExecStatus: dispatcher.ExecStatusComplete, TxStatus: "I", Replayed: true, FinalPosition: pos(1, 10)}}, dispatcher.OutcomeDone, 2},
		"first attempt may have run":         {dispatcher.Work{Write: true, Key: "k", Digest: "d"}, []dispatcher.ExecResult{lost, demoted, demoted, demoted}, dispatcher.OutcomeUnknown, 4},
		"other home's attempt may have run":  {dispatcher.Work{Write: true, Key: "k", Digest: "d", MayHaveRun: true}, []dispatcher.ExecResult{demoted, demoted, demoted, demoted}, dispatcher.OutcomeUnknown, 4},
		"read runs again":                    {dispatcher.Work{}, []dispatcher.ExecResult{lost, {ExecStatus: dispatcher.ExecStatusComplete, TxStatus: "I", ReadPosition: pos(1, 10)}}, dispatcher.OutcomeDone, 2},
		"lost beginning runs again":          {dispatcher.Work{Begin: true}, []dispatcher.ExecResult{lost, {ExecStatus: dispatcher.ExecStatusComplete, TxStatus: "T"}}, dispatcher.OutcomeDone, 2},
		"beginning that writes may have run": {dispatcher.Work{Begin: true, Write: true}, []dispatcher.ExecResult{lost}, dispatcher.OutcomeUnknown, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			test.work.ID = "w"
			h.submit(test.work)
			for _, a := range test.answers {
				h.finishExec(a)
			}
			if o := h.outcome(); o.Class != test.want || len(h.execs) != test.wantAttempts {
				t.Errorf("got %+v after %d attempts, want %s after %d", o, len(h.execs), test.want, test.wantAttempts)
			}
		})
	}
}

// A connection whose result was not read completely must not be reused: the
// next work would read the previous result.
func TestLostConnectionIsClosed(t *testing.T) {
	h := newHarness(t, nil)
	h.submit(dispatcher.Work{ID: "w", Write: true})
	e, _ := h.lastExec()
	h.finishExec(dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusConnLost})
	if len(h.closed) != 1 || h.closed[0] != e.Conn {
		t.Errorf("closed: got %v, want connection %d", h.closed, e.Conn)
	}
}

// A read goes to the primary only if no replica covers its floor. A floor at a
// lost entry is lowered to what survived, so replicas cover it.
func TestReadRouting(t *testing.T) {
	tests := map[string]struct {
		work        dispatcher.Work
		replica     sequencer.Position
		wantPrimary bool
	}{
		"no floor":              {dispatcher.Work{}, pos(1, 10), false},
		"floor covered":         {dispatcher.Work{Floor: pos(1, 10)}, pos(1, 10), false},
		"floor not covered":     {dispatcher.Work{Floor: pos(1, 12)}, pos(1, 10), true},
		"floor is a lost entry": {dispatcher.Work{Floor: pos(0, 7)}, pos(1, 10), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(s *dispatcher.Settings) { s.MaxCatchUpWait = 0 })
			h.report("p", sequencer.RolePrimary, pos(1, 12))
			test.work.ID = "r"
			h.submit(test.work)
			if _, server := h.lastExec(); (server == "p") != test.wantPrimary {
				t.Errorf("read went to %s, want the primary: %v", server, test.wantPrimary)
			}
		})
	}
}

// Rows that a replica read below the floor must not be delivered. The replica's
// real position can be below the one that it last reported.
func TestReadBelowFloorRunsAgain(t *testing.T) {
	h := newHarness(t, nil)
	h.submit(dispatcher.Work{ID: "r", Floor: pos(1, 10)})
	h.finishExec(dispatcher.ExecResult{ReadPosition: pos(1, 9), Payload: []byte("stale")})
	if len(h.outcomes) > 0 || len(h.execs) != 2 {
		t.Fatalf("rows read below the floor: got outcomes %v after %d attempts, want none after 2", h.outcomes, len(h.execs))
	}
}

// A read with a barrier must wait until a majority has answered polls that were
// sent after the read arrived: earlier reports may lack acknowledged writes.
func TestBarrierNeedsFreshMajority(t *testing.T) {
	h := newHarness(t, nil)
	h.submit(dispatcher.Work{ID: "r", Barrier: true})
	if len(h.execs) > 0 || len(h.polls) != 3 {
		t.Fatalf("session with an unknown floor: %d execs, %d polls, want 0 and 3", len(h.execs), len(h.polls))
	}
	answer := func(name string, seq uint64, received sequencer.Position) {
		h.apply(h.d.ReportReceived(h.now, name, seq, false, sequencer.Report{
			Server: name, Role: sequencer.RoleReplica, PromisedTerm: 1, Received: received, Applied: received, History: firstTerm, UpstreamIdleMillis: 10,
		}))
	}
	answer("a", h.polls[1].Seq, pos(1, 14))
	if len(h.execs) > 0 {
		t.Fatal("the read started after one report, want a majority")
	}
	answer("b", h.polls[2].Seq, pos(1, 13))
	if _, server := h.lastExec(); server != "a" {
		t.Errorf("read went to %s, want a, which covers every write that may have been acknowledged", server)
	}
}

// A read with a maximum age is refused if no majority has reported recently
// enough to guarantee that age.
func TestMaxAgeWithoutMajorityIsRefused(t *testing.T) {
	h := newHarness(t, nil)
	h.now += 5000
	h.apply(h.d.Tick(h.now))
	h.submit(dispatcher.Work{ID: "r", MaxAge: 1000})
	h.now += 5000
	h.apply(h.d.Tick(h.now))
	if o := h.outcome(); o.Class != dispatcher.OutcomeRefused || o.Code != dispatcher.CodeMaxAgeUnmet {
		t.Errorf("got %+v, want a refusal with the code of an unmet maximum age", o)
	}
}

// A message that is delivered twice must not run its work twice.
func TestSubmittedTwiceRunsOnce(t *testing.T) {
	h := newHarness(t, nil)
	h.submit(dispatcher.Work{ID: "w", Write: true})
	h.submit(dispatcher.Work{ID: "w", Write: true})
	if len(h.execs) != 1 {
		t.Errorf("sent %d times, want once", len(h.execs))
	}
}

// A transaction that a client leaves open must not keep its connection for
// longer than the idle limit of its rank.
func TestIdleTransactionIsRolledBack(t *testing.T) {
	h := newHarness(t, nil)
	h.submit(dispatcher.Work{ID: "t", Begin: true, Rank: scheduler.RankBrowse})
	h.finishExec(dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusComplete, TxStatus: "T"})
	h.outcomes = nil
	h.now += 6000
	h.apply(h.d.Tick(h.now))
	if o := h.outcome(); o.Code != dispatcher.CodeIdleInTransaction || len(h.closed) == 0 {
		t.Errorf("got %+v, closed %v, want the transaction rolled back", o, h.closed)
	}
}

// Guards against work that hangs on a broken network path: the server runs no
// statement, but its result never arrives. After the second such inspection the
// connection and all idle ones to the server are closed, and keyed work is
// retried.
func TestFailedPathIsClosed(t *testing.T) {
	h := newHarness(t, nil)
	h.submit(dispatcher.Work{ID: "w", Write: true, Key: "k", Digest: "d"})
	e, _ := h.lastExec()
	h.apply(h.d.SessionInspected(h.now, e.Conn, true))
	h.apply(h.d.SessionInspected(h.now, e.Conn, false))
	if len(h.closed) > 0 {
		t.Fatal("connections were closed after one inspection, while the result may be in transit")
	}
	h.apply(h.d.SessionInspected(h.now, e.Conn, false))
	closedToP := 0
	for _, conn := range h.closed {
		if h.servers[conn] == "p" {
			closedToP++
		}
	}
	if closedToP < 2 {
		t.Errorf("%d connections to the server were closed, want the lost and the idle ones, at least 2", closedToP)
	}
	if again, _ := h.lastExec(); again.Conn == e.Conn || again.Key != "k" {
		t.Errorf("last Exec: got %+v, want the keyed write on another connection", again)
	}
}

// Guards against retries that multiply the load when every connection fails.
func TestRetryBudget(t *testing.T) {
	h := newHarness(t, nil)
	for i := range 400 {
		h.submit(dispatcher.Work{ID: fmt.Sprint(i), Write: true, Key: fmt.Sprint(i), Digest: "d"})
		h.finishExec(dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusConnLost})
		h.now += 10
		for _, name := range []string{"a", "b"} {
			h.report(name, sequencer.RoleReplica, pos(1, 10))
		}
		h.report("p", sequencer.RolePrimary, pos(1, 10))
		for len(h.execs) > 0 && len(h.outcomes) <= i {
			h.finishExec(dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusConnLost})
		}
	}
	if sent := len(h.execs); sent > 400*11/10+20 {
		t.Errorf("%d attempts for 400 requests, want at most 1.1 each plus the cap of the retry budget", sent)
	}
}

// BenchmarkDecision measures the decisions for one read: routing, queueing and
// releasing the connection.
func BenchmarkDecision(b *testing.B) {
	h := newHarness(b, nil)
	b.ReportAllocs()
	for i := range b.N {
		h.execs, h.outcomes = h.execs[:0], h.outcomes[:0]
		h.submit(dispatcher.Work{ID: fmt.Sprint(i)})
		h.finishExec(dispatcher.ExecResult{ReadPosition: pos(1, 10), ServiceTime: 1})
	}
}

// Urgent work that waits for the primary cancels a browse read there. The
// cancelled read runs again, and one read is cancelled at most twice.
func TestPreemption(t *testing.T) {
	h := newHarness(t, func(s *dispatcher.Settings) { s.MaxCatchUpWait = 0 })
	// Only the primary covers the reads, so they take both of its slots.
	h.report("p", sequencer.RolePrimary, pos(1, 12))
	for _, id := range []string{"r1", "r2"} {
		h.submit(dispatcher.Work{ID: id, Rank: scheduler.RankBrowse, Floor: pos(1, 12)})
	}
	for round := range 3 {
		h.submit(dispatcher.Work{ID: fmt.Sprint("w", round), Rank: scheduler.RankUrgent, Write: true})
	}
	if len(h.pendingCancels) != 1 {
		t.Fatalf("cancelled: got %v, want one read at a time", h.pendingCancels)
	}
	for len(h.pendingCancels) > 0 {
		conn := h.pendingCancels[0]
		h.pendingCancels = h.pendingCancels[1:]
		h.cancelCount++
		h.apply(h.d.ExecFinished(h.now, dispatcher.ExecResult{Conn: conn, ExecStatus: dispatcher.ExecStatusComplete, TxStatus: "I", Code: "57014"}))
	}
	if len(h.outcomes) > 0 {
		t.Errorf("outcomes: got %v, want none for a cancelled read", h.outcomes)
	}
	if h.cancelCount < 2 || h.cancelCount > 4 {
		t.Errorf("%d cancellations of two reads, want 2 to 4", h.cancelCount)
	}
}
