package decider_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand"
	"strings"

	"github.com/heatherhall/heatherhall/decider"
	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/faker"
	"github.com/heatherhall/heatherhall/planner"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/promoter"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
	"github.com/heatherhall/heatherhall/watcher"
)

// event is a function that runs at a time of the simulation's clock; seq orders
// events of the same time.
type event struct {
	at  timekeeper.Millis
	seq int
	act func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation drives the nodes of several daemons in virtual time, with fakes for
// clients, backend servers, the platform and the network.
type simulation struct {
	now          timekeeper.Millis
	seq          int
	queue        events
	rand         *rand.Rand
	daemons      map[string]*daemon
	hostNames    []string
	servers      map[string]*server
	serverNames  []string
	store        *faker.Store
	platformDown bool
	dropReplies  int
	partitions   map[string]bool
	stalled      map[string]bool
	leaving      map[string]bool
	failures     []string
	log          func(string, ...any)
	incarnations int
	// internalStatements are the daemons' own statements, which no client sent.
	internalStatements []string
	// commitQuorum is how many servers must have received a commit before it is
	// acknowledged; 0 means a majority.
	commitQuorum int
}

// daemon is one daemon: its node and a clock that runs skew ahead of the
// simulation's.
type daemon struct {
	name       string
	domain     string
	node       *decider.Node
	skew       timekeeper.Millis
	generation int
	reply      func(decider.Reply)
}

// batch is the payload of work in a simulation.
type batch struct {
	Op string `json:"op"`
	ID string `json:"id"`
}

func (b batch) encode() []byte {
	data, _ := json.Marshal(b)
	return data
}

var simDomains = []string{"north", "south", "west"}

const simDatabase = "db"

func newSimulation(seed int64, commitQuorum int, log func(string, ...any)) *simulation {
	sim := &simulation{
		commitQuorum: commitQuorum,
		now:          1_000_000,
		rand:         rand.New(rand.NewSource(seed)),
		daemons:      map[string]*daemon{},
		servers:      map[string]*server{},
		store:        faker.NewStore(),
		partitions:   map[string]bool{},
		stalled:      map[string]bool{},
		leaving:      map[string]bool{},
		log:          log,
	}
	for i, domain := range simDomains {
		sim.addServer(fmt.Sprintf("s%d", i), domain, i == 0)
	}
	sim.putLists()
	for i := range 4 {
		sim.startDaemon(fmt.Sprintf("h%d", i), simDomains[i%len(simDomains)])
	}
	return sim
}

func (sim *simulation) putLists() {
	verifier, err := planner.NewVerifier("coop", "x", "salt")
	if err != nil {
		panic(err)
	}
	edit := planner.Edit{
		ID:        "first",
		Plans:     []planner.Plan{{Name: "gold", Databases: []string{"*"}}},
		Customers: []planner.Customer{{Name: "coop", Plan: "gold", Verifier: verifier.String()}},
	}
	data, _ := json.Marshal(edit)
	sim.store.Put(planner.EditKey(1), 0, data)
}

func (sim *simulation) failf(format string, args ...any) {
	sim.failures = append(sim.failures, fmt.Sprintf("%d ms: ", sim.now)+fmt.Sprintf(format, args...))
}

// after schedules act to run after d.
func (sim *simulation) after(d timekeeper.Millis, act func()) {
	sim.seq++
	heap.Push(&sim.queue, event{at: sim.now + max(d, 0), seq: sim.seq, act: act})
}

// run advances the time by d and runs the events that are due.
func (sim *simulation) run(d timekeeper.Millis) {
	end := sim.now + d
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.act()
	}
	sim.now = end
}

// partitioned reports whether two endpoints can't reach each other. Endpoints
// are hosts, servers and "platform". A partition separates two endpoints, or a
// failure domain from all endpoints outside it.
func (sim *simulation) partitioned(a, b string) bool {
	if sim.partitions[a+"|"+b] || sim.partitions[b+"|"+a] {
		return true
	}
	da, db := sim.domainOf(a), sim.domainOf(b)
	return da != db && (sim.partitions[da] || sim.partitions[db])
}

func (sim *simulation) domainOf(endpoint string) string {
	if d := sim.daemons[endpoint]; d != nil {
		return d.domain
	}
	if s := sim.servers[endpoint]; s != nil {
		return s.domain
	}
	return endpoint
}

// deliver calls act at an endpoint after the network's delay. A message between
// partitioned endpoints is dropped and onDrop called 500 ms later, unless it is
// nil; one to a stalled endpoint waits until the endpoint continues.
func (sim *simulation) deliver(from, to string, act func(), onDrop func()) {
	sim.after(timekeeper.Millis(1+sim.rand.Intn(2)), func() {
		if sim.partitioned(from, to) {
			if onDrop != nil {
				sim.after(500, onDrop)
			}
			return
		}
		sim.atEndpoint(to, act)
	})
}

// atEndpoint runs act at an endpoint, once the endpoint is not stalled.
func (sim *simulation) atEndpoint(endpoint string, act func()) {
	if sim.stalled[endpoint] {
		sim.after(20, func() { sim.atEndpoint(endpoint, act) })
		return
	}
	act()
}

func (sim *simulation) startDaemon(name, domain string) {
	sim.incarnations++
	d := &daemon{name: name, domain: domain, skew: timekeeper.Millis(sim.rand.Intn(100_000)), generation: sim.incarnations}
	if old := sim.daemons[name]; old != nil {
		d.reply = old.reply
	} else {
		sim.hostNames = append(sim.hostNames, name)
	}
	sim.daemons[name] = d
	d.node = decider.New(sim.settings(d), decider.Deps{
		Log: func(format string, args ...any) {
			sim.log("%d %s: "+format, append([]any{sim.now, name}, args...)...)
		},
		InvariantViolated: func(format string, args ...any) {
			sim.failf(name+": invariant: "+format, args...)
		},
	})
	sim.tick(d)
}

func (sim *simulation) settings(d *daemon) decider.Settings {
	var servers []dispatcher.Server
	for _, name := range sim.serverNames {
		servers = append(servers, dispatcher.Server{Name: name, Domain: sim.servers[name].domain, Slots: 2, Connections: 16})
	}
	database := dispatcher.DefaultSettings(simDatabase, servers)
	database.CommitQuorum = sim.commitQuorum
	s := decider.Settings{
		Self:          watcher.Member{Name: d.name, Address: d.name, Domain: d.domain, Incarnation: int64(sim.incarnations)},
		Databases:     map[string]dispatcher.Settings{simDatabase: database},
		Promoter:      promoter.DefaultSettings(),
		Hosts:         watcher.DefaultSettings(),
		EditsInterval: 500,
		HostsInterval: 1000,
	}
	for i := range 4 {
		name := fmt.Sprintf("h%d", i)
		s.Peers = append(s.Peers, watcher.Member{Name: name, Address: name, Domain: simDomains[i%len(simDomains)]})
	}
	return s
}

// isCurrent reports whether the daemon is the latest of its name, not one that
// has been replaced by a restart.
func (sim *simulation) isCurrent(d *daemon) bool {
	return sim.daemons[d.name] == d
}

func (sim *simulation) tick(d *daemon) {
	if !sim.isCurrent(d) {
		return
	}
	sim.atEndpoint(d.name, func() {
		sim.input(d, func(now timekeeper.Millis) []decider.Command { return d.node.Tick(now) })
		sim.after(20, func() { sim.tick(d) })
	})
}

// input calls act with a daemon's time and executes the commands that it returns.
func (sim *simulation) input(d *daemon, act func(now timekeeper.Millis) []decider.Command) {
	if !sim.isCurrent(d) {
		return
	}
	for _, c := range act(sim.now + d.skew) {
		sim.execute(d, c)
	}
}

func (sim *simulation) execute(d *daemon, c decider.Command) {
	switch command := c.(type) {
	case decider.Reply:
		if d.reply != nil {
			d.reply(command)
		}
	case decider.ToPeer:
		sim.deliver(d.name, command.To.Name, func() {
			peer := sim.daemons[command.To.Name]
			sim.input(peer, func(now timekeeper.Millis) []decider.Command {
				return peer.node.MessageReceived(now, d.name, command.Message)
			})
		}, func() {
			sim.input(d, func(now timekeeper.Millis) []decider.Command { return d.node.PeerLost(now, command.To.Name) })
		})
	case decider.GossipPacket:
		sim.deliver(d.name, command.To.Name, func() {
			peer := sim.daemons[command.To.Name]
			sim.input(peer, func(now timekeeper.Millis) []decider.Command { return peer.node.PacketReceived(now, command.Message) })
		}, nil)
	case decider.ReadEdits:
		sim.callPlatform(d, func() func(timekeeper.Millis) []decider.Command {
			var edits []planner.Edit
			for _, record := range sim.store.List(planner.EditKeyPrefix, planner.EditKey(command.After), 0) {
				var e planner.Edit
				if err := json.Unmarshal(record.Value, &e); err != nil {
					sim.failf("edit %s: %v", record.Key, err)
				}
				edits = append(edits, e)
			}
			return func(now timekeeper.Millis) []decider.Command { return d.node.EditsRead(now, nil, edits) }
		})
	case decider.ReadHosts:
		sim.callPlatform(d, func() func(timekeeper.Millis) []decider.Command {
			leaving := decider.LeavingSet{Servers: map[string]map[string]bool{simDatabase: maps.Clone(sim.leaving)}}
			return func(now timekeeper.Millis) []decider.Command { return d.node.HostsRead(now, nil, leaving) }
		})
	case decider.ToPlatform:
		sim.toPlatform(d, command.Command)
	case decider.ToServer:
		sim.toServer(d, command.Command)
	}
}

// callPlatform simulates a request to the platform: it runs act at the platform,
// and then at the daemon the function that act returns, which receives the
// answer. Answers are lost while dropReplies is above 0.
func (sim *simulation) callPlatform(d *daemon, act func() func(timekeeper.Millis) []decider.Command) {
	sim.deliver(d.name, "platform", func() {
		if sim.platformDown {
			return
		}
		answer := act()
		if sim.dropReplies > 0 {
			sim.dropReplies--
			return
		}
		sim.deliver("platform", d.name, func() { sim.input(d, answer) }, nil)
	}, nil)
}

func (sim *simulation) toPlatform(d *daemon, c any) {
	const key = "databases/" + simDatabase
	put := func(row promoter.Row) (bool, promoter.Row) {
		var stored promoter.Row
		record, found := sim.store.Get(key)
		if found {
			_ = json.Unmarshal(record.Value, &stored)
		}
		if stored.Term > row.Term || stored.Term == row.Term && row.Primary == "" {
			return false, stored
		}
		data, _ := json.Marshal(row)
		_, written := sim.store.Put(key, record.Version, data)
		return written, row
	}
	sim.callPlatform(d, func() func(timekeeper.Millis) []decider.Command {
		switch command := c.(type) {
		case promoter.Claim:
			written, stored := put(command.Row)
			return func(now timekeeper.Millis) []decider.Command {
				return d.node.ClaimFinished(now, simDatabase, command.Attempt, written, stored)
			}
		case promoter.Publish:
			put(command.Row)
		}
		return func(timekeeper.Millis) []decider.Command { return nil }
	})
}

// toServer sends a command to a server and its answer back. A command or answer
// that is lost gets no reply, as on a path that drops packets silently; only
// OpenConn reports a failure.
func (sim *simulation) toServer(d *daemon, c any) {
	switch command := c.(type) {
	case dispatcher.OpenConn:
		s := sim.servers[command.Server]
		sim.deliver(d.name, s.name, func() {
			s.conns[connKey{d, command.Conn}] = &conn{}
			sim.after(12, func() {
				sim.deliver(s.name, d.name, func() {
					sim.input(d, func(now timekeeper.Millis) []decider.Command {
						return d.node.ConnOpened(now, simDatabase, command.Conn)
					})
				}, nil)
			})
		}, func() {
			sim.input(d, func(now timekeeper.Millis) []decider.Command {
				return d.node.ConnClosed(now, simDatabase, command.Conn)
			})
		})
	case dispatcher.CloseConn:
		for _, name := range sim.serverNames {
			s := sim.servers[name]
			sim.deliver(d.name, name, func() { delete(s.conns, connKey{d, command.Conn}) }, nil)
		}
	case dispatcher.Exec:
		sim.exec(d, command)
	case dispatcher.CancelExec:
		key := connKey{d, command.Conn}
		if s := sim.serverOf(key); s != nil {
			sim.deliver(d.name, s.name, func() {
				if c := s.conns[key]; c != nil && c.running {
					c.cancelled = true
				}
			}, nil)
		}
	case dispatcher.Poll:
		sim.requestReport(d, command.Server, command.Seq, nil)
	case dispatcher.Watch:
		sim.requestReport(d, command.Server, command.Seq, &command.LastReport)
	case dispatcher.InspectSession:
		s := sim.servers[command.Server]
		sim.deliver(d.name, s.name, func() {
			connection := s.conns[connKey{d, command.Conn}]
			running := connection != nil && connection.running
			sim.deliver(s.name, d.name, func() {
				sim.input(d, func(now timekeeper.Millis) []decider.Command {
					return d.node.SessionInspected(now, simDatabase, command.Conn, running)
				})
			}, nil)
		}, nil)
	case promoter.Fence:
		sim.controlServer(d, command.Server, func(l *faker.Log) error { return l.Fence(command.Term) },
			func(now timekeeper.Millis, done bool, r sequencer.Report) []decider.Command {
				return d.node.FenceFinished(now, simDatabase, command.Attempt, command.Server, done, r)
			})
	case promoter.Promote:
		sim.controlServer(d, command.Server, func(l *faker.Log) error { return l.Promote(command.Term) },
			func(now timekeeper.Millis, done bool, r sequencer.Report) []decider.Command {
				return d.node.PromotionFinished(now, simDatabase, command.Attempt, done, r)
			})
	case promoter.Follow:
		s := sim.servers[command.Server]
		sim.controlServer(d, command.Server, func(l *faker.Log) error {
			err := l.Follow(command.Term)
			if err == nil {
				s.upstream = command.Primary
				s.term = command.Term
			}
			return err
		}, func(timekeeper.Millis, bool, sequencer.Report) []decider.Command { return nil })
	}
}

func (sim *simulation) controlServer(d *daemon, name string, act func(*faker.Log) error, answer func(timekeeper.Millis, bool, sequencer.Report) []decider.Command) {
	s := sim.servers[name]
	sim.deliver(d.name, name, func() {
		done := act(s.log) == nil
		report := s.report(sim.now)
		sim.deliver(name, d.name, func() {
			sim.input(d, func(now timekeeper.Millis) []decider.Command { return answer(now, done, report) })
		}, nil)
	}, nil)
}

// requestReport requests a server's status report. If last is not nil, the
// request is a watch, which waits up to 300 ms for a report that differs from
// last. Without an answer the request fails after 700 ms.
func (sim *simulation) requestReport(d *daemon, name string, seq uint64, last *sequencer.Report) {
	s := sim.servers[name]
	answered := false
	sim.deliver(d.name, name, func() {
		deadline := sim.now + 300
		var poll func()
		poll = func() {
			report := s.report(sim.now)
			changed := last == nil || report.Received != last.Received || report.Applied != last.Applied || report.PromisedTerm != last.PromisedTerm
			if !changed && sim.now < deadline {
				sim.after(5, func() { sim.atEndpoint(name, poll) })
				return
			}
			sim.deliver(name, d.name, func() {
				if !answered {
					answered = true
					sim.input(d, func(now timekeeper.Millis) []decider.Command {
						return d.node.ReportReceived(now, simDatabase, name, seq, last != nil, report)
					})
				}
			}, nil)
		}
		poll()
	}, nil)
	sim.after(700, func() {
		if !answered {
			answered = true
			sim.atEndpoint(d.name, func() {
				sim.input(d, func(now timekeeper.Millis) []decider.Command {
					return d.node.ReportFailed(now, simDatabase, name, seq, last != nil)
				})
			})
		}
	})
}

// exec runs a batch on the server of its connection, in 1 to 8 ms.
func (sim *simulation) exec(d *daemon, e dispatcher.Exec) {
	key := connKey{d, e.Conn}
	s := sim.serverOf(key)
	if s == nil {
		sim.finishExec(d, dispatcher.ExecResult{Conn: e.Conn, ExecStatus: dispatcher.ExecStatusUnsent})
		return
	}
	sim.deliver(d.name, s.name, func() {
		connection := s.conns[key]
		if connection == nil || connection.unresponsive {
			return
		}
		connection.running = true
		sim.after(timekeeper.Millis(1+sim.rand.Intn(8)), func() {
			sim.atEndpoint(s.name, func() {
				if s.conns[key] != connection {
					return
				}
				connection.running = false
				answer := s.run(connection, e)
				answer.Conn = e.Conn
				if connection.unresponsive {
					return
				}
				sim.deliver(s.name, d.name, func() { sim.finishExec(d, answer) }, nil)
			})
		})
	}, nil)
}

func (sim *simulation) finishExec(d *daemon, a dispatcher.ExecResult) {
	sim.after(0, func() {
		sim.input(d, func(now timekeeper.Millis) []decider.Command { return d.node.ExecFinished(now, simDatabase, a) })
	})
}

func (sim *simulation) serverOf(key connKey) *server {
	for _, name := range sim.serverNames {
		if sim.servers[name].conns[key] != nil {
			return sim.servers[name]
		}
	}
	return nil
}

type connKey struct {
	daemon *daemon
	conn   pooler.Conn
}

// conn is a server's state of one connection.
type conn struct {
	running      bool
	unresponsive bool
	// cancelled is set if the running statement ends with CodeCancelled.
	cancelled     bool
	uncommitted   []faker.Change
	inTransaction bool
}

// server is a backend server: its log and its state as a replica.
type server struct {
	sim          *simulation
	name         string
	domain       string
	log          *faker.Log
	conns        map[connKey]*conn
	upstream     string
	term         int64
	lastReceived timekeeper.Millis
	shipDelay    timekeeper.Millis
	applyLag     timekeeper.Millis
	writtenAt    map[int64]timekeeper.Millis
}

func (sim *simulation) addServer(name, domain string, primary bool) {
	s := &server{
		sim: sim, name: name, domain: domain,
		conns: map[connKey]*conn{}, writtenAt: map[int64]timekeeper.Millis{},
		shipDelay: 2, applyLag: 10, upstream: "s0", term: 1,
	}
	s.log = faker.NewReplica(name)
	if primary {
		s.log = faker.NewPrimary(name)
	}
	sim.servers[name] = s
	sim.serverNames = append(sim.serverNames, name)
	s.replicate()
}

func (s *server) report(now timekeeper.Millis) sequencer.Report {
	r := s.log.Report()
	if r.Role == sequencer.RoleReplica && s.lastReceived > 0 {
		r.UpstreamIdleMillis = int64(now - s.lastReceived)
	}
	return r
}

// replicate pulls from the upstream every 5 ms, except while the server is
// stalled.
func (s *server) replicate() {
	sim := s.sim
	sim.after(5, func() {
		if !sim.stalled[s.name] {
			s.pull()
		}
		s.replicate()
	})
}

func (s *server) pull() {
	sim := s.sim
	upstream := sim.servers[s.upstream]
	local := s.log.Report()
	if upstream == nil || upstream == s || local.Role != sequencer.RoleReplica || sim.stalled[upstream.name] || sim.partitioned(s.name, upstream.name) {
		return
	}
	remote := upstream.log.Report()
	if remote.Role != sequencer.RolePrimary || remote.PromisedTerm != s.term || local.PromisedTerm != s.term {
		return
	}
	s.lastReceived = sim.now
	if _, err := s.log.TruncateToCommon(s.term, remote.History); err != nil {
		return
	}
	for _, entry := range upstream.log.EntriesAfter(s.log.ReceivedPosition().Offset) {
		if upstream.writtenAt[entry.Position.Offset] > sim.now-s.shipDelay {
			break
		}
		if s.log.Receive(s.term, entry) != nil {
			return
		}
		s.writtenAt[entry.Position.Offset] = sim.now
	}
	for s.log.Applied().Offset < s.log.ReceivedPosition().Offset && s.writtenAt[s.log.Applied().Offset+1] <= sim.now-s.applyLag {
		s.log.ApplyNext()
	}
}

// rows returns how often each key was written to a table up to an offset.
func (s *server) rows(table string, upTo int64) map[string]int {
	out := map[string]int{}
	for _, entry := range s.log.EntriesAfter(0) {
		if entry.Position.Offset > upTo {
			break
		}
		for _, c := range entry.Changes {
			if c.Table == table {
				out[c.Key]++
			}
		}
	}
	return out
}

// run executes a batch as a backend server and the connector do, with the ledger
// as a table of request keys.
func (s *server) run(c *conn, e dispatcher.Exec) dispatcher.ExecResult {
	var b batch
	if e.SQL != "" {
		s.sim.internalStatements = append(s.sim.internalStatements, e.SQL)
		return dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusComplete, TxStatus: "I", Code: "42P01"}
	}
	if err := json.Unmarshal(e.Payload, &b); err != nil {
		s.sim.failf("payload: %v", err)
	}
	if c.cancelled {
		c.cancelled = false
		return dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusComplete, TxStatus: "I", Code: dispatcher.CodeCancelled}
	}
	at := s.log.Applied()
	result := dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusComplete, TxStatus: "I", ReadPosition: at, FinalPosition: at}
	ledgerKey := e.Customer + "/" + e.Key
	if e.Key != "" && !c.inTransaction {
		if s.rows("ledger", at.Offset)[ledgerKey] > 0 {
			result.Replayed = true
			if e.Begin {
				result.Code = dispatcher.CodeAlreadyCommitted
			}
			return result
		}
	}
	switch b.Op {
	case "read":
		var ids []string
		for id := range s.rows("t", at.Offset) {
			ids = append(ids, id)
		}
		result.Payload = []byte(strings.Join(ids, ","))
		return result
	case "begin":
		c.inTransaction = true
		result.TxStatus = "T"
		return result
	case "write":
		changes := []faker.Change{{Table: "t", Key: b.ID}}
		if e.Key != "" {
			changes = append(changes, faker.Change{Table: "ledger", Key: ledgerKey})
		}
		if c.inTransaction {
			c.uncommitted = append(c.uncommitted, changes...)
			result.TxStatus = "T"
			return result
		}
		return s.commit(result, changes)
	}
	changes := c.uncommitted
	c.uncommitted, c.inTransaction = nil, false
	return s.commit(result, changes)
}

func (s *server) commit(result dispatcher.ExecResult, changes []faker.Change) dispatcher.ExecResult {
	entry, err := s.log.Append(changes)
	if err != nil {
		result.Code = "25006"
		return result
	}
	s.writtenAt[entry.Position.Offset] = s.sim.now
	result.FinalPosition = entry.Position
	return result
}
