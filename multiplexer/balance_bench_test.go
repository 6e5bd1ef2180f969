package multiplexer

import (
	"testing"

	"github.com/heatherhall/heatherhall/scheduler"
)

// BenchmarkSelectServer measures the choice of the server of one read.
func BenchmarkSelectServer(b *testing.B) {
	for name, balance := range map[string]Balance{"off": BalanceOff, "on": BalanceOn} {
		b.Run(name, func(b *testing.B) {
			settings := DefaultSettings("b")
			settings.Balance = balance
			h := newHarnessWith(nil, 8, settings)
			h.stream("standard", aRead, 10, 1000, &counts{})
			h.run(1000)
			g := h.m.groups[testGroup]
			d, _ := h.m.catalog.Database("standard")
			j := &job{session: &session{}, database: d, lane: scheduler.LaneAny, group: g}
			for b.Loop() {
				g.selectServer(h.Now(), j)
			}
		})
	}
}
