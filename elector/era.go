package elector

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// eraState is what this daemon knows of the present era of the store. A new era begins
// with rows that lack the last writes of the era before; see Revision.
type eraState struct {
	// since is when this daemon first read rows of the era.
	since timekeeper.Millis
	// heldLease is set if this daemon held a valid primary lease when it first read rows
	// of the era. No change of a primary was finished before without its knowledge.
	heldLease bool
	// remembered holds the daemons that were registered in earlier eras, as far as this
	// daemon knows, until they register in this era or their leases have expired.
	remembered map[string]Host
	// deregistered holds the row versions of registrations in the restored copy that
	// were deleted before the era began.
	deregistered map[string]int64
	// recovering is set while a write of the recovery is pending, and due is when the
	// recovery may continue.
	recovering bool
	due        timekeeper.Millis
	// verified is set once the backend servers have shown which of them are primaries.
	verified bool
}

const (
	// maxRecoveredEras is how many eras a recovery marks, the present one included.
	maxRecoveredEras = 8
	// maxRecoveredRecords is how many primary records a recovery writes. The store
	// limits the entries of a transaction.
	maxRecoveredRecords = 40
	// recoveryStep is the delay between the attempts of two daemons, in the order of
	// their names, to recover the rows, and maxRecoveryDelay that of the last one.
	recoveryStep     timekeeper.Millis = 20
	maxRecoveryDelay timekeeper.Millis = 1000
	// verificationDelay is how long daemons without a lease wait for one that held a
	// lease to recover the rows, and the time between two verifications.
	verificationDelay timekeeper.Millis = 1500
)

// numbersPerEra is how many change numbers and fencing tokens an era has. Those of an
// era exceed all earlier ones, whatever the restored store has lost.
const numbersPerEra = 1 << 20

// numberFloor returns the number above which an era's change numbers and fencing
// tokens are.
func numberFloor(era int64) int64 {
	return max(era-1, 0) * numbersPerEra
}

// eraKey returns the key of the row that exists once an era's rows are recovered.
func eraKey(era int64) string {
	return eraPrefix + strconv.FormatInt(era, 10)
}

// restored reports whether the store was ever restored.
func (e *Elector) restored() bool {
	return e.revision.Era > 1
}

// recovered reports whether the rows contain every change of a primary that was
// finished before the present era.
func (e *Elector) recovered() bool {
	return !e.restored() || e.rows[eraKey(e.revision.Era)].Version > 0
}

// earlierLeasesExpired reports whether all leases that are based on earlier eras have
// expired.
func (e *Elector) earlierLeasesExpired(now timekeeper.Millis) bool {
	return !e.restored() || now-e.era.since > e.settings.LeaseDuration+e.settings.ClockSkew
}

// knowsHosts reports whether the registrations and the remembered daemons include all
// daemons that may hold a lease, as far as this daemon can know.
func (e *Elector) knowsHosts(now timekeeper.Millis) bool {
	return e.era.heldLease || e.earlierLeasesExpired(now)
}

// cancellable reports whether the change under way may be cancelled. A change that was
// announced before the present era may have had a successor that the store has lost.
func (e *Elector) cancellable(g *group) bool {
	return g.record.Successor == "" && g.record.ChangeNumber > numberFloor(e.revision.Era)
}

// enterEra prepares for the rows of a new era, which the revision belongs to. Changes
// that this daemon coordinates begin again with the collection of Acks.
func (e *Elector) enterEra(now timekeeper.Millis, rows map[string]Row, revision Revision) {
	next := eraState{since: now, remembered: maps.Clone(e.hosts), deregistered: map[string]int64{}}
	next.heldLease = e.holdsLeases() && now < e.readAt+e.settings.LeaseDuration
	if next.heldLease {
		for key, row := range rows {
			name, isHost := strings.CutPrefix(key, hostPrefix)
			if _, known := e.hosts[name]; isHost && !known {
				next.deregistered[name] = row.Version
			}
		}
	}
	if e.haveRows {
		e.log("era begins", observer.F("era", revision.Era), observer.F("version", revision.Version), observer.F("before", e.revision.Version),
			observer.F("lease", next.heldLease), observer.F("hosts", len(next.remembered)))
	}
	for _, g := range e.groups {
		g.recordVersion, g.ackedChange, g.lastFinishedChange, g.ownWrite = unknownVersion, 0, 0, Revision{}
		g.change = change{}
	}
	clear(e.revocations)
	e.era = next
}

// recoveryDelay returns how long after the others this daemon tries to recover the rows.
func (e *Elector) recoveryDelay() timekeeper.Millis {
	rank, _ := slices.BinarySearch(slices.Sorted(maps.Keys(e.hosts)), e.settings.Self.Name)
	return min(timekeeper.Millis(rank)*recoveryStep, maxRecoveryDelay)
}

// rememberHosts adds the remembered daemons to the registered ones.
func (e *Elector) rememberHosts(now timekeeper.Millis) {
	if e.earlierLeasesExpired(now) {
		clear(e.era.remembered)
	}
	for name, host := range e.era.remembered {
		if e.hosts[name].Era == e.revision.Era {
			delete(e.era.remembered, name)
			continue
		}
		e.hosts[name] = host
	}
}

// absentHosts returns the remembered daemons other than this one whose registrations
// the rows lack.
func (e *Elector) absentHosts() []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(e.era.remembered)) {
		if name != e.settings.Self.Name && e.registrations[name].Incarnation != e.era.remembered[name].Incarnation {
			out = append(out, name)
		}
	}
	return out
}

// recoverRows writes back what this daemon knows and the restored store has lost: the
// primary records, together with the row that marks the era as recovered.
func (e *Elector) recoverRows(now timekeeper.Millis) {
	if !e.restored() || e.leaving || e.era.recovering || now < e.era.due {
		return
	}
	lost := e.lostRecords()
	if e.recovered() && len(lost) == 0 || now < e.era.since+e.recoveryDelay() {
		return
	}
	if !e.recovered() && !e.era.heldLease && !e.era.verified {
		e.verifyPrimaries(now)
		return
	}
	era := e.revision.Era
	tx := Transaction{Expect: []Row{{Key: eraKey(era), Version: e.rows[eraKey(era)].Version}}}
	// Conditional writes of each earlier era fail from now on.
	for marked := max(2, era-maxRecoveredEras+1); marked <= era; marked++ {
		tx.Set = append(tx.Set, encode(eraKey(marked), recovery{Host: e.settings.Self.Name}))
	}
	for _, g := range lost {
		tx.Expect = append(tx.Expect, Row{Key: recordPrefix + g.name, Version: g.recordVersion})
		tx.Set = append(tx.Set, encode(recordPrefix+g.name, g.record))
	}
	e.era.recovering = true
	e.write(tx, func(now timekeeper.Millis, result Result, _ Revision) {
		e.log("rows of an earlier era written back", observer.F("era", era), observer.F("records", len(lost)), observer.F("result", result.String()))
		if e.revision.Era == era {
			e.era.recovering, e.era.due = false, now+retryInterval
		}
		e.commands = append(e.commands, ReloadRows{})
	})
}

// lostRecords returns the groups whose stored primary records are older than the known
// ones, at most maxRecoveredRecords.
func (e *Elector) lostRecords() []*group {
	var out []*group
	for _, name := range slices.Sorted(maps.Keys(e.groups)) {
		if g := e.groups[name]; g.recordLost && len(out) < maxRecoveredRecords {
			out = append(out, g)
		}
	}
	return out
}

// mayHoldLease reports whether a known daemon may have held a lease when the era began.
func (e *Elector) mayHoldLease() bool {
	for _, host := range e.hosts {
		if host.Era != e.revision.Era || host.HeldLease {
			return true
		}
	}
	return false
}

// verification holds the responses of all backend servers to the question whether they
// are primaries.
type verification struct {
	era int64
	// pending counts the servers that have neither responded nor failed.
	pending int
	// missing is, for each group, how many servers more have failed than responded.
	missing map[string]int
	// primaries and statuses are the primary of the highest term of each group.
	primaries map[string]string
	statuses  map[string]ServerStatus
}

// verifyPrimaries asks all backend servers whether they are primaries. It is for daemons
// without a lease from an earlier era, to which the store may have lost the last changes
// of primaries. Until all earlier leases have expired, most servers of each group have to
// respond.
func (e *Elector) verifyPrimaries(now timekeeper.Millis) {
	if len(e.serversByID) == 0 || now < e.era.since+verificationDelay+e.recoveryDelay() && e.mayHoldLease() {
		return
	}
	e.era.due = now + verificationDelay
	v := verification{era: e.revision.Era, pending: len(e.serversByID), missing: map[string]int{}, primaries: map[string]string{}, statuses: map[string]ServerStatus{}}
	for _, id := range slices.Sorted(maps.Keys(e.serversByID)) {
		server := e.serversByID[id]
		e.inspect(server, InspectRequest{}, func(now timekeeper.Millis, status ServerStatus, err error) {
			v.add(server, status, err)
			if v.pending == 0 && v.era == e.revision.Era {
				e.finishVerification(now, v)
			}
		})
	}
}

// add records a server's response.
func (v *verification) add(server cataloger.Server, status ServerStatus, err error) {
	v.pending--
	if err != nil {
		v.missing[server.Group]++
		return
	}
	v.missing[server.Group]--
	if status.Primary && status.Term > v.statuses[server.Group].Term {
		v.primaries[server.Group], v.statuses[server.Group] = server.ID, status
	}
}

// finishVerification adopts the primaries that the servers have shown and recovers the
// rows, unless too few servers have responded.
func (e *Elector) finishVerification(now timekeeper.Millis, v verification) {
	for group, missing := range v.missing {
		if missing >= 0 && !e.earlierLeasesExpired(now) {
			e.log("too few servers respond to verify the primary", observer.F("group", group))
			return
		}
	}
	for _, name := range slices.Sorted(maps.Keys(v.primaries)) {
		e.group(name).adoptPrimary(v.primaries[name], v.statuses[name], numberFloor(v.era))
	}
	e.log("primaries verified", observer.F("servers", len(e.serversByID)))
	e.era.verified, e.era.due = true, now
	e.recoverRows(now)
}

// adoptPrimary sets the record to a server that is the primary of a newer term than the
// recorded one. number is the least number of the record's last change.
func (g *group) adoptPrimary(id string, status ServerStatus, number int64) {
	if status.Term <= g.record.Term || id == g.primary() && g.record.Primary == "" {
		return
	}
	g.record = PrimaryRecord{
		Term: status.Term, Primary: id, History: g.record.History.WithTerm(status.Term, status.Received.Offset), ChangeNumber: max(g.record.ChangeNumber, number),
	}
	g.recordLost = true
}

// Before reports whether r is an earlier state of a group's primary record than other.
func (r PrimaryRecord) Before(other PrimaryRecord) bool {
	return cmp.Or(cmp.Compare(r.Term, other.Term), cmp.Compare(r.ChangeNumber, other.ChangeNumber), cmp.Compare(r.step(), other.step())) < 0
}

// step returns how far the last change has come.
func (r PrimaryRecord) step() int {
	switch {
	case r.ChangeReason == "":
		return 2
	case r.Successor != "":
		return 1
	}
	return 0
}
