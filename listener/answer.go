package listener

import (
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/heatherhall/heatherhall/classifier"
	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/rationer"
)

// answerCopies is how many times an answer is in memory while it is sent: as it arrived
// and without what the client did not ask for.
const answerCopies = 2

// sendOutcome sends the outcome of a batch and ReadyForQuery to the client. It
// reports whether the connection stays open.
func (c *client) sendOutcome(b *batch, o dispatcher.Outcome) bool {
	previousStatus := c.status
	if o.Class != dispatcher.OutcomeDone {
		return c.sendFailure(b, o, previousStatus)
	}
	c.status = statusIdle
	if o.TxStatus != "" {
		c.status = o.TxStatus[0]
	}
	if !o.Position.IsZero() {
		c.session = c.session.WithFloor(c.database, o.Position)
	}
	if o.Code == dispatcher.CodeKeyReused {
		return c.sendError(o.Code, "the request key was used for other work before", "", false)
	}
	if err := c.backend.Flush(); err != nil {
		return false
	}
	if len(o.Payload) > 0 {
		if size := int64(len(o.Payload)); size > freeSize {
			c.guard.Charge(rationer.PhaseSending, size*answerCopies)
			defer c.guard.Release(size * answerCopies)
		}
		if _, err := c.Write(b.stripAddedParses(o.Payload)); err != nil {
			return false
		}
	}
	c.sendToken()
	c.sendReady()
	return c.backend.Flush() == nil
}

// sendFailure sends the error for a batch that did not run, or of which it is
// unknown whether it ran. A transaction that was open is lost. Unless the batch
// ends the transaction, the client sees a failed transaction until it sends
// COMMIT or ROLLBACK.
func (c *client) sendFailure(b *batch, o dispatcher.Outcome, previousStatus byte) bool {
	hint := ""
	if o.RetryAfter > 0 {
		hint = fmt.Sprintf("retry after %d ms", o.RetryAfter)
	}
	if previousStatus != statusIdle {
		c.status = statusAborted
		c.txLost = true
		if b.class.End {
			c.status = statusIdle
			c.txLost = false
		}
	}
	detail := "The work was not run."
	if o.Class == dispatcher.OutcomeUnknown {
		detail = "Whether the work ran is not known."
	}
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: o.Code, Message: o.Text, Detail: detail, Hint: hint})
	c.sendReady()
	return c.backend.Flush() == nil
}

// sendError sends an error, followed by ReadyForQuery unless omitReady is set.
// It reports whether the connection stays open.
func (c *client) sendError(code, text, hint string, omitReady bool) bool {
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: text, Hint: hint})
	if !omitReady {
		c.sendReady()
	}
	return c.backend.Flush() == nil
}

func (c *client) sendReady() {
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.status})
}

// sendToken sends the session token as a ParameterStatus if the database's floor
// has changed since the last token. It sends none inside a transaction.
func (c *client) sendToken() {
	if c.status != statusIdle {
		return
	}
	floor, known := c.session.Floor(c.database)
	if !known || floor == c.sentFloor {
		return
	}
	token, err := c.token()
	if err != nil {
		return
	}
	c.sentFloor = floor
	c.backend.Send(&pgproto3.ParameterStatus{Name: sessionParameter, Value: token})
}

func (c *client) token() (string, error) {
	return c.listener.deps.Signer.IssueToken(c.listener.deps.Clock.Now(), c.customer, c.session)
}

// ignoredSettings are settings whose SET succeeds without effect. Pooled
// connections don't have to keep them, since all connections already behave as
// clients request with these settings.
var ignoredSettings = map[string]bool{
	"application_name":            true,
	"client_encoding":             true,
	"datestyle":                   true,
	"extra_float_digits":          true,
	"standard_conforming_strings": true,
	"client_min_messages":         true,
	"bytea_output":                true,
	"intervalstyle":               true,
	"timezone":                    true,
}

// isLocal reports whether the proxy answers a batch without a server: a simple
// query with a single statement that is a SET for the session, a SET of one of
// the proxy's own settings, or a SHOW of the session token.
func (b *batch) isLocal() bool {
	if !b.simple || b.class.StatementCount > 1 {
		return false
	}
	set := b.class.Set
	if set == nil {
		return b.class.Show == sessionParameter
	}
	return !set.Local || strings.HasPrefix(set.Name, settingPrefix)
}

// settingPrefix starts the names of the proxy's own settings.
const settingPrefix = "heatherhall."

// answerLocal executes a batch that the proxy answers without a server. It
// reports whether the connection stays open.
func (c *client) answerLocal(b *batch) bool {
	if b.class.Show == sessionParameter {
		return c.showToken()
	}
	if err := c.applySet(*b.class.Set); err != nil {
		return c.sendError(err.Code, err.Text, "", false)
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
	c.sendReady()
	return c.backend.Flush() == nil
}

func (c *client) showToken() bool {
	token, err := c.token()
	if err != nil {
		return c.sendError("XX000", err.Error(), "", false)
	}
	c.backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(sessionParameter), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1,
	}}})
	c.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(token)}})
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SHOW")})
	c.sendReady()
	return c.backend.Flush() == nil
}

// applySet executes a SET. It returns an error for settings that pooled
// connections can't keep and for invalid values of the proxy's own settings.
func (c *client) applySet(set classifier.Assignment) *Error {
	name, isOwnSetting := strings.CutPrefix(set.Name, settingPrefix)
	if !isOwnSetting {
		if ignoredSettings[strings.ToLower(set.Name)] {
			return nil
		}
		return &Error{Op: "set", Kind: KindDenied, Code: "0A000", Text: "SET " + set.Name + " can't be kept by pooled connections and is refused, use SET LOCAL in a transaction"}
	}
	if name == "session" {
		return c.setSession(set.Value)
	}
	if name == "request" {
		return &Error{Op: "set", Kind: KindDenied, Code: "22023", Text: "a request key goes into a comment on its statement"}
	}
	hints, err := c.defaults.With(name, set.Value)
	if err != nil {
		return &Error{Op: "set", Kind: KindDenied, Code: "22023", Text: err.Error()}
	}
	c.defaults = hints
	return nil
}
