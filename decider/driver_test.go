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

// event is something that happens at a time in a world.
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

// world drives several daemons' decisions in virtual time, with fakes for
// callers, backend servers, the platform and the network.
type world struct {
	now      timekeeper.Millis
	seq      int
	queue    events
	rand     *rand.Rand
	daemons  map[string]*daemon
	names    []string
	servers  map[string]*server
	order    []string
	store    *faker.Store
	down     bool
	lose     int
	cuts     map[string]bool
	frozen   map[string]bool
	leaving  map[string]bool
	failures []string
	log      func(string, ...any)
	started  int
	// own are the statements that daemons sent for themselves.
	own []string
	// need is how many servers must hold a commit; 0 stands for a majority.
	need int
}

// daemon is one daemon: its decisions and a clock that is off by skew.
type daemon struct {
	name   string
	domain string
	node   *decider.Node
	skew   timekeeper.Millis
	life   int
	reply  func(decider.Reply)
}

// batch is the payload of work in a world.
type batch struct {
	Op string `json:"op"`
	ID string `json:"id"`
}

func (b batch) encode() []byte {
	data, _ := json.Marshal(b)
	return data
}

var worldDomains = []string{"north", "south", "west"}

const worldDatabase = "db"

func newWorld(seed int64, need int, log func(string, ...any)) *world {
	w := &world{
		need:    need,
		now:     1_000_000,
		rand:    rand.New(rand.NewSource(seed)),
		daemons: map[string]*daemon{},
		servers: map[string]*server{},
		store:   faker.NewStore(),
		cuts:    map[string]bool{},
		frozen:  map[string]bool{},
		leaving: map[string]bool{},
		log:     log,
	}
	for i, domain := range worldDomains {
		w.addServer(fmt.Sprintf("s%d", i), domain, i == 0)
	}
	w.putLists()
	for i := range 4 {
		w.startDaemon(fmt.Sprintf("h%d", i), worldDomains[i%len(worldDomains)])
	}
	return w
}

func (w *world) putLists() {
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
	w.store.Put(planner.EditKey(1), 0, data)
}

func (w *world) failf(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf("%d ms: ", w.now)+fmt.Sprintf(format, args...))
}

// after schedules an act.
func (w *world) after(d timekeeper.Millis, act func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now + max(d, 0), seq: w.seq, act: act})
}

// run lets time pass.
func (w *world) run(d timekeeper.Millis) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.act()
	}
	w.now = end
}

// severed reports whether two places can't reach each other. Places are hosts,
// servers, "platform", and domains.
func (w *world) severed(a, b string) bool {
	if w.cuts[a+"|"+b] || w.cuts[b+"|"+a] {
		return true
	}
	da, db := w.domainOf(a), w.domainOf(b)
	return da != db && (w.cuts[da] || w.cuts[db])
}

func (w *world) domainOf(place string) string {
	if d := w.daemons[place]; d != nil {
		return d.domain
	}
	if s := w.servers[place]; s != nil {
		return s.domain
	}
	return place
}

// deliver calls act at a place after the network's delay. What is sent over a
// cut or to a frozen place waits until that is over, up to a limit, and is then
// lost.
func (w *world) deliver(from, to string, act func(), lost func()) {
	w.after(timekeeper.Millis(1+w.rand.Intn(2)), func() {
		if w.severed(from, to) {
			if lost != nil {
				w.after(500, lost)
			}
			return
		}
		w.atPlace(to, act)
	})
}

// atPlace runs an act at a place, after it thaws if it is frozen.
func (w *world) atPlace(place string, act func()) {
	if w.frozen[place] {
		w.after(20, func() { w.atPlace(place, act) })
		return
	}
	act()
}

func (w *world) startDaemon(name, domain string) {
	w.started++
	d := &daemon{name: name, domain: domain, skew: timekeeper.Millis(w.rand.Intn(100_000)), life: w.started}
	if old := w.daemons[name]; old != nil {
		d.reply = old.reply
	} else {
		w.names = append(w.names, name)
	}
	w.daemons[name] = d
	d.node = decider.New(w.settings(d), decider.Deps{
		Log: func(format string, args ...any) {
			w.log("%d %s: "+format, append([]any{w.now, name}, args...)...)
		},
		InvariantViolated: func(format string, args ...any) {
			w.failf(name+": invariant: "+format, args...)
		},
	})
	w.tick(d)
}

func (w *world) settings(d *daemon) decider.Settings {
	var servers []dispatcher.Server
	for _, name := range w.order {
		servers = append(servers, dispatcher.Server{Name: name, Domain: w.servers[name].domain, Slots: 2, Connections: 16})
	}
	database := dispatcher.DefaultSettings(worldDatabase, servers)
	database.CommitQuorum = w.need
	s := decider.Settings{
		Self:          watcher.Member{Name: d.name, Address: d.name, Domain: d.domain, Incarnation: int64(w.started)},
		Databases:     map[string]dispatcher.Settings{worldDatabase: database},
		Promoter:      promoter.DefaultSettings(),
		Hosts:         watcher.DefaultSettings(),
		EditsInterval: 500,
		HostsInterval: 1000,
	}
	for i := range 4 {
		name := fmt.Sprintf("h%d", i)
		s.Peers = append(s.Peers, watcher.Member{Name: name, Address: name, Domain: worldDomains[i%len(worldDomains)]})
	}
	return s
}

// alive reports whether the daemon is the one that runs under its name.
func (w *world) alive(d *daemon) bool {
	return w.daemons[d.name] == d
}

func (w *world) tick(d *daemon) {
	if !w.alive(d) {
		return
	}
	w.atPlace(d.name, func() {
		w.input(d, func(now timekeeper.Millis) []decider.Command { return d.node.Tick(now) })
		w.after(20, func() { w.tick(d) })
	})
}

// input lets a daemon decide and carries out its commands.
func (w *world) input(d *daemon, act func(now timekeeper.Millis) []decider.Command) {
	if !w.alive(d) {
		return
	}
	for _, c := range act(w.now + d.skew) {
		w.carryOut(d, c)
	}
}

func (w *world) carryOut(d *daemon, c decider.Command) {
	switch command := c.(type) {
	case decider.Reply:
		if d.reply != nil {
			d.reply(command)
		}
	case decider.ToPeer:
		w.deliver(d.name, command.To.Name, func() {
			peer := w.daemons[command.To.Name]
			w.input(peer, func(now timekeeper.Millis) []decider.Command {
				return peer.node.MessageReceived(now, d.name, command.Message)
			})
		}, func() {
			w.input(d, func(now timekeeper.Millis) []decider.Command { return d.node.PeerLost(now, command.To.Name) })
		})
	case decider.GossipPacket:
		w.deliver(d.name, command.To.Name, func() {
			peer := w.daemons[command.To.Name]
			w.input(peer, func(now timekeeper.Millis) []decider.Command { return peer.node.PacketReceived(now, command.Message) })
		}, nil)
	case decider.ReadEdits:
		w.platform(d, func() func(timekeeper.Millis) []decider.Command {
			var edits []planner.Edit
			for _, record := range w.store.List(planner.EditKeyPrefix, planner.EditKey(command.After), 0) {
				var e planner.Edit
				if err := json.Unmarshal(record.Value, &e); err != nil {
					w.failf("edit %s: %v", record.Key, err)
				}
				edits = append(edits, e)
			}
			return func(now timekeeper.Millis) []decider.Command { return d.node.EditsRead(now, nil, edits) }
		})
	case decider.ReadHosts:
		w.platform(d, func() func(timekeeper.Millis) []decider.Command {
			leaving := decider.LeavingSet{Servers: map[string]map[string]bool{worldDatabase: maps.Clone(w.leaving)}}
			return func(now timekeeper.Millis) []decider.Command { return d.node.HostsRead(now, nil, leaving) }
		})
	case decider.ToPlatform:
		w.toPlatform(d, command.Command)
	case decider.ToServer:
		w.toServer(d, command.Command)
	}
}

// platform lets the platform act and sends its answer back.
func (w *world) platform(d *daemon, act func() func(timekeeper.Millis) []decider.Command) {
	w.deliver(d.name, "platform", func() {
		if w.down {
			return
		}
		answer := act()
		if w.lose > 0 {
			w.lose--
			return
		}
		w.deliver("platform", d.name, func() { w.input(d, answer) }, nil)
	}, nil)
}

func (w *world) toPlatform(d *daemon, c any) {
	const key = "databases/" + worldDatabase
	put := func(row promoter.Row) (bool, promoter.Row) {
		var present promoter.Row
		record, found := w.store.Get(key)
		if found {
			_ = json.Unmarshal(record.Value, &present)
		}
		if present.Term > row.Term || present.Term == row.Term && row.Primary == "" {
			return false, present
		}
		data, _ := json.Marshal(row)
		_, written := w.store.Put(key, record.Version, data)
		return written, row
	}
	w.platform(d, func() func(timekeeper.Millis) []decider.Command {
		switch command := c.(type) {
		case promoter.Claim:
			written, present := put(command.Row)
			return func(now timekeeper.Millis) []decider.Command {
				return d.node.Claimed(now, worldDatabase, command.Attempt, written, present)
			}
		case promoter.Publish:
			put(command.Row)
		}
		return func(timekeeper.Millis) []decider.Command { return nil }
	})
}

// toServer carries a command to a server and its answer back. What a connection
// loses stays unanswered, as with a path that went silent.
func (w *world) toServer(d *daemon, c any) {
	switch command := c.(type) {
	case dispatcher.OpenConn:
		s := w.servers[command.Server]
		w.deliver(d.name, s.name, func() {
			s.conns[connKey{d, command.Conn}] = &conn{}
			w.after(12, func() {
				w.deliver(s.name, d.name, func() {
					w.input(d, func(now timekeeper.Millis) []decider.Command {
						return d.node.ConnOpened(now, worldDatabase, command.Conn)
					})
				}, nil)
			})
		}, func() {
			w.input(d, func(now timekeeper.Millis) []decider.Command {
				return d.node.ConnClosed(now, worldDatabase, command.Conn)
			})
		})
	case dispatcher.CloseConn:
		for _, name := range w.order {
			s := w.servers[name]
			w.deliver(d.name, name, func() { delete(s.conns, connKey{d, command.Conn}) }, nil)
		}
	case dispatcher.Exec:
		w.exec(d, command)
	case dispatcher.CancelExec:
		key := connKey{d, command.Conn}
		if s := w.serverOf(key); s != nil {
			w.deliver(d.name, s.name, func() {
				if c := s.conns[key]; c != nil && c.running {
					c.cancelled = true
				}
			}, nil)
		}
	case dispatcher.Poll:
		w.question(d, command.Server, command.Seq, nil)
	case dispatcher.Watch:
		w.question(d, command.Server, command.Seq, &command.LastReport)
	case dispatcher.InspectSession:
		s := w.servers[command.Server]
		w.deliver(d.name, s.name, func() {
			connection := s.conns[connKey{d, command.Conn}]
			running := connection != nil && connection.running
			w.deliver(s.name, d.name, func() {
				w.input(d, func(now timekeeper.Millis) []decider.Command {
					return d.node.SessionInspected(now, worldDatabase, command.Conn, running)
				})
			}, nil)
		}, nil)
	case promoter.Fence:
		w.control(d, command.Server, func(l *faker.Log) error { return l.Fence(command.Term) },
			func(now timekeeper.Millis, done bool, r sequencer.Report) []decider.Command {
				return d.node.Fenced(now, worldDatabase, command.Attempt, command.Server, done, r)
			})
	case promoter.Promote:
		w.control(d, command.Server, func(l *faker.Log) error { return l.Promote(command.Term) },
			func(now timekeeper.Millis, done bool, r sequencer.Report) []decider.Command {
				return d.node.Promoted(now, worldDatabase, command.Attempt, done, r)
			})
	case promoter.Follow:
		s := w.servers[command.Server]
		w.control(d, command.Server, func(l *faker.Log) error {
			err := l.Follow(command.Term)
			if err == nil {
				s.upstream = command.Primary
				s.term = command.Term
			}
			return err
		}, func(timekeeper.Millis, bool, sequencer.Report) []decider.Command { return nil })
	}
}

func (w *world) control(d *daemon, name string, act func(*faker.Log) error, answer func(timekeeper.Millis, bool, sequencer.Report) []decider.Command) {
	s := w.servers[name]
	w.deliver(d.name, name, func() {
		done := act(s.log) == nil
		report := s.report(w.now)
		w.deliver(name, d.name, func() {
			w.input(d, func(now timekeeper.Millis) []decider.Command { return answer(now, done, report) })
		}, nil)
	}, nil)
}

// question asks a server for a report; with last it waits for a change.
func (w *world) question(d *daemon, name string, number uint64, last *sequencer.Report) {
	s := w.servers[name]
	answered := false
	w.deliver(d.name, name, func() {
		deadline := w.now + 300
		var look func()
		look = func() {
			report := s.report(w.now)
			changed := last == nil || report.Received != last.Received || report.Applied != last.Applied || report.PromisedTerm != last.PromisedTerm
			if !changed && w.now < deadline {
				w.after(5, func() { w.atPlace(name, look) })
				return
			}
			w.deliver(name, d.name, func() {
				if !answered {
					answered = true
					w.input(d, func(now timekeeper.Millis) []decider.Command {
						return d.node.ReportReceived(now, worldDatabase, name, number, last != nil, report)
					})
				}
			}, nil)
		}
		look()
	}, nil)
	w.after(700, func() {
		if !answered {
			answered = true
			w.atPlace(d.name, func() {
				w.input(d, func(now timekeeper.Millis) []decider.Command {
					return d.node.ReportFailed(now, worldDatabase, name, number, last != nil)
				})
			})
		}
	})
}

// exec runs a batch on a server.
func (w *world) exec(d *daemon, e dispatcher.Exec) {
	key := connKey{d, e.Conn}
	s := w.serverOf(key)
	if s == nil {
		w.answer(d, dispatcher.ExecResult{Conn: e.Conn, ExecStatus: dispatcher.ExecStatusUnsent})
		return
	}
	w.deliver(d.name, s.name, func() {
		connection := s.conns[key]
		if connection == nil || connection.silent {
			return
		}
		connection.running = true
		w.after(timekeeper.Millis(1+w.rand.Intn(8)), func() {
			w.atPlace(s.name, func() {
				if s.conns[key] != connection {
					return
				}
				connection.running = false
				answer := s.run(connection, e)
				answer.Conn = e.Conn
				if connection.silent {
					return
				}
				w.deliver(s.name, d.name, func() { w.answer(d, answer) }, nil)
			})
		})
	}, nil)
}

func (w *world) answer(d *daemon, a dispatcher.ExecResult) {
	w.after(0, func() {
		w.input(d, func(now timekeeper.Millis) []decider.Command { return d.node.ExecFinished(now, worldDatabase, a) })
	})
}

func (w *world) serverOf(key connKey) *server {
	for _, name := range w.order {
		if w.servers[name].conns[key] != nil {
			return w.servers[name]
		}
	}
	return nil
}

type connKey struct {
	daemon *daemon
	conn   pooler.Conn
}

// conn is a connection as its server sees it.
type conn struct {
	running bool
	silent  bool
	// cancelled says that the running statement is to be cancelled.
	cancelled bool
	open      []faker.Change
	active    bool
}

// server is a backend server: its log and what replication has in flight.
type server struct {
	world    *world
	name     string
	domain   string
	log      *faker.Log
	conns    map[connKey]*conn
	upstream string
	term     int64
	heard    timekeeper.Millis
	ship     timekeeper.Millis
	lag      timekeeper.Millis
	written  map[int64]timekeeper.Millis
}

func (w *world) addServer(name, domain string, primary bool) {
	s := &server{
		world: w, name: name, domain: domain,
		conns: map[connKey]*conn{}, written: map[int64]timekeeper.Millis{},
		ship: 2, lag: 10, upstream: "s0", term: 1,
	}
	s.log = faker.NewReplica(name)
	if primary {
		s.log = faker.NewPrimary(name)
	}
	w.servers[name] = s
	w.order = append(w.order, name)
	s.replicate()
}

func (s *server) report(now timekeeper.Millis) sequencer.Report {
	r := s.log.Report()
	if r.Role == sequencer.RoleReplica && s.heard > 0 {
		r.UpstreamIdleMillis = int64(now - s.heard)
	}
	return r
}

// replicate takes what the primary has, every few milliseconds.
func (s *server) replicate() {
	w := s.world
	w.after(5, func() {
		if !w.frozen[s.name] {
			s.pull()
		}
		s.replicate()
	})
}

func (s *server) pull() {
	w := s.world
	up := w.servers[s.upstream]
	mine := s.log.Report()
	if up == nil || up == s || mine.Role != sequencer.RoleReplica || w.frozen[up.name] || w.severed(s.name, up.name) {
		return
	}
	theirs := up.log.Report()
	if theirs.Role != sequencer.RolePrimary || theirs.PromisedTerm != s.term || mine.PromisedTerm != s.term {
		return
	}
	s.heard = w.now
	if _, err := s.log.Align(s.term, theirs.History); err != nil {
		return
	}
	for _, entry := range up.log.Since(s.log.Held().Offset) {
		if up.written[entry.At.Offset] > w.now-s.ship {
			break
		}
		if s.log.Receive(s.term, entry) != nil {
			return
		}
		s.written[entry.At.Offset] = w.now
	}
	for s.log.Applied().Offset < s.log.Held().Offset && s.written[s.log.Applied().Offset+1] <= w.now-s.lag {
		s.log.ApplyNext()
	}
}

// rows returns the keys that a table has up to an offset.
func (s *server) rows(table string, upTo int64) map[string]int {
	out := map[string]int{}
	for _, entry := range s.log.Since(0) {
		if entry.At.Offset > upTo {
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

// run executes a batch as a server and its connector would.
func (s *server) run(c *conn, e dispatcher.Exec) dispatcher.ExecResult {
	var b batch
	if e.SQL != "" {
		s.world.own = append(s.world.own, e.SQL)
		return dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusComplete, TxStatus: "I", Code: "42P01"}
	}
	if err := json.Unmarshal(e.Payload, &b); err != nil {
		s.world.failf("payload: %v", err)
	}
	if c.cancelled {
		c.cancelled = false
		return dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusComplete, TxStatus: "I", Code: dispatcher.CodeCancelled}
	}
	at := s.log.Applied()
	done := dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusComplete, TxStatus: "I", ReadPosition: at, FinalPosition: at}
	ledgerKey := e.Customer + "/" + e.Key
	if e.Key != "" && !c.active {
		if s.rows("ledger", at.Offset)[ledgerKey] > 0 {
			done.Replayed = true
			if e.Begin {
				done.Code = dispatcher.CodeAlreadyCommitted
			}
			return done
		}
	}
	switch b.Op {
	case "read":
		var ids []string
		for id := range s.rows("t", at.Offset) {
			ids = append(ids, id)
		}
		done.Payload = []byte(strings.Join(ids, ","))
		return done
	case "begin":
		c.active = true
		done.TxStatus = "T"
		return done
	case "write":
		changes := []faker.Change{{Table: "t", Key: b.ID}}
		if e.Key != "" {
			changes = append(changes, faker.Change{Table: "ledger", Key: ledgerKey})
		}
		if c.active {
			c.open = append(c.open, changes...)
			done.TxStatus = "T"
			return done
		}
		return s.commit(done, changes)
	}
	changes := c.open
	c.open, c.active = nil, false
	return s.commit(done, changes)
}

func (s *server) commit(done dispatcher.ExecResult, changes []faker.Change) dispatcher.ExecResult {
	entry, err := s.log.Append(changes)
	if err != nil {
		done.Code = "25006"
		return done
	}
	s.written[entry.At.Offset] = s.world.now
	done.FinalPosition = entry.At
	return done
}
