package decider_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/heatherhall/heatherhall/decider"
	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/planner"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/sessioner"
	"github.com/heatherhall/heatherhall/timekeeper"
)

var (
	schedules = flag.Int("schedules", 2000, "number of random schedules")
	firstSeed = flag.Int64("seed", 1, "seed of the first schedule")
	trace     = flag.Bool("trace", false, "print the decisions of each schedule")
)

// client is a session that sends each request to a random daemon.
type client struct {
	sim      *simulation
	id       int
	session  sessioner.Session
	requests int
	// ackedWrites holds the ids of the client's acknowledged writes, which the
	// session's later reads must return.
	ackedWrites map[string]bool
}

// history records the outcomes that the clients received: the ids of
// acknowledged, refused and unkeyed writes, and the numbers of all reads and of
// those on replicas. pending maps a client id to the function that receives the
// client's next outcome.
type history struct {
	acked        map[string]bool
	refused      map[string]bool
	unkeyed      map[string]bool
	pending      map[uint64]func(dispatcher.Outcome)
	lastClientID uint64
	reads        int
	replicaReads int
}

// startClients starts clients that send requests until the given time.
func startClients(sim *simulation, count int, until timekeeper.Millis) *history {
	h := &history{
		acked: map[string]bool{}, refused: map[string]bool{}, unkeyed: map[string]bool{},
		pending: map[uint64]func(dispatcher.Outcome){},
	}
	for _, name := range sim.hostNames {
		sim.daemons[name].reply = func(r decider.Reply) {
			if done := h.pending[r.ClientID]; done != nil {
				delete(h.pending, r.ClientID)
				sim.after(1, func() { done(r.Outcome) })
			}
		}
	}
	for i := range count {
		c := &client{sim: sim, id: i, session: sessioner.New(), ackedWrites: map[string]bool{}}
		sim.after(timekeeper.Millis(1000+sim.rand.Intn(200)), func() { c.next(h, until) })
	}
	return h
}

// next sends the client's next request, or transaction, to a random daemon.
func (c *client) next(h *history, until timekeeper.Millis) {
	sim := c.sim
	if sim.now >= until {
		return
	}
	c.requests++
	id := fmt.Sprintf("c%d-%d", c.id, c.requests)
	d := sim.daemons[sim.hostNames[sim.rand.Intn(len(sim.hostNames))]]
	if sim.rand.Intn(20) == 0 {
		// The client continues without its token, so its floor is unknown.
		c.session = sessioner.NewNamed()
	}
	again := func() { sim.after(timekeeper.Millis(sim.rand.Intn(60)), func() { c.next(h, until) }) }
	switch sim.rand.Intn(8) {
	case 0, 1, 2:
		c.submit(h, d, decider.Request{Write: true, RequestKey: id, Digest: id, Rank: scheduler.RankUrgent}, batch{Op: "write", ID: id}, func(o dispatcher.Outcome) {
			c.recordWrite(h, id, o)
			again()
		})
	case 3:
		h.unkeyed[id] = true
		c.submit(h, d, decider.Request{Write: true}, batch{Op: "write", ID: id}, func(o dispatcher.Outcome) {
			c.recordWrite(h, id, o)
			again()
		})
	case 4:
		c.transaction(h, d, id, again)
	default:
		c.read(h, d, again)
	}
}

// submit sends a request to a daemon. A client whose daemon is restarted gets no
// outcome and continues after the timeout of await.
func (c *client) submit(h *history, d *daemon, r decider.Request, b batch, done func(dispatcher.Outcome)) uint64 {
	sim := c.sim
	h.lastClientID++
	r.ClientID = h.lastClientID
	r.Customer = "coop"
	r.Database = simDatabase
	r.Session = c.session
	r.Timeout = 8000
	r.Payload = b.encode()
	c.await(h, r.ClientID, done)
	sim.atEndpoint(d.name, func() {
		sim.input(d, func(now timekeeper.Millis) []decider.Command { return d.node.Submit(now, r) })
	})
	return r.ClientID
}

// await calls done with the next outcome for a client id, or with an unknown
// outcome after 20 s.
func (c *client) await(h *history, clientID uint64, done func(dispatcher.Outcome)) {
	h.pending[clientID] = done
	c.sim.after(20_000, func() {
		if h.pending[clientID] != nil {
			delete(h.pending, clientID)
			done(dispatcher.Outcome{Class: dispatcher.OutcomeUnknown})
		}
	})
}

func (c *client) recordWrite(h *history, id string, o dispatcher.Outcome) {
	switch {
	case o.Class == dispatcher.OutcomeDone && (o.Code == "" || o.Code == dispatcher.CodeAlreadyCommitted):
		h.acked[id] = true
		c.ackedWrites[id] = true
		c.session = c.session.WithFloor(simDatabase, o.Position)
	case o.Class == dispatcher.OutcomeRefused:
		h.refused[id] = true
	}
}

func (c *client) read(h *history, d *daemon, again func()) {
	age := timekeeper.Millis(0)
	if c.sim.rand.Intn(3) == 0 {
		age = 2000
	}
	required := map[string]bool{}
	for id := range c.ackedWrites {
		required[id] = true
	}
	c.submit(h, d, decider.Request{Rank: scheduler.RankBrowse, MaxAge: age}, batch{Op: "read"}, func(o dispatcher.Outcome) {
		defer again()
		if o.Class != dispatcher.OutcomeDone {
			return
		}
		h.reads++
		if o.Replica {
			h.replicaReads++
		}
		c.session = c.session.WithFloor(simDatabase, o.Position)
		got := map[string]bool{}
		for _, id := range strings.Split(string(o.Payload), ",") {
			got[id] = true
		}
		for id := range required {
			if !got[id] {
				c.sim.failf("client %d read from %s at %v without its own write %s", c.id, o.Server, o.Position, id)
			}
		}
	})
}

// transaction runs a transaction with a request key: begin, one write, commit.
func (c *client) transaction(h *history, d *daemon, id string, again func()) {
	sim := c.sim
	var clientID uint64
	step := func(b batch, commit bool, done func(dispatcher.Outcome)) {
		c.await(h, clientID, done)
		sim.atEndpoint(d.name, func() {
			sim.input(d, func(now timekeeper.Millis) []decider.Command { return d.node.Step(now, clientID, commit, b.encode()) })
		})
	}
	clientID = c.submit(h, d, decider.Request{Begin: true, RequestKey: id, Digest: "begin"}, batch{Op: "begin"}, func(o dispatcher.Outcome) {
		if !o.InTransaction() {
			if o.Code == dispatcher.CodeAlreadyCommitted {
				sim.failf("transaction %s was reported as already committed before its write", id)
			}
			again()
			return
		}
		step(batch{Op: "write", ID: id}, false, func(o dispatcher.Outcome) {
			if !o.InTransaction() {
				again()
				return
			}
			step(batch{Op: "commit"}, true, func(o dispatcher.Outcome) {
				c.recordWrite(h, id, o)
				again()
			})
		})
	})
}

// check compares the outcomes with the log of the primary with the highest term:
// acknowledged writes must be in it, refused ones must not, and none may be in it
// twice.
func (h *history) check(sim *simulation) {
	primary := sim.servers[sim.serverNames[0]]
	for _, name := range sim.serverNames {
		s := sim.servers[name]
		r := s.log.Report()
		if r.Role == sequencer.RolePrimary && r.History.Term() > primary.log.Report().History.Term() {
			primary = s
		}
	}
	rows := primary.rows("t", primary.log.ReceivedPosition().Offset)
	for id := range h.acked {
		if rows[id] == 0 {
			sim.failf("%s was acknowledged but is lost", id)
		}
	}
	for id := range h.refused {
		if rows[id] > 0 {
			sim.failf("%s was refused as not run but ran", id)
		}
	}
	for id, count := range rows {
		if count > 1 {
			sim.failf("%s ran %d times", id, count)
		}
	}
}

// injectFault injects one random fault. Most faults end after a random time.
func (sim *simulation) injectFault() {
	duration := timekeeper.Millis(200 + sim.rand.Intn(4000))
	server := sim.servers[sim.serverNames[sim.rand.Intn(len(sim.serverNames))]]
	host := sim.hostNames[sim.rand.Intn(len(sim.hostNames))]
	domain := simDomains[sim.rand.Intn(len(simDomains))]
	undo := func(act func()) { sim.after(duration, act) }
	switch sim.rand.Intn(12) {
	case 0:
		sim.log("%d fault: %s stalls for %d ms", sim.now, server.name, duration)
		sim.stalled[server.name] = true
		undo(func() { delete(sim.stalled, server.name) })
	case 1:
		sim.log("%d fault: %s stalls for %d ms", sim.now, host, duration)
		sim.stalled[host] = true
		undo(func() { delete(sim.stalled, host) })
	case 2:
		sim.log("%d fault: %s is partitioned for %d ms", sim.now, domain, duration)
		sim.partitions[domain] = true
		undo(func() { delete(sim.partitions, domain) })
	case 3:
		pair := host + "|" + server.name
		sim.log("%d fault: %s is partitioned for %d ms", sim.now, pair, duration)
		sim.partitions[pair] = true
		undo(func() { delete(sim.partitions, pair) })
	case 4:
		sim.log("%d fault: %s is restarted", sim.now, host)
		delete(sim.stalled, host)
		sim.startDaemon(host, sim.daemons[host].domain)
	case 5:
		sim.log("%d fault: the platform is down for %d ms", sim.now, duration)
		sim.platformDown = true
		undo(func() { sim.platformDown = false })
	case 6:
		sim.log("%d fault: connections of %s become unresponsive", sim.now, server.name)
		for _, c := range server.conns {
			c.unresponsive = true
		}
	case 7:
		sim.log("%d fault: the platform drops its next replies", sim.now)
		sim.dropReplies += 2
	case 8:
		sim.log("%d fault: %s applies its log %d ms late", sim.now, server.name, duration)
		server.applyLag = duration
		undo(func() { server.applyLag = 10 })
	case 9:
		sim.log("%d fault: %s leaves for %d ms", sim.now, server.name, duration)
		sim.leaving[server.name] = true
		undo(func() { delete(sim.leaving, server.name) })
	case 11:
		pair := host + "|" + sim.hostNames[sim.rand.Intn(len(sim.hostNames))]
		sim.log("%d fault: %s is partitioned for %d ms", sim.now, pair, duration)
		sim.partitions[pair] = true
		undo(func() { delete(sim.partitions, pair) })
	case 10:
		sim.log("%d fault: %s drains and is restarted after %d ms", sim.now, host, duration)
		d := sim.daemons[host]
		sim.atEndpoint(host, func() { sim.input(d, d.node.Drain) })
		undo(func() {
			if sim.isCurrent(d) {
				sim.startDaemon(host, d.domain)
			}
		})
	}
}

// clearFaults ends all faults.
func (sim *simulation) clearFaults() {
	sim.partitions = map[string]bool{}
	sim.stalled = map[string]bool{}
	sim.leaving = map[string]bool{}
	sim.platformDown = false
	sim.dropReplies = 0
	for _, s := range sim.servers {
		s.applyLag = 10
	}
}

// runSchedule runs clients against random faults for 12 s, then without faults
// for 25 s, and checks the outcomes. Failed checks are in the simulation's
// failures.
func runSchedule(seed int64, commitQuorum int, log func(string, ...any)) (*simulation, *history) {
	sim := newSimulation(seed, commitQuorum, log)
	end := sim.now + 12_000
	h := startClients(sim, 6, end)
	for range 1 + sim.rand.Intn(5) {
		sim.after(timekeeper.Millis(1500+sim.rand.Intn(9000)), sim.injectFault)
	}
	sim.run(12_000)
	sim.clearFaults()
	sim.run(25_000)
	h.check(sim)
	return sim, h
}

// TestRandomSchedules runs clients against random faults and checks that no
// acknowledged write is lost, no write runs twice, no refused write has run, and
// every session reads its own writes.
func TestRandomSchedules(t *testing.T) {
	log := func(string, ...any) {}
	if *trace {
		log = t.Logf
	}
	seeds := make(chan int64)
	var total struct {
		sync.Mutex
		acked, reads, replica int
	}
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := range seeds {
				sim, h := runSchedule(seed, 0, log)
				for _, failure := range sim.failures {
					t.Errorf("seed %d: %s", seed, failure)
				}
				if len(h.acked) == 0 {
					t.Errorf("seed %d: nothing was acknowledged", seed)
				}
				total.Lock()
				total.acked += len(h.acked)
				total.reads += h.reads
				total.replica += h.replicaReads
				total.Unlock()
			}
		})
	}
	for i := range int64(*schedules) {
		seeds <- *firstSeed + i
	}
	close(seeds)
	workers.Wait()
	t.Logf("%d schedules, %d writes acknowledged, %d reads, %d of them on replicas", *schedules, total.acked, total.reads, total.replica)
}

// TestSameSeedSameRun checks that decisions depend on their inputs only: two
// runs with the same seed must log the same lines.
func TestSameSeedSameRun(t *testing.T) {
	record := func() string {
		var lines strings.Builder
		runSchedule(7, 0, func(format string, args ...any) {
			_, _ = fmt.Fprintf(&lines, format+"\n", args...)
		})
		return lines.String()
	}
	first, second := strings.Split(record(), "\n"), strings.Split(record(), "\n")
	for i := range min(len(first), len(second)) {
		if first[i] != second[i] {
			t.Fatalf("log line %d differs between two runs of one seed:\n%s\n%s", i, first[i], second[i])
		}
	}
}

// TestPrimaryOnlyAcknowledgementLosesWork checks that the random schedules can
// detect lost writes: with a commit quorum of 1 instead of a majority, at least
// one of them must lose an acknowledged write.
func TestPrimaryOnlyAcknowledgementLosesWork(t *testing.T) {
	for seed := int64(1); seed <= 60; seed++ {
		sim, _ := runSchedule(seed, 1, func(string, ...any) {})
		for _, failure := range sim.failures {
			if strings.Contains(failure, "is lost") {
				return
			}
		}
	}
	t.Error("no acknowledged write was lost with a commit quorum of 1")
}

// TestLedgerIsPruned checks that only the home deletes old request keys from the
// ledger: two statements in 25 s, not two from each daemon.
func TestLedgerIsPruned(t *testing.T) {
	sim := newSimulation(1, 0, func(string, ...any) {})
	sim.run(25_000)
	if len(sim.internalStatements) != 2 {
		t.Fatalf("statements in 25 s: got %v, want two", sim.internalStatements)
	}
	for _, sql := range sim.internalStatements {
		if !strings.HasPrefix(sql, "DELETE FROM heatherhall_ledger WHERE made < '") {
			t.Errorf("got %s, want a DELETE of old request keys", sql)
		}
	}
}

// TestEditsSpread checks that every daemon applies edits within 4 s, also those
// that can't reach the platform, and that a daemon that restarts during a
// platform outage gets the lists from its peers.
func TestEditsSpread(t *testing.T) {
	sim := newSimulation(1, 0, func(string, ...any) {})
	sim.run(3000)
	sim.partitions["h1|platform"] = true
	sim.partitions["h2|platform"] = true
	for base := int64(1); base <= 3; base++ {
		edit := planner.Edit{ID: fmt.Sprint(base), BaseVersion: base, Plans: []planner.Plan{{Name: "gold", Databases: []string{"*"}, RateLimit: 100}}}
		data, err := json.Marshal(edit)
		if err != nil {
			t.Fatal(err)
		}
		sim.store.Put(planner.EditKey(base+1), 0, data)
	}
	sim.run(4000)
	sim.platformDown = true
	sim.startDaemon("h0", sim.daemons["h0"].domain)
	sim.run(4000)
	for _, name := range sim.hostNames {
		node := sim.daemons[name].node
		if got := node.Lists().Version(); got != 4 || !node.Ready() {
			t.Errorf("%s has version %d, ready %v, want 4 and ready", name, got, node.Ready())
		}
	}
	for _, failure := range sim.failures {
		t.Error(failure)
	}
}

// TestResendsAreBounded guards against retry storms: the home of a database is
// reported lost after each request, and the customer's retry budget (10 at first,
// plus a tenth per request) must bound how often its work is sent again.
func TestResendsAreBounded(t *testing.T) {
	sim := newSimulation(1, 0, func(string, ...any) {})
	sim.run(3000)
	home := sim.daemons["h0"].node.Hosts().Home(simDatabase)
	gateway := "h0"
	if home == gateway {
		gateway = "h1"
	}
	node := sim.daemons[gateway].node
	sent := 0
	count := func(commands []decider.Command) {
		for _, c := range commands {
			if toPeer, ok := c.(decider.ToPeer); ok && (toPeer.Message.Work != nil || toPeer.Message.Forward != nil) {
				sent++
			}
		}
	}
	const requests = 400
	for i := range uint64(requests) {
		count(node.Submit(sim.now, decider.Request{ClientID: i + 1, Customer: "coop", Database: simDatabase, Payload: batch{Op: "read"}.encode()}))
		count(node.PeerLost(sim.now, home))
	}
	if limit := requests*11/10 + 10; sent > limit || sent <= requests {
		t.Errorf("work was sent %d times for %d requests, want more than one for each and at most %d", sent, requests, limit)
	}
}
