package connector

import (
	"encoding/base64"

	"github.com/heatherhall/heatherhall/deduplicator"
	"github.com/heatherhall/heatherhall/dispatcher"
)

func keyOf(e dispatcher.Exec) deduplicator.Key {
	return deduplicator.Key{Customer: e.Customer, Request: e.Key, Digest: e.Digest, RecordedAt: e.RecordedAt}
}

// runKeyed runs a batch with a request key at most once.
func (c *Conn) runKeyed(e dispatcher.Exec) dispatcher.ExecResult {
	run := deduplicator.New(keyOf(e))
	step := run.Start()
	var work, last collected
	for {
		batch := e.Payload
		if step.Action == deduplicator.ActionQuery {
			batch = encodeQuery(step.SQL)
		}
		got, sent := c.send(batch, step.Action == deduplicator.ActionQuery)
		if got.lost {
			return toAnswer(got, sent || step.Action != deduplicator.ActionQuery)
		}
		if step.Action == deduplicator.ActionRunWork {
			work = got
		}
		if got.code != "" {
			last = got
		}
		step = run.Next(deduplicator.Result{Code: got.code, Rows: got.rows, Outcome: encodeOutcome(got)})
		if step.Action != deduplicator.ActionQuery && step.Action != deduplicator.ActionRunWork {
			return finishKeyed(step, work, last, got)
		}
	}
}

// finishKeyed turns the last step of a keyed run into an answer.
func finishKeyed(step deduplicator.Step, work, failed, got collected) dispatcher.ExecResult {
	answer := dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusComplete, TxStatus: string(got.status), ReadPosition: got.seen, FinalPosition: got.final}
	switch step.Action {
	case deduplicator.ActionFinish:
		answer.Payload = work.payload
		answer.Code = work.code
	case deduplicator.ActionReplay:
		answer.Payload = decodeOutcome(step.Outcome)
		answer.Replayed = true
	case deduplicator.ActionKeyReused:
		answer.KeyReused = true
	default:
		answer.Payload = failed.payload
		answer.Code = failed.code
	}
	return answer
}

// encodeOutcome encodes an answer for the ledger.
func encodeOutcome(got collected) string {
	data := got.payload
	if len(data) > outcomeLimit {
		data = got.tags
	}
	return base64.StdEncoding.EncodeToString(data)
}

func decodeOutcome(outcome string) []byte {
	data, err := base64.StdEncoding.DecodeString(outcome)
	if err != nil {
		return nil
	}
	return data
}

// runBegin begins a transaction and claims its key in it. Where the key was
// used before, the transaction is rolled back and the caller told so.
func (c *Conn) runBegin(e dispatcher.Exec) dispatcher.ExecResult {
	begin, sent := c.send(e.Payload, false)
	if begin.lost || begin.code != "" || begin.status != 'T' {
		return toAnswer(begin, sent)
	}
	key := keyOf(e)
	claim, _ := c.send(encodeQuery(deduplicator.ClaimSQL(key)), false)
	if claim.code == "42P01" {
		claim = c.createAndClaim(e, key)
	}
	switch {
	case claim.lost:
		return dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusConnLost}
	case claim.code == "":
		c.key = key
		c.claimed = true
		return toAnswer(begin, true)
	case claim.code == "23505":
		return c.repeatedBegin(key)
	}
	ended, _ := c.send(encodeQuery("ROLLBACK"), false)
	if ended.lost {
		return toAnswer(ended, true)
	}
	claim.status = ended.status
	return toAnswer(claim, true)
}

// createAndClaim makes the ledger table and begins again.
func (c *Conn) createAndClaim(e dispatcher.Exec, key deduplicator.Key) collected {
	made, _ := c.send(encodeQuery("ROLLBACK; "+deduplicator.CreateTableSQL()), false)
	if made.lost || made.code != "" {
		return made
	}
	if begin, _ := c.send(e.Payload, false); begin.lost || begin.code != "" {
		return begin
	}
	claim, _ := c.send(encodeQuery(deduplicator.ClaimSQL(key)), false)
	return claim
}

// repeatedBegin answers the beginning of a transaction whose key was used.
func (c *Conn) repeatedBegin(key deduplicator.Key) dispatcher.ExecResult {
	got, _ := c.send(encodeQuery("ROLLBACK"), false)
	if !got.lost {
		got, _ = c.send(encodeQuery(deduplicator.LookupSQL(key)), true)
	}
	if got.lost {
		return toAnswer(got, true)
	}
	answer := toAnswer(got, true)
	if len(got.rows) == 1 && deduplicator.CompareRow(key, got.rows[0]).Action == deduplicator.ActionKeyReused {
		answer.KeyReused = true
		return answer
	}
	answer.Replayed = true
	answer.Code = codeRepeated
	answer.Payload = encodeError(codeRepeated, "a transaction with this request key has committed before")
	return answer
}

// runCommit records the outcome of a keyed transaction and commits it.
func (c *Conn) runCommit(e dispatcher.Exec) dispatcher.ExecResult {
	c.claimed = false
	recorded, sent := c.send(encodeQuery(deduplicator.RecordOutcomeSQL(c.key, "committed")), false)
	if recorded.lost {
		// The commit was not sent.
		return toAnswer(recorded, sent)
	}
	got, _ := c.send(e.Payload, false)
	return toAnswer(got, true)
}
