package connector

import (
	"encoding/base64"

	"github.com/heatherhall/heatherhall/deduplicator"
	"github.com/heatherhall/heatherhall/dispatcher"
)

// deduplicationKey returns the request key of work as the ledger records it.
func deduplicationKey(e dispatcher.Exec) deduplicator.Key {
	return deduplicator.Key{Customer: e.Customer, Request: e.Key, Digest: e.Digest, RecordedAt: e.RecordedAt}
}

// runKeyed runs a batch with a request key at most once. If the key was used for
// the same batch before, it returns the stored outcome.
func (c *Conn) runKeyed(e dispatcher.Exec) dispatcher.ExecResult {
	execution := deduplicator.New(deduplicationKey(e))
	step := execution.Start()
	var work, failed response
	for {
		batch := e.Payload
		if step.Action == deduplicator.ActionQuery {
			batch = encodeQuery(step.SQL)
		}
		got, sent := c.send(batch, step.Action == deduplicator.ActionQuery)
		if got.connLost {
			return toResult(got, sent || step.Action != deduplicator.ActionQuery)
		}
		if step.Action == deduplicator.ActionRunWork {
			work = got
		}
		if got.sqlState != "" {
			failed = got
		}
		step = execution.Next(deduplicator.Result{Code: got.sqlState, Rows: got.rows, Outcome: encodeOutcome(got)})
		if step.Action != deduplicator.ActionQuery && step.Action != deduplicator.ActionRunWork {
			return keyedResult(step, work, failed, got)
		}
	}
}

// keyedResult returns the result of a run with a request key. The arguments are
// the last step of the run, the response to the work itself, the last response
// with an error, and the last response of all.
func keyedResult(step deduplicator.Step, work, failed, last response) dispatcher.ExecResult {
	result := dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusComplete, TxStatus: string(last.txStatus), ReadPosition: last.readPosition, FinalPosition: last.finalPosition}
	switch step.Action {
	case deduplicator.ActionFinish:
		result.Payload = work.payload
		result.Code = work.sqlState
	case deduplicator.ActionReplay:
		result.Payload = decodeOutcome(step.Outcome)
		result.Replayed = true
	case deduplicator.ActionKeyReused:
		result.KeyReused = true
	default:
		result.Payload = failed.payload
		result.Code = failed.sqlState
	}
	return result
}

// encodeOutcome encodes a response for the ledger, without its data if it exceeds
// maxOutcomeSize.
func encodeOutcome(r response) string {
	data := r.payload
	if len(data) > maxOutcomeSize {
		data = r.completions
	}
	return base64.StdEncoding.EncodeToString(data)
}

// decodeOutcome returns the messages of an outcome in the ledger, or nil if it is
// not valid base64.
func decodeOutcome(outcome string) []byte {
	data, err := base64.StdEncoding.DecodeString(outcome)
	if err != nil {
		return nil
	}
	return data
}

// beginKeyed begins a transaction and records its request key in the ledger
// within it. If the key was used before, it rolls the transaction back and
// returns the result of resolveUsedKey.
func (c *Conn) beginKeyed(e dispatcher.Exec) dispatcher.ExecResult {
	begin, sent := c.send(e.Payload, false)
	if begin.connLost || begin.sqlState != "" || begin.txStatus != 'T' {
		return toResult(begin, sent)
	}
	key := deduplicationKey(e)
	claim, _ := c.send(encodeQuery(deduplicator.ClaimSQL(key)), false)
	if claim.sqlState == "42P01" {
		claim = c.createAndClaim(e, key)
	}
	switch {
	case claim.connLost:
		return dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusConnLost}
	case claim.sqlState == "":
		c.key = key
		c.keyClaimed = true
		return toResult(begin, true)
	case claim.sqlState == "23505":
		return c.resolveUsedKey(key)
	}
	rollback, _ := c.send(encodeQuery("ROLLBACK"), false)
	if rollback.connLost {
		return toResult(rollback, true)
	}
	claim.txStatus = rollback.txStatus
	return toResult(claim, true)
}

// createAndClaim rolls back, creates the ledger table, begins the transaction
// again and records its key. It returns the response to the step that failed, or
// else to the last step.
func (c *Conn) createAndClaim(e dispatcher.Exec, key deduplicator.Key) response {
	created, _ := c.send(encodeQuery("ROLLBACK; "+deduplicator.CreateTableSQL()), false)
	if created.connLost || created.sqlState != "" {
		return created
	}
	if begin, _ := c.send(e.Payload, false); begin.connLost || begin.sqlState != "" {
		return begin
	}
	claim, _ := c.send(encodeQuery(deduplicator.ClaimSQL(key)), false)
	return claim
}

// resolveUsedKey rolls back a transaction whose key was used before. The result
// has KeyReused set if the ledger shows that the key was used for other work.
// Otherwise its code is codeAlreadyCommitted: the transaction has committed
// before.
func (c *Conn) resolveUsedKey(key deduplicator.Key) dispatcher.ExecResult {
	got, _ := c.send(encodeQuery("ROLLBACK"), false)
	if !got.connLost {
		got, _ = c.send(encodeQuery(deduplicator.LookupSQL(key)), true)
	}
	if got.connLost {
		return toResult(got, true)
	}
	result := toResult(got, true)
	if len(got.rows) == 1 && deduplicator.CompareRow(key, got.rows[0]).Action == deduplicator.ActionKeyReused {
		result.KeyReused = true
		return result
	}
	result.Replayed = true
	result.Code = codeAlreadyCommitted
	result.Payload = encodeError(codeAlreadyCommitted, "a transaction with this request key has committed before")
	return result
}

// commitKeyed records in the ledger that a keyed transaction committed, and
// commits it.
func (c *Conn) commitKeyed(e dispatcher.Exec) dispatcher.ExecResult {
	c.keyClaimed = false
	recorded, sent := c.send(encodeQuery(deduplicator.RecordOutcomeSQL(c.key, "committed")), false)
	if recorded.connLost {
		// The commit was not sent.
		return toResult(recorded, sent)
	}
	committed, _ := c.send(e.Payload, false)
	return toResult(committed, true)
}
