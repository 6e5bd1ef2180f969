package multiplexer

import (
	"strconv"
	"strings"
	"testing"
)

// Guards against a session's state that grows without a bound, or whose size drifts from
// what it holds as entries are replaced and removed.
func TestStateSize(t *testing.T) {
	h := newHarness(t, 15)
	h.m.settings.SessionState = 1000
	if a := h.m.Connect(h.Now(), 1, "standard", "u"); a.Code != CodeOK {
		t.Fatal(a)
	}
	run := func(st Statement) (Code, int64) {
		reply := h.m.Run(h.Now(), 1, st)[0].(Reply)
		return reply.Answer.Code, reply.StateSize
	}
	steps := []struct {
		statement Statement
		code      Code
		size      int64
	}{
		{Statement{Kind: KindSet, Name: "a", Args: strings.Repeat("x", 299)}, CodeOK, 300 + entryCost},
		{Statement{Kind: KindPrepare, Name: "p", Args: strings.Repeat("x", 399)}, CodeOK, 700 + 2*entryCost},
		{Statement{Kind: KindSet, Name: "b", Args: "x"}, CodeFailed, 700 + 2*entryCost},
		{Statement{Kind: KindSet, Name: "a", Args: strings.Repeat("x", 99)}, CodeOK, 500 + 2*entryCost},
		{Statement{Kind: KindSet, Name: "b", Args: "x"}, CodeOK, 502 + 3*entryCost},
		{Statement{Kind: KindDeallocate, Name: "nothing"}, CodeOK, 502 + 3*entryCost},
		{Statement{Kind: KindDeallocate, Name: "p"}, CodeOK, 102 + 2*entryCost},
	}
	for i, step := range steps {
		if code, size := run(step.statement); code != step.code || size != step.size {
			t.Errorf("step %d: got code %v and size %d, want %v and %d", i, code, size, step.code, step.size)
		}
	}
}

// Guards against a refused statement whose transaction goes on without it.
func TestRefuse(t *testing.T) {
	h := newHarness(t, 15)
	if a := h.m.Connect(h.Now(), 1, "standard", "u"); a.Code != CodeOK {
		t.Fatal(a)
	}
	refusal := Answer{Code: CodeNotRun, Text: "no memory"}
	if a := h.m.Refuse(h.Now(), 1, refusal)[0].(Reply).Answer; a.Code != CodeNotRun || a.State != StateIdle {
		t.Errorf("got %+v outside a transaction, want CodeNotRun", a)
	}
	h.m.Run(h.Now(), 1, Statement{Kind: KindBegin})
	if a := h.m.Refuse(h.Now(), 1, refusal)[0].(Reply).Answer; a.Code != CodeAborted || a.State != StateFailedTransaction {
		t.Errorf("got %+v in a transaction, want CodeAborted", a)
	}
}

// Guards against prepared statements that fill the memory of servers' connections, and
// against a reset inside a transaction.
func TestPreparedStatementsOfConnections(t *testing.T) {
	tests := map[string]struct {
		count int
		tx    *transaction
		want  bool
	}{
		"few":              {maxConnPrepared - 1, nil, false},
		"many":             {maxConnPrepared, nil, true},
		"in a transaction": {maxConnPrepared, &transaction{begun: true}, false},
		"before its begin": {maxConnPrepared, &transaction{}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &conn{values: map[string]string{}, prepared: map[string]bool{}}
			for i := range test.count {
				c.prepared[strconv.Itoa(i)] = true
			}
			s := &session{prepared: map[string]prepared{"p": {shape: "x"}}, tx: test.tx}
			setup := (&job{conn: c, session: s, statement: Statement{Kind: KindExecute, Name: "p"}}).sessionSetup()
			if reset := setup[0].Kind == KindReset; reset != test.want || setup[len(setup)-1].Kind != KindPrepare {
				t.Errorf("got %v, want a reset: %v", setup, test.want)
			}
		})
	}
}
