package connector

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/sequencer"
)

// collected is the answer to one batch.
type collected struct {
	payload []byte
	tags    []byte
	code    string
	status  byte
	rows    [][]string
	seen    sequencer.Position
	final   sequencer.Position
	lost    bool
}

// collector gathers an answer while it is read.
type collector struct {
	collected
	keepRows bool
	begun    bool
}

func (a *collector) add(msg pgproto3.BackendMessage, position sequencer.Position) {
	if !a.begun {
		a.begun = true
		a.seen = position
	}
	if len(a.payload) > answerLimit {
		a.code = codeTooLong
		return
	}
	payload, err := msg.Encode(a.payload)
	if err != nil {
		return
	}
	switch msg.(type) {
	case *pgproto3.CommandComplete, *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.NoData:
		a.tags = append(a.tags, payload[len(a.payload):]...)
	}
	a.payload = payload
}

func rowTexts(m *pgproto3.DataRow) []string {
	row := make([]string, len(m.Values))
	for i, value := range m.Values {
		row[i] = string(value)
	}
	return row
}

func toAnswer(got collected, sent bool) dispatcher.ExecResult {
	if got.lost && !sent {
		return dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusUnsent}
	}
	if got.lost {
		return dispatcher.ExecResult{ExecStatus: dispatcher.ExecStatusConnLost}
	}
	if got.code == codeTooLong {
		got.payload = encodeError(codeTooLong, "the result is larger than the proxy's limit of 16 MB")
	}
	return dispatcher.ExecResult{
		ExecStatus:    dispatcher.ExecStatusComplete,
		Code:          got.code,
		Payload:       got.payload,
		TxStatus:      string(got.status),
		ReadPosition:  got.seen,
		FinalPosition: got.final,
	}
}

func encodeError(code, text string) []byte {
	data, err := (&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: text}).Encode(nil)
	if err != nil {
		return nil
	}
	return data
}

func encodeQuery(sql string) []byte {
	data, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		return nil
	}
	return data
}
