package acknowledger_test

import (
	"testing"

	"github.com/heatherhall/heatherhall/acknowledger"
	"github.com/heatherhall/heatherhall/sequencer"
)

func pos(term, offset int64) sequencer.Position {
	return sequencer.Position{Term: term, Offset: offset}
}

func TestCovered(t *testing.T) {
	tests := map[string]struct {
		held []sequencer.Position
		at   sequencer.Position
		want bool
	}{
		"primary alone":                {[]sequencer.Position{pos(1, 5)}, pos(1, 5), false},
		"majority":                     {[]sequencer.Position{pos(1, 5), pos(1, 5)}, pos(1, 5), true},
		"replica behind":               {[]sequencer.Position{pos(1, 5), pos(1, 4)}, pos(1, 5), false},
		"longer log of another term":   {[]sequencer.Position{pos(2, 5), pos(1, 9)}, pos(2, 5), false},
		"holders in a newer term only": {[]sequencer.Position{pos(2, 6), pos(2, 6)}, pos(1, 5), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := acknowledger.New(3)
			for i, held := range test.held {
				tracker.UpdatePosition(string(rune('a'+i)), held)
			}
			if got := tracker.HasQuorum(test.at); got != test.want {
				t.Errorf("Covered(%v): got %v, want %v", test.at, got, test.want)
			}
		})
	}
}

func TestAdvance(t *testing.T) {
	tracker := acknowledger.New(3)
	tracker.UpdatePosition("a", pos(1, 6))
	tracker.Add(acknowledger.Commit{ID: "kept", Position: pos(1, 5)})
	tracker.Add(acknowledger.Commit{ID: "lost", Position: pos(1, 6)})
	history := sequencer.History{{Term: 1}}.WithTerm(2, 5)

	lost := tracker.StartTerm(history)
	if len(lost) != 1 || lost[0].ID != "lost" {
		t.Fatalf("lost commits: got %v, want only \"lost\"", lost)
	}
	if done := tracker.UpdatePosition("b", pos(2, 6)); len(done) != 0 {
		t.Fatalf("acknowledged %v on one report of the new term", done)
	}
	done := tracker.UpdatePosition("c", pos(2, 6))
	if len(done) != 1 || done[0].ID != "kept" {
		t.Fatalf("acknowledged: got %v, want \"kept\"", done)
	}
}
