package elector

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Settings steer an elector.
type Settings struct {
	Self Host
	// LeaseDuration is how long a reading of the store allows the use of a primary. It
	// exceeds common outages, since its end stops service; a change of primary
	// waits for it only where a daemon does not answer.
	LeaseDuration timekeeper.Millis
	// ClockSkew is added to Lease on the side of the change, for differing clocks.
	ClockSkew timekeeper.Millis
	// SuspectTimeout is how long a primary must be silent before a change is announced.
	SuspectTimeout timekeeper.Millis
	// RejectWindow is how recently a primary must have answered for an objection.
	RejectWindow timekeeper.Millis
	// DrainTimeout is how long statements may go on after a change was announced.
	DrainTimeout timekeeper.Millis
	// CatchUpTimeout is how long a change waits for a server that holds all commits
	// seen, before it takes the best one there is.
	CatchUpTimeout timekeeper.Millis
	// CancelBackoff is how long after a cancelled change no new one is announced.
	CancelBackoff timekeeper.Millis
	// HeartbeatTimeout is how long the holder of the duty must be silent before another
	// daemon takes it.
	HeartbeatTimeout timekeeper.Millis
	// HeartbeatInterval is the time between two signs of life.
	HeartbeatInterval timekeeper.Millis
	// InitialChangeDuration is how long a change of primary is expected to take before any was
	// measured.
	InitialChangeDuration timekeeper.Millis
}

// DefaultSettings returns the settings of a daemon.
func DefaultSettings(self Host) Settings {
	return Settings{
		Self:                  self,
		LeaseDuration:         14_000,
		ClockSkew:             500,
		SuspectTimeout:        700,
		RejectWindow:          800,
		DrainTimeout:          300,
		CatchUpTimeout:        8000,
		CancelBackoff:         2000,
		HeartbeatTimeout:      7000,
		HeartbeatInterval:     3000,
		InitialChangeDuration: 1400,
	}
}

// PrimaryHealth is what the daemon's own traffic tells of a group's primary.
type PrimaryHealth struct {
	// LastResponse is when the server answered last; 0 for never.
	LastResponse timekeeper.Millis
	// UnresponsiveSince is since when the server does not answer, though asked; 0 if it
	// does.
	UnresponsiveSince timekeeper.Millis
	// FailingSince is since when the server has failed most statements; 0 if it does not.
	FailingSince timekeeper.Millis
	// Quiesced says that nothing runs on the primary any more.
	Quiesced bool
	// HighestPosition is the highest position that the primary told of.
	HighestPosition sequencer.Position
	// Term is the primary's term as far as its answers tell.
	Term int64
}

// Deps are what an elector needs of its daemon. All fields are seams.
type Deps struct {
	// PrimaryHealth tells of a group's primary.
	PrimaryHealth func(group, server string) PrimaryHealth
	// Log writes a decision's line; nil writes none.
	Log func(observer.Decision)
}

// beatSeen is a daemon's last sign of life and when it was first seen here.
type beatSeen struct {
	beat Heartbeat
	at   timekeeper.Millis
	// moved says that the sign of life was seen to change: it is not one that a
	// daemon left behind.
	moved bool
}

// Elector is one daemon's decisions on who leads. It is not safe for concurrent
// use.
type Elector struct {
	settings Settings
	deps     Deps
	out      []Command

	rows    map[string]Row
	version int64
	// readAt is when the rows were last asked for whole, and read whether they
	// ever were.
	readAt timekeeper.Millis
	read   bool
	hosts  map[string]Host
	acks   map[string]map[string]Ack
	duty   Coordinator
	beats  map[string]beatSeen
	// beatsAt is when the signs of life were read last.
	beatsAt timekeeper.Millis
	groups  map[string]*group
	byID    map[string]cataloger.Server

	number  uint64
	writing map[uint64]func(now timekeeper.Millis, result Result, version int64)
	asking  map[uint64]func(now timekeeper.Millis, account ServerStatus, err error)
	posting map[uint64]func(now timekeeper.Millis, err error)

	registering bool
	registerDue timekeeper.Millis
	leaving     bool
	dutyBusy    bool
	dutyDue     timekeeper.Millis
	// retired is when this daemon saw that a registration was marked, by host.
	retired   map[string]retirement
	retireDue timekeeper.Millis
}

// New returns an elector that has read nothing yet.
func New(settings Settings, deps Deps) *Elector {
	if deps.Log == nil {
		deps.Log = func(observer.Decision) {}
	}
	return &Elector{
		settings: settings, deps: deps,
		rows: map[string]Row{}, hosts: map[string]Host{}, acks: map[string]map[string]Ack{},
		retired: map[string]retirement{}, beats: map[string]beatSeen{}, groups: map[string]*group{}, byID: map[string]cataloger.Server{},
		writing: map[uint64]func(timekeeper.Millis, Result, int64){},
		asking:  map[uint64]func(timekeeper.Millis, ServerStatus, error){},
		posting: map[uint64]func(timekeeper.Millis, error){},
	}
}

func (e *Elector) take() []Command {
	out := e.out
	e.out = nil
	return out
}

func (e *Elector) log(outcome string, fields ...observer.Field) {
	e.deps.Log(observer.Decision{Part: "elector", Outcome: outcome, Inputs: fields})
}

func (e *Elector) write(tx Transaction, done func(now timekeeper.Millis, result Result, version int64)) {
	e.number++
	e.writing[e.number] = done
	e.out = append(e.out, Write{ID: e.number, Tx: tx})
}

func (e *Elector) inspect(server cataloger.Server, order InspectRequest, done func(timekeeper.Millis, ServerStatus, error)) {
	e.number++
	e.asking[e.number] = done
	e.out = append(e.out, Inspect{ID: e.number, Server: server, Request: order})
}

// Written tells what came of a Write, and the store's version after it; 0 where
// that is not known.
func (e *Elector) Written(now timekeeper.Millis, id uint64, result Result, version int64) []Command {
	done := e.writing[id]
	delete(e.writing, id)
	if done != nil {
		done(now, result, version)
	}
	return e.take()
}

// Inspected tells what came of an Inspect.
func (e *Elector) Inspected(now timekeeper.Millis, id uint64, account ServerStatus, err error) []Command {
	done := e.asking[id]
	delete(e.asking, id)
	if done != nil {
		done(now, account, err)
	}
	return e.take()
}

// Promoted tells what came of a Promote.
func (e *Elector) Promoted(now timekeeper.Millis, id uint64, err error) []Command {
	done := e.posting[id]
	delete(e.posting, id)
	if done != nil {
		done(now, err)
	}
	return e.take()
}

// SetRows takes all rows as of a version. asked is when they were asked for.
func (e *Elector) SetRows(now, asked timekeeper.Millis, rows []Row, version int64) []Command {
	if version < e.version {
		e.log("older rows passed over", observer.F("version", version), observer.F("have", e.version))
		return nil
	}
	fresh := make(map[string]Row, len(rows))
	for _, row := range rows {
		fresh[row.Key] = row
	}
	e.rows = fresh
	e.version = version
	e.readAt = max(e.readAt, asked)
	e.read = true
	e.digest(now)
	return e.take()
}

// ConfirmUnchanged takes that no row had changed when the rows were asked for at a time.
func (e *Elector) ConfirmUnchanged(now, asked timekeeper.Millis) []Command {
	e.readAt = max(e.readAt, asked)
	e.step(now)
	return e.take()
}

// DomainReaderAddress returns the address of the daemon that reads the store for the others of
// this daemon's failure domain: the first one by name whose sign of life was seen
// to change. It is empty where that is this daemon, and where none is known: at
// the start, the rows tell as well of daemons that are gone.
func (e *Elector) DomainReaderAddress(now timekeeper.Millis) string {
	for _, name := range slices.Sorted(maps.Keys(e.hosts)) {
		if name == e.settings.Self.Name {
			return ""
		}
		if host := e.hosts[name]; host.Domain == e.settings.Self.Domain && e.beats[name].moved && e.live(now, name) {
			return host.Address
		}
	}
	return ""
}

// ApplyChanges takes the rows that changed up to a version.
func (e *Elector) ApplyChanges(now timekeeper.Millis, rows []Row, version int64) []Command {
	for _, row := range rows {
		if have := e.rows[row.Key]; row.Version <= have.Version || row.Version <= e.version && have.Version == 0 {
			continue
		}
		if row.Deleted {
			delete(e.rows, row.Key)
			continue
		}
		e.rows[row.Key] = row
	}
	e.version = max(e.version, version)
	e.digest(now)
	return e.take()
}

// digest decodes the rows. A row that can't be decoded is passed over.
func (e *Elector) digest(now timekeeper.Millis) {
	e.hosts = map[string]Host{}
	e.acks = map[string]map[string]Ack{}
	e.duty = Coordinator{}
	seen := map[string]bool{}
	for _, key := range slices.Sorted(maps.Keys(e.rows)) {
		row := e.rows[key]
		var err error
		switch {
		case strings.HasPrefix(key, hostPrefix):
			e.hosts[key[len(hostPrefix):]], err = decode[Host](row)
		case strings.HasPrefix(key, ackPrefix):
			err = e.digestAck(row)
		case strings.HasPrefix(key, reignPrefix):
			name := key[len(reignPrefix):]
			seen[name] = true
			err = e.group(name).setReign(now, e, row)
		case key == dutyKey:
			e.duty, err = decode[Coordinator](row)
		}
		if err != nil {
			e.log("row passed over", observer.F("key", key), observer.F("error", err.Error()))
		}
	}
	for name, g := range e.groups {
		if !seen[name] {
			g.reign, g.reignVersion = PrimaryRecord{}, 0
		}
		if e.version >= g.written {
			g.written = 0
		}
	}
	e.step(now)
}

func (e *Elector) digestAck(row Row) error {
	ack, err := decode[Ack](row)
	if err != nil {
		return err
	}
	group, host, _ := strings.Cut(row.Key[len(ackPrefix):], "/")
	if e.acks[group] == nil {
		e.acks[group] = map[string]Ack{}
	}
	e.acks[group][host] = ack
	return nil
}

// blind reports whether the signs of life have not been read for so long that
// nothing can be said of any daemon.
func (e *Elector) blind(now timekeeper.Millis) bool {
	return now-e.beatsAt > 2*e.settings.HeartbeatInterval
}

// SetHeartbeats takes all daemons' signs of life.
func (e *Elector) SetHeartbeats(now timekeeper.Millis, beats map[string]Heartbeat) {
	blind := e.blind(now)
	e.beatsAt = now
	for name, beat := range beats {
		if seen, known := e.beats[name]; blind || seen.beat != beat {
			e.beats[name] = beatSeen{beat: beat, at: now, moved: known && seen.beat != beat}
		}
	}
	for name := range e.beats {
		if _, present := beats[name]; !present {
			delete(e.beats, name)
		}
	}
}

// live reports whether a daemon gave a sign of life of late.
func (e *Elector) live(now timekeeper.Millis, host string) bool {
	seen, found := e.beats[host]
	return found && now-seen.at < e.settings.HeartbeatTimeout
}

// LiveHosts returns the number of daemons that are registered and live. While the
// signs of life can't be read, those of this daemon's failure domain count that
// gave one before: most cuts run between domains, so that they reach the same
// servers.
func (e *Elector) LiveHosts(now timekeeper.Millis) int {
	count := 0
	for name, host := range e.hosts {
		_, known := e.beats[name]
		near := known && e.blind(now) && host.Domain == e.settings.Self.Domain
		if name == e.settings.Self.Name || e.live(now, name) || near {
			count++
		}
	}
	return max(count, 1)
}

// PeerAddresses returns where the registered daemons take other daemons.
func (e *Elector) PeerAddresses() []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(e.hosts)) {
		out = append(out, e.hosts[name].Address)
	}
	return out
}

// SetServers takes the registered backend servers.
func (e *Elector) SetServers(now timekeeper.Millis, servers []cataloger.Server) []Command {
	e.byID = make(map[string]cataloger.Server, len(servers))
	for _, s := range servers {
		e.byID[s.ID] = s
		g := e.group(s.Group)
		if s.Primary && (g.first == "" || g.first == s.ID) {
			g.first = s.ID
		}
	}
	e.step(now)
	return e.take()
}

func (e *Elector) group(name string) *group {
	g := e.groups[name]
	if g == nil {
		g = &group{name: name}
		e.groups[name] = g
	}
	return g
}

// members returns the servers of a group by id.
func (e *Elector) members(group string) []cataloger.Server {
	var out []cataloger.Server
	for _, s := range e.byID {
		if s.Group == group {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b cataloger.Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// registered reports whether the rows show this run of the daemon.
func (e *Elector) registered() bool {
	return e.hosts[e.settings.Self.Name] == e.settings.Self
}

// Tick does what is due by now.
func (e *Elector) Tick(now timekeeper.Millis) []Command {
	e.step(now)
	return e.take()
}

func (e *Elector) step(now timekeeper.Millis) {
	if !e.read {
		return
	}
	e.register(now)
	e.retire(now)
	for _, name := range slices.Sorted(maps.Keys(e.groups)) {
		g := e.groups[name]
		e.respond(now, g)
		e.lead(now, g)
	}
}

// register writes this daemon's registration until the rows show it.
func (e *Elector) register(now timekeeper.Millis) {
	if e.leaving || e.registering || e.registered() || now < e.registerDue {
		return
	}
	e.registering = true
	e.registerDue = now + retryInterval
	row := encode(hostPrefix+e.settings.Self.Name, e.settings.Self)
	e.write(Transaction{Set: []Row{row}}, func(_ timekeeper.Millis, result Result, _ int64) {
		e.registering = false
		e.log("registration", observer.F("result", result.String()))
		e.out = append(e.out, ReloadRows{})
	})
}

// Deregister withdraws the registration. The daemon must not use any primary from
// now on.
func (e *Elector) Deregister() []Command {
	e.leaving = true
	e.write(Transaction{Delete: []string{hostPrefix + e.settings.Self.Name}}, func(timekeeper.Millis, Result, int64) {})
	return e.take()
}

// PrimaryLeases returns what this daemon may believe about the primary of each group.
func (e *Elector) PrimaryLeases(now timekeeper.Millis) map[string]PrimaryLease {
	out := make(map[string]PrimaryLease, len(e.groups))
	for name, g := range e.groups {
		out[name] = e.leadOf(now, g)
	}
	return out
}

// PrimaryLease is what a daemon may believe about a group's primary.
type PrimaryLease struct {
	Server  string
	Term    int64
	History sequencer.History
	// ValidUntil is when the right to answer from this term ends; 0 for no right.
	ValidUntil timekeeper.Millis
	Paused     bool
	ResumeAt   timekeeper.Millis
}

func (e *Elector) leadOf(now timekeeper.Millis, g *group) PrimaryLease {
	lead := PrimaryLease{Server: g.primary(), Term: g.reign.Term, History: g.reign.History}
	if e.read && e.registered() && !e.leaving {
		lead.ValidUntil = e.readAt + e.settings.LeaseDuration
	}
	if g.reign.ChangeReason == "" || g.objected == g.reign.ChangeNumber && g.reign.Successor == "" {
		return lead
	}
	lead.Paused = true
	lead.ResumeAt = e.resume(now, g)
	if g.released == g.reign.ChangeNumber {
		lead.ValidUntil = 0
	}
	return lead
}

// resume returns when a change under way is expected to be over; 0 where it has
// taken so long that nothing can be said.
func (e *Elector) resume(now timekeeper.Millis, g *group) timekeeper.Millis {
	expected := e.expected(g)
	if now-g.announced > 2*expected {
		return 0
	}
	return max(g.announced+expected, now+resumeLeast)
}

// expected is how long a change of a group's primary takes.
func (e *Elector) expected(g *group) timekeeper.Millis {
	if g.reign.LastChangeDuration > 0 {
		return g.reign.LastChangeDuration
	}
	return e.settings.InitialChangeDuration
}
