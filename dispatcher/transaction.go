package dispatcher

import (
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Step sends the next batch of statements of an open transaction to its server.
// A step that was received before is ignored; a step of an unknown transaction
// is refused with CodeRolledBack. It returns the commands to execute.
func (d *Dispatcher) Step(now timekeeper.Millis, gateway string, s Step) []Command {
	j := d.jobs[s.ID]
	if j == nil || !j.txOpened {
		d.emit(DeliverOutcome{Gateway: gateway, Outcome: Outcome{
			ID:         s.ID,
			StepNumber: s.StepNumber,
			Class:      OutcomeRefused,
			Code:       CodeRolledBack,
			Text:       "the transaction is not known here and was rolled back",
		}})
		return d.takeCommands()
	}
	if s.StepNumber <= j.step || j.phase != phaseOpen {
		return nil
	}
	j.phase = phaseRunning
	j.step = s.StepNumber
	j.endsTransaction = s.Commit
	j.sentAt = now
	j.nextInspectAt = now + d.settings.InspectInterval
	j.idleInspections = 0
	j.server.inFlight++
	d.emit(Exec{
		Conn:     j.conn,
		Customer: j.work.Customer,
		Key:      j.work.Key,
		Digest:   j.work.Digest,
		Commit:   s.Commit,
		Payload:  s.Payload,
	})
	return d.takeCommands()
}
