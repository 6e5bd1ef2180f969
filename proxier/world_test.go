package proxier

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"slices"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/multiplexer"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	testGroup   = "books"
	promoteTime = 300
	applyLag    = 30
	// testLease is short, so that faults outlast it.
	testLease timekeeper.Millis = 2500
)

var errUnreachable = errors.New("unreachable")

// entry is one commit in a log.
type entry struct {
	term  int64
	write string
}

// fakeServer is a backend server: a log, a role and what reads see.
type fakeServer struct {
	id      string
	term    int64
	primary bool
	follows *fakeServer
	log     []entry
	applied int
	down    bool
	deaf    bool
	// mute makes the server lose some of its answers.
	mute    bool
	leaving bool
	// broken makes the server fail all reads and writes.
	broken bool
	// changed is when a fault of the server began or ended.
	changed  timekeeper.Millis
	sessions map[pooler.Conn]*serverSession
}

// serverSession is a connection's state at a server.
type serverSession struct {
	open   bool
	plain  bool
	failed bool
	writes []string
	values map[string]string
	holder string
}

func (s *fakeServer) position() sequencer.Position {
	n := s.applied
	if n == 0 {
		return sequencer.Position{Term: s.term}
	}
	return sequencer.Position{Term: s.log[n-1].term, Offset: int64(n)}
}

// holds reports whether the first n entries of the log contain a position.
func (s *fakeServer) holds(p sequencer.Position) bool {
	if p.Offset == 0 {
		return true
	}
	n := int(p.Offset)
	return n <= s.applied && s.log[n-1].term == p.Term
}

// fakeDaemon is a daemon with its paths to the outside.
type fakeDaemon struct {
	name        string
	node        *node
	incarnation int64
	up          bool
	frozenUntil timekeeper.Millis
	storeCut    bool
	// peerCut cuts the daemon off from the other daemons.
	peerCut bool
	// changed is when a fault of the daemon began or ended.
	changed   timekeeper.Millis
	proofs    *proofs
	serverCut map[string]bool
	conns     map[pooler.Conn]*fakeServer
	// vias are the daemons that connections lead through; the daemon itself for its
	// own path.
	vias    map[pooler.Conn]*fakeDaemon
	clients map[uint64]*fakeClient
	number  uint64
}

// world is everything outside the daemons, in virtual time.
type world struct {
	lease  timekeeper.Millis
	random *rand.Rand
	*timekeeper.TimerQueue
	rows    map[string]elector.Row
	version int64
	down    bool
	lossy   bool
	// behind is by how much the copy of the store lags that answers readings; its
	// feeds tell nothing then.
	behind timekeeper.Millis
	// lapse makes readings fall behind with the next promotion.
	lapse   bool
	past    []snapshot
	servers []*fakeServer
	daemons []*fakeDaemon
	fence   int64
	holder  string
	writes  int
	// acked are the writes that callers were told of, with when and where.
	acked    map[string]ackedWrite
	promised map[string]bool
	// places are where in the log writes stand.
	places map[string]int
	faults []string
	served int
	failed int
	// failedBefore is what failed before a moment of a scenario.
	failedBefore int
	history      []string
}

// snapshot is the store as it was at a time.
type snapshot struct {
	at      timekeeper.Millis
	rows    map[string]elector.Row
	version int64
}

// pastLimit is how long snapshots are kept; it exceeds any lag of a copy.
const pastLimit timekeeper.Millis = 8000

type ackedWrite struct {
	at     timekeeper.Millis
	server *fakeServer
	client string
}

func newWorld(seed int64, daemons int, lease timekeeper.Millis) *world {
	w := &world{
		lease: lease, random: rand.New(rand.NewSource(seed)), TimerQueue: timekeeper.NewTimerQueue(1000), rows: map[string]elector.Row{},
		acked: map[string]ackedWrite{}, promised: map[string]bool{}, places: map[string]int{},
	}
	for i := range 3 {
		w.servers = append(w.servers, &fakeServer{id: fmt.Sprintf("s%d", i), term: 1, primary: i == 0, sessions: map[pooler.Conn]*serverSession{}})
	}
	for _, s := range w.servers[1:] {
		s.follows = w.servers[0]
	}
	for i := range daemons {
		d := &fakeDaemon{name: fmt.Sprintf("d%d", i)}
		w.daemons = append(w.daemons, d)
		w.start(d)
	}
	w.After(20, w.replicate)
	w.After(20, w.keepPast)
	return w
}

// keepPast keeps what the store held at times before now.
func (w *world) keepPast() {
	if n := len(w.past); n == 0 || w.past[n-1].version != w.version {
		w.past = append(w.past, snapshot{at: w.Now(), rows: maps.Clone(w.rows), version: w.version})
	}
	for len(w.past) > 1 && w.past[1].at < w.Now()-pastLimit {
		w.past = w.past[1:]
	}
	w.After(20, w.keepPast)
}

// read returns the store's rows and version as the copy that answers has them.
func (w *world) read() (map[string]elector.Row, int64) {
	if w.behind == 0 {
		return w.rows, w.version
	}
	i, _ := slices.BinarySearchFunc(w.past, w.Now()-w.behind, func(s snapshot, at timekeeper.Millis) int { return cmp.Compare(s.at, at+1) })
	if i == 0 {
		return map[string]elector.Row{}, 0
	}
	return w.past[i-1].rows, w.past[i-1].version
}

func (w *world) note(format string, args ...any) {
	w.history = append(w.history, fmt.Sprintf("%6d ", w.Now())+fmt.Sprintf(format, args...))
	if len(w.history) > 400 {
		w.history = w.history[200:]
	}
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%d: ", w.Now())+fmt.Sprintf(format, args...))
}

// hop is the time of one message.
func (w *world) hop() timekeeper.Millis {
	return 1 + timekeeper.Millis(w.random.Intn(3))
}

func (w *world) run(until timekeeper.Millis) {
	w.RunUntil(until, func() bool { return len(w.faults) == 0 })
}

// to runs f at a daemon after a hop, when the daemon is the same and not frozen.
func (w *world) to(d *fakeDaemon, f func()) {
	incarnation := d.incarnation
	var try func()
	try = func() {
		if !d.up || d.incarnation != incarnation {
			return
		}
		if w.Now() < d.frozenUntil {
			w.After(d.frozenUntil-w.Now(), try)
			return
		}
		f()
	}
	w.After(w.hop(), try)
}

func (w *world) start(d *fakeDaemon) {
	d.incarnation++
	d.up = true
	d.proofs = &proofs{}
	d.serverCut = map[string]bool{}
	d.conns = map[pooler.Conn]*fakeServer{}
	d.vias = map[pooler.Conn]*fakeDaemon{}
	d.clients = map[uint64]*fakeClient{}
	host := elector.Host{Name: d.name, Domain: "x", Incarnation: d.incarnation}
	settings := DefaultSettings(host)
	settings.Elector.LeaseDuration = w.lease
	d.node = newNode(settings, multiplexer.Deps{}, elector.Deps{})
	catalog := cataloger.New(1, []cataloger.Database{
		{Name: "primary", Group: testGroup, Consistency: cataloger.ConsistencyPrimary, Timeout: 800},
		{Name: "session", Group: testGroup, Consistency: cataloger.ConsistencySession, MaxAge: 2500, Timeout: 800, Rank: 1},
		{Name: "bounded", Group: testGroup, Consistency: cataloger.ConsistencyBoundedStaleness, MaxAge: 1500, Timeout: 1200, Rank: 2},
	}, []cataloger.Group{{Name: testGroup, ConnectionLimit: 16}}).WithIdleTransactionTimeout(3000)
	w.carry(d, d.node.mux.SetCatalog(w.Now(), catalog), nil)
	incarnation := d.incarnation
	alive := func() bool { return d.up && d.incarnation == incarnation }
	loop := func(pause timekeeper.Millis, f func()) {
		var again func()
		again = func() {
			if !alive() {
				return
			}
			if w.Now() >= d.frozenUntil {
				f()
			}
			w.After(pause, again)
		}
		w.After(w.hop(), again)
	}
	loop(10, func() {
		commands, elections := d.node.tick(w.Now(), d.storeCut || w.down)
		w.carry(d, commands, elections)
	})
	loop(1000, func() { w.scanServers(d) })
	loop(2000, func() { w.scanRows(d) })
	loop(100, func() { w.feedRows(d) })
	loop(3000, func() { w.beat(d) })
}

// kill ends a daemon; its connections are reset.
func (w *world) kill(d *fakeDaemon) {
	d.up = false
	for id, s := range d.conns {
		delete(s.sessions, id*1000+pooler.Conn(slices.Index(w.daemons, d)))
	}
	for _, c := range d.clients {
		c.lost()
	}
}

func (w *world) reaches(d *fakeDaemon, s *fakeServer) bool {
	return !s.down && !d.serverCut[s.id]
}

func (w *world) storeFor(d *fakeDaemon) bool {
	return !w.down && !d.storeCut
}

func (w *world) scanServers(d *fakeDaemon) {
	if !w.storeFor(d) {
		return
	}
	var list []cataloger.Server
	for _, s := range w.servers {
		list = append(list, cataloger.Server{ID: s.id, Group: testGroup, Address: s.id, Domain: s.id, Slots: 4, Leaving: s.leaving, Primary: s.primary})
	}
	w.to(d, func() { w.carryPair(d)(d.node.setServers(w.Now(), list)) })
}

func (w *world) carryPair(d *fakeDaemon) func([]multiplexer.Command, []elector.Command) {
	return func(commands []multiplexer.Command, elections []elector.Command) { w.carry(d, commands, elections) }
}

// tableRows returns a table's rows as of a version.
func tableRows(all map[string]elector.Row, prefix string) []elector.Row {
	var out []elector.Row
	for key, row := range all {
		if len(key) > len(prefix) && key[:len(prefix)] == prefix {
			row.Key = key[len(prefix):]
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b elector.Row) int { return slices.Compare([]byte(a.Key), []byte(b.Key)) })
	return out
}

func (w *world) scanRows(d *fakeDaemon) {
	asked := w.Now()
	w.After(w.hop(), func() {
		if !w.storeFor(d) {
			return
		}
		all, version := w.read()
		rows := tableRows(all, "own/")
		w.to(d, func() {
			proven := d.proofs.readAt(asked, version)
			w.carryPair(d)(d.node.settle(w.Now(), d.node.elector.SetRows(w.Now(), proven, rows, version)))
		})
	})
}

// feedRows hands changed rows over, without making the reading any fresher.
func (w *world) feedRows(d *fakeDaemon) {
	if !w.storeFor(d) || w.behind > 0 {
		return
	}
	rows, version := tableRows(w.rows, "own/"), w.version
	w.to(d, func() { w.carryPair(d)(d.node.settle(w.Now(), d.node.elector.ApplyChanges(w.Now(), rows, version))) })
}

func (w *world) beat(d *fakeDaemon) {
	if !w.storeFor(d) {
		return
	}
	w.version++
	w.rows["beat/"+d.name] = elector.Row{Version: w.version}
	d.proofs.add(w.Now(), w.version)
	all, _ := w.read()
	beats := map[string]elector.Heartbeat{}
	for _, row := range tableRows(all, "beat/") {
		beats[row.Key] = elector.Heartbeat{Count: row.Version}
	}
	w.to(d, func() { d.node.elector.SetHeartbeats(w.Now(), beats) })
}

// transact performs a transaction at the store.
func (w *world) transact(tx elector.Transaction) elector.Result {
	for _, row := range tx.Expect {
		if w.rows["own/"+row.Key].Version != row.Version {
			return elector.Conflict
		}
	}
	w.version++
	for _, row := range tx.Set {
		row.Version = w.version
		w.rows["own/"+row.Key] = row
	}
	for _, key := range tx.Delete {
		delete(w.rows, "own/"+key)
	}
	return elector.Applied
}

func (w *world) write(d *fakeDaemon, c elector.Write) {
	incarnation, sent := d.incarnation, w.Now()
	done := func(result elector.Result) {
		version := w.version
		w.to(d, func() {
			if d.incarnation == incarnation {
				if result == elector.Applied {
					d.proofs.add(sent, version)
				}
				w.carryPair(d)(d.node.settle(w.Now(), d.node.elector.Written(w.Now(), c.ID, result, version)))
			}
		})
	}
	w.After(w.hop(), func() {
		switch {
		case w.down:
			done(elector.Refused)
		case d.storeCut:
			w.After(700, func() { done(elector.Indeterminate) })
		case w.lossy && w.random.Intn(3) == 0:
			w.After(timekeeper.Millis(w.random.Intn(3000)), func() { w.transact(c.Tx) })
			w.After(700, func() { done(elector.Indeterminate) })
		default:
			done(w.transact(c.Tx))
		}
	})
}

// inspect answers an elector's question to a server.
func (w *world) inspect(d *fakeDaemon, c elector.Inspect) {
	s := w.server(c.Server.ID)
	done := func(account elector.ServerStatus, err error) {
		w.to(d, func() { w.carryPair(d)(d.node.settle(w.Now(), d.node.elector.Inspected(w.Now(), c.ID, account, err))) })
	}
	w.After(w.hop(), func() {
		if !w.reaches(d, s) {
			w.After(700, func() { done(elector.ServerStatus{}, errUnreachable) })
			return
		}
		if c.Request.Action == elector.ActionStepDown && s.primary && s.term < c.Request.Term {
			s.primary = false
			w.note("%s steps down", s.id)
		}
		done(elector.ServerStatus{Primary: s.primary, Term: s.term, Received: sequencer.Position{Term: s.lastTerm(), Offset: int64(len(s.log))}}, nil)
	})
}

func (s *fakeServer) lastTerm() int64 {
	if len(s.log) == 0 {
		return s.term
	}
	return s.log[len(s.log)-1].term
}

func (w *world) server(id string) *fakeServer {
	i := slices.IndexFunc(w.servers, func(s *fakeServer) bool { return s.id == id })
	return w.servers[i]
}

// promote makes a server lead after a while, and checks the fence.
func (w *world) promote(d *fakeDaemon, c elector.Promote) {
	w.After(w.hop(), func() {
		p := c.Promotion
		if p.FencingToken < w.fence || p.FencingToken == w.fence && p.Holder != w.holder {
			w.fault("fence %d of %s after %d of %s", p.FencingToken, p.Holder, w.fence, w.holder)
		}
		w.fence, w.holder = p.FencingToken, p.Holder
		s := w.server(p.Server)
		var err error
		if s.down {
			err = errUnreachable
		} else if !s.primary {
			w.checkPromotion(p)
			w.note("%s promotes %s with fence %d", p.Holder, s.id, p.FencingToken)
			w.After(promoteTime, func() { w.take(s) })
			if w.lapse {
				w.After(promoteTime, func() { w.behind = 3000 })
			}
		}
		w.to(d, func() { w.carryPair(d)(d.node.settle(w.Now(), d.node.elector.Promoted(w.Now(), c.ID, err))) })
	})
}

// checkPromotion checks that no daemon in touch still reached the primary that is
// replaced, unless that leaves.
func (w *world) checkPromotion(p elector.Promotion) {
	for _, s := range w.servers {
		if !s.primary || s.leaving || s.down || w.Now()-s.changed < testLease {
			continue
		}
		for _, d := range w.daemons {
			if d.up && !d.storeCut && w.Now() > d.frozenUntil+testLease && !d.serverCut[s.id] && w.Now()-d.changed > testLease {
				w.fault("%s replaces %s, which %s reaches", p.Holder, s.id, d.name)
			}
		}
	}
}

// take lets a promoted server lead the next term.
func (w *world) take(s *fakeServer) {
	if s.primary || s.down {
		return
	}
	for _, other := range w.servers {
		s.term = max(s.term, other.term)
	}
	s.term++
	s.primary, s.follows, s.applied = true, nil, len(s.log)
	w.note("%s leads term %d from %d entries", s.id, s.term, len(s.log))
	for write, ack := range w.acked {
		if !w.contains(s, write) {
			w.note("acknowledged write %s of %s is cut back", write, ack.client)
			delete(w.acked, write)
		}
	}
	for _, other := range w.servers {
		if other != s {
			w.After(1000, func() { w.follow(other, s) })
		}
	}
}

// follow makes a server a replica of the newest primary it can reach.
func (w *world) follow(other, s *fakeServer) {
	if other.down || s.down || other.deaf {
		w.After(500, func() { w.follow(other, s) })
		return
	}
	if other.term > s.term || !s.primary {
		return
	}
	other.primary, other.follows, other.term = false, s, s.term
}

// containsIn reports whether a write is among the first n entries of the log. A
// write has the same place in every log that has it.
func (s *fakeServer) containsIn(write string, n int, places map[string]int) bool {
	place, found := places[write]
	return found && place < n && s.log[place].write == write
}

func (w *world) contains(s *fakeServer, write string) bool {
	return s.containsIn(write, len(s.log), w.places)
}

// replicate hands new entries to the replicas, now and from time to time.
func (w *world) replicate() {
	w.handOver()
	w.After(5, w.replicate)
}

// handOver hands new entries to the replicas.
func (w *world) handOver() {
	for _, s := range w.servers {
		p := s.follows
		if s.primary || p == nil || !p.primary || s.down || p.down || s.deaf {
			continue
		}
		common := min(len(s.log), len(p.log))
		for common > 0 && s.log[common-1] != p.log[common-1] {
			common--
		}
		if common == len(p.log) && common == len(s.log) {
			continue
		}
		if common < len(s.log) {
			s.log = s.log[:common]
			s.applied = min(s.applied, common)
		}
		s.log = append(s.log[:common:common], p.log[common:]...)
		want := len(s.log)
		w.After(applyLag+timekeeper.Millis(w.random.Intn(2*applyLag)), func() {
			if !s.primary && want <= len(s.log) {
				s.applied = max(s.applied, want)
			}
		})
	}
}

// carry carries a daemon's commands out.
func (w *world) carry(d *fakeDaemon, commands []multiplexer.Command, elections []elector.Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case multiplexer.Reply:
			if client := d.clients[c.Session]; client != nil {
				client.answered(c.Answer)
			}
		case multiplexer.CloseSession:
			if client := d.clients[c.Session]; client != nil {
				w.After(w.hop(), client.lost)
			}
		case multiplexer.OpenConn:
			w.open(d, c)
		case multiplexer.Send:
			w.send(d, c)
		case multiplexer.CloseConn:
			w.close(d, c.Conn)
		}
	}
	for _, command := range elections {
		switch c := command.(type) {
		case elector.Write:
			w.write(d, c)
		case elector.Inspect:
			w.inspect(d, c)
		case elector.Promote:
			w.promote(d, c)
		case elector.ReloadRows:
			w.After(w.hop(), func() { w.scanRows(d) })
		}
	}
}

// connID names a daemon's connection among all daemons' of a server.
func (w *world) connID(d *fakeDaemon, id pooler.Conn) pooler.Conn {
	return id*1000 + pooler.Conn(slices.Index(w.daemons, d))
}

func (w *world) open(d *fakeDaemon, c multiplexer.OpenConn) {
	s := w.server(c.Server.ID)
	w.After(w.hop(), func() {
		via := d
		if c.Relayed {
			via = w.relayFor(d, c)
		}
		if via == nil || !w.reaches(via, s) {
			w.After(500, func() {
				w.to(d, func() { w.carry(d, d.node.mux.ConnLost(w.Now(), c.Conn), nil) })
			})
			return
		}
		d.conns[c.Conn], d.vias[c.Conn] = s, via
		s.sessions[w.connID(d, c.Conn)] = &serverSession{values: map[string]string{}}
		answer := multiplexer.Answer{Position: s.position()}
		w.to(d, func() { w.carry(d, d.node.mux.ConnOpened(w.Now(), c.Conn, answer), nil) })
	})
}

// relayFor returns another daemon that reaches a server, or nil.
func (w *world) relayFor(d *fakeDaemon, c multiplexer.OpenConn) *fakeDaemon {
	for _, other := range w.daemons {
		if other != d && other.up && !other.peerCut && !d.peerCut && w.Now() >= other.frozenUntil && other.node.mux.ReachesDirectly(c.Server) {
			return other
		}
	}
	return nil
}

func (w *world) close(d *fakeDaemon, id pooler.Conn) {
	if s := d.conns[id]; s != nil {
		delete(s.sessions, w.connID(d, id))
	}
}

// send runs statements on a server; a connection that is cut stays silent.
func (w *world) send(d *fakeDaemon, c multiplexer.Send) {
	s, via := d.conns[c.Conn], d.vias[c.Conn]
	incarnation := d.incarnation
	w.After(w.hop(), func() {
		session := s.sessions[w.connID(d, c.Conn)]
		if session == nil || !w.reaches(via, s) || d.incarnation != incarnation || !via.up || w.Now() < via.frozenUntil {
			return
		}
		w.After(2+timekeeper.Millis(w.random.Intn(10)), func() {
			if s.down || s.sessions[w.connID(d, c.Conn)] != session {
				return
			}
			var answers []multiplexer.Answer
			for _, st := range c.Statements {
				answers = append(answers, w.execute(s, session, st))
			}
			if !w.reaches(via, s) || !via.up || s.mute && w.random.Intn(4) == 0 {
				return
			}
			w.to(d, func() { w.carry(d, d.node.mux.AnswersReceived(w.Now(), c.Conn, answers), nil) })
		})
	})
}

// execute runs one statement as the protocol says.
func (w *world) execute(s *fakeServer, session *serverSession, st multiplexer.Statement) multiplexer.Answer {
	fail := func(code multiplexer.Code) multiplexer.Answer {
		state := multiplexer.StateIdle
		if session.open {
			session.failed = true
			state = multiplexer.StateFailedTransaction
		}
		return multiplexer.Answer{Code: code, State: state, Position: s.position()}
	}
	if session.failed && st.Kind != multiplexer.KindRollback {
		return fail(multiplexer.CodeMalformed)
	}
	if !st.Floor.IsZero() && !s.holds(st.Floor) {
		return fail(multiplexer.CodeLagging)
	}
	if session.open && session.plain && !s.primary && st.Kind != multiplexer.KindRollback {
		return fail(multiplexer.CodeReadOnly)
	}
	if s.broken && (st.Kind == multiplexer.KindRead || st.Kind == multiplexer.KindWrite) {
		return fail(multiplexer.CodeFailed)
	}
	signature := ""
	switch st.Kind {
	case multiplexer.KindBegin:
		if !s.primary {
			return fail(multiplexer.CodeReadOnly)
		}
		session.open, session.plain, session.holder = true, true, ""
	case multiplexer.KindBeginRead:
		session.open, session.plain, session.holder = true, false, ""
	case multiplexer.KindSet:
		session.values[st.Name] = st.Args
	case multiplexer.KindReset:
		session.values = map[string]string{}
	case multiplexer.KindRollback:
		session.open, session.failed, session.writes = false, false, nil
	case multiplexer.KindRead:
		w.checkRead(s, session, st)
		signature = s.id
	case multiplexer.KindWrite:
		if !s.primary {
			return fail(multiplexer.CodeReadOnly)
		}
		w.checkSession(session, st)
		if session.open {
			session.writes = append(session.writes, st.Args)
		} else {
			w.commit(s, st.Args)
		}
		signature = s.id
	case multiplexer.KindCommit:
		for _, write := range session.writes {
			w.commit(s, write)
		}
		session.open, session.writes = false, nil
		signature = s.id
	}
	state := multiplexer.StateIdle
	if session.open {
		state = multiplexer.StateInTransaction
	}
	return multiplexer.Answer{Signature: signature, State: state, Position: s.position()}
}

// commit appends a write to the primary's log.
func (w *world) commit(s *fakeServer, write string) {
	if w.contains(s, write) {
		w.fault("write %s takes effect twice", write)
	}
	if w.promised[write] {
		w.fault("write %s takes effect after its caller was told that it did not run", write)
	}
	w.places[write] = len(s.log)
	s.log = append(s.log, entry{term: s.term, write: write})
	s.applied = len(s.log)
}

// clientOf returns the client named in a statement's id.
func (w *world) clientOf(st multiplexer.Statement) *fakeClient {
	for _, d := range w.daemons {
		for _, c := range d.clients {
			if c.statement == st.ID {
				return c
			}
		}
	}
	return nil
}

// checkSession checks that a statement runs with its own session's values and
// inside its own transaction.
func (w *world) checkSession(session *serverSession, st multiplexer.Statement) {
	c := w.clientOf(st)
	if c == nil {
		return
	}
	if session.values[c.value()] != c.name || len(session.values) != 1 {
		w.fault("statement %s of %s runs with the values %v", st.ID, c.name, session.values)
	}
	if session.open != c.inTransaction || session.open && session.holder != "" && session.holder != c.name {
		w.fault("statement %s of %s runs in a transaction of %q, open %v", st.ID, c.name, session.holder, session.open)
	}
	session.holder = c.name
}

// checkRead notes which acknowledged writes a read lacks. It counts once the
// caller gets the answer as a success.
func (w *world) checkRead(s *fakeServer, session *serverSession, st multiplexer.Statement) {
	w.checkSession(session, st)
	c := w.clientOf(st)
	if c == nil {
		return
	}
	c.lacks = ""
	for write, ack := range w.acked {
		var asked bool
		switch c.database {
		case "primary":
			asked = ack.at < c.asked
		case "session":
			asked = ack.at < c.asked-2500 || ack.client == c.name && ack.at < c.asked
		case "bounded":
			asked = ack.at < c.asked-1500
		}
		if asked && !s.containsIn(write, s.applied, w.places) {
			c.lacks = fmt.Sprintf("%s's read of %s at %s lacks %s, acknowledged at %d, asked at %d", c.name, c.database, s.id, write, ack.at, c.asked)
		}
	}
}
