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

// Settings configures an Elector.
type Settings struct {
	Self Host
	// LeaseDuration is how long a primary lease lasts, from the request of the
	// last read of the store. It exceeds common outages of the store, because
	// service stops when the lease expires. A primary change waits for leases
	// to expire only if a daemon does not acknowledge the change.
	LeaseDuration timekeeper.Millis
	// ClockSkew is added to LeaseDuration where a primary change or the
	// deletion of a registration waits for a lease to expire, because clocks
	// differ.
	ClockSkew timekeeper.Millis
	// SuspectTimeout is how long a primary must be unresponsive, or fail most
	// statements, before a change is announced.
	SuspectTimeout timekeeper.Millis
	// UnregisteredTimeout is how long the primary must not be registered before a change
	// is announced. Servers register again within 2 s of the end of an outage of the store.
	UnregisteredTimeout timekeeper.Millis
	// RejectWindow is how recently the primary must have responded to a daemon
	// for the daemon to reject a change.
	RejectWindow timekeeper.Millis
	// DrainTimeout is how long statements may continue on the primary after a
	// handover was announced.
	DrainTimeout timekeeper.Millis
	// CatchUpTimeout is how long a change waits for a server that has received
	// every commit known to the daemons, before it promotes the server that has
	// received most.
	CatchUpTimeout timekeeper.Millis
	// LostServerTimeout is how long a server with acknowledged commits that no other
	// server has may be unregistered before the commits are given up. It applies to groups
	// with synchronous replicas.
	LostServerTimeout timekeeper.Millis
	// CancelBackoff is how long no new change is announced after a cancelled
	// one.
	CancelBackoff timekeeper.Millis
	// HeartbeatTimeout is how long a daemon may go without a new heartbeat
	// before it counts as unresponsive; another daemon may then replace it as
	// failover coordinator.
	HeartbeatTimeout timekeeper.Millis
	// HeartbeatInterval is the time between two heartbeats of a daemon.
	HeartbeatInterval timekeeper.Millis
	// InitialChangeDuration is how long a primary change is expected to take
	// until the group has a measured one.
	InitialChangeDuration timekeeper.Millis
}

// DefaultSettings returns the default timeouts for the daemon self.
func DefaultSettings(self Host) Settings {
	return Settings{
		Self:                  self,
		LeaseDuration:         14_000,
		ClockSkew:             500,
		SuspectTimeout:        700,
		UnregisteredTimeout:   2500,
		RejectWindow:          800,
		DrainTimeout:          300,
		CatchUpTimeout:        8000,
		LostServerTimeout:     30_000,
		CancelBackoff:         2000,
		HeartbeatTimeout:      7000,
		HeartbeatInterval:     3000,
		InitialChangeDuration: 1400,
	}
}

// PrimaryHealth is the health of a group's primary as seen in this daemon's own
// traffic.
type PrimaryHealth struct {
	// LastResponse is when the server last responded; 0 for never.
	LastResponse timekeeper.Millis
	// UnresponsiveSince is when the server stopped responding to requests; 0 if
	// it responds.
	UnresponsiveSince timekeeper.Millis
	// FailingSince is when the server began to fail most statements; 0 if it
	// does not.
	FailingSince timekeeper.Millis
	// Quiesced is set if no statements are in flight on the primary.
	Quiesced bool
	// HighestPosition is the highest position that the primary reported.
	HighestPosition sequencer.Position
	// Term is the primary's term according to its responses; 0 if unknown.
	Term int64
}

// Deps are the functions that an Elector needs from outside.
type Deps struct {
	// PrimaryHealth returns the health of the server as primary of the group.
	PrimaryHealth func(group, server string) PrimaryHealth
	// SynchronousReplicas returns how many replicas must have received a commit of the group
	// before its primary acknowledges it, and whether the group is in the catalog. nil
	// stands for none and for a catalog with every group.
	SynchronousReplicas func(group string) (int, bool)
	// Log records a decision; nil discards it.
	Log func(observer.Decision)
}

// Elector decides for one daemon which servers it may use as primaries, and
// coordinates primary changes while the daemon is the failover coordinator. Its
// methods return the commands that the driver executes next. It is not safe for
// concurrent use.
type Elector struct {
	settings Settings
	deps     Deps
	commands []Command

	// rows holds the known rows by key, and revision is the store's revision up
	// to which they are known.
	rows     map[string]Row
	revision Revision
	// readAt is when the last full read of the rows was requested, or the last
	// request that found no row changed. The primary leases start at this time.
	// haveRows is set once a full read has finished.
	readAt   timekeeper.Millis
	haveRows bool
	// registrations holds the daemons' registrations in the rows, and hosts also the
	// daemons that are remembered from earlier eras.
	registrations map[string]Host
	hosts         map[string]Host
	era           eraState
	acks          map[string]map[string]Ack
	coordinator   Coordinator
	heartbeats    map[string]observedHeartbeat
	// heartbeatsAt is when the heartbeats were last read.
	heartbeatsAt timekeeper.Millis
	// heartbeatsEra is the store's era of that reading.
	heartbeatsEra int64
	// readerSince is since when this daemon has been the domain reader; 0 if it is not.
	readerSince timekeeper.Millis
	groups      map[string]*group
	serversByID map[string]cataloger.Server

	lastCommandID     uint64
	pendingWrites     map[uint64]func(now timekeeper.Millis, result Result, revision Revision)
	pendingInspects   map[uint64]func(now timekeeper.Millis, status ServerStatus, err error)
	pendingPromotions map[uint64]func(now timekeeper.Millis, err error)

	// registering is set while a write of the registration or its deletion is pending,
	// and registerSent once one was sent. registerDue is when the next one may be sent.
	registering, registerSent bool
	registerDue               timekeeper.Millis
	// leaving is set once this daemon ends, and deregistered once its registration is
	// deleted.
	leaving, deregistered bool
	acquiring             bool
	acquireDue            timekeeper.Millis
	// revocations holds the revoked registrations by host name.
	revocations map[string]observedRevocation
	expireDue   timekeeper.Millis
}

// New returns an Elector without rows. It grants no lease and runs no step
// until SetRows.
func New(settings Settings, deps Deps) *Elector {
	if deps.Log == nil {
		deps.Log = func(observer.Decision) {}
	}
	return &Elector{
		settings: settings, deps: deps,
		rows: map[string]Row{}, registrations: map[string]Host{}, hosts: map[string]Host{}, acks: map[string]map[string]Ack{},
		revocations: map[string]observedRevocation{}, heartbeats: map[string]observedHeartbeat{}, groups: map[string]*group{}, serversByID: map[string]cataloger.Server{},
		pendingWrites:     map[uint64]func(timekeeper.Millis, Result, Revision){},
		pendingInspects:   map[uint64]func(timekeeper.Millis, ServerStatus, error){},
		pendingPromotions: map[uint64]func(timekeeper.Millis, error){},
	}
}

// takeCommands returns the queued commands and clears the queue.
func (e *Elector) takeCommands() []Command {
	commands := e.commands
	e.commands = nil
	return commands
}

func (e *Elector) log(outcome string, fields ...observer.Field) {
	e.deps.Log(observer.Decision{Part: "elector", Outcome: outcome, Inputs: fields})
}

// write queues a Write. done runs when WriteFinished reports its result. Conditions on
// versions hold in the present era only: a conditional Write does not take effect in a
// later era that is recovered. A Write counts as Indeterminate once another era has
// begun, because the store may have lost it.
func (e *Elector) write(tx Transaction, done func(now timekeeper.Millis, result Result, revision Revision)) {
	era := e.revision.Era
	if era > 0 && len(tx.Expect) > 0 {
		tx.Expect = append(tx.Expect, Row{Key: eraKey(era + 1)})
	}
	e.lastCommandID++
	e.pendingWrites[e.lastCommandID] = func(now timekeeper.Millis, result Result, revision Revision) {
		if result == Applied && (e.revision.Era != era || revision.Era > era) {
			result = Indeterminate
			e.commands = append(e.commands, ReloadRows{})
		}
		done(now, result, revision)
	}
	e.commands = append(e.commands, Write{ID: e.lastCommandID, Tx: tx})
}

// inspect queues an Inspect. done runs when InspectFinished reports its result.
func (e *Elector) inspect(server cataloger.Server, request InspectRequest, done func(timekeeper.Millis, ServerStatus, error)) {
	e.lastCommandID++
	e.pendingInspects[e.lastCommandID] = done
	e.commands = append(e.commands, Inspect{ID: e.lastCommandID, Server: server, Request: request})
}

// WriteFinished completes the Write with the given ID. revision is the
// store's revision after the Write, or the zero revision if unknown.
func (e *Elector) WriteFinished(now timekeeper.Millis, id uint64, result Result, revision Revision) []Command {
	done := e.pendingWrites[id]
	delete(e.pendingWrites, id)
	if done != nil {
		done(now, result, revision)
	}
	return e.takeCommands()
}

// InspectFinished completes the Inspect with the given ID. status is valid if
// err is nil.
func (e *Elector) InspectFinished(now timekeeper.Millis, id uint64, status ServerStatus, err error) []Command {
	done := e.pendingInspects[id]
	delete(e.pendingInspects, id)
	if done != nil {
		done(now, status, err)
	}
	return e.takeCommands()
}

// PromotionFinished completes the Promote with the given ID. A nil err means
// that the platform accepted the request, not that the server is the primary.
func (e *Elector) PromotionFinished(now timekeeper.Millis, id uint64, err error) []Command {
	done := e.pendingPromotions[id]
	delete(e.pendingPromotions, id)
	if done != nil {
		done(now, err)
	}
	return e.takeCommands()
}

// SetRows replaces all rows with a full read at a revision and renews the primary
// leases from requestedAt, the time when the read was requested. A read older
// than the known revision is ignored.
func (e *Elector) SetRows(now, requestedAt timekeeper.Millis, rows []Row, revision Revision) []Command {
	if revision.Before(e.revision) {
		e.log("older rows ignored", observer.F("version", revision.Version), observer.F("era", revision.Era),
			observer.F("have", e.revision.Version), observer.F("in", e.revision.Era))
		return nil
	}
	byKey := make(map[string]Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	if revision.Era > e.revision.Era {
		e.enterEra(now, byKey, revision)
	}
	e.rows = byKey
	e.revision = revision
	e.haveRows = true
	e.decodeRows(now)
	e.renewLeases(requestedAt)
	e.step(now)
	return e.takeCommands()
}

// ApplyChanges applies the rows that changed up to a revision. Rows that are not
// newer than the known ones are skipped, and so are all rows of another era than
// theirs. Leases are not renewed.
func (e *Elector) ApplyChanges(now timekeeper.Millis, rows []Row, revision Revision) []Command {
	if revision.Era != e.revision.Era {
		return nil
	}
	for _, row := range rows {
		if have := e.rows[row.Key]; row.Version <= have.Version || row.Version <= e.revision.Version && have.Version == 0 {
			continue
		}
		if row.Deleted {
			delete(e.rows, row.Key)
			continue
		}
		e.rows[row.Key] = row
	}
	e.revision.Version = max(e.revision.Version, revision.Version)
	e.decodeRows(now)
	e.step(now)
	return e.takeCommands()
}

// decodeRows decodes all rows. A row that can't be decoded is logged and skipped.
func (e *Elector) decodeRows(now timekeeper.Millis) {
	e.registrations = map[string]Host{}
	e.acks = map[string]map[string]Ack{}
	withRecord := map[string]bool{}
	for _, key := range slices.Sorted(maps.Keys(e.rows)) {
		row := e.rows[key]
		var err error
		switch {
		case strings.HasPrefix(key, hostPrefix):
			e.registrations[key[len(hostPrefix):]], err = decode[Host](row)
		case strings.HasPrefix(key, ackPrefix):
			err = e.decodeAckRow(row)
		case strings.HasPrefix(key, recordPrefix):
			name := key[len(recordPrefix):]
			withRecord[name] = true
			err = e.group(name).setRecord(now, e, row)
		case key == coordinatorKey:
			err = e.setCoordinator(row)
		}
		if err != nil {
			e.log("row skipped", observer.F("key", key), observer.F("error", err.Error()))
		}
	}
	e.hosts = maps.Clone(e.registrations)
	e.rememberHosts(now)
	for name, g := range e.groups {
		if !withRecord[name] {
			g.recordVersion, g.recordLost = 0, g.record.Primary != ""
		}
		if !e.revision.Before(g.ownWrite) {
			g.ownWrite = Revision{}
		}
	}
}

// setCoordinator decodes the row of the failover coordinator. A known coordinator with a
// higher fencing token is kept, since the store may have lost it.
func (e *Elector) setCoordinator(row Row) error {
	coordinator, err := decode[Coordinator](row)
	if err == nil && coordinator.FencingToken >= e.coordinator.FencingToken {
		e.coordinator = coordinator
	}
	return err
}

func (e *Elector) decodeAckRow(row Row) error {
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

// PeerAddresses returns the addresses at which the registered daemons accept
// other daemons, in the order of the daemons' names. This daemon is included.
func (e *Elector) PeerAddresses() []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(e.hosts)) {
		out = append(out, e.hosts[name].Address)
	}
	return out
}

// SetServers replaces the registered backend servers.
func (e *Elector) SetServers(now timekeeper.Millis, servers []cataloger.Server) []Command {
	e.serversByID = make(map[string]cataloger.Server, len(servers))
	servers = slices.SortedFunc(slices.Values(servers), func(a, b cataloger.Server) int { return cmp.Compare(a.ID, b.ID) })
	for _, s := range servers {
		e.serversByID[s.ID] = s
		g := e.group(s.Group)
		if s.Primary && (g.initialPrimary == "" || g.initialPrimary == s.ID) {
			g.initialPrimary = s.ID
		}
	}
	for _, g := range e.groups {
		_, registered := e.serversByID[g.primary()]
		switch {
		case registered:
			g.unregisteredSince = 0
		case g.unregisteredSince == 0:
			g.unregisteredSince = now
		}
	}
	e.step(now)
	return e.takeCommands()
}

// group returns the state of a group, which is created on first use.
func (e *Elector) group(name string) *group {
	g := e.groups[name]
	if g == nil {
		g = &group{name: name}
		e.groups[name] = g
	}
	return g
}

// members returns the servers of a group, sorted by ID.
func (e *Elector) members(group string) []cataloger.Server {
	var out []cataloger.Server
	for _, s := range e.serversByID {
		if s.Group == group {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b cataloger.Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Tick runs the steps that are due.
func (e *Elector) Tick(now timekeeper.Millis) []Command {
	e.step(now)
	return e.takeCommands()
}

// step runs the due steps of the registrations and of every group.
func (e *Elector) step(now timekeeper.Millis) {
	if !e.haveRows {
		return
	}
	e.recoverRows(now)
	if e.leaving {
		e.deregister(now)
	}
	e.register(now)
	e.expireRegistrations(now)
	for _, name := range slices.Sorted(maps.Keys(e.groups)) {
		g := e.groups[name]
		e.acknowledge(now, g)
		e.runChange(now, g)
	}
}
