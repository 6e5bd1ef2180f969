package dispatcher

import (
	"github.com/heatherhall/heatherhall/acknowledger"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Watch asks a server for a report as soon as it differs from the last one.
type Watch struct {
	Server     string
	Seq        uint64
	LastReport sequencer.Report
}

// ReportReceived takes a server's report as answer to question number. Watched tells
// whether the question was a Watch.
func (d *Dispatcher) ReportReceived(now timekeeper.Millis, name string, number uint64, watched bool, report sequencer.Report) []Command {
	s := d.byName[name]
	if s == nil {
		return nil
	}
	d.answered(now, s, watched)
	if !s.known || now-s.heard > d.settings.ServerTimeout {
		s.returned = now
	}
	asked := d.askedAt[number]
	delete(d.askedAt, number)
	s.known = true
	s.heard = now
	s.misses = 0
	d.observe(now, s, number, asked, report)
	d.wake(now)
	d.question(now, s)
	d.pump(now)
	return d.take()
}

func (d *Dispatcher) answered(now timekeeper.Millis, s *server, watched bool) {
	if watched {
		s.watching = false
		return
	}
	s.asking = false
	if s.again {
		s.again = false
		d.ask(now, s)
	}
}

// observe takes over what a report says.
func (d *Dispatcher) observe(now timekeeper.Millis, s *server, number uint64, asked timekeeper.Millis, report sequencer.Report) {
	d.measureLag(now, s, report)
	s.report = report
	d.age.Observe(s.Name, number, asked, report.Received)
	d.follow(now, s)
	for _, commit := range d.tracker.UpdatePosition(s.Name, report.Received) {
		d.acknowledge(now, commit)
	}
}

// measureLag notes how long after the primary a replica applied its last entry.
func (d *Dispatcher) measureLag(now timekeeper.Millis, s *server, report sequencer.Report) {
	if s == d.primary {
		d.progress.add(report.Received.Offset, now)
		return
	}
	if report.Applied.Offset > s.report.Applied.Offset {
		lag := float64(now - d.progress.seen(report.Applied.Offset, now))
		s.lag += 2 * smoothing * (lag - s.lag)
	}
}

// follow takes over the primary of a newer term, or notes that the primary has
// stepped down.
func (d *Dispatcher) follow(now timekeeper.Millis, s *server) {
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
		d.violated("promoter: %s and %s are both primary in term %d", s.Name, d.primary.Name, report.History.Term())
	}
	d.logf("router: %s is the primary of %s in term %d, from offset %d",
		s.Name, d.settings.Database, report.History.Term(), report.History.Start())
	d.history = report.History
	d.primary = s
	d.progress.reset()
	d.progress.add(report.Received.Offset, now)
	d.changeTerm(now)
}

// changeTerm decides on the commits that wait, once a new term is known.
func (d *Dispatcher) changeTerm(now timekeeper.Millis) {
	for _, commit := range d.tracker.StartTerm(d.history) {
		if j := d.jobs[commit.ID]; j != nil {
			d.uncertain(now, j)
		}
	}
}

// wake goes on with the reads that waited for positions.
func (d *Dispatcher) wake(now timekeeper.Millis) {
	for _, j := range d.waiting() {
		switch j.phase {
		case phaseBarrier:
			d.wakeBarrier(now, j)
		case phaseParked:
			d.wakeParked(now, j)
		}
	}
}

func (d *Dispatcher) wakeBarrier(now timekeeper.Millis, j *job) {
	if j.work.Barrier {
		floor, known := d.age.Barrier(j.barrier)
		if !known {
			return
		}
		j.floor = sequencer.Max(j.floor, floor)
		j.work.Barrier = false
	}
	if d.resolveFloor(now, j) {
		d.unpark(now, j)
	}
}

func (d *Dispatcher) wakeParked(now timekeeper.Millis, j *job) {
	if now >= j.until || d.covered(now, j) {
		d.unpark(now, j)
	}
}

func (d *Dispatcher) covered(now timekeeper.Millis, j *job) bool {
	need := d.need(j)
	for _, s := range d.servers {
		if s != d.primary && s.usable(now, d.settings.ServerTimeout) && need.History.Covers(s.report.Applied, need.Floor) {
			return true
		}
	}
	return false
}

// unpark puts a read that has waited into the queue.
func (d *Dispatcher) unpark(now timekeeper.Millis, j *job) {
	delete(d.parked, j.work.ID)
	d.admit(now, j)
}

// ReportFailed tells that a server did not answer question number.
func (d *Dispatcher) ReportFailed(now timekeeper.Millis, name string, number uint64, watched bool) []Command {
	s := d.byName[name]
	if s == nil {
		return nil
	}
	delete(d.askedAt, number)
	s.misses++
	s.missed = now
	if s.misses == missLimit {
		d.logf("watcher: %s of %s does not answer and gets no new work", name, d.settings.Database)
	}
	d.answered(now, s, watched)
	return d.take()
}

// question keeps one watch outstanding at each server.
func (d *Dispatcher) question(now timekeeper.Millis, s *server) {
	if s.watching {
		return
	}
	s.watching = true
	d.emit(Watch{Server: s.Name, Seq: d.number(now), LastReport: s.report})
}

// ask asks a server for a report at once. While an answer is out, the question
// is put again after it, so that many askers share one question.
func (d *Dispatcher) ask(now timekeeper.Millis, s *server) {
	if s.asking {
		s.again = true
		return
	}
	s.asking = true
	d.emit(Poll{Server: s.Name, Seq: d.number(now)})
}

func (d *Dispatcher) askAll(now timekeeper.Millis) {
	for _, s := range d.servers {
		d.ask(now, s)
	}
}

func (d *Dispatcher) number(now timekeeper.Millis) uint64 {
	d.asked++
	d.askedAt[d.asked] = now
	return d.asked
}

// SetLeaving marks the servers that are leaving. They get no new work.
func (d *Dispatcher) SetLeaving(now timekeeper.Millis, leaving map[string]bool) []Command {
	for _, s := range d.servers {
		if leaving[s.Name] != s.leaving {
			s.leaving = leaving[s.Name]
			d.logf("watcher: %s of %s leaving: %v", s.Name, d.settings.Database, s.leaving)
		}
	}
	d.pump(now)
	return d.take()
}

// TermStart returns the first entry of the present term.
func (d *Dispatcher) TermStart() sequencer.Position {
	return acknowledger.TermStart(d.history)
}
