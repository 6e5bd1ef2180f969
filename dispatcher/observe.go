package dispatcher

import (
	"github.com/heatherhall/heatherhall/acknowledger"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Watch requests a report from a server as soon as it differs from LastReport
// (long poll).
type Watch struct {
	Server     string
	Seq        uint64
	LastReport sequencer.Report
}

// ReportReceived handles a server's report, the response to the Poll or Watch
// with sequence number seq; watched is true for a Watch. It marks the server as
// responsive, resumes reads that waited for the reported position, and sends
// the next Watch. It returns the commands to execute.
func (d *Dispatcher) ReportReceived(now timekeeper.Millis, name string, seq uint64, watched bool, report sequencer.Report) []Command {
	s := d.serverByName[name]
	if s == nil {
		return nil
	}
	d.clearRequest(now, s, watched)
	if !s.reported || now-s.lastReportAt > d.settings.ServerTimeout {
		s.recoveredAt = now
	}
	requestedAt := d.requestedAt[seq]
	delete(d.requestedAt, seq)
	s.reported = true
	s.lastReportAt = now
	s.consecutiveFailures = 0
	d.applyReport(now, s, seq, requestedAt, report)
	d.resumeWaiting(now)
	d.watch(now, s)
	d.dispatchQueued(now)
	return d.takeCommands()
}

// clearRequest marks the outstanding Watch or Poll as answered and sends the
// next Poll if one was requested in the meantime.
func (d *Dispatcher) clearRequest(now timekeeper.Millis, s *server, watched bool) {
	if watched {
		s.watching = false
		return
	}
	s.polling = false
	if s.pollPending {
		s.pollPending = false
		d.poll(now, s)
	}
}

// applyReport stores a server's report, updates the staleness tracker and the
// server's role, and acknowledges the commits that now have a quorum.
func (d *Dispatcher) applyReport(now timekeeper.Millis, s *server, seq uint64, requestedAt timekeeper.Millis, report sequencer.Report) {
	d.measureLag(now, s, report)
	s.report = report
	d.staleness.Observe(s.Name, seq, requestedAt, report.Received)
	d.observeRole(now, s)
	for _, commit := range d.tracker.UpdatePosition(s.Name, report.Received) {
		d.acknowledge(now, commit)
	}
}

// measureLag updates the average time between the primary's report of an entry
// and a replica's report that it has applied the entry.
func (d *Dispatcher) measureLag(now timekeeper.Millis, s *server, report sequencer.Report) {
	if s == d.primary {
		d.primaryTimeline.add(report.Received.Offset, now)
		return
	}
	if report.Applied.Offset > s.report.Applied.Offset {
		lag := float64(now - d.primaryTimeline.firstSeen(report.Applied.Offset, now))
		s.lag += 2 * ewmaWeight * (lag - s.lag)
	}
}

// observeRole adopts the server as the primary if it reports a newer term, and
// clears the primary if the server no longer reports that role.
func (d *Dispatcher) observeRole(now timekeeper.Millis, s *server) {
	report := s.report
	if report.Role != sequencer.RolePrimary {
		if s == d.primary {
			d.logf("router: %s is no longer the primary of %s", s.Name, d.settings.Database)
			d.primary = nil
		}
		return
	}
	if report.History.Term() < d.history.Term() || s == d.primary && report.History.Term() == d.history.Term() {
		return
	}
	if d.primary != nil && report.History.Term() == d.history.Term() {
		d.invariantViolated("promoter: %s and %s are both primary in term %d", s.Name, d.primary.Name, report.History.Term())
	}
	d.logf("router: %s is the primary of %s in term %d, from offset %d",
		s.Name, d.settings.Database, report.History.Term(), report.History.Start())
	d.history = report.History
	d.primary = s
	d.primaryTimeline.reset()
	d.primaryTimeline.add(report.Received.Offset, now)
	d.handleTermChange(now)
}

// handleTermChange moves the pending commits to the new term and handles those
// that are not in its history as lost.
func (d *Dispatcher) handleTermChange(now timekeeper.Millis) {
	for _, commit := range d.tracker.StartTerm(d.history) {
		if j := d.jobs[commit.ID]; j != nil {
			d.handleLostCommit(now, j)
		}
	}
}

// resumeWaiting queues the waiting reads whose floor is now known or covered,
// or whose wait for a replica has timed out.
func (d *Dispatcher) resumeWaiting(now timekeeper.Millis) {
	for _, j := range d.jobsAwaitingPosition() {
		switch j.phase {
		case phaseBarrier:
			d.resumeBarrier(now, j)
		case phaseCatchUp:
			d.resumeCatchUp(now, j)
		}
	}
}

func (d *Dispatcher) resumeBarrier(now timekeeper.Millis, j *job) {
	if j.work.Barrier {
		floor, known := d.staleness.Barrier(j.barrierSeq)
		if !known {
			return
		}
		j.floor = sequencer.Max(j.floor, floor)
		j.work.Barrier = false
	}
	if d.resolveFloor(now, j) {
		d.resume(now, j)
	}
}

func (d *Dispatcher) resumeCatchUp(now timekeeper.Millis, j *job) {
	if now >= j.phaseDeadline || d.replicaCoversFloor(now, j) {
		d.resume(now, j)
	}
}

func (d *Dispatcher) replicaCoversFloor(now timekeeper.Millis, j *job) bool {
	need := d.readRequirement(j)
	for _, s := range d.servers {
		if s != d.primary && s.usable(now, d.settings.ServerTimeout) && need.History.Covers(s.report.Applied, need.Floor) {
			return true
		}
	}
	return false
}

// resume removes a read from the waiting ones and queues it, unless it must now
// wait for a replica to catch up.
func (d *Dispatcher) resume(now timekeeper.Millis, j *job) {
	delete(d.awaitingPosition, j.work.ID)
	d.enqueueOrWait(now, j)
}

// ReportFailed records that a server did not answer the Poll or Watch with
// sequence number seq. After maxReportFailures in a row the server gets no new
// work. It returns the commands to execute.
func (d *Dispatcher) ReportFailed(now timekeeper.Millis, name string, seq uint64, watched bool) []Command {
	s := d.serverByName[name]
	if s == nil {
		return nil
	}
	delete(d.requestedAt, seq)
	s.consecutiveFailures++
	s.lastFailureAt = now
	if s.consecutiveFailures == maxReportFailures {
		d.logf("watcher: %s of %s is unresponsive and gets no new work", name, d.settings.Database)
	}
	d.clearRequest(now, s, watched)
	return d.takeCommands()
}

// watch keeps one Watch outstanding at each server.
func (d *Dispatcher) watch(now timekeeper.Millis, s *server) {
	if s.watching {
		return
	}
	s.watching = true
	d.emit(Watch{Server: s.Name, Seq: d.nextSeq(now), LastReport: s.report})
}

// poll requests an immediate report from a server. If a Poll is outstanding,
// the next one is sent when it is answered, so that concurrent requesters share
// it.
func (d *Dispatcher) poll(now timekeeper.Millis, s *server) {
	if s.polling {
		s.pollPending = true
		return
	}
	s.polling = true
	d.emit(Poll{Server: s.Name, Seq: d.nextSeq(now)})
}

func (d *Dispatcher) pollAll(now timekeeper.Millis) {
	for _, s := range d.servers {
		d.poll(now, s)
	}
}

// nextSeq returns the next sequence number and records the time of its request.
func (d *Dispatcher) nextSeq(now timekeeper.Millis) uint64 {
	d.lastSeq++
	d.requestedAt[d.lastSeq] = now
	return d.lastSeq
}

// SetLeaving sets the names of the servers that are leaving; these get no new
// work. It returns the commands to execute.
func (d *Dispatcher) SetLeaving(now timekeeper.Millis, leaving map[string]bool) []Command {
	for _, s := range d.servers {
		if leaving[s.Name] != s.leaving {
			s.leaving = leaving[s.Name]
			d.logf("watcher: %s of %s leaving: %v", s.Name, d.settings.Database, s.leaving)
		}
	}
	d.dispatchQueued(now)
	return d.takeCommands()
}

// TermStart returns the position of the first entry of the current term.
func (d *Dispatcher) TermStart() sequencer.Position {
	return acknowledger.TermStart(d.history)
}
