package decider_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/heatherhall/heatherhall/decider"
)

// TestInvalidMessages checks that a message with a missing or malformed field is
// rejected when it is decoded, with an error that names the fault.
func TestInvalidMessages(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"work without an id":      {`{"work":{"database":"db","within":1}}`, "id is missing"},
		"work without a database": {`{"work":{"id":"x","within":1}}`, "database is missing"},
		"work without a timeout":  {`{"work":{"id":"x","database":"db"}}`, "within must be above 0"},
		"key without a digest":    {`{"work":{"id":"x","database":"db","within":1,"key":"k"}}`, "a key needs a digest"},
		"unknown rank":            {`{"work":{"id":"x","database":"db","within":1,"rank":"first"}}`, "want urgent"},
		"step without an id":      {`{"step":{"database":"db"}}`, "a step lacks its database or id"},
		"edit without an id":      {`{"edits":[{"base":1}]}`, "want an id"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var m decider.Message
			if err := json.Unmarshal([]byte(test.text), &m); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %v, want one with %q", err, test.want)
			}
		})
	}
}

// TestMessageWithUnknownFields checks that the unknown fields of a newer daemon's
// message are ignored.
func TestMessageWithUnknownFields(t *testing.T) {
	var m decider.Message
	if err := json.Unmarshal([]byte(`{"fetch":{"after":3,"new":1},"newer":{}}`), &m); err != nil || m.Fetch.After != 3 {
		t.Errorf("got %+v and error %v, want a fetch after 3", m, err)
	}
}

// FuzzMessage checks that each message that can be decoded can also be encoded,
// and decoded again.
func FuzzMessage(f *testing.F) {
	f.Add([]byte(`{"work":{"id":"x","database":"db","within":1}}`))
	f.Add([]byte(`{"forward":{"from":"a","to":"b","mail":{"cancel":{"id":"x"}}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var m decider.Message
		if json.Unmarshal(data, &m) != nil {
			return
		}
		again, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(again, &m); err != nil {
			t.Errorf("decoding %s again after encoding: %v", data, err)
		}
	})
}
