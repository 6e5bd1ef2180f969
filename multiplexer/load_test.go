package multiplexer

import (
	"testing"

	"github.com/heatherhall/heatherhall/timekeeper"
)

var (
	aRead  = Statement{ID: "r", Kind: KindRead, Args: "x"}
	aWrite = Statement{ID: "w", Kind: KindWrite, Args: "x y"}
)

// TestBrowseFlood guards against browsing reads that crowd out urgent work when
// they come far faster than the servers can run them. Urgent work stays fast,
// and browsing still gets some service.
func TestBrowseFlood(t *testing.T) {
	h := newHarness(t, 15)
	h.run(200)
	var urgent, standard, browse counts
	h.stream("urgent", aRead, 20, 5000, &urgent)
	h.stream("standard", aRead, 20, 5000, &standard)
	h.stream("browse", aRead, 1, 5000, &browse)
	h.run(8000)
	if urgent.served != 250 || urgent.slowest > 150 {
		t.Errorf("urgent: %+v, want all of 250 served within 150 ms", urgent)
	}
	if standard.served < 240 {
		t.Errorf("standard: %+v, want 240 of 250 served", standard)
	}
	if browse.served < 500 {
		t.Errorf("browse: %+v, want a tenth of 5000 served", browse)
	}
	if browse.slowestRejection > 610 {
		t.Errorf("browse: the slowest rejection took %d ms, want at most 610: half of the time limit of 1200 ms, and a tick", browse.slowestRejection)
	}
	if browse.served+browse.rejected+browse.failed != 5000 || browse.failed > 0 {
		t.Errorf("browse: %+v, want each of 5000 served or rejected", browse)
	}
}

// TestFloodOnOneServer guards against browsing reads that crowd out urgent work
// when only one server is left. Urgent work runs first, so that an operation of
// two statements meets an objective of 200 ms, and browsing still gets some
// service.
func TestFloodOnOneServer(t *testing.T) {
	h := newHarness(t, 30)
	h.servers["s1"].down, h.servers["s2"].down = true, true
	h.run(2000)
	var urgent, browse counts
	h.stream("urgent", aRead, 100, 5000, &urgent)
	h.stream("browse", aRead, 5, 5000, &browse)
	h.run(8000)
	if urgent.served != 50 || urgent.slowest > 100 {
		t.Errorf("urgent: %+v, want all of 50 served within 100 ms", urgent)
	}
	if browse.served < 100 {
		t.Errorf("browse: %+v, want a tenth of 1000 served", browse)
	}
}

// TestUnresponsivePrimary guards against work that waits for a primary that no
// longer answers. Once the primary is known to be unresponsive, such work is
// rejected at once, and replicas still serve reads.
func TestUnresponsivePrimary(t *testing.T) {
	h := newHarness(t, 10)
	var before, urgent, browse counts
	h.stream("urgent", aWrite, 20, 400, &before)
	h.run(500)
	h.servers["s0"].down = true
	var detecting counts
	h.stream("urgent", aWrite, 50, 1000, &detecting)
	h.run(1000)
	h.stream("urgent", aWrite, 20, 300, &urgent)
	h.stream("browse", aRead, 20, 300, &browse)
	h.run(1500)
	if urgent.rejected != 15 || urgent.slowestRejection > 0 {
		t.Errorf("urgent: %+v, want 15 rejected at once", urgent)
	}
	if browse.served == 0 {
		t.Errorf("browse: %+v, want reads served by replicas while samples are recent", browse)
	}
}

// TestOverduePrimaryChange guards against work that waits until its time limit
// for a primary change that is past its expected end: the daemon has learned of
// the change and received no update since.
func TestOverduePrimaryChange(t *testing.T) {
	h := newHarness(t, 10)
	h.run(200)
	h.setPrimary("s0", 1, true)
	var urgent counts
	h.stream("urgent", aWrite, 100, 1000, &urgent)
	h.run(3000)
	if urgent.rejected != 10 || urgent.slowestRejection > 0 {
		t.Errorf("urgent: %+v, want 10 rejected at once", urgent)
	}
}

// TestReplicaThatCaughtUp guards against a replica that gets no reads after it
// lagged far behind for a while: it serves its share of the reads again soon
// after it has caught up.
func TestReplicaThatCaughtUp(t *testing.T) {
	h := newHarness(t, 10)
	commit := func() {
		h.servers["s0"].applied++
	}
	for at := timekeeper.Millis(0); at < 12_000; at += 50 {
		h.After(at, commit)
		h.After(at+5, func() {
			for _, id := range []string{"s1", "s2"} {
				if h.Now() > 6000 || id == "s1" {
					h.servers[id].applied = h.servers["s0"].applied
				}
			}
		})
	}
	var primaryReads, reads counts
	h.stream("urgent", aRead, 20, 12_000, &primaryReads)
	h.stream("standard", aRead, 7, 12_000, &reads)
	h.run(7000)
	ran := h.servers["s2"].ran
	h.run(3000)
	if got := h.servers["s2"].ran - ran; got < 40 {
		t.Errorf("the replica ran %d reads in 3 s after it caught up, want 40 or more", got)
	}
	if reads.failed > 0 {
		t.Errorf("reads: %+v, want none failed", reads)
	}
}

// TestIdleConnections guards against idle connections beyond the minimum that
// stay open after a burst. For a while, a server still counts the connections
// of daemons that lost power, and its limit must have room for the restarted
// daemons' connections too.
func TestIdleConnections(t *testing.T) {
	h := newHarness(t, 20)
	var burst counts
	h.stream("browse", aRead, 2, 600, &burst)
	h.run(700)
	maxOpen := 0
	for _, s := range h.servers {
		maxOpen = max(maxOpen, s.open)
	}
	if maxOpen < 3 {
		t.Errorf("the burst opened at most %d connections to a server, want 3 or more", maxOpen)
	}
	h.run(4000)
	for _, s := range h.servers {
		if s.open > 1 {
			t.Errorf("%s: %d connections are open when idle, want 1", s.id, s.open)
		}
	}
}

// TestLostAnswers guards against reads that wait for lost answers of a server
// that answers other work: another server answers the reads.
func TestLostAnswers(t *testing.T) {
	h := newHarness(t, 8)
	var urgent, reads counts
	h.stream("urgent", aRead, 20, 400, &urgent)
	h.run(500)
	h.After(0, func() { h.servers["s1"].dropAnswers = true })
	h.After(400, func() { h.servers["s1"].dropAnswers = false })
	h.stream("urgent", aRead, 20, 900, &urgent)
	h.stream("browse", aRead, 25, 900, &reads)
	h.run(3000)
	if reads.served != 36 || reads.slowest > 450 {
		t.Errorf("reads: %+v, want all of 36 served within 450 ms", reads)
	}
}

// TestIsolatedDaemon guards against a daemon that keeps its clients connected
// when its failure domain is partitioned from the store and the servers, but not
// from the clients. The daemon is not ready, closes idle sessions, and is ready
// again when the partition ends.
func TestIsolatedDaemon(t *testing.T) {
	h := newHarness(t, 10)
	h.run(300)
	if !h.m.Ready() {
		t.Fatal("not ready before any failure")
	}
	for i := range 5 {
		h.m.Connect(h.Now(), uint64(1000+i), "urgent", "idle")
	}
	for _, s := range h.servers {
		s.down = true
	}
	var work counts
	h.stream("urgent", aWrite, 50, 1500, &work)
	h.run(1500)
	if !h.m.Ready() {
		t.Error("not ready although the store answers: only the primaries are unreachable")
	}
	h.m.SetStoreUnreachable(h.Now(), true)
	h.run(100)
	if h.m.Ready() {
		t.Error("ready although neither store nor primaries answer")
	}
	h.run(4000)
	if h.sessionsClosed < 5 {
		t.Errorf("%d idle sessions were closed, want 5 or more", h.sessionsClosed)
	}
	for _, s := range h.servers {
		s.down = false
	}
	h.m.SetStoreUnreachable(h.Now(), false)
	h.run(2000)
	if !h.m.Ready() {
		t.Error("not ready after the store and the servers answer again")
	}
}

// TestIdleTransaction guards against connections that stay pinned by clients
// that are idle inside transactions: after the limit, the connections are free
// again.
func TestIdleTransaction(t *testing.T) {
	h := newHarness(t, 5)
	h.run(200)
	for i := range 3 {
		id := uint64(500 + i)
		h.m.Connect(h.Now(), id, "urgent", "idle")
		h.execute(h.m.Run(h.Now(), id, Statement{ID: "b", Kind: KindBegin}))
		h.execute(h.m.Run(h.Now(), id, aWrite))
		h.run(50)
	}
	var blocked, after counts
	h.run(3500)
	h.stream("urgent", aWrite, 20, 400, &after)
	h.run(1000)
	if after.served != 20 {
		t.Errorf("after the limit: %+v, blocked %+v, want 20 served", after, blocked)
	}
	var answer Answer
	h.pending[500] = func(a Answer) { answer = a }
	h.execute(h.m.Run(h.Now(), 500, aWrite))
	if answer.Code != CodeMalformed || answer.State != StateFailedTransaction {
		t.Errorf("a statement after the limit: %+v, want it rejected in a failed transaction", answer)
	}
}

// TestReadThatMayHaveRun guards against telling a client that its read did not
// run, when a server ran it and the answer was lost.
func TestReadThatMayHaveRun(t *testing.T) {
	for name, dropAnswers := range map[string][]string{"the primary alone": {"s0"}, "all servers": {"s0", "s1", "s2"}} {
		for _, database := range []string{"urgent", "standard", "browse"} {
			t.Run(name+", "+database, func(t *testing.T) {
				h := newHarness(t, 10)
				h.run(200)
				for _, id := range dropAnswers {
					h.servers[id].dropAnswers = true
				}
				before := h.servers["s0"].ran + h.servers["s1"].ran + h.servers["s2"].ran
				var got Answer
				h.runStatement(database, database, aRead, func(a Answer, _ timekeeper.Millis) { got = a })
				h.run(3000)
				ran := h.servers["s0"].ran + h.servers["s1"].ran + h.servers["s2"].ran - before
				if got.Code == CodeNotRun && ran > 0 {
					t.Errorf("got %v %q although servers ran %d statements, want another code", got.Code, got.Text, ran)
				}
			})
		}
	}
}

// TestConnectionsOfHostsThatLosePower guards against idle connections that use
// up a server's limit when all hosts lose power at once: the server still
// counts them for seconds. Where the limit allows few connections per daemon,
// few idle ones may be open.
func TestConnectionsOfHostsThatLosePower(t *testing.T) {
	tests := map[string]struct {
		hosts int
		// open is the expected number of connections to the primary, by the
		// milliseconds since the end of a burst.
		open map[timekeeper.Millis]int
	}{
		"few for each daemon":    {24, map[timekeeper.Millis]int{100: 2, 400: 1, 2500: 0}},
		"enough for each daemon": {2, map[timekeeper.Millis]int{100: 7, 400: 7, 2500: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 30)
			h.execute(h.m.SetPlacement(h.Now(), placement(test.hosts)))
			h.run(3000)
			var urgent counts
			for range 4 {
				h.stream("urgent", aRead, 40, 400, &urgent)
			}
			h.run(1200)
			last := h.Now()
			for range 4 {
				h.runStatement("urgent", "urgent", aRead, func(Answer, timekeeper.Millis) { last = h.Now() })
			}
			h.run(200)
			for _, after := range []timekeeper.Millis{100, 400, 2500} {
				h.RunUntil(last+after, nil)
				if got := h.servers["s0"].open; got != test.open[after] {
					t.Errorf("%d connections %d ms after the last statement, want %d", got, after, test.open[after])
				}
			}
		})
	}
}
