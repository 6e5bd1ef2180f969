package proxier

import (
	"testing"

	"github.com/heatherhall/heatherhall/timekeeper"
)

// TestProofs is about readings from a copy of the store that is behind: they must
// not extend a lease beyond what they prove.
func TestProofs(t *testing.T) {
	tests := map[string]struct {
		asked   timekeeper.Millis
		version int64
		want    timekeeper.Millis
	}{
		"shows the last transaction":            {9000, 40, 7000},
		"is behind the last transaction":        {9000, 39, 4000},
		"is behind all":                         {9000, 9, 0},
		"asked before the transaction was sent": {6500, 45, 6500},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var p proofs
			p.add(1000, 10)
			p.add(4000, 20)
			p.add(7000, 40)
			p.add(8000, 0)
			if got := p.readAt(test.asked, test.version); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}
