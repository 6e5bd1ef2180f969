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
	// attemptLimit bounds how often one unit of work is sent to servers.
	attemptLimit = 4
	// retryEarned is the part of a retry that each unit of work adds to the
	// budget.
	retryEarned = 0.1
	// retryLimit is the greatest number of retries saved up.
	retryLimit = 20.0
)

// SQLSTATEs of outcomes that the dispatcher decides itself.
const (
	CodeOverload          = "53300"
	CodeNoPrimary         = "57P03"
	CodeOutcomeUnknown    = "08007"
	CodeRolledBack        = "40000"
	CodeAlreadyCommitted  = "HH001"
	CodeKeyReused         = "HH002"
	CodeMaxAgeUnmet       = "HH003"
	CodeIdleInTransaction = "25P03"
)

// codeReadOnly is what a server answers that is not, or no longer, the primary.
// The work did not run.
const codeReadOnly = "25006"

// Dispatcher is the home of one database. It is not safe for concurrent use.
type Dispatcher struct {
	settings Settings
	deps     Deps
	out      []Command
	spare    []Command

	servers  []*server
	byName   map[string]*server
	queue    *scheduler.Queue
	tracker  *acknowledger.Tracker
	age      *router.StalenessTracker
	progress progress

	jobs map[string]*job
	// parked are the jobs that wait for positions.
	parked map[string]*job
	conns  map[pooler.Conn]*job
	owner  map[pooler.Conn]*server

	history sequencer.History
	primary *server
	paused  bool
	asked   uint64
	askedAt map[uint64]timekeeper.Millis
	budget  float64
	costs   [scheduler.Ranks]float64
	share   int
	scratch []router.Candidate
	// fits tells whether an item can start at now, and leaves its server in
	// chosen.
	fits   func(scheduler.Item) bool
	now    timekeeper.Millis
	chosen *server
}

// New returns a dispatcher that knows nothing yet of its servers' state.
func New(settings Settings, deps Deps) *Dispatcher {
	d := &Dispatcher{
		settings: settings,
		deps:     deps,
		byName:   map[string]*server{},
		queue:    scheduler.New(settings.RankPolicies, settings.QueueLimit),
		tracker:  acknowledger.New(len(settings.Servers)),
		age:      router.NewStalenessTracker(len(settings.Servers)),
		jobs:     map[string]*job{},
		parked:   map[string]*job{},
		conns:    map[pooler.Conn]*job{},
		owner:    map[pooler.Conn]*server{},
		askedAt:  map[uint64]timekeeper.Millis{},
		budget:   retryLimit / 2,
		share:    100,
	}
	if settings.CommitQuorum > 0 {
		d.tracker = d.tracker.WithQuorum(settings.CommitQuorum)
	}
	for i := range d.costs {
		d.costs[i] = serviceGuess
	}
	d.fits = func(item scheduler.Item) bool {
		d.chosen = d.choose(d.now, item)
		return d.chosen != nil
	}
	for _, s := range settings.Servers {
		added := &server{Server: s, pool: pooler.New(s.Connections, s.Slots+1, deps.NextConn), service: serviceGuess}
		d.servers = append(d.servers, added)
		d.byName[s.Name] = added
	}
	return d
}

// take returns the commands decided since the last call. The slice is used again
// by the call after the next one.
func (d *Dispatcher) take() []Command {
	out := d.out
	d.out = d.spare[:0]
	d.spare = out
	return out
}

func (d *Dispatcher) emit(c Command) {
	d.out = append(d.out, c)
}

// Submit takes a unit of work. Work already known is passed over, so that a
// message sent twice runs once.
func (d *Dispatcher) Submit(now timekeeper.Millis, w Work) []Command {
	if _, known := d.jobs[w.ID]; known {
		return nil
	}
	j := &job{work: w, arrived: now, expires: now + w.Timeout, floor: w.Floor, doubtful: w.MayHaveRun}
	d.jobs[w.ID] = j
	d.budget = min(retryLimit, d.budget+retryEarned)
	d.place(now, j)
	d.pump(now)
	return d.take()
}

// place decides what a unit of work waits for.
func (d *Dispatcher) place(now timekeeper.Millis, j *job) {
	if j.work.lane() == scheduler.LaneAny && !d.resolveFloor(now, j) {
		j.phase = phaseBarrier
		j.barrier = d.asked
		j.until = min(j.expires, now+d.settings.RankPolicies[j.work.Rank].MaxWait)
		d.parked[j.work.ID] = j
		d.askAll(now)
		return
	}
	d.admit(now, j)
}

// admit parks or queues a unit of work whose floor is known.
func (d *Dispatcher) admit(now timekeeper.Millis, j *job) {
	lane := d.laneOf(now, j)
	if lane != j.work.lane() && d.park(now, j) {
		d.parked[j.work.ID] = j
		return
	}
	d.enqueue(now, j, lane)
}

// resolveFloor sets the floor of a read that asks for a barrier or an age. It
// reports false where a majority must be asked first.
func (d *Dispatcher) resolveFloor(now timekeeper.Millis, j *job) bool {
	if j.work.MaxAge > 0 {
		floor, known := d.age.Floor(now, j.work.MaxAge)
		if !known {
			return false
		}
		j.floor = sequencer.Max(j.floor, floor)
	}
	return !j.work.Barrier
}

// park lets a read wait for a replica that is about to cover its floor.
func (d *Dispatcher) park(now timekeeper.Millis, j *job) bool {
	if j.phase == phaseParked || d.settings.ReadsOnPrimary {
		return false
	}
	seen := now - d.progress.seen(j.floor.Offset, now)
	wait, known := router.EstimateCatchUp(d.candidates(now, j.work.Rank), seen)
	if !known || wait > d.settings.MaxCatchUpWait {
		return false
	}
	j.phase = phaseParked
	j.until = now + wait + 1
	return true
}

// need returns what a read asks of a server. Floors on entries that were never
// acknowledged and are lost are clamped to what survived.
func (d *Dispatcher) need(j *job) router.ReadRequirement {
	return router.ReadRequirement{Floor: d.history.Clamp(j.floor), History: d.history}
}

// enqueue puts a unit of work into the queue or refuses it.
func (d *Dispatcher) enqueue(now timekeeper.Millis, j *job, lane scheduler.Lane) {
	j.phase = phaseQueued
	j.item = scheduler.Item{
		ID:               j.work.ID,
		Customer:         j.work.Customer,
		Rank:             j.work.Rank,
		Lane:             lane,
		Cost:             d.costs[j.work.Rank],
		Arrived:          j.arrived,
		Deadline:         d.deadline(now, j),
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

// laneOf sends reads that no replica covers to the primary.
func (d *Dispatcher) laneOf(now timekeeper.Millis, j *job) scheduler.Lane {
	if j.work.lane() == scheduler.LanePrimary || d.settings.ReadsOnPrimary {
		return scheduler.LanePrimary
	}
	if d.covered(now, j) {
		return scheduler.LaneAny
	}
	return scheduler.LanePrimary
}

// deadline is the time by which work must have started: its rank's target, or
// longer while there is no primary.
func (d *Dispatcher) deadline(now timekeeper.Millis, j *job) timekeeper.Millis {
	wait := d.settings.RankPolicies[j.work.Rank].MaxWait
	if !d.hasPrimary(now) || j.attempts > 0 {
		wait = max(wait, d.settings.PrimaryWait)
	}
	return min(j.expires, j.arrived+wait)
}

func (d *Dispatcher) hasPrimary(now timekeeper.Millis) bool {
	return d.primary != nil && d.primary.usable(now, d.settings.ServerTimeout)
}

// capacity returns how many pieces of work can run at once in a lane. A primary
// that has work of its own waiting does not count for the other lane.
func (d *Dispatcher) capacity(now timekeeper.Millis, lane scheduler.Lane) int {
	if lane == scheduler.LanePrimary {
		if d.primary == nil {
			return 1
		}
		return d.primary.slots(now)
	}
	busy := d.queue.LenByLane(scheduler.LanePrimary) > 0
	total := 0
	for _, s := range d.servers {
		if s.usable(now, d.settings.ServerTimeout) && (s != d.primary || !busy) {
			total += s.slots(now)
		}
	}
	return total
}

// candidates returns the servers as the router sees them. The slice is reused
// by the next call.
func (d *Dispatcher) candidates(now timekeeper.Millis, rank scheduler.Rank) []router.Candidate {
	d.scratch = d.scratch[:0]
	for _, s := range d.servers {
		d.scratch = append(d.scratch, s.candidate(now, d.settings.ServerTimeout, s == d.primary, rank))
	}
	return d.scratch
}

// choose returns the server that would run an item now, or nil.
func (d *Dispatcher) choose(now timekeeper.Millis, item scheduler.Item) *server {
	j := d.jobs[item.ID]
	if j == nil {
		return nil
	}
	candidates := d.candidates(now, item.Rank)
	if j.work.lane() == scheduler.LanePrimary || d.settings.ReadsOnPrimary {
		return d.choosePrimary(candidates, j)
	}
	if i := router.SelectForRead(candidates, d.need(j)); i >= 0 {
		return d.servers[i]
	}
	return nil
}

func (d *Dispatcher) choosePrimary(candidates []router.Candidate, j *job) *server {
	i := router.FindPrimary(candidates)
	if i < 0 || candidates[i].Available < 1 || d.paused && j.work.lane() == scheduler.LanePrimary {
		return nil
	}
	return d.servers[i]
}

// pump starts waiting work for as long as servers are free.
func (d *Dispatcher) pump(now timekeeper.Millis) {
	for d.queue.Total() > 0 {
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
	d.connect(now)
}

func (d *Dispatcher) openLanes(now timekeeper.Millis) [2]bool {
	var open [2]bool
	for _, s := range d.servers {
		if s.usable(now, d.settings.ServerTimeout) && s.slots(now) > s.running && s.pool.CanTake(scheduler.RankUrgent) {
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
		d.violated("dispatcher: %s chose %s without a free connection", j.work.ID, s.Name)
		d.queue.Done(j.item, 0)
		d.admit(now, j)
		return
	}
	if d.deps.Log != nil {
		d.deps.Log("router: %s chose %s for %s of %s, applied %v, floor %v, running %d, waited %d ms",
			d.settings.Database, s.Name, j.work.ID, j.work.Rank, s.report.Applied, j.floor, s.running, now-j.arrived)
	}
	j.phase = phaseRunning
	j.conn = conn
	j.server = s
	j.sent = now
	j.inspect = now + d.settings.InspectInterval
	j.idle = 0
	j.attempts++
	s.running++
	d.conns[conn] = j
	d.emit(Exec{
		Conn:       conn,
		Customer:   j.work.Customer,
		Key:        j.work.Key,
		Digest:     j.work.Digest,
		RecordedAt: j.made(now),
		Begin:      j.work.Begin,
		Payload:    j.work.Payload,
		SQL:        j.work.SQL,
	})
}

// violated reports a check inside the program that failed.
func (d *Dispatcher) violated(format string, args ...any) {
	if d.deps.InvariantViolated != nil {
		d.deps.InvariantViolated(format, args...)
	}
}

func (d *Dispatcher) logf(format string, args ...any) {
	if d.deps.Log != nil {
		d.deps.Log(format, args...)
	}
}
