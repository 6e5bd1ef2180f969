package listener

import (
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/heatherhall/heatherhall/classifier"
	"github.com/heatherhall/heatherhall/dispatcher"
)

// answer sends an outcome to the caller.
func (c *client) answer(b *batch, o dispatcher.Outcome) bool {
	was := c.status
	if o.Class != dispatcher.OutcomeDone {
		return c.answerRefused(b, o, was)
	}
	c.status = statusIdle
	if o.TxStatus != "" {
		c.status = o.TxStatus[0]
	}
	if !o.Position.IsZero() {
		c.session = c.session.WithFloor(c.database, o.Position)
	}
	if o.Code == dispatcher.CodeKeyReused {
		return c.answerError(o.Code, "the request key was used for other work before", "", false)
	}
	if err := c.backend.Flush(); err != nil {
		return false
	}
	if len(o.Payload) > 0 {
		if _, err := c.conn.Write(b.visible(o.Payload)); err != nil {
			return false
		}
	}
	c.tellToken()
	c.ready()
	return c.backend.Flush() == nil
}

// answerRefused tells the caller that its work was not run, or that this is not
// known. A transaction that was open is lost.
func (c *client) answerRefused(b *batch, o dispatcher.Outcome, was byte) bool {
	hint := ""
	if o.RetryAfter > 0 {
		hint = fmt.Sprintf("retry after %d ms", o.RetryAfter)
	}
	if was != statusIdle {
		c.status = statusAborted
		c.gone = true
		if b.class.End {
			c.status = statusIdle
			c.gone = false
		}
	}
	detail := "The work was not run."
	if o.Class == dispatcher.OutcomeUnknown {
		detail = "Whether the work ran is not known."
	}
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: o.Code, Message: o.Text, Detail: detail, Hint: hint})
	c.ready()
	return c.backend.Flush() == nil
}

func (c *client) answerError(code, text, hint string, silent bool) bool {
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: text, Hint: hint})
	if !silent {
		c.ready()
	}
	return c.backend.Flush() == nil
}

func (c *client) ready() {
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.status})
}

// tellToken sends the session's token where it has changed.
func (c *client) tellToken() {
	if c.status != statusIdle {
		return
	}
	floor, known := c.session.Floor(c.database)
	if !known || floor == c.told {
		return
	}
	token, err := c.token()
	if err != nil {
		return
	}
	c.told = floor
	c.backend.Send(&pgproto3.ParameterStatus{Name: sessionParameter, Value: token})
}

func (c *client) token() (string, error) {
	return c.listener.deps.Signer.IssueToken(c.listener.deps.Clock.Now(), c.customer, c.session)
}

// harmlessSettings are assignments that a pooled connection need not keep,
// because all connections behave as callers ask with them.
var harmlessSettings = map[string]bool{
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

// local reports whether the proxy answers a batch by itself: an assignment, a
// question for the session's token, or a batch that runs nothing.
func (b *batch) local() bool {
	if !b.simple || b.class.StatementCount > 1 {
		return false
	}
	set := b.class.Set
	if set == nil {
		return b.class.Show == sessionParameter
	}
	return !set.Local || strings.HasPrefix(set.Name, settingPrefix)
}

const settingPrefix = "heatherhall."

// finishLocal carries out and answers a batch that the proxy answers itself.
func (c *client) finishLocal(b *batch) bool {
	if b.class.Show == sessionParameter {
		return c.showToken()
	}
	if err := c.assign(*b.class.Set); err != nil {
		return c.answerError(err.Code, err.Text, "", false)
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
	c.ready()
	return c.backend.Flush() == nil
}

func (c *client) showToken() bool {
	token, err := c.token()
	if err != nil {
		return c.answerError("XX000", err.Error(), "", false)
	}
	c.backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(sessionParameter), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1,
	}}})
	c.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(token)}})
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SHOW")})
	c.ready()
	return c.backend.Flush() == nil
}

// assign carries out a SET.
func (c *client) assign(set classifier.Assignment) *Error {
	name, ours := strings.CutPrefix(set.Name, settingPrefix)
	if !ours {
		if harmlessSettings[strings.ToLower(set.Name)] {
			return nil
		}
		return &Error{Op: "set", Kind: KindDenied, Code: "0A000", Text: "SET " + set.Name + " can't be kept by pooled connections and is refused, use SET LOCAL in a transaction"}
	}
	if name == "session" {
		return c.takeToken(set.Value)
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
