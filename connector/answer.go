package connector

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/sequencer"
)

// response is a server's response to one batch.
type response struct {
	// payload holds the encoded messages, up to and without ReadyForQuery.
	payload []byte
	// completions holds the CommandComplete, ParseComplete, BindComplete and NoData
	// messages of the payload.
	completions []byte
	// sqlState is the SQLSTATE of the first error, or codeResultTooLarge.
	sqlState string
	txStatus byte
	// rows holds the values of the rows as text, if keepRows was set.
	rows [][]string
	// readPosition is the server's last reported position when the first message
	// of the response arrived, finalPosition the one when the last message did.
	readPosition  sequencer.Position
	finalPosition sequencer.Position
	// connLost is set if the connection failed before the end of the response.
	connLost bool
}

// responseReader builds a response while its messages arrive.
type responseReader struct {
	response
	keepRows bool
	started  bool
	// maxSize is the maximum size of the payload in bytes.
	maxSize int
}

// add adds a message and the server's last reported position. Once the payload
// exceeds maxSize, further messages are dropped and sqlState is set to
// codeResultTooLarge.
func (r *responseReader) add(msg pgproto3.BackendMessage, position sequencer.Position) {
	if !r.started {
		r.started = true
		r.readPosition = position
	}
	if len(r.payload) > r.maxSize {
		r.sqlState = codeResultTooLarge
		return
	}
	payload, err := msg.Encode(r.payload)
	if err != nil {
		return
	}
	switch msg.(type) {
	case *pgproto3.CommandComplete, *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.NoData:
		r.completions = append(r.completions, payload[len(r.payload):]...)
	}
	r.payload = payload
}

// rowTexts returns the values of a row as text.
func rowTexts(m *pgproto3.DataRow) []string {
	row := make([]string, len(m.Values))
	for i, value := range m.Values {
		row[i] = string(value)
	}
	return row
}

// toResult converts a response into the result of an Exec. The argument sent is
// true if any byte of the batch may have reached the server.
func toResult(r response, sent bool) dispatcher.ExecResult {
	if r.connLost && !sent {
		return dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusUnsent}
	}
	if r.connLost {
		return dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusConnLost}
	}
	if r.sqlState == codeResultTooLarge {
		r.payload = encodeError(codeResultTooLarge, "the result is larger than the proxy's limit")
	}
	return dispatcher.ExecResult{
		ExecStatus:    dispatcher.ExecStatusComplete,
		Code:          r.sqlState,
		Payload:       r.payload,
		TxStatus:      string(r.txStatus),
		ReadPosition:  r.readPosition,
		FinalPosition: r.finalPosition,
	}
}

// encodeError returns an encoded ErrorResponse.
func encodeError(code, text string) []byte {
	data, err := (&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: text}).Encode(nil)
	if err != nil {
		return nil
	}
	return data
}

// encodeQuery returns an encoded Query message.
func encodeQuery(sql string) []byte {
	data, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		return nil
	}
	return data
}
