package proxier

import (
	"io"
	"testing"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/multiplexer"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// TestLeavingReadsGauge guards against a gauge that is missing while reads are
// balanced, or exported while they are not.
func TestLeavingReadsGauge(t *testing.T) {
	for name, test := range map[string]struct {
		balance multiplexer.Balance
		want    int
	}{
		"on":  {multiplexer.BalanceOn, 1},
		"off": {multiplexer.BalanceOff, 0},
	} {
		t.Run(name, func(t *testing.T) {
			settings := DefaultSettings(elector.Host{Name: "h", Domain: "d"})
			settings.Balance = test.balance
			metrics := NewMetrics()
			clock := timekeeper.NewVirtual(1000)
			p := New(settings, Deps{}, clock.Clock(), observer.NewLogger(io.Discard, "error", "h"), metrics)
			p.mux.SetCatalog(1000, cataloger.New(1, nil, []cataloger.Group{{Name: "g", ConnectionLimit: 9}}))
			p.mux.Tick(1010)
			families, err := metrics.Registry().Gather()
			if err != nil {
				t.Fatal(err)
			}
			got := 0
			for _, family := range families {
				if family.GetName() == "heatherhall_reads_leaving_ratio" {
					got = len(family.GetMetric())
				}
			}
			if got != test.want {
				t.Errorf("the gauge has %d values, want %d", got, test.want)
			}
		})
	}
}
