package elector_test

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

var (
	modelSeeds = flag.Int("model.seeds", 60, "number of random orders of events to run")
	modelFirst = flag.Int64("model.first", 1, "seed of the first order of events")
)

const (
	modelDaemons = 4
	modelSteps   = 160
	// maxCallTime is how long after its request a promotion may still take effect.
	maxCallTime timekeeper.Millis = 1000
	// maxCopyAge is how old a copy may be that the store is restored from.
	maxCopyAge timekeeper.Millis = 20_000
	// sheddingTurn is for how long a daemon sheds its roles.
	sheddingTurn timekeeper.Millis = 9000
)

// modelServer is a backend server of the model. All servers answer an Inspect.
type modelServer struct {
	id      string
	primary bool
	term    int64
	leaving bool
	// unresponsiveSince is when statements began to get no response; 0 if they do.
	unresponsiveSince timekeeper.Millis
}

// modelDaemon is a daemon of the model and its calls that are not finished.
type modelDaemon struct {
	name        string
	incarnation int64
	elector     *elector.Elector
	// cut is set while the daemon does not reach the store, and stopped while it does
	// nothing at all.
	cut, stopped bool
	writes       []elector.Write
	inspects     []elector.Inspect
	promotions   []modelPromotion
	// reads are full reads whose answers have not arrived.
	reads []modelRead
}

type modelPromotion struct {
	elector.Promote
	at timekeeper.Millis
}

type modelRead struct {
	at       timekeeper.Millis
	rows     []elector.Row
	revision elector.Revision
}

// modelCopy is the content of the store at a past time.
type modelCopy struct {
	at       timekeeper.Millis
	rows     map[string]elector.Row
	revision elector.Revision
}

// model runs electors against a store, and servers, in a random order of events.
type model struct {
	random   *rand.Rand
	now      timekeeper.Millis
	servers  []*modelServer
	daemons  []*modelDaemon
	rows     map[string]elector.Row
	revision elector.Revision
	copies   []modelCopy
	// late are transactions without an answer that may still take effect.
	late  []elector.Transaction
	beats map[string]elector.Heartbeat
	// capacities is set if the daemons have different capacities and shed their roles in
	// turns.
	capacities bool
	token      int64
	holder     string
	restores   int
	promotions int
	events     []string
	violation  string
}

func newModel(seed int64) *model {
	m := &model{random: rand.New(rand.NewSource(seed)), now: 100_000, rows: map[string]elector.Row{}, revision: elector.Revision{Era: 1}, beats: map[string]elector.Heartbeat{}, capacities: seed%2 == 1}
	for i := range 3 {
		m.servers = append(m.servers, &modelServer{id: fmt.Sprintf("s%d", i), primary: i == 0, term: 1})
	}
	for i := range modelDaemons {
		d := &modelDaemon{name: fmt.Sprintf("d%d", i)}
		m.daemons = append(m.daemons, d)
		m.start(d)
	}
	return m
}

func (m *model) log(format string, args ...any) {
	m.events = append(m.events, fmt.Sprintf("%7d ", m.now)+fmt.Sprintf(format, args...))
}

func (m *model) server(id string) *modelServer {
	return m.servers[slices.IndexFunc(m.servers, func(s *modelServer) bool { return s.id == id })]
}

// start starts a daemon, or a new run of it.
func (m *model) start(d *modelDaemon) {
	d.incarnation++
	*d = modelDaemon{name: d.name, incarnation: d.incarnation}
	host := elector.Host{Name: d.name, Domain: "a", Incarnation: d.incarnation, Address: d.name}
	if m.capacities {
		host.Capacity = 100 << slices.Index(m.daemons, d)
	}
	d.elector = elector.New(elector.DefaultSettings(host), elector.Deps{
		PrimaryHealth: func(_, server string) elector.PrimaryHealth {
			if server == "" { // no server was a primary when the daemon started
				return elector.PrimaryHealth{Quiesced: true}
			}
			s := m.server(server)
			if s.unresponsiveSince > 0 {
				return elector.PrimaryHealth{UnresponsiveSince: s.unresponsiveSince, Quiesced: true, Term: s.term}
			}
			return elector.PrimaryHealth{LastResponse: m.now, Quiesced: true, Term: s.term}
		},
		Log: func(decision observer.Decision) { m.log("%s: %s %v", d.name, decision.Outcome, decision.Inputs) },
	})
	m.execute(d, m.setServers(d))
}

func (m *model) setServers(d *modelDaemon) []elector.Command {
	var servers []cataloger.Server
	for _, s := range m.servers {
		servers = append(servers, cataloger.Server{ID: s.id, Group: "g", Primary: s.primary, Leaving: s.leaving})
	}
	return d.elector.SetServers(m.now, servers)
}

// execute queues a daemon's commands.
func (m *model) execute(d *modelDaemon, commands []elector.Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case elector.Write:
			d.writes = append(d.writes, c)
		case elector.Inspect:
			d.inspects = append(d.inspects, c)
		case elector.Promote:
			d.promotions = append(d.promotions, modelPromotion{Promote: c, at: m.now})
		}
	}
}

// transact applies a transaction to the store and keeps a copy of the result.
func (m *model) transact(tx elector.Transaction) elector.Result {
	for _, row := range tx.Expect {
		if m.rows[row.Key].Version != row.Version {
			return elector.Conflict
		}
	}
	m.revision.Version++
	for _, row := range tx.Set {
		row.Version = m.revision.Version
		m.rows[row.Key] = row
	}
	for _, key := range tx.Delete {
		delete(m.rows, key)
	}
	m.copies = append(m.copies, modelCopy{at: m.now, rows: maps.Clone(m.rows), revision: m.revision})
	return elector.Applied
}

// restore brings the store back from a copy.
func (m *model) restore() {
	m.copies = slices.DeleteFunc(m.copies, func(c modelCopy) bool { return c.at < m.now-maxCopyAge })
	if len(m.copies) == 0 {
		return
	}
	i := m.random.Intn(len(m.copies))
	m.copies = m.copies[:i+1]
	m.rows = maps.Clone(m.copies[i].rows)
	m.revision = elector.Revision{Era: m.revision.Era + 1, Version: m.copies[i].revision.Version}
	m.restores++
	m.log("the store is restored to version %d of second %d", m.revision.Version, m.copies[i].at/1000)
}

func (m *model) read() modelRead {
	rows := slices.SortedFunc(maps.Values(m.rows), func(a, b elector.Row) int { return cmp.Compare(a.Key, b.Key) })
	return modelRead{at: m.now, rows: rows, revision: m.revision}
}

// finishRead delivers the answer to a full read.
func (m *model) finishRead(d *modelDaemon, read modelRead) {
	m.execute(d, d.elector.SetRows(m.now, read.at, read.rows, read.revision))
}

// finishWrite answers a daemon's oldest write. Without an answer it may take effect later.
func (m *model) finishWrite(d *modelDaemon, answered bool) {
	write := d.writes[0]
	d.writes = d.writes[1:]
	result, revision := elector.Indeterminate, elector.Revision{}
	switch {
	case answered:
		result, revision = m.transact(write.Tx), m.revision
	case m.random.Intn(2) == 0:
		m.transact(write.Tx)
	default:
		m.late = append(m.late, write.Tx)
	}
	m.execute(d, d.elector.WriteFinished(m.now, write.ID, result, revision))
}

// finishInspect answers a daemon's oldest Inspect.
func (m *model) finishInspect(d *modelDaemon) {
	inspect := d.inspects[0]
	d.inspects = d.inspects[1:]
	s := m.server(inspect.Server.ID)
	if inspect.Request.Action == elector.ActionStepDown && s.term < inspect.Request.Term {
		s.primary = false
	}
	status := elector.ServerStatus{Primary: s.primary, Term: s.term, Received: sequencer.Position{Term: 1, Offset: 10}}
	m.execute(d, d.elector.InspectFinished(m.now, inspect.ID, status, nil))
}

// finishPromotion lets a daemon's oldest promotion take effect.
func (m *model) finishPromotion(d *modelDaemon) {
	p := d.promotions[0].Promotion
	id := d.promotions[0].ID
	d.promotions = d.promotions[1:]
	if p.FencingToken < m.token || p.FencingToken == m.token && p.Holder != m.holder {
		m.violation = fmt.Sprintf("%s promotes with token %d after token %d of %s", p.Holder, p.FencingToken, m.token, m.holder)
	}
	m.token, m.holder = p.FencingToken, p.Holder
	if s := m.server(p.Server); !s.primary || s.term < m.newestPrimary().term {
		s.primary, s.term = true, m.newestPrimary().term+1
		m.promotions++
		m.log("%s is the primary of term %d", s.id, s.term)
	}
	m.execute(d, d.elector.PromotionFinished(m.now, id, nil))
}

// newestPrimary returns the server that was last promoted.
func (m *model) newestPrimary() *modelServer {
	return slices.MaxFunc(m.servers, func(a, b *modelServer) int { return cmp.Compare(a.term, b.term) })
}

// advance moves the time on. Promotions that were requested maxCallTime before take
// effect at that time.
func (m *model) advance(d timekeeper.Millis) {
	for range d / 50 {
		m.now += 50
		for _, d := range m.daemons {
			for len(d.promotions) > 0 && d.promotions[0].at+maxCallTime <= m.now {
				m.finishPromotion(d)
			}
		}
		m.check()
	}
}

// run lets all daemons that are not stopped work without faults for a time.
func (m *model) run(d timekeeper.Millis) {
	for until := m.now + d; m.now < until && m.violation == ""; {
		m.advance(100)
		for _, d := range m.daemons {
			if d.stopped {
				continue
			}
			m.execute(d, m.setServers(d))
			if !d.cut {
				sheds := m.capacities && m.daemons[m.now/sheddingTurn%modelDaemons] == d
				m.beats[d.name] = elector.Heartbeat{Incarnation: d.incarnation, Count: int64(m.now), Reader: d.elector.ClaimsReader(m.now), Shedding: sheds}
				d.elector.SetHeartbeats(m.now, m.now, m.revision.Era, maps.Clone(m.beats))
				m.finishRead(d, m.read())
			}
			for len(d.writes) > 0 {
				m.finishWrite(d, !d.cut)
			}
			for len(d.inspects) > 0 {
				m.finishInspect(d)
			}
			for len(d.promotions) > 0 {
				m.finishPromotion(d)
			}
			m.execute(d, d.elector.Tick(m.now))
			m.check()
		}
	}
}

// step plays one random event.
func (m *model) step() {
	d := m.daemons[m.random.Intn(len(m.daemons))]
	s := m.servers[m.random.Intn(len(m.servers))]
	switch event := m.random.Intn(35); {
	case event < 7:
		m.run(timekeeper.Millis(100 + m.random.Intn(900)))
	case event == 7:
		m.run(timekeeper.Millis(2000 + m.random.Intn(15_000)))
	case event < 10:
		m.advance(timekeeper.Millis(50 + m.random.Intn(1500)))
	case event == 10:
		m.advance(timekeeper.Millis(1000 + m.random.Intn(15_000)))
	case event < 14 && len(d.writes) > 0:
		m.finishWrite(d, !d.cut && m.random.Intn(3) > 0)
	case event < 16 && len(d.inspects) > 0:
		m.finishInspect(d)
	case event < 18 && len(d.promotions) > 0:
		m.finishPromotion(d)
	case event < 21 && !d.cut:
		d.reads = append(d.reads, m.read())
	case event < 23 && len(d.reads) > 0:
		i := m.random.Intn(len(d.reads))
		m.finishRead(d, d.reads[i])
		d.reads = slices.Delete(d.reads, i, i+1)
	case event == 23 && !d.cut:
		read := m.read()
		m.execute(d, d.elector.ApplyChanges(m.now, read.rows, read.revision))
	case event == 24 && len(m.late) > 0:
		i := m.random.Intn(len(m.late))
		m.transact(m.late[i])
		m.late = slices.Delete(m.late, i, i+1)
	case event == 25:
		m.execute(d, d.elector.Tick(m.now))
	case event == 26:
		d.cut = !d.cut
		m.log("%s cut: %v", d.name, d.cut)
	case event == 27:
		d.stopped = !d.stopped
		m.log("%s stopped: %v", d.name, d.stopped)
	case event == 28:
		m.log("%s starts again", d.name)
		m.start(d)
	case event == 29 && m.random.Intn(8) == 0:
		m.log("all daemons start again")
		for _, d := range m.daemons {
			m.start(d)
		}
	case event == 30:
		s.leaving = !s.leaving
	case event == 31:
		if s.unresponsiveSince = m.now - s.unresponsiveSince; s.unresponsiveSince != m.now {
			s.unresponsiveSince = 0
		}
	case event == 34:
		m.log("%s ends as planned", d.name)
		m.execute(d, d.elector.Deregister(m.now))
	case event >= 32:
		m.restore()
	}
	m.check()
}

// check checks that no daemon may use a primary that has been replaced.
func (m *model) check() {
	newest := m.newestPrimary()
	for _, d := range m.daemons {
		if lease := d.elector.PrimaryLeases(m.now)["g"]; lease.ValidUntil > m.now && lease.Server != "" && lease.Server != newest.id && m.violation == "" {
			m.violation = fmt.Sprintf("%s may use %s until %d, but %s is the primary of term %d", d.name, lease.Server, lease.ValidUntil, newest.id, newest.term)
		}
	}
}

// TestModel guards against a daemon that uses a replaced primary and against fencing
// tokens that fall or are shared: real electors, whose calls, late writes and late reads
// end in a random order, with daemons cut off, stopped and started again, and with
// restores of the store at any moment.
func TestModel(t *testing.T) {
	restores, promotions := 0, 0
	for i := range *modelSeeds {
		seed := *modelFirst + int64(i)
		m := newModel(seed)
		m.run(3000)
		for n := 0; n < modelSteps && m.violation == ""; n++ {
			m.step()
		}
		restores, promotions = restores+m.restores, promotions+m.promotions
		if m.violation != "" {
			t.Fatalf("seed %d: %d: %s\n%s", seed, m.now, m.violation, strings.Join(m.events[max(len(m.events)-120, 0):], "\n"))
		}
	}
	t.Logf("%d orders of events, %d restores, %d promotions", *modelSeeds, restores, promotions)
	if promotions < *modelSeeds || restores < *modelSeeds {
		t.Errorf("%d promotions and %d restores, want one or more for each order", promotions, restores)
	}
}
