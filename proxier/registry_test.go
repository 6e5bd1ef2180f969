package proxier

import (
	"slices"
	"testing"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// TestRegistry is about registrations that lapse while the store is away: all are
// missing at its return and back within two seconds.
func TestRegistry(t *testing.T) {
	type reading struct {
		at  timekeeper.Millis
		ids []string
	}
	tests := map[string]struct {
		readings []reading
		want     []string
	}{
		"all lapsed, just returned":   {[]reading{{0, []string{"a", "b"}}, {4500, nil}}, []string{"a", "b"}},
		"one came back":               {[]reading{{0, []string{"a", "b"}}, {4500, nil}, {6000, []string{"a"}}}, []string{"a", "b"}},
		"the other is gone":           {[]reading{{0, []string{"a", "b"}}, {4500, nil}, {6000, []string{"a"}}, {7100, []string{"a"}}}, []string{"a"}},
		"missing twice, each briefly": {[]reading{{0, []string{"a"}}, {2000, nil}, {4000, []string{"a"}}, {6000, nil}}, []string{"a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var r registry
			var got []string
			for _, reading := range test.readings {
				var read []cataloger.Server
				for _, id := range reading.ids {
					read = append(read, cataloger.Server{ID: id})
				}
				got = nil
				for _, s := range r.merge(reading.at, read, 2500) {
					got = append(got, s.ID)
				}
			}
			slices.Sort(got)
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
