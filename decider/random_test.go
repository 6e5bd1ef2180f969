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

// caller is a session that roams between daemons, writes and reads.
type caller struct {
	world   *world
	id      int
	session sessioner.Session
	number  int
	// floor holds the ids that the session must see; seen those it has read.
	floor map[string]bool
}

// history is what all callers know.
type history struct {
	acked   map[string]bool
	refused map[string]bool
	unkeyed map[string]bool
	pending map[uint64]func(dispatcher.Outcome)
	next    uint64
	reads   int
	replica int
}

// newCallers starts callers that work until the given time.
func newCallers(w *world, count int, until timekeeper.Millis) *history {
	h := &history{
		acked: map[string]bool{}, refused: map[string]bool{}, unkeyed: map[string]bool{},
		pending: map[uint64]func(dispatcher.Outcome){},
	}
	for _, name := range w.names {
		w.daemons[name].reply = func(r decider.Reply) {
			if done := h.pending[r.ClientID]; done != nil {
				delete(h.pending, r.ClientID)
				w.after(1, func() { done(r.Outcome) })
			}
		}
	}
	for i := range count {
		c := &caller{world: w, id: i, session: sessioner.New(), floor: map[string]bool{}}
		w.after(timekeeper.Millis(1000+w.rand.Intn(200)), func() { c.next(h, until) })
	}
	return h
}

// next starts the caller's next piece of work, through any daemon.
func (c *caller) next(h *history, until timekeeper.Millis) {
	w := c.world
	if w.now >= until {
		return
	}
	c.number++
	id := fmt.Sprintf("c%d-%d", c.id, c.number)
	d := w.daemons[w.names[w.rand.Intn(len(w.names))]]
	if w.rand.Intn(20) == 0 {
		// The caller roams without its token.
		c.session = sessioner.NewNamed()
	}
	again := func() { w.after(timekeeper.Millis(w.rand.Intn(60)), func() { c.next(h, until) }) }
	switch w.rand.Intn(8) {
	case 0, 1, 2:
		c.submit(h, d, decider.Request{Write: true, RequestKey: id, Digest: id, Rank: scheduler.RankUrgent}, batch{Op: "write", ID: id}, func(o dispatcher.Outcome) {
			c.wrote(h, id, o)
			again()
		})
	case 3:
		h.unkeyed[id] = true
		c.submit(h, d, decider.Request{Write: true}, batch{Op: "write", ID: id}, func(o dispatcher.Outcome) {
			c.wrote(h, id, o)
			again()
		})
	case 4:
		c.transaction(h, d, id, again)
	default:
		c.read(h, d, again)
	}
}

// submit gives a request to a daemon. A caller whose daemon dies is told
// nothing; it goes on after a time.
func (c *caller) submit(h *history, d *daemon, r decider.Request, b batch, done func(dispatcher.Outcome)) uint64 {
	w := c.world
	h.next++
	r.ClientID = h.next
	r.Customer = "coop"
	r.Database = worldDatabase
	r.Session = c.session
	r.Timeout = 8000
	r.Payload = b.encode()
	c.await(h, r.ClientID, done)
	w.atPlace(d.name, func() {
		w.input(d, func(now timekeeper.Millis) []decider.Command { return d.node.Submit(now, r) })
	})
	return r.ClientID
}

func (c *caller) await(h *history, number uint64, done func(dispatcher.Outcome)) {
	h.pending[number] = done
	c.world.after(20_000, func() {
		if h.pending[number] != nil {
			delete(h.pending, number)
			done(dispatcher.Outcome{Class: dispatcher.OutcomeUnknown})
		}
	})
}

func (c *caller) wrote(h *history, id string, o dispatcher.Outcome) {
	switch {
	case o.Class == dispatcher.OutcomeDone && (o.Code == "" || o.Code == dispatcher.CodeAlreadyCommitted):
		h.acked[id] = true
		c.floor[id] = true
		c.session = c.session.WithFloor(worldDatabase, o.Position)
	case o.Class == dispatcher.OutcomeRefused:
		h.refused[id] = true
	}
}

func (c *caller) read(h *history, d *daemon, again func()) {
	age := timekeeper.Millis(0)
	if c.world.rand.Intn(3) == 0 {
		age = 2000
	}
	must := map[string]bool{}
	for id := range c.floor {
		must[id] = true
	}
	c.submit(h, d, decider.Request{Rank: scheduler.RankBrowse, MaxAge: age}, batch{Op: "read"}, func(o dispatcher.Outcome) {
		defer again()
		if o.Class != dispatcher.OutcomeDone {
			return
		}
		h.reads++
		if o.Replica {
			h.replica++
		}
		c.session = c.session.WithFloor(worldDatabase, o.Position)
		got := map[string]bool{}
		for _, id := range strings.Split(string(o.Payload), ",") {
			got[id] = true
		}
		for id := range must {
			if !got[id] {
				c.world.failf("caller %d read from %s at %v without its own write %s", c.id, o.Server, o.Position, id)
			}
		}
	})
}

// transaction begins, writes and commits with a key.
func (c *caller) transaction(h *history, d *daemon, id string, again func()) {
	w := c.world
	var number uint64
	step := func(b batch, commit bool, done func(dispatcher.Outcome)) {
		c.await(h, number, done)
		w.atPlace(d.name, func() {
			w.input(d, func(now timekeeper.Millis) []decider.Command { return d.node.Step(now, number, commit, b.encode()) })
		})
	}
	number = c.submit(h, d, decider.Request{Begin: true, RequestKey: id, Digest: "begin"}, batch{Op: "begin"}, func(o dispatcher.Outcome) {
		if !o.InTransaction() {
			if o.Code == dispatcher.CodeAlreadyCommitted {
				w.failf("transaction %s was told it had committed before it wrote", id)
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
				c.wrote(h, id, o)
				again()
			})
		})
	})
}

// check compares what callers know with the log that survived.
func (h *history) check(w *world) {
	primary := w.servers[w.order[0]]
	for _, name := range w.order {
		s := w.servers[name]
		r := s.log.Report()
		if r.Role == sequencer.RolePrimary && r.History.Term() > primary.log.Report().History.Term() {
			primary = s
		}
	}
	rows := primary.rows("t", primary.log.Held().Offset)
	for id := range h.acked {
		if rows[id] == 0 {
			w.failf("%s was acknowledged and is lost", id)
		}
	}
	for id := range h.refused {
		if rows[id] > 0 {
			w.failf("%s was refused as not run and ran", id)
		}
	}
	for id, count := range rows {
		if count > 1 {
			w.failf("%s ran %d times", id, count)
		}
	}
}

// fault does one random harm to the world and heals it after a time.
func (w *world) fault() {
	duration := timekeeper.Millis(200 + w.rand.Intn(4000))
	server := w.servers[w.order[w.rand.Intn(len(w.order))]]
	host := w.names[w.rand.Intn(len(w.names))]
	domain := worldDomains[w.rand.Intn(len(worldDomains))]
	heal := func(act func()) { w.after(duration, act) }
	switch w.rand.Intn(12) {
	case 0:
		w.log("%d fault: %s freezes for %d", w.now, server.name, duration)
		w.frozen[server.name] = true
		heal(func() { delete(w.frozen, server.name) })
	case 1:
		w.log("%d fault: %s freezes for %d", w.now, host, duration)
		w.frozen[host] = true
		heal(func() { delete(w.frozen, host) })
	case 2:
		w.log("%d fault: %s is cut off for %d", w.now, domain, duration)
		w.cuts[domain] = true
		heal(func() { delete(w.cuts, domain) })
	case 3:
		pair := host + "|" + server.name
		w.log("%d fault: %s is cut for %d", w.now, pair, duration)
		w.cuts[pair] = true
		heal(func() { delete(w.cuts, pair) })
	case 4:
		w.log("%d fault: %s is restarted", w.now, host)
		delete(w.frozen, host)
		w.startDaemon(host, w.daemons[host].domain)
	case 5:
		w.log("%d fault: the platform is down for %d", w.now, duration)
		w.down = true
		heal(func() { w.down = false })
	case 6:
		w.log("%d fault: connections of %s go silent", w.now, server.name)
		for _, c := range server.conns {
			c.silent = true
		}
	case 7:
		w.log("%d fault: the platform loses answers", w.now)
		w.lose += 2
	case 8:
		w.log("%d fault: %s lags by %d", w.now, server.name, duration)
		server.lag = duration
		heal(func() { server.lag = 10 })
	case 9:
		w.log("%d fault: %s leaves for %d", w.now, server.name, duration)
		w.leaving[server.name] = true
		heal(func() { delete(w.leaving, server.name) })
	case 11:
		pair := host + "|" + w.names[w.rand.Intn(len(w.names))]
		w.log("%d fault: %s is cut for %d", w.now, pair, duration)
		w.cuts[pair] = true
		heal(func() { delete(w.cuts, pair) })
	case 10:
		w.log("%d fault: %s drains and is restarted after %d", w.now, host, duration)
		d := w.daemons[host]
		w.atPlace(host, func() { w.input(d, d.node.Drain) })
		heal(func() {
			if w.alive(d) {
				w.startDaemon(host, d.domain)
			}
		})
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.cuts = map[string]bool{}
	w.frozen = map[string]bool{}
	w.leaving = map[string]bool{}
	w.down = false
	w.lose = 0
	for _, s := range w.servers {
		s.lag = 10
	}
}

// runSchedule runs one random schedule and returns what went wrong.
func runSchedule(seed int64, need int, log func(string, ...any)) (*world, *history) {
	w := newWorld(seed, need, log)
	end := w.now + 12_000
	h := newCallers(w, 6, end)
	for range 1 + w.rand.Intn(5) {
		w.after(timekeeper.Millis(1500+w.rand.Intn(9000)), w.fault)
	}
	w.run(12_000)
	w.heal()
	w.run(25_000)
	h.check(w)
	return w, h
}

// TestRandomSchedules runs callers against random faults and checks that
// nothing acknowledged is lost, nothing runs twice, nothing refused ran, and
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
				w, h := runSchedule(seed, 0, log)
				for _, failure := range w.failures {
					t.Errorf("seed %d: %s", seed, failure)
				}
				if len(h.acked) == 0 {
					t.Errorf("seed %d: nothing was acknowledged", seed)
				}
				total.Lock()
				total.acked += len(h.acked)
				total.reads += h.reads
				total.replica += h.replica
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

// TestSameSeedSameRun checks that decisions depend on their inputs only.
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
			t.Fatalf("line %d differs:\n%s\n%s", i, first[i], second[i])
		}
	}
}

// TestPrimaryOnlyAcknowledgementLosesWork switches the majority off: the same
// schedules must then lose acknowledged writes.
func TestPrimaryOnlyAcknowledgementLosesWork(t *testing.T) {
	for seed := int64(1); seed <= 60; seed++ {
		w, _ := runSchedule(seed, 1, func(string, ...any) {})
		for _, failure := range w.failures {
			if strings.Contains(failure, "is lost") {
				return
			}
		}
	}
	t.Error("no acknowledged write was lost although the majority is switched off")
}

// TestLedgerIsTrimmed checks that the home, and no other daemon, deletes old
// request keys.
func TestLedgerIsTrimmed(t *testing.T) {
	w := newWorld(1, 0, func(string, ...any) {})
	w.run(25_000)
	if len(w.own) != 2 {
		t.Fatalf("statements in 25 s: got %v, want two", w.own)
	}
	for _, sql := range w.own {
		if !strings.HasPrefix(sql, "DELETE FROM heatherhall_ledger WHERE made < '") {
			t.Errorf("got %s", sql)
		}
	}
}

// TestEditsSpread checks that edits are in force on every daemon within 4 s, also
// on those that can't reach the platform, and that a daemon that restarts during an
// outage gets them from its peers.
func TestEditsSpread(t *testing.T) {
	w := newWorld(1, 0, func(string, ...any) {})
	w.run(3000)
	w.cuts["h1|platform"] = true
	w.cuts["h2|platform"] = true
	for base := int64(1); base <= 3; base++ {
		edit := planner.Edit{ID: fmt.Sprint(base), BaseVersion: base, Plans: []planner.Plan{{Name: "gold", Databases: []string{"*"}, RateLimit: 100}}}
		data, err := json.Marshal(edit)
		if err != nil {
			t.Fatal(err)
		}
		w.store.Put(planner.EditKey(base+1), 0, data)
	}
	w.run(4000)
	w.down = true
	w.startDaemon("h0", w.daemons["h0"].domain)
	w.run(4000)
	for _, name := range w.names {
		node := w.daemons[name].node
		if got := node.Lists().Version(); got != 4 || !node.Ready() {
			t.Errorf("%s has version %d, ready %v, want 4 and ready", name, got, node.Ready())
		}
	}
	for _, failure := range w.failures {
		t.Error(failure)
	}
}

// TestResendsAreBounded lets the home of a database be lost again and again: a
// customer's work is given to another home at most as often as its budget allows.
func TestResendsAreBounded(t *testing.T) {
	w := newWorld(1, 0, func(string, ...any) {})
	w.run(3000)
	home := w.daemons["h0"].node.Hosts().Home(worldDatabase)
	entry := "h0"
	if home == entry {
		entry = "h1"
	}
	node := w.daemons[entry].node
	sent := 0
	count := func(commands []decider.Command) {
		for _, c := range commands {
			if mail, ok := c.(decider.ToPeer); ok && (mail.Message.Work != nil || mail.Message.Forward != nil) {
				sent++
			}
		}
	}
	const requests = 400
	for i := range uint64(requests) {
		count(node.Submit(w.now, decider.Request{ClientID: i + 1, Customer: "coop", Database: worldDatabase, Payload: batch{Op: "read"}.encode()}))
		count(node.PeerLost(w.now, home))
	}
	if limit := requests*11/10 + 10; sent > limit || sent <= requests {
		t.Errorf("work was sent %d times for %d requests, want more than those and at most %d", sent, requests, limit)
	}
}
