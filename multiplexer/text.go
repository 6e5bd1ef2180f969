package multiplexer

import (
	"encoding/json"
	"unicode/utf8"
)

// text is a text of a client or a server, which may hold any bytes. In JSON it is a string,
// or an object with the bytes in base64 if it is not UTF-8, which JSON would change.
type text string

// encodedText is the object that stands for a text that is not UTF-8.
type encodedText struct {
	Bytes []byte `json:"base64"`
}

// MarshalJSON encodes the text.
func (t text) MarshalJSON() ([]byte, error) {
	if utf8.ValidString(string(t)) {
		return json.Marshal(string(t))
	}
	return json.Marshal(encodedText{Bytes: []byte(t)})
}

// UnmarshalJSON decodes the text.
func (t *text) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] != '{' {
		return json.Unmarshal(data, (*string)(t))
	}
	var encoded encodedText
	if err := json.Unmarshal(data, &encoded); err != nil {
		return err
	}
	*t = text(encoded.Bytes)
	return nil
}

// statementJSON is a Statement in JSON.
type statementJSON struct {
	*plainStatement
	ID   text
	Name text
	Args text
}

// plainStatement has the fields of a Statement without its methods.
type plainStatement Statement

// MarshalJSON encodes the statement, with its texts unchanged.
func (s Statement) MarshalJSON() ([]byte, error) {
	return json.Marshal(statementJSON{(*plainStatement)(&s), text(s.ID), text(s.Name), text(s.Args)})
}

// UnmarshalJSON decodes a statement.
func (s *Statement) UnmarshalJSON(data []byte) error {
	decoded := statementJSON{plainStatement: (*plainStatement)(s)}
	if err := json.Unmarshal(data, &decoded); err != nil {
		return err
	}
	s.ID, s.Name, s.Args = string(decoded.ID), string(decoded.Name), string(decoded.Args)
	return nil
}

// answerJSON is an Answer in JSON.
type answerJSON struct {
	*plainAnswer
	Rows      []text
	Signature text
	Text      text
}

// plainAnswer has the fields of an Answer without its methods.
type plainAnswer Answer

// MarshalJSON encodes the answer, with its texts unchanged.
func (a Answer) MarshalJSON() ([]byte, error) {
	encoded := answerJSON{plainAnswer: (*plainAnswer)(&a), Signature: text(a.Signature), Text: text(a.Text)}
	for _, row := range a.Rows {
		encoded.Rows = append(encoded.Rows, text(row))
	}
	return json.Marshal(encoded)
}

// UnmarshalJSON decodes an answer.
func (a *Answer) UnmarshalJSON(data []byte) error {
	decoded := answerJSON{plainAnswer: (*plainAnswer)(a)}
	if err := json.Unmarshal(data, &decoded); err != nil {
		return err
	}
	a.Rows, a.Signature, a.Text = nil, string(decoded.Signature), string(decoded.Text)
	for _, row := range decoded.Rows {
		a.Rows = append(a.Rows, string(row))
	}
	return nil
}

// forwardRequestJSON is a ForwardRequest in JSON.
type forwardRequestJSON struct {
	*plainForwardRequest
	Account text `json:"account"`
	Shape   text `json:"shape,omitempty"`
	// Values is empty if a name or value is not UTF-8. EncodedValues then holds the names
	// and values in turn; an older daemon does not know the field.
	Values        map[string]string `json:"values,omitempty"`
	EncodedValues []text            `json:"encodedValues,omitempty"`
}

// plainForwardRequest has the fields of a ForwardRequest without its methods.
type plainForwardRequest ForwardRequest

// MarshalJSON encodes the request, with its texts unchanged.
func (r ForwardRequest) MarshalJSON() ([]byte, error) {
	encoded := forwardRequestJSON{plainForwardRequest: (*plainForwardRequest)(&r), Account: text(r.Account), Shape: text(r.Shape), Values: r.Values}
	for name, value := range r.Values {
		if !utf8.ValidString(name) || !utf8.ValidString(value) {
			encoded.Values = nil
		}
	}
	if encoded.Values == nil {
		for name, value := range r.Values {
			encoded.EncodedValues = append(encoded.EncodedValues, text(name), text(value))
		}
	}
	return json.Marshal(encoded)
}

// UnmarshalJSON decodes a request.
func (r *ForwardRequest) UnmarshalJSON(data []byte) error {
	decoded := forwardRequestJSON{plainForwardRequest: (*plainForwardRequest)(r)}
	if err := json.Unmarshal(data, &decoded); err != nil {
		return err
	}
	if len(decoded.EncodedValues)%2 != 0 {
		return &Error{Op: "decode forwarded statement", Kind: KindInvalid, Text: "a value without a name"}
	}
	r.Account, r.Shape, r.Values = string(decoded.Account), string(decoded.Shape), decoded.Values
	for i := 0; i < len(decoded.EncodedValues); i += 2 {
		if r.Values == nil {
			r.Values = map[string]string{}
		}
		r.Values[string(decoded.EncodedValues[i])] = string(decoded.EncodedValues[i+1])
	}
	return nil
}
