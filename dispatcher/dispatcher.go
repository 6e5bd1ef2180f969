package dispatcher

import (
	"github.com/heatherhall/heatherhall/acknowledger"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/router"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// maxAttempts is the maximum number of times that one unit of work is sent
	// to a server. Preempted attempts don't count.
	maxAttempts = 4
	// retryBudgetPerRequest is how much each unit of work adds to the retry
	// budget, in retries.
	retryBudgetPerRequest = 0.1
	// retryBudgetMax is the cap of the retry budget, in retries.
	retryBudgetMax = 20.0
)

// SQLSTATEs of outcomes that are not results of a server.
const (
	// CodeOverload: the queue refused the work, or it could not start in time.
	CodeOverload = "53300"
	// CodeNoPrimary: no usable primary or no majority responded in time, or the
	// retries are used up.
	CodeNoPrimary = "57P03"
	// CodeOutcomeUnknown: the work may or may not have run.
	CodeOutcomeUnknown = "08007"
	// CodeRolledBack: the transaction was rolled back because its connection
	// was lost, or it is not known to the dispatcher.
	CodeRolledBack = "40000"
	// CodeAlreadyCommitted: a transaction with the same request key has
	// committed before.
	CodeAlreadyCommitted = "HH001"
	// CodeKeyReused: the request key belongs to other work.
	CodeKeyReused = "HH002"
	// CodeMaxAgeUnmet: no majority reported recently enough to guarantee the
	// read's maximum age.
	CodeMaxAgeUnmet = "HH003"
	// CodeIdleInTransaction: the transaction was idle for too long and was
	// rolled back.
	CodeIdleInTransaction = "25P03"
)

// codeReadOnly is the SQLSTATE returned by a server that is not, or no longer,
// the primary (read_only_sql_transaction). The work did not run.
const codeReadOnly = "25006"

// Dispatcher queues the work of one database and decides when and on which
// server it runs. The daemon whose dispatcher queues and routes all work of a
// database is the database's home. A Dispatcher is not safe for concurrent use.
type Dispatcher struct {
	settings Settings
	deps     Deps
	// commands are the commands emitted since the last call of takeCommands,
	// and returnedCommands is the slice that this call returned. The next call
	// makes returnedCommands the buffer for new commands.
	commands         []Command
	returnedCommands []Command

	servers      []*server
	serverByName map[string]*server
	queue        *scheduler.Queue
	tracker      *acknowledger.Tracker
	// staleness computes barriers and the floors of reads with a maximum age
	// from the servers' reported positions.
	staleness       *router.StalenessTracker
	primaryTimeline positionTimeline

	jobs map[string]*job
	// awaitingPosition holds the reads that wait for positions: for a barrier,
	// for a floor from their maximum age, or for a replica to catch up.
	awaitingPosition map[string]*job
	jobByConn        map[pooler.Conn]*job
	serverByConn     map[pooler.Conn]*server

	// history is the timeline history of the newest term known.
	history      sequencer.History
	primary      *server
	writesPaused bool
	// lastSeq is the sequence number of the last Poll or Watch, and requestedAt
	// the time of each one that is still unanswered.
	lastSeq     uint64
	requestedAt map[uint64]timekeeper.Millis
	// retryBudget is the number of retries that are currently allowed.
	retryBudget float64
	// serviceTimes are the average service times by rank, in milliseconds.
	serviceTimes [scheduler.NumRanks]float64
	// connectionShare is the share of each server's connections that this
	// daemon may use, in percent.
	connectionShare int
	candidateBuf    []router.Candidate
	// fits reports whether an item can start at the time in now, and stores its
	// server in chosen.
	fits   func(scheduler.Item) bool
	now    timekeeper.Millis
	chosen *server
}

// New returns a dispatcher that has no reports of its servers yet. Its retry
// budget is half full.
func New(settings Settings, deps Deps) *Dispatcher {
	d := &Dispatcher{
		settings:         settings,
		deps:             deps,
		serverByName:     map[string]*server{},
		queue:            scheduler.New(settings.RankPolicies, settings.QueueLimit),
		tracker:          acknowledger.New(len(settings.Servers)),
		staleness:        router.NewStalenessTracker(len(settings.Servers)),
		jobs:             map[string]*job{},
		awaitingPosition: map[string]*job{},
		jobByConn:        map[pooler.Conn]*job{},
		serverByConn:     map[pooler.Conn]*server{},
		requestedAt:      map[uint64]timekeeper.Millis{},
		retryBudget:      retryBudgetMax / 2,
		connectionShare:  100,
	}
	if settings.CommitQuorum > 0 {
		d.tracker = d.tracker.WithQuorum(settings.CommitQuorum)
	}
	for i := range d.serviceTimes {
		d.serviceTimes[i] = initialServiceTime
	}
	d.fits = func(item scheduler.Item) bool {
		d.chosen = d.selectServer(d.now, item)
		return d.chosen != nil
	}
	for _, s := range settings.Servers {
		added := &server{Server: s, pool: pooler.New(s.Connections, s.Slots+1, deps.NextConn), serviceTime: initialServiceTime}
		d.servers = append(d.servers, added)
		d.serverByName[s.Name] = added
	}
	return d
}

// takeCommands returns the commands emitted since the last call. The returned
// slice is reused for the commands that are emitted after the next call.
func (d *Dispatcher) takeCommands() []Command {
	commands := d.commands
	d.commands = d.returnedCommands[:0]
	d.returnedCommands = commands
	return commands
}

func (d *Dispatcher) emit(c Command) {
	d.commands = append(d.commands, c)
}

// Submit accepts a unit of work and starts, queues or refuses it. Work whose ID
// is already known is ignored, so that a message delivered twice runs once. It
// returns the commands to execute.
func (d *Dispatcher) Submit(now timekeeper.Millis, w Work) []Command {
	if _, known := d.jobs[w.ID]; known {
		return nil
	}
	j := &job{work: w, arrivedAt: now, clientDeadline: now + w.Timeout, floor: w.Floor, mayHaveRun: w.MayHaveRun}
	d.jobs[w.ID] = j
	d.retryBudget = min(retryBudgetMax, d.retryBudget+retryBudgetPerRequest)
	d.schedule(now, j)
	d.dispatchQueued(now)
	return d.takeCommands()
}

// schedule queues a unit of work, or polls all servers first if the floor of a
// read is not known yet.
func (d *Dispatcher) schedule(now timekeeper.Millis, j *job) {
	if j.work.lane() == scheduler.LaneAny && !d.resolveFloor(now, j) {
		j.phase = phaseBarrier
		j.barrierSeq = d.lastSeq
		j.phaseDeadline = min(j.clientDeadline, now+d.settings.RankPolicies[j.work.Rank].MaxWait)
		d.awaitingPosition[j.work.ID] = j
		d.pollAll(now)
		return
	}
	d.enqueueOrWait(now, j)
}

// enqueueOrWait queues a unit of work whose floor is known, or lets it wait for
// a replica to catch up.
func (d *Dispatcher) enqueueOrWait(now timekeeper.Millis, j *job) {
	lane := d.effectiveLane(now, j)
	if lane != j.work.lane() && d.awaitCatchUp(now, j) {
		d.awaitingPosition[j.work.ID] = j
		return
	}
	d.enqueue(now, j, lane)
}

// resolveFloor raises the floor of a read with a maximum age. It returns false
// if the floor is not known yet, because a barrier or the maximum age needs
// reports of a majority first.
func (d *Dispatcher) resolveFloor(now timekeeper.Millis, j *job) bool {
	if j.work.MaxAge > 0 {
		floor, known := d.staleness.Floor(now, j.work.MaxAge)
		if !known {
			return false
		}
		j.floor = sequencer.Max(j.floor, floor)
	}
	return !j.work.Barrier
}

// awaitCatchUp makes a read wait for a replica that is expected to cover its
// floor within MaxCatchUpWait. It returns false if there is no such replica, if
// the read has just waited for one, or if all reads are sent to the primary.
func (d *Dispatcher) awaitCatchUp(now timekeeper.Millis, j *job) bool {
	if j.phase == phaseCatchUp || d.settings.ReadsOnPrimary {
		return false
	}
	sinceSeen := now - d.primaryTimeline.firstSeen(j.floor.Offset, now)
	wait, known := router.EstimateCatchUp(d.candidates(now, j.work.Rank), sinceSeen)
	if !known || wait > d.settings.MaxCatchUpWait {
		return false
	}
	j.phase = phaseCatchUp
	j.phaseDeadline = now + wait + 1
	return true
}

// readRequirement returns the condition that a server must meet to run a read.
// A floor at an entry that was lost without being acknowledged is lowered to
// the last entry that survived.
func (d *Dispatcher) readRequirement(j *job) router.ReadRequirement {
	return router.ReadRequirement{Floor: d.history.Clamp(j.floor), History: d.history}
}

// enqueue adds a unit of work to the queue, or refuses it if the queue rejects
// it.
func (d *Dispatcher) enqueue(now timekeeper.Millis, j *job, lane scheduler.Lane) {
	j.phase = phaseQueued
	j.item = scheduler.Item{
		ID:               j.work.ID,
		Customer:         j.work.Customer,
		Rank:             j.work.Rank,
		Lane:             lane,
		Cost:             d.serviceTimes[j.work.Rank],
		Arrived:          j.arrivedAt,
		Deadline:         d.startDeadline(now, j),
		ConcurrencyLimit: j.work.ConcurrencyLimit,
	}
	if d.settings.FIFO {
		j.item.Rank = scheduler.RankUrgent
		j.item.Customer = ""
	}
	d.queue.SetCapacity(j.item.Lane, d.capacity(now, j.item.Lane))
	if err := d.queue.Push(now, j.item); err != nil {
		d.refuse(j, CodeOverload, err.Error(), retryAfter(err))
	}
}

// effectiveLane returns the lane in which the work is queued: LanePrimary also
// for reads whose floor no replica covers, and for all reads with
// Settings.ReadsOnPrimary.
func (d *Dispatcher) effectiveLane(now timekeeper.Millis, j *job) scheduler.Lane {
	if j.work.lane() == scheduler.LanePrimary || d.settings.ReadsOnPrimary {
		return scheduler.LanePrimary
	}
	if d.replicaCoversFloor(now, j) {
		return scheduler.LaneAny
	}
	return scheduler.LanePrimary
}

// startDeadline returns the time by which work must have started: its rank's
// maximum wait after its arrival, or PrimaryWait if that is longer and there is
// no usable primary or the work is being retried. It is never later than the
// client's deadline.
func (d *Dispatcher) startDeadline(now timekeeper.Millis, j *job) timekeeper.Millis {
	wait := d.settings.RankPolicies[j.work.Rank].MaxWait
	if !d.hasPrimary(now) || j.attempts > 0 {
		wait = max(wait, d.settings.PrimaryWait)
	}
	return min(j.clientDeadline, j.arrivedAt+wait)
}

func (d *Dispatcher) hasPrimary(now timekeeper.Millis) bool {
	return d.primary != nil && d.primary.usable(now, d.settings.ServerTimeout)
}

// capacity returns how many units of work can run at once in a lane. The
// primary does not count for LaneAny while work for LanePrimary is queued.
func (d *Dispatcher) capacity(now timekeeper.Millis, lane scheduler.Lane) int {
	if lane == scheduler.LanePrimary {
		if d.primary == nil {
			return 1
		}
		return d.primary.currentSlots(now)
	}
	primaryBusy := d.queue.LenByLane(scheduler.LanePrimary) > 0
	total := 0
	for _, s := range d.servers {
		if s.usable(now, d.settings.ServerTimeout) && (s != d.primary || !primaryBusy) {
			total += s.currentSlots(now)
		}
	}
	return total
}

// candidates returns the servers as candidates for the router. The slice is
// reused by the next call.
func (d *Dispatcher) candidates(now timekeeper.Millis, rank scheduler.Rank) []router.Candidate {
	d.candidateBuf = d.candidateBuf[:0]
	for _, s := range d.servers {
		d.candidateBuf = append(d.candidateBuf, s.candidate(now, d.settings.ServerTimeout, s == d.primary, rank))
	}
	return d.candidateBuf
}

// selectServer returns the server that can run an item now, or nil.
func (d *Dispatcher) selectServer(now timekeeper.Millis, item scheduler.Item) *server {
	j := d.jobs[item.ID]
	if j == nil {
		return nil
	}
	candidates := d.candidates(now, item.Rank)
	if j.work.lane() == scheduler.LanePrimary || d.settings.ReadsOnPrimary {
		return d.selectPrimary(candidates, j)
	}
	if i := router.SelectForRead(candidates, d.readRequirement(j)); i >= 0 {
		return d.servers[i]
	}
	return nil
}

func (d *Dispatcher) selectPrimary(candidates []router.Candidate, j *job) *server {
	i := router.FindPrimary(candidates)
	if i < 0 || candidates[i].Available < 1 || d.writesPaused && j.work.lane() == scheduler.LanePrimary {
		return nil
	}
	return d.servers[i]
}

// dispatchQueued starts queued work while servers have free slots, then
// preempts and adjusts the connection pools.
func (d *Dispatcher) dispatchQueued(now timekeeper.Millis) {
	for d.queue.Len() > 0 {
		open := d.openLanes(now)
		if !open[scheduler.LanePrimary] && !open[scheduler.LaneAny] {
			break
		}
		d.now = now
		item, found := d.queue.Pop(open, d.fits)
		if !found {
			break
		}
		d.start(now, d.jobs[item.ID], d.chosen)
	}
	d.preempt()
	d.adjustPools(now)
}

func (d *Dispatcher) openLanes(now timekeeper.Millis) [2]bool {
	var open [2]bool
	for _, s := range d.servers {
		if s.usable(now, d.settings.ServerTimeout) && s.currentSlots(now) > s.inFlight && s.pool.CanTake(scheduler.RankUrgent) {
			open[scheduler.LaneAny] = true
			if s == d.primary {
				open[scheduler.LanePrimary] = true
			}
		}
	}
	return open
}

// start sends a unit of work to a server.
func (d *Dispatcher) start(now timekeeper.Millis, j *job, s *server) {
	conn, ready := s.pool.Take(j.work.Rank)
	if !ready {
		d.invariantViolated("dispatcher: %s is assigned to %s, which has no free connection", j.work.ID, s.Name)
		d.queue.Done(j.item, 0)
		d.enqueueOrWait(now, j)
		return
	}
	if d.deps.Log != nil {
		d.deps.Log("router: %s chose %s for %s of %s, applied %v, floor %v, running %d, waited %d ms",
			d.settings.Database, s.Name, j.work.ID, j.work.Rank, s.report.Applied, j.floor, s.inFlight, now-j.arrivedAt)
	}
	j.phase = phaseRunning
	j.conn = conn
	j.server = s
	j.sentAt = now
	j.nextInspectAt = now + d.settings.InspectInterval
	j.idleInspections = 0
	j.attempts++
	s.inFlight++
	d.jobByConn[conn] = j
	d.emit(Exec{
		Conn:       conn,
		Customer:   j.work.Customer,
		Key:        j.work.Key,
		Digest:     j.work.Digest,
		RecordedAt: j.recordedAt(now),
		Begin:      j.work.Begin,
		Payload:    j.work.Payload,
		SQL:        j.work.SQL,
	})
}

// invariantViolated reports a failed internal consistency check.
func (d *Dispatcher) invariantViolated(format string, args ...any) {
	if d.deps.InvariantViolated != nil {
		d.deps.InvariantViolated(format, args...)
	}
}

func (d *Dispatcher) logf(format string, args ...any) {
	if d.deps.Log != nil {
		d.deps.Log(format, args...)
	}
}
