package dispatcher

import (
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Step takes the next batch of statements of an open transaction. A step that
// was taken before is passed over.
func (d *Dispatcher) Step(now timekeeper.Millis, entry string, s Step) []Command {
	j := d.jobs[s.ID]
	if j == nil || !j.opened {
		d.emit(DeliverOutcome{Gateway: entry, Outcome: Outcome{
			ID:         s.ID,
			StepNumber: s.StepNumber,
			Class:      OutcomeRefused,
			Code:       CodeRolledBack,
			Text:       "the transaction is not known here and was rolled back",
		}})
		return d.take()
	}
	if s.StepNumber <= j.step || j.phase != phaseOpen {
		return nil
	}
	j.phase = phaseRunning
	j.step = s.StepNumber
	j.commit = s.Commit
	j.sent = now
	j.inspect = now + d.settings.InspectInterval
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
