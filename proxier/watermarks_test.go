package proxier

import (
	"testing"

	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// TestWatermarks guards against leases that are extended by stale reads: a copy of the
// store that lags extends a lease only up to the newest transaction that it includes.
func TestWatermarks(t *testing.T) {
	tests := map[string]struct {
		requestedAt timekeeper.Millis
		version     int64
		want        timekeeper.Millis
	}{
		"includes the last transaction":             {9000, 40, 7000},
		"lacks the last transaction":                {9000, 39, 4000},
		"lacks all transactions":                    {9000, 9, 0},
		"requested before the transaction was sent": {6500, 45, 6500},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var w watermarks
			w.add(1000, elector.Revision{Version: 10})
			w.add(4000, elector.Revision{Version: 20})
			w.add(7000, elector.Revision{Version: 40})
			w.add(8000, elector.Revision{Version: 0})
			if got := w.freshAsOf(test.requestedAt, elector.Revision{Version: test.version}); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}
