package multiplexer

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// bed drives a multiplexer in virtual time against servers that have slots.
type bed struct {
	t *testing.T
	m *Multiplexer
	*timekeeper.TimerQueue
	random  *rand.Rand
	servers map[string]*bedServer
	conns   map[pooler.Conn]*bedServer
	session uint64
	// pending are the statements that wait for an answer, by session.
	pending map[uint64]func(Answer)
	hungUp  int
}

// bedServer is a backend server with slots and a queue in order of arrival.
type bedServer struct {
	id      string
	slots   []timekeeper.Millis
	service timekeeper.Millis
	applied int64
	down    bool
	mute    bool
	open    int
	ran     int
}

const bedGroup = "g"

func newBed(t *testing.T, service timekeeper.Millis) *bed {
	b := &bed{
		t: t, m: New(DefaultSettings("a"), Deps{}), TimerQueue: timekeeper.NewTimerQueue(1000), random: rand.New(rand.NewSource(1)),
		servers: map[string]*bedServer{}, conns: map[pooler.Conn]*bedServer{}, pending: map[uint64]func(Answer){},
	}
	var list []cataloger.Server
	for i, domain := range []string{"a", "b", "c"} {
		id := fmt.Sprintf("s%d", i)
		b.servers[id] = &bedServer{id: id, slots: make([]timekeeper.Millis, 2), service: service, applied: 1}
		list = append(list, cataloger.Server{ID: id, Group: bedGroup, Address: id, Domain: domain, Slots: 2, Primary: i == 0})
	}
	b.carry(b.m.SetCatalog(b.Now(), cataloger.New(1, []cataloger.Database{
		{Name: "urgent", Group: bedGroup, Consistency: cataloger.ConsistencyPrimary, Timeout: 800},
		{Name: "standard", Group: bedGroup, Consistency: cataloger.ConsistencySession, MaxAge: 2500, Timeout: 800, Rank: 1},
		{Name: "browse", Group: bedGroup, Consistency: cataloger.ConsistencyBoundedStaleness, MaxAge: 1500, Timeout: 1200, Rank: 2},
	}, []cataloger.Group{{Name: bedGroup, ConnectionLimit: 16}}).WithIdleTransactionTimeout(3000)))
	b.carry(b.m.SetServers(b.Now(), list))
	b.lead("s0", 1, false)
	b.After(1, b.tick)
	return b
}

func (b *bed) lead(id string, term int64, held bool) {
	b.carry(b.m.SetPrimaryLease(b.Now(), bedGroup, elector.PrimaryLease{
		Server: id, Term: term, History: sequencer.History{{Term: 1, Start: 0}}, ValidUntil: b.Now() + 1_000_000, Paused: held,
	}))
}

func (b *bed) tick() {
	b.carry(b.m.Tick(b.Now()))
	b.After(10, b.tick)
}

func (b *bed) run(d timekeeper.Millis) {
	b.RunUntil(b.Now()+d, nil)
}

func (b *bed) carry(commands []Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case Reply:
			if done := b.pending[c.Session]; done != nil {
				delete(b.pending, c.Session)
				done(c.Answer)
			}
		case CloseSession:
			b.hungUp++
		case OpenConn:
			b.open(c)
		case Send:
			b.send(c)
		case CloseConn:
			if s := b.conns[c.Conn]; s != nil {
				s.open--
				delete(b.conns, c.Conn)
			}
		}
	}
}

func (b *bed) open(c OpenConn) {
	s := b.servers[c.Server.ID]
	if s.down {
		b.After(500, func() { b.carry(b.m.ConnLost(b.Now(), c.Conn)) })
		return
	}
	b.conns[c.Conn] = s
	s.open++
	b.After(12, func() {
		b.carry(b.m.ConnOpened(b.Now(), c.Conn, Answer{Position: sequencer.Position{Term: 1, Offset: s.applied}}))
	})
}

func (b *bed) send(c Send) {
	s := b.conns[c.Conn]
	if s == nil || s.down {
		return
	}
	slot := 0
	for i := range s.slots {
		if s.slots[i] < s.slots[slot] {
			slot = i
		}
	}
	start := max(s.slots[slot], b.Now())
	took := s.service/2 + timekeeper.Millis(b.random.Int63n(int64(s.service)+1))
	s.slots[slot] = start + took
	s.ran++
	mute := s.mute
	b.After(start+took-b.Now()+1, func() {
		if s.down || mute || b.conns[c.Conn] != s {
			return
		}
		var answers []Answer
		for _, st := range c.Statements {
			a := Answer{Signature: s.id, Position: sequencer.Position{Term: 1, Offset: s.applied}}
			if !st.Floor.IsZero() && st.Floor.Offset > s.applied {
				a = Answer{Code: CodeLagging, Position: a.Position}
			}
			answers = append(answers, a)
		}
		b.carry(b.m.AnswersReceived(b.Now(), c.Conn, answers))
	})
}

// ask runs one statement in a session of its own.
func (b *bed) ask(database, account string, st Statement, done func(Answer, timekeeper.Millis)) {
	b.session++
	id := b.session
	if a := b.m.Connect(id, database, account); a.Code != CodeOK {
		b.t.Fatalf("connect: %v", a)
	}
	begun := b.Now()
	b.pending[id] = func(a Answer) {
		b.After(0, func() { b.carry(b.m.Disconnect(b.Now(), id)) })
		done(a, b.Now()-begun)
	}
	b.carry(b.m.Run(b.Now(), id, st))
}

// tally is what came of a stream of statements.
type tally struct {
	served, refused, failed int
	slowest                 timekeeper.Millis
	slowestRefusal          timekeeper.Millis
}

// stream asks for a statement at an interval, for a while.
func (b *bed) stream(database string, st Statement, every, length timekeeper.Millis, into *tally) {
	for at := timekeeper.Millis(0); at < length; at += every {
		b.After(at, func() {
			b.ask(database, database, st, func(a Answer, took timekeeper.Millis) {
				switch a.Code {
				case CodeOK:
					into.served++
					into.slowest = max(into.slowest, took)
				case CodeNotRun:
					into.refused++
					into.slowestRefusal = max(into.slowestRefusal, took)
				default:
					into.failed++
				}
			})
		})
	}
}
