package multiplexer

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/placer"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	fleetConnectionLimit = 58
	fleetHandshake       = 12
	fleetService         = 9
	fleetDomains         = 5
)

// fleet runs many daemons in virtual time against the three servers of one group, each
// with four slots and fleetConnectionLimit connections. A handshake takes a slot too.
type fleet struct {
	t *testing.T
	*timekeeper.TimerQueue
	random  *rand.Rand
	hosts   []placer.Host
	daemons []*fleetDaemon
	servers []*fleetServer
	// opened, refused and forwarded count connections and forwarded statements.
	opened, refused, forwarded int
}

type fleetDaemon struct {
	fleet *fleet
	index int
	mux   *Multiplexer
	conns map[pooler.Conn]*fleetServer
	// silent makes the daemon neither receive nor answer anything, and gone makes its
	// links break.
	silent, gone bool
	sessions     uint64
	pending      map[uint64]func(Answer)
	// ran counts the client statements that the daemon sent to servers.
	ran int
	// held are the statements of other daemons that arrived while it was silent.
	held []func()
}

type fleetServer struct {
	id    string
	slots [4]timekeeper.Millis
	open  int
}

func newFleet(t *testing.T, hosts int) *fleet {
	f := &fleet{t: t, TimerQueue: timekeeper.NewTimerQueue(1000), random: rand.New(rand.NewSource(1))}
	var servers []cataloger.Server
	for i := range 3 {
		id := fmt.Sprintf("s%d", i)
		f.servers = append(f.servers, &fleetServer{id: id})
		servers = append(servers, cataloger.Server{ID: id, Group: testGroup, Address: id, Domain: fmt.Sprintf("d%d", i), Slots: 4, Primary: i == 0})
	}
	for i := range hosts {
		f.hosts = append(f.hosts, placer.Host{Name: fmt.Sprintf("h%04d", i), Domain: fmt.Sprintf("d%d", i%fleetDomains)})
	}
	catalog := cataloger.New(1, []cataloger.Database{
		{Name: "urgent", Group: testGroup, Consistency: cataloger.ConsistencyPrimary, Timeout: 1000},
		{Name: "standard", Group: testGroup, Consistency: cataloger.ConsistencySession, MaxAge: 2500, Timeout: 1000, Rank: 1},
	}, []cataloger.Group{{Name: testGroup, ConnectionLimit: fleetConnectionLimit}})
	for i := range hosts {
		d := &fleetDaemon{fleet: f, index: i, mux: New(DefaultSettings(f.hosts[i].Domain), Deps{}), conns: map[pooler.Conn]*fleetServer{}, pending: map[uint64]func(Answer){}}
		f.daemons = append(f.daemons, d)
		d.execute(d.mux.SetCatalog(f.Now(), catalog))
		d.execute(d.mux.SetServers(f.Now(), servers))
		d.execute(d.mux.SetPrimaryLease(f.Now(), testGroup, elector.PrimaryLease{
			Server: "s0", Term: 1, History: sequencer.History{{Term: 1, Start: 0}}, ValidUntil: f.Now() + 1_000_000,
		}))
		d.execute(d.mux.SetPlacement(f.Now(), placer.New(f.hosts[i], f.hosts)))
		var tick func()
		tick = func() {
			if !d.silent && !d.gone {
				d.execute(d.mux.Tick(f.Now()))
			}
			f.After(20, tick)
		}
		f.After(1+timekeeper.Millis(i%20), tick)
	}
	f.RunUntil(f.Now()+membershipSettleTime+500, nil)
	return f
}

// carrier returns the daemon that carries the group in a failure domain, and another
// daemon of that domain.
func (f *fleet) carrier(domain int) (carrier, gateway *fleetDaemon) {
	order := placer.New(f.hosts[domain], f.hosts).Order(testGroup)
	find := func(name string) *fleetDaemon {
		return f.daemons[slices.IndexFunc(f.hosts, func(h placer.Host) bool { return h.Name == name })]
	}
	return find(order[0].Name), find(order[len(order)-1].Name)
}

// deliver runs a message's handler at a daemon after the network's delay, or once the
// daemon is no longer silent.
func (d *fleetDaemon) deliver(handle func()) {
	d.fleet.After(1, func() {
		switch {
		case d.gone:
		case d.silent:
			d.held = append(d.held, handle)
		default:
			handle()
		}
	})
}

// resume ends the daemon's silence.
func (d *fleetDaemon) resume() {
	d.silent = false
	held := d.held
	d.held = nil
	for _, handle := range held {
		handle()
	}
}

func (d *fleetDaemon) execute(commands []Command) {
	f := d.fleet
	for _, command := range commands {
		switch c := command.(type) {
		case Reply:
			if done := d.pending[c.Session]; done != nil {
				delete(d.pending, c.Session)
				done(c.Answer)
			}
		case OpenConn:
			d.open(c)
		case Send:
			d.send(c)
		case CloseConn:
			d.close(c.Conn)
		case Forward:
			to := f.daemon(c.Carrier)
			if to.gone {
				d.deliver(func() { d.execute(d.mux.ForwardLost(f.Now(), c.Request.Work, false)) })
				continue
			}
			f.forwarded++
			to.deliver(func() { to.execute(to.mux.RunForwarded(f.Now(), uint64(d.index), c.Request)) })
		case ForwardReply:
			to := f.daemons[c.Link]
			to.deliver(func() { to.execute(to.mux.ForwardAnswered(f.Now(), c.Work, c.Answer)) })
		case EndForward:
			to := f.daemon(c.Carrier)
			to.deliver(func() { to.execute(to.mux.EndForwarded(f.Now(), uint64(d.index), c.Work)) })
		case PingCarrier:
			f.daemon(c.Carrier).deliver(func() {
				d.deliver(func() { d.mux.CarrierResponded(f.Now(), c.Carrier.Name) })
			})
		}
	}
}

func (f *fleet) daemon(h placer.Host) *fleetDaemon {
	return f.daemons[slices.Index(f.hosts, h)]
}

// run occupies a slot of the server and returns when it is free again.
func (s *fleetServer) run(now, length timekeeper.Millis) timekeeper.Millis {
	slot := 0
	for i := range s.slots {
		if s.slots[i] < s.slots[slot] {
			slot = i
		}
	}
	s.slots[slot] = max(s.slots[slot], now) + length
	return s.slots[slot]
}

func (d *fleetDaemon) open(c OpenConn) {
	f := d.fleet
	s := f.servers[slices.IndexFunc(f.servers, func(s *fleetServer) bool { return s.id == c.Server.ID })]
	f.opened++
	if s.open >= fleetConnectionLimit {
		f.refused++
		d.deliver(func() { d.execute(d.mux.ConnRefused(f.Now(), c.Conn, Answer{Code: CodeTooManyConnections})) })
		return
	}
	s.open++
	d.conns[c.Conn] = s
	f.After(s.run(f.Now(), fleetHandshake)-f.Now(), func() {
		d.deliver(func() {
			d.execute(d.mux.ConnOpened(f.Now(), c.Conn, Answer{Position: sequencer.Position{Term: 1, Offset: 1}}))
		})
	})
}

func (d *fleetDaemon) close(id pooler.Conn) {
	if s := d.conns[id]; s != nil {
		s.open--
		delete(d.conns, id)
	}
}

func (d *fleetDaemon) send(c Send) {
	f, s := d.fleet, d.conns[c.Conn]
	if s == nil {
		return
	}
	length := timekeeper.Millis(1)
	for _, st := range c.Statements {
		if st.ID != "" {
			d.ran++
			length = fleetService/2 + timekeeper.Millis(f.random.Intn(fleetService+1))
		}
	}
	f.After(s.run(f.Now(), length)-f.Now(), func() {
		d.deliver(func() {
			if d.conns[c.Conn] != s {
				return
			}
			var answers []Answer
			for range c.Statements {
				answers = append(answers, Answer{Signature: s.id, Position: sequencer.Position{Term: 1, Offset: 1}})
			}
			d.execute(d.mux.AnswersReceived(f.Now(), c.Conn, answers))
		})
	})
}

// ask runs one statement of a client of the daemon.
func (d *fleetDaemon) ask(database string, st Statement, done func(Answer, timekeeper.Millis)) uint64 {
	return d.askAs(database, database, st, done)
}

// askAs runs one statement of a client with a key.
func (d *fleetDaemon) askAs(database, key string, st Statement, done func(Answer, timekeeper.Millis)) uint64 {
	d.sessions++
	id := d.sessions
	if a := d.mux.Connect(d.fleet.Now(), id, database, key); a.Code != CodeOK {
		d.fleet.t.Fatalf("connect: %v", a)
	}
	d.again(id, st, done)
	return id
}

// again runs another statement of a client.
func (d *fleetDaemon) again(id uint64, st Statement, done func(Answer, timekeeper.Millis)) {
	startedAt := d.fleet.Now()
	d.pending[id] = func(a Answer) { done(a, d.fleet.Now()-startedAt) }
	d.execute(d.mux.Run(d.fleet.Now(), id, st))
}

// TestConnectionsDoNotGrowWithHosts plays the load of one group's clients, spread over
// ever more daemons, against servers with few connections: the pattern where each daemon
// that connects by itself takes connections which the others need, and pays a handshake
// for each statement.
func TestConnectionsDoNotGrowWithHosts(t *testing.T) {
	for _, hosts := range []int{78, 300, 1000} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			f := newFleet(t, hosts)
			const statements = 95 * 20
			var served, failed int
			var took []timekeeper.Millis
			for i := range statements {
				f.After(timekeeper.Millis(i*1000/95), func() {
					database, st := "standard", aRead
					if i%7 == 0 {
						database, st = "urgent", aWrite
					}
					d := f.daemons[f.random.Intn(hosts)]
					var id uint64
					id = d.ask(database, st, func(a Answer, duration timekeeper.Millis) {
						if a.Code != CodeOK {
							failed++
							return
						}
						served++
						took = append(took, duration)
						f.After(0, func() { d.execute(d.mux.Disconnect(f.Now(), id)) })
					})
				})
			}
			f.RunUntil(f.Now()+22_000, nil)
			slices.Sort(took)
			if served != statements || failed > 0 {
				t.Fatalf("%d of %d statements served, %d failed", served, statements, failed)
			}
			if p99 := took[len(took)*99/100]; p99 > 100 {
				t.Errorf("the 99th percentile takes %d ms, want 100 at most", p99)
			}
			if f.refused > 0 || f.opened > statements/20 {
				t.Errorf("%d connections opened for %d statements, %d refused; want 1 in 20 at most and none", f.opened, statements, f.refused)
			}
		})
	}
}

// TestCarrierFailures guards against work that is run twice, given up although it may
// have run, or kept from the daemons that could run it, when its carrier fails.
func TestCarrierFailures(t *testing.T) {
	tests := map[string]struct {
		fail func(carrier *fleetDaemon)
		// statement is sent after the failure, or together with it if inFlight is set.
		database  string
		statement Statement
		inFlight  bool
		want      Code
		within    timekeeper.Millis
	}{
		"a write finds the carrier gone":          {func(c *fleetDaemon) { c.gone = true }, "urgent", aWrite, false, CodeOK, 100},
		"a read finds the carrier gone":           {func(c *fleetDaemon) { c.gone = true }, "standard", aRead, false, CodeOK, 100},
		"a write finds the carrier draining":      {func(c *fleetDaemon) { c.mux.Drain() }, "urgent", aWrite, false, CodeOK, 100},
		"a write runs while the carrier drains":   {func(c *fleetDaemon) { c.mux.Drain() }, "urgent", aWrite, true, CodeOK, 100},
		"a read is out at a silent carrier":       {func(c *fleetDaemon) { c.silent = true }, "standard", aRead, true, CodeOK, 400},
		"a write is out at a silent carrier":      {func(c *fleetDaemon) { c.silent = true }, "urgent", aWrite, true, CodeInDoubt, 1040},
		"a write finds an unregistered carrier":   {func(c *fleetDaemon) { c.loseLease() }, "urgent", aWrite, false, CodeOK, 100},
		"the carrier's lease ends below a write":  {func(c *fleetDaemon) { c.loseLease() }, "urgent", aWrite, true, CodeInDoubt, 100},
		"the link breaks below a write":           {func(c *fleetDaemon) { c.breakLinks() }, "urgent", aWrite, true, CodeInDoubt, 100},
		"the link breaks below a read":            {func(c *fleetDaemon) { c.breakLinks() }, "standard", aRead, true, CodeOK, 100},
		"a carrier is silent only for a moment":   {func(c *fleetDaemon) { c.silent = true; c.fleet.After(150, c.resume) }, "urgent", aWrite, true, CodeOK, 300},
		"a read at a carrier that pauses shortly": {func(c *fleetDaemon) { c.silent = true; c.fleet.After(150, c.resume) }, "standard", aRead, true, CodeOK, 300},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 78)
			carrier, gateway := f.carrier(0)
			// The first statement of each kind takes the path to the carrier.
			gateway.ask("standard", aRead, func(Answer, timekeeper.Millis) {})
			f.RunUntil(f.Now()+500, nil)
			var got []Answer
			var took timekeeper.Millis
			done := func(a Answer, d timekeeper.Millis) { got, took = append(got, a), d }
			if test.inFlight {
				gateway.ask(test.database, test.statement, done)
				f.RunUntil(f.Now()+2, nil)
				test.fail(carrier)
			} else {
				test.fail(carrier)
				gateway.ask(test.database, test.statement, done)
			}
			ran := carrier.ran
			f.RunUntil(f.Now()+3000, nil)
			if !test.inFlight && carrier.ran > ran {
				t.Errorf("the carrier ran %d statements that were sent after its failure, want none", carrier.ran-ran)
			}
			carrier.resume()
			f.RunUntil(f.Now()+3000, nil)
			if len(got) != 1 || got[0].Code != test.want || took > test.within {
				t.Errorf("got the answers %+v after %d ms, want one with code %v within %d ms", got, took, test.want, test.within)
			}
		})
	}
}

// loseLease takes the daemon's primary lease away, as when its registration was revoked.
func (d *fleetDaemon) loseLease() {
	d.execute(d.mux.SetPrimaryLease(d.fleet.Now(), testGroup, elector.PrimaryLease{Server: "s0", Term: 1, History: sequencer.History{{Term: 1, Start: 0}}}))
}

// breakLinks ends the daemon; the others learn that their statements have no answer.
func (d *fleetDaemon) breakLinks() {
	d.gone = true
	for _, other := range d.fleet.daemons {
		for work, j := range other.mux.forwards {
			if j.carrier == d.fleet.hosts[d.index] {
				other.execute(other.mux.ForwardLost(d.fleet.Now(), work, true))
			}
		}
	}
}

// TestCarrierIsRetaken guards against a carrier that gets no work any more after it was
// silent, and against client statements that test whether it responds again.
func TestCarrierIsRetaken(t *testing.T) {
	f := newFleet(t, 78)
	carrier, gateway := f.carrier(0)
	ask := func() (slowest timekeeper.Millis) {
		for range 20 {
			gateway.ask("standard", aRead, func(_ Answer, took timekeeper.Millis) { slowest = max(slowest, took) })
			f.RunUntil(f.Now()+150, nil)
		}
		return slowest
	}
	ask()
	carrier.silent = true
	gateway.ask("standard", aRead, func(Answer, timekeeper.Millis) {})
	f.RunUntil(f.Now()+400, nil)
	if slowest := ask(); slowest > 100 {
		t.Errorf("a read took %d ms while the carrier was known to be silent, want at most 100", slowest)
	}
	carrier.resume()
	f.RunUntil(f.Now()+maxCarrierBackoff+100, nil)
	before := carrier.ran
	ask()
	if carrier.ran-before < 20 {
		t.Errorf("the carrier ran %d of 20 reads after it responded again", carrier.ran-before)
	}
}

// TestTransactionStaysAtItsCarrier guards against a transaction whose statements run on
// different daemons, and against one that stays open when its client's daemon is lost.
func TestTransactionStaysAtItsCarrier(t *testing.T) {
	f := newFleet(t, 78)
	carrier, gateway := f.carrier(0)
	var answers []Answer
	record := func(a Answer, _ timekeeper.Millis) { answers = append(answers, a) }
	id := gateway.ask("urgent", Statement{ID: "b", Kind: KindBegin}, record)
	for _, st := range []Statement{aRead, aWrite} {
		gateway.again(id, st, record)
		f.RunUntil(f.Now()+200, nil)
	}
	if load, want := carrier.mux.CarrierLoad(), (CarrierLoad{Groups: 1, Forwarded: 1}); load != want {
		t.Errorf("load of the carrier: got %+v, want %+v", load, want)
	}
	if len(answers) != 3 || carrier.ran != 2 || carrier.mux.BusySessions() != 1 {
		t.Fatalf("answers %+v; the carrier ran %d statements in %d open transactions, want 2 in 1", answers, carrier.ran, carrier.mux.BusySessions())
	}
	carrier.execute(carrier.mux.EndForwardedLink(f.Now(), uint64(gateway.index)))
	f.RunUntil(f.Now()+200, nil)
	if busy := carrier.mux.BusySessions(); busy != 0 {
		t.Errorf("%d transactions are open after the link broke, want none", busy)
	}
	gateway.again(id, Statement{ID: "c", Kind: KindCommit}, record)
	f.RunUntil(f.Now()+200, nil)
	if last := answers[len(answers)-1]; last.Code != CodeAborted {
		t.Errorf("the commit of a transaction that is gone got %+v, want aborted", last)
	}
}

// TestForwardedRequestsAreChecked guards against malformed and doubled messages of other
// daemons that end the process or run work twice.
func TestForwardedRequestsAreChecked(t *testing.T) {
	database := cataloger.Database{Name: "urgent", Group: testGroup, Timeout: 1000}
	valid := ForwardRequest{Work: 7, Statement: aWrite, Database: database, Left: 500}
	with := func(change func(r *ForwardRequest)) ForwardRequest {
		r := valid
		change(&r)
		return r
	}
	tests := map[string]ForwardRequest{
		"no work":             with(func(r *ForwardRequest) { r.Work = 0 }),
		"unknown start":       with(func(r *ForwardRequest) { r.Start = "later" }),
		"a kind of setup":     with(func(r *ForwardRequest) { r.Statement.Kind = KindReset }),
		"an undefined kind":   with(func(r *ForwardRequest) { r.Statement.Kind = 99 }),
		"a lone commit":       with(func(r *ForwardRequest) { r.Statement.Kind = KindCommit }),
		"no database":         with(func(r *ForwardRequest) { r.Database = cataloger.Database{} }),
		"a negative limit":    with(func(r *ForwardRequest) { r.Left = -1 }),
		"a limit without end": with(func(r *ForwardRequest) { r.Left = 1 << 60 }),
		"nothing":             {},
	}
	for name, request := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			d := f.daemons[0]
			commands := d.mux.RunForwarded(f.Now(), 1, request)
			if reply, ok := commands[0].(ForwardReply); !ok || reply.Answer.Answer.Code != CodeMalformed {
				t.Errorf("got %+v, want a reply with code malformed", commands)
			}
		})
	}
	t.Run("doubled", func(t *testing.T) {
		f := newFleet(t, 1)
		d := f.daemons[0]
		d.execute(d.mux.RunForwarded(f.Now(), 0, valid))
		d.execute(d.mux.RunForwarded(f.Now(), 0, valid))
		f.RunUntil(f.Now()+500, nil)
		d.execute(d.mux.RunForwarded(f.Now(), 0, valid))
		f.RunUntil(f.Now()+500, nil)
		if d.ran != 1 {
			t.Errorf("a write that arrived three times ran %d times, want once", d.ran)
		}
	})
}

// TestTransactionThatItsCarrierLost guards against a statement that runs outside its
// transaction, because the carrier lost the server connection between two statements.
func TestTransactionThatItsCarrierLost(t *testing.T) {
	f := newFleet(t, 78)
	carrier, gateway := f.carrier(0)
	var last Answer
	record := func(a Answer, _ timekeeper.Millis) { last = a }
	id := gateway.ask("urgent", Statement{ID: "b", Kind: KindBegin}, record)
	gateway.again(id, aRead, record)
	f.RunUntil(f.Now()+200, nil)
	for conn, c := range carrier.mux.conns {
		if c.pinnedSession != nil {
			carrier.execute(carrier.mux.ConnLost(f.Now(), conn))
		}
	}
	ran := carrier.ran
	gateway.again(id, aWrite, record)
	f.RunUntil(f.Now()+200, nil)
	if last.Code != CodeAborted || carrier.ran != ran {
		t.Errorf("got %+v, and the carrier ran %d statements; want aborted and none", last, carrier.ran-ran)
	}
}
