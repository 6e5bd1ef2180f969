package multiplexer

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherhall/heatherhall/balancer"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/router"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// balanceInterval is the time between two updates of the balancers' servers.
const balanceInterval timekeeper.Millis = 200

// groupBalance is the state of a group whose reads are balanced between failure
// domains. All methods do nothing on a nil groupBalance: the group's reads are
// routed by the expected wait of each read alone.
type groupBalance struct {
	*balancer.Balancer
	group       *group
	refreshedAt timekeeper.Millis
	// objectives are the shortest latency objectives of the statements that have
	// arrived, by rank, under the catalog with the given version.
	objectives     [scheduler.NumRanks]timekeeper.Millis
	catalogVersion int64
	// ownSharers is how many daemons of this domain send work to the group's
	// servers; 0 if unknown.
	ownSharers int
	// outside is how many daemons outside a server's domain do so, by server.
	outside map[string]int
	// late are the jobs that give way to others, the oldest first, and yielded
	// counts the jobs that have started in a row while one of them waited.
	late    []*job
	yielded int
	// askedAt is when the neighbours were last asked for reports, and asked how
	// often.
	askedAt timekeeper.Millis
	asked   uint64
}

// balances reports whether reads are balanced between failure domains. By default
// accounts do not switch it on: each further server costs an account connections of its
// own, of which servers have too few.
func (m *Multiplexer) balances() bool {
	switch m.settings.Balance {
	case BalanceOn:
		return true
	case BalanceOff:
		return false
	}
	return m.placement.Uneven()
}

// tickBalance switches the group's balancing on or off, updates it and logs its
// changes.
func (g *group) tickBalance(now timekeeper.Millis) {
	if on := g.mux.balances(); on != (g.balance != nil) {
		g.balance.returnLate(now)
		g.balance = nil
		for _, s := range g.servers {
			s.trust = trust{}
		}
		if on {
			g.balance = &groupBalance{Balancer: balancer.New(xxhash.Sum64String(g.mux.placement.Self().Name + "/" + g.name)), group: g}
		}
		g.log("balancing of reads between failure domains", observer.F("on", on))
	}
	b := g.balance
	if b == nil {
		return
	}
	if now-b.refreshedAt >= balanceInterval {
		b.refreshedAt = now
		b.refresh(now)
	}
	demand := b.updateWaiting(now)
	for _, c := range b.Update(now, demand) {
		outcome := "part of the reads that leave the failure domain changed"
		switch {
		case c.Before == 0:
			outcome = "reads begin to leave the failure domain"
		case c.Fraction == 0:
			outcome = "reads no longer leave the failure domain"
		}
		g.log(outcome, observer.F("rank", c.Rank.String()), observer.F("fraction", c.Fraction), observer.F("before", c.Before), observer.F("own", math.Round(c.Own)),
			observer.F("remote", math.Round(c.Remote)), observer.F("margin", math.Round(c.Margin)), observer.F("wait", math.Round(c.Wait)), observer.F("objective", int64(c.Objective)))
	}
	b.askNeighbours(now)
}

// sharers returns by how many daemons the statements that may run at once on a
// server are divided. Daemons of other domains are bounded by their credit at a
// replica, so that its own domain's divide all of it.
func (b *groupBalance) sharers(g *group, s *server) int {
	if b != nil && b.ownSharers > 0 && s.Domain == g.mux.settings.Domain && !g.isPrimary(s) {
		return b.ownSharers
	}
	return max(g.sharers, 1)
}

// refresh passes the group's servers to the balancer.
func (b *groupBalance) refresh(now timekeeper.Millis) {
	g := b.group
	if b.catalogVersion != g.mux.catalog.Version {
		b.catalogVersion, b.objectives = g.mux.catalog.Version, [scheduler.NumRanks]timekeeper.Millis{}
	}
	placement := g.mux.placement
	if !placement.Partial() {
		// Otherwise the parts of the servers stay, since the other daemons use them
		// too.
		b.ownSharers = g.sharers - placement.SharersOutside(g.mux.settings.Domain, g.carrierCount)
		b.outside = map[string]int{}
		for _, s := range g.servers {
			b.outside[s.ID] = placement.SharersOutside(s.Domain, g.carrierCount)
		}
	}
	list := make([]balancer.Server, 0, len(g.servers))
	for _, s := range g.servers {
		s.noticeWarmup(now)
		list = append(list, balancer.Server{
			Name: s.ID, Domain: s.Domain, Own: s.Domain == g.mux.settings.Domain, Slots: s.Slots,
			Primary: g.isPrimary(s), Sharers: cmp.Or(b.outside[s.ID], g.sharers), Peers: b.ownSharers,
		})
	}
	b.SetServers(list)
}

// updateWaiting updates the servers' states and the late jobs, and returns the
// demand by rank.
func (b *groupBalance) updateWaiting(now timekeeper.Millis) [scheduler.NumRanks]balancer.Demand {
	g := b.group
	for _, s := range g.servers {
		usable := s.usable(now, g.mux.settings.LeavingGrace) && s.leavingSince == 0 && !s.restricted(now)
		if g.isPrimary(s) {
			usable = usable && s == g.usablePrimary(now)
		}
		b.SetState(s.ID, usable, s.oldestUnanswered())
	}
	var demand [scheduler.NumRanks]balancer.Demand
	waits := g.waits(now)
	for r := range scheduler.Rank(scheduler.NumRanks) {
		demand[r] = balancer.Demand{Wait: waits[r], Objective: b.objectives[r]}
	}
	b.updateLate(now)
	return demand
}

// waits returns the mean time for which reads that need no primary have waited,
// by rank, in milliseconds. Late jobs don't count: they wait for a free server
// however short the queue is.
func (g *group) waits(now timekeeper.Millis) [scheduler.NumRanks]float64 {
	var sums, counts [scheduler.NumRanks]float64
	for _, j := range g.waiting {
		if j.lane == scheduler.LaneAny && !j.late {
			r := rankOf(j.database)
			sums[r] += float64(now - j.arrived)
			counts[r]++
		}
	}
	for r := range sums {
		sums[r] /= max(counts[r], 1)
	}
	return sums
}

// arrived accounts for a job that is queued for the first time.
func (b *groupBalance) arrived(j *job) {
	if b == nil {
		return
	}
	j.late = false
	if j.attempts > 0 {
		return
	}
	r := rankOf(j.database)
	if objective := j.database.LatencyObjective; objective > 0 && (b.objectives[r] == 0 || objective < b.objectives[r]) {
		b.objectives[r] = objective
	}
	if j.lane == scheduler.LaneAny {
		b.Arrived(r)
	}
}

// started accounts for a job that starts on a server.
func (b *groupBalance) started(now timekeeper.Millis, j *job, s *server) {
	if b == nil {
		return
	}
	b.countYield(j)
	if j.lane == scheduler.LaneAny {
		b.Started(now, s.ID, rankOf(j.database))
	}
}

// answered accounts for a server's answer to a read that needs no primary.
func (b *groupBalance) answered(now timekeeper.Millis, j *job, s *server, code Code) {
	if b == nil {
		return
	}
	if !b.group.isPrimary(s) {
		s.recordTrust(now, b.group, code)
	}
	if j.writes || j.statement.Kind == KindCommit {
		return
	}
	took, r, queued := now-j.sent, rankOf(j.database), j.item.ID != "" || j.late
	switch {
	case code == CodeOK:
		b.RecordAnswer(now, s.ID, r, took, queued && j.lane == scheduler.LaneAny)
	case code == CodeNotRun || code == CodeFailed || code == CodeTimeout:
		b.RecordFailure(now, s.ID, r, took)
	}
	if !queued && !j.needsPrimary() {
		b.Spend(s.ID, took)
	}
}

// unanswered accounts for a statement that a server did not answer in time, or
// whose connection broke.
func (b *groupBalance) unanswered(now timekeeper.Millis, j *job, s *server) {
	if b == nil || j.step != stepRun {
		return
	}
	if !b.group.isPrimary(s) {
		s.errorRate += smoothing * (1 - s.errorRate)
	}
	b.answered(now, j, s, CodeTimeout)
}

// restrict makes those candidates unusable that a read must not go to: servers of
// other failure domains, unless the read should leave, and servers that only get
// single reads to show whether they work.
func (b *groupBalance) restrict(now timekeeper.Millis, j *job, candidates []router.Candidate, requirement router.ReadRequirement, known bool) {
	if b == nil {
		return
	}
	g, rank := b.group, rankOf(j.database)
	home, remote, probe := false, -1, -1
	mayLeave := b.MayLeave(rank) && !j.late
	for i := range candidates {
		c, s := &candidates[i], g.servers[i]
		c.Expected = b.ExpectedTime(now, s.ID, rank) * (1 + float64(s.running)/float64(max(s.Slots, 1)))
		if c.Primary {
			// A quarter of this daemon's limit is left for work that needs the primary.
			c.Available -= s.limit(g, rank) / 4
		} else {
			c.Available = min(c.Available, s.trialLimit(now, j)-s.running)
			c.Usable = c.Usable && known && !j.excluded[c.Name]
		}
		if !c.Usable || !requirement.Covers(*c) {
			continue
		}
		ready := c.Available > 0 && s.pool.CanTake(rank)
		switch {
		case !c.Primary && (s.restricted(now) || s.lag > j.database.MaxAge):
			if ready && s.probing {
				probe = i
			}
		case s.Domain == g.mux.settings.Domain:
			home = true
		case ready && mayLeave && b.Suits(s.ID, rank) && b.Admits(now, s.ID):
			if remote < 0 || b.Turn(s.ID) < b.Turn(g.servers[remote].ID) {
				remote = i
			}
		}
	}
	only := probe
	if home && (probe < 0 || g.servers[probe].Domain != g.mux.settings.Domain) {
		// A suspect of another domain is tried only in place of another server
		// there.
		only = remote
		if remote < 0 && probe >= 0 && mayLeave && b.Admits(now, g.servers[probe].ID) {
			only = probe
		}
	}
	for i := range candidates {
		c, s := &candidates[i], g.servers[i]
		away := s.Domain != g.mux.settings.Domain
		switch {
		case only >= 0:
			c.Usable = c.Usable && i == only
		case away && b.HasOwn() && (home || !b.Admits(now, s.ID)):
			c.Usable = false
		}
	}
}

// LeavingShares returns, for each group whose reads are balanced, the share of
// recent reads that ran on servers of other failure domains.
func (m *Multiplexer) LeavingShares() map[string]float64 {
	out := map[string]float64{}
	for name, g := range m.groups {
		if g.balance != nil {
			out[name] = g.balance.LeavingShare()
		}
	}
	return out
}

// remoteDomains returns the other failure domains with servers of the group.
func (g *group) remoteDomains() []string {
	domains := map[string]bool{}
	for _, s := range g.servers {
		domains[s.Domain] = true
	}
	delete(domains, g.mux.settings.Domain)
	return slices.SortedFunc(maps.Keys(domains), cmp.Compare[string])
}
