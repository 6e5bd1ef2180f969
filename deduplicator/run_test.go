package deduplicator_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/heatherhall/heatherhall/deduplicator"
)

var key = deduplicator.Key{Customer: "coop", Request: "r1", Digest: "d1"}

func ExampleExecution() {
	run := deduplicator.New(key)
	step := run.Start()
	fmt.Println(step.SQL)
	step = run.Next(deduplicator.Result{})
	fmt.Println("the client's work:", step.Action == deduplicator.ActionRunWork)
	step = run.Next(deduplicator.Result{Outcome: "INSERT 0 1"})
	fmt.Println(step.SQL)
	step = run.Next(deduplicator.Result{})
	fmt.Println("finished:", step.Action == deduplicator.ActionFinish)
	// Output:
	// BEGIN; INSERT INTO heatherhall_ledger (key, digest, outcome, made) VALUES ('coop/r1', 'd1', '', '')
	// the client's work: true
	// UPDATE heatherhall_ledger SET outcome = 'INSERT 0 1' WHERE key = 'coop/r1'; COMMIT
	// finished: true
}

// Guards against keyed work that runs again or counts as finished without a
// commit. Each case lists the server's results and how the execution must end.
func TestExecution(t *testing.T) {
	row := func(digest, outcome string) deduplicator.Result {
		return deduplicator.Result{Rows: [][]string{{digest, outcome}}}
	}
	failed := func(code string) deduplicator.Result { return deduplicator.Result{Code: code} }
	ok := deduplicator.Result{}
	tests := map[string]struct {
		results []deduplicator.Result
		want    deduplicator.Action
		outcome string
	}{
		"first run":                   {[]deduplicator.Result{ok, ok, ok}, deduplicator.ActionFinish, ""},
		"work fails":                  {[]deduplicator.Result{ok, failed("23502"), ok}, deduplicator.ActionFinish, ""},
		"replayed":                    {[]deduplicator.Result{failed("23505"), ok, row("d1", "first")}, deduplicator.ActionReplay, "first"},
		"key of other work":           {[]deduplicator.Result{failed("23505"), ok, row("d2", "first")}, deduplicator.ActionKeyReused, ""},
		"ledger table is created":     {[]deduplicator.Result{failed("42P01"), ok, ok, ok, ok}, deduplicator.ActionFinish, ""},
		"first claim was rolled back": {[]deduplicator.Result{failed("23505"), ok, ok, ok, ok, ok}, deduplicator.ActionFinish, ""},
		"server is not the primary":   {[]deduplicator.Result{failed("25006"), ok}, deduplicator.ActionFail, ""},
		"commit refused":              {[]deduplicator.Result{ok, ok, failed("25006"), ok}, deduplicator.ActionFail, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			run := deduplicator.New(key)
			step := run.Start()
			for _, result := range test.results {
				step = run.Next(result)
			}
			if step.Action != test.want || step.Outcome != test.outcome {
				t.Errorf("got %+v, want action %d with outcome %q", step, test.want, test.outcome)
			}
		})
	}
}

// Guards against two customers sharing a ledger key, and against a request key
// that injects SQL.
func TestKeysDoNotCollide(t *testing.T) {
	a := deduplicator.ClaimSQL(deduplicator.Key{Customer: "a/b", Request: "c"})
	b := deduplicator.ClaimSQL(deduplicator.Key{Customer: "a", Request: "b/c"})
	if a == b {
		t.Error("keys of two customers collide")
	}
	quoted := deduplicator.ClaimSQL(deduplicator.Key{Customer: "a", Request: "x'); DROP TABLE coins; --"})
	if !strings.Contains(quoted, "x''); DROP") {
		t.Errorf("the key is not quoted: %s", quoted)
	}
}
