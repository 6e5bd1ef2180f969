package sequencer_test

import (
	"encoding/json"
	"testing"

	"github.com/heatherhall/heatherhall/sequencer"
)

func pos(term, offset int64) sequencer.Position {
	return sequencer.Position{Term: term, Offset: offset}
}

// TestAbandonedTerm guards against deciding by start offsets alone whether an
// entry survives. Term 2 starts after (1, 4) and writes (2, 5), which no
// majority receives; then term 3 continues a log of term 1 that ends at (1, 5).
func TestAbandonedTerm(t *testing.T) {
	first := sequencer.History{{Term: 1, Start: 0}}
	second := first.WithTerm(2, 4)
	third := first.WithTerm(3, 5)
	tests := map[string]struct {
		history sequencer.History
		at      sequencer.Position
		want    bool
	}{
		"entry of the abandoned term":         {third, pos(2, 5), false},
		"entry at the abandoned one's offset": {third, pos(1, 5), true},
		"entry after the start of term 2":     {second, pos(1, 5), false},
		"entry before both terms":             {second, pos(1, 4), true},
		"first entry of the new term":         {third, pos(3, 6), true},
		"offset below the term's start":       {third, pos(3, 5), false},
		"zero":                                {third, pos(0, 0), true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.history.Contains(test.at); got != test.want {
				t.Errorf("Contains(%v) in %v: got %v, want %v", test.at, test.history, got, test.want)
			}
		})
	}
}

func TestClamp(t *testing.T) {
	third := sequencer.History{{Term: 1, Start: 0}}.WithTerm(3, 5)
	tests := map[string]struct {
		floor, want sequencer.Position
	}{
		"entry of the abandoned term":   {pos(2, 7), pos(1, 5)},
		"dropped entry of an old term":  {pos(1, 9), pos(1, 5)},
		"surviving entry":               {pos(1, 3), pos(1, 3)},
		"entry of the newest term":      {pos(3, 9), pos(3, 9)},
		"entry of a term not yet known": {pos(4, 9), pos(4, 9)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := third.Clamp(test.floor); got != test.want {
				t.Errorf("Clamp(%v): got %v, want %v", test.floor, got, test.want)
			}
		})
	}
}

func TestCovers(t *testing.T) {
	third := sequencer.History{{Term: 1, Start: 0}}.WithTerm(3, 5)
	tests := map[string]struct {
		at, floor sequencer.Position
		want      bool
	}{
		"same term, later":             {pos(2, 6), pos(2, 5), true},
		"same term, earlier":           {pos(2, 4), pos(2, 5), false},
		"new term, surviving floor":    {pos(3, 6), pos(1, 5), true},
		"new term, dropped floor":      {pos(3, 9), pos(2, 5), false},
		"old primary, dropped entries": {pos(1, 8), pos(3, 6), false},
		"old replica, older floor":     {pos(1, 5), pos(1, 4), true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := third.Covers(test.at, test.floor); got != test.want {
				t.Errorf("Covers(%v, %v): got %v, want %v", test.at, test.floor, got, test.want)
			}
		})
	}
}

func TestInvalidReport(t *testing.T) {
	tests := map[string]string{
		"unknown role":           `{"role":"king"}`,
		"applied after received": `{"role":"replica","held":{"term":1,"offset":2},"applied":{"term":1,"offset":3}}`,
		"falling terms":          `{"role":"replica","history":[{"term":2,"start":0},{"term":1,"start":3}]}`,
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			var r sequencer.Report
			if err := json.Unmarshal([]byte(text), &r); err == nil {
				t.Errorf("decoded %s, want an error", text)
			}
		})
	}
}

func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"role":"replica","held":{"term":1,"offset":2},"history":[{"term":1,"start":0}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var r sequencer.Report
		if json.Unmarshal(data, &r) != nil {
			return
		}
		clamped := r.History.Clamp(r.Received)
		if r.History.Term() >= r.Received.Term && r.Received.Before(clamped) {
			t.Errorf("Clamp(%v): got %v, want no later position", r.Received, clamped)
		}
	})
}
