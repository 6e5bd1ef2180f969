package dispatcher

import (
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Step takes the next batch of statements of an open transaction. A step that
// was taken before is passed over.
func (d *Dispatcher) Step(now timekeeper.Millis, entry string, s Step) []Command {
	j := d.jobs[s.ID]
	if j == nil || !j.opened {
		d.emit(Finish{Entry: entry, Outcome: Outcome{
			ID:     s.ID,
			Number: s.Number,
			Class:  ClassRefused,
			Code:   CodeRolledBack,
			Text:   "the transaction is not known here and was rolled back",
		}})
		return d.take()
	}
	if s.Number <= j.step || j.phase != phaseOpen {
		return nil
	}
	j.phase = phaseRunning
	j.step = s.Number
	j.commit = s.Commit
	j.sent = now
	j.inspect = now + d.settings.Overdue
	j.idle = 0
	j.server.running++
	d.emit(Exec{
		Conn:     j.conn,
		Customer: j.work.Customer,
		Key:      j.work.Key,
		Digest:   j.work.Digest,
		Commit:   s.Commit,
		Payload:  s.Payload,
	})
	return d.take()
}
