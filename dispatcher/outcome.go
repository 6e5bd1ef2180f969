package dispatcher

import (
	"github.com/pkg/errors"

	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// retryAfter returns the retry time of a scheduler error, or 0 for other
// errors.
func retryAfter(err error) timekeeper.Millis {
	var e *scheduler.Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}

// refuse finishes work that did not run. A write that may have run in an
// earlier attempt finishes as unknown instead.
func (d *Dispatcher) refuse(j *job, code, text string, retry timekeeper.Millis) {
	if j.mayHaveRun && j.work.Write {
		d.finishUnknown(j, text)
		return
	}
	d.logf("dispatcher: %s refused %s of %s as not run: %s", d.settings.Database, j.work.ID, j.work.Rank, text)
	d.finish(j, Outcome{Class: OutcomeRefused, Code: code, Text: text, RetryAfter: retry})
}

// finishUnknown finishes work that may or may not have run.
func (d *Dispatcher) finishUnknown(j *job, text string) {
	d.logf("dispatcher: %s reports the outcome of %s as unknown: %s", d.settings.Database, j.work.ID, text)
	d.finish(j, Outcome{Class: OutcomeUnknown, Code: CodeOutcomeUnknown, Text: text})
}

// finish delivers the outcome of the work, or of its transaction's current
// step, to the gateway daemon. The job is removed unless its transaction is
// still open.
func (d *Dispatcher) finish(j *job, outcome Outcome) {
	outcome.ID = j.work.ID
	outcome.StepNumber = j.step
	d.emit(DeliverOutcome{Gateway: j.work.Gateway, Outcome: outcome})
	if outcome.InTransaction() {
		return
	}
	d.removeJob(j)
}

// requeue schedules work again that did not run or that may safely run twice.
// Each retry consumes one unit of the retry budget; once the budget, the
// attempts or the client's time are used up, the work is refused.
func (d *Dispatcher) requeue(now timekeeper.Millis, j *job, mayHaveRun bool) {
	j.mayHaveRun = j.mayHaveRun || mayHaveRun
	if j.attempts >= maxAttempts || now >= j.clientDeadline {
		d.giveUp(j, "no answer after several attempts")
		return
	}
	if d.retryBudget < 1 {
		d.giveUp(j, "the retry budget is used up")
		return
	}
	d.retryBudget--
	d.schedule(now, j)
}

// giveUp refuses work that can't be retried any more.
func (d *Dispatcher) giveUp(j *job, text string) {
	d.refuse(j, CodeNoPrimary, text, d.settings.RankPolicies[j.work.Rank].MaxWait)
}

// removeJob removes all state of a unit of work except its connection.
func (d *Dispatcher) removeJob(j *job) {
	if j.phase == phaseAcknowledging {
		d.tracker.Remove(j.work.ID)
	}
	delete(d.awaitingPosition, j.work.ID)
	delete(d.jobs, j.work.ID)
}
