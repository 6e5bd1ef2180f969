package dispatcher

import (
	"github.com/pkg/errors"

	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

func retryAfter(err error) timekeeper.Millis {
	var e *scheduler.Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}

// refuse ends work that did not run. Writes that may have run in an earlier
// attempt end as unknown instead.
func (d *Dispatcher) refuse(j *job, code, text string, retry timekeeper.Millis) {
	if j.doubtful && j.work.Write {
		d.doubt(j, text)
		return
	}
	d.logf("dispatcher: %s refused %s of %s as not run: %s", d.settings.Database, j.work.ID, j.work.Rank, text)
	d.finish(j, Outcome{Class: OutcomeRefused, Code: code, Text: text, RetryAfter: retry})
}

// doubt ends work whose outcome is not known.
func (d *Dispatcher) doubt(j *job, text string) {
	d.logf("dispatcher: %s reports %s as unknown: %s", d.settings.Database, j.work.ID, text)
	d.finish(j, Outcome{Class: OutcomeUnknown, Code: CodeOutcomeUnknown, Text: text})
}

// finish hands the outcome of the work, or of its transaction's present step,
// to the entry. The work is forgotten unless its transaction goes on.
func (d *Dispatcher) finish(j *job, o Outcome) {
	o.ID = j.work.ID
	o.StepNumber = j.step
	d.emit(DeliverOutcome{Gateway: j.work.Gateway, Outcome: o})
	if o.InTransaction() {
		return
	}
	d.forget(j)
}

// requeue runs work again that did not run, or that may safely run twice.
// Retries of work that may have run are bounded by the budget.
func (d *Dispatcher) requeue(now timekeeper.Millis, j *job, ran bool) {
	j.doubtful = j.doubtful || ran
	if j.attempts >= attemptLimit || now >= j.expires {
		d.giveUp(j, "no answer after several attempts")
		return
	}
	if d.budget < 1 {
		d.giveUp(j, "the retry budget is used up")
		return
	}
	d.budget--
	d.place(now, j)
}

// giveUp ends work after failed attempts.
func (d *Dispatcher) giveUp(j *job, text string) {
	d.refuse(j, CodeNoPrimary, text, d.settings.RankPolicies[j.work.Rank].MaxWait)
}

// forget drops all state of a unit of work but its connection.
func (d *Dispatcher) forget(j *job) {
	if j.phase == phaseAcknowledging {
		d.tracker.Remove(j.work.ID)
	}
	delete(d.parked, j.work.ID)
	delete(d.jobs, j.work.ID)
}
