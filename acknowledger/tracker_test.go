package acknowledger_test

import (
	"testing"

	"github.com/heatherhall/heatherhall/acknowledger"
	"github.com/heatherhall/heatherhall/sequencer"
)

func pos(term, offset int64) sequencer.Position {
	return sequencer.Position{Term: term, Offset: offset}
}

func TestHasQuorum(t *testing.T) {
	tests := map[string]struct {
		received []sequencer.Position
		at       sequencer.Position
		want     bool
	}{
		"primary alone":              {[]sequencer.Position{pos(1, 5)}, pos(1, 5), false},
		"majority":                   {[]sequencer.Position{pos(1, 5), pos(1, 5)}, pos(1, 5), true},
		"replica lags":               {[]sequencer.Position{pos(1, 5), pos(1, 4)}, pos(1, 5), false},
		"longer log of another term": {[]sequencer.Position{pos(2, 5), pos(1, 9)}, pos(2, 5), false},
		"majority in a newer term":   {[]sequencer.Position{pos(2, 6), pos(2, 6)}, pos(1, 5), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := acknowledger.New(3)
			for i, received := range test.received {
				tracker.UpdatePosition(string(rune('a'+i)), received)
			}
			if got := tracker.HasQuorum(test.at); got != test.want {
				t.Errorf("HasQuorum(%v): got %v, want %v", test.at, got, test.want)
			}
		})
	}
}

// TestStartTerm guards against a commit that is never acknowledged after a
// failover, and against one that is acknowledged although the new timeline
// lacks it or too few servers follow the new term.
func TestStartTerm(t *testing.T) {
	tracker := acknowledger.New(3)
	tracker.UpdatePosition("a", pos(1, 6))
	tracker.Add(acknowledger.Commit{ID: "kept", Position: pos(1, 5)})
	tracker.Add(acknowledger.Commit{ID: "lost", Position: pos(1, 6)})
	history := sequencer.History{{Term: 1}}.WithTerm(2, 5)

	unknown := tracker.StartTerm(history)
	if len(unknown) != 1 || unknown[0].ID != "lost" {
		t.Fatalf("commits not on the new timeline: got %v, want only \"lost\"", unknown)
	}
	if done := tracker.UpdatePosition("b", pos(2, 6)); len(done) != 0 {
		t.Fatalf("acknowledged after one report of the new term: got %v, want none", done)
	}
	done := tracker.UpdatePosition("c", pos(2, 6))
	if len(done) != 1 || done[0].ID != "kept" {
		t.Fatalf("acknowledged after two reports of the new term: got %v, want only \"kept\"", done)
	}
}
