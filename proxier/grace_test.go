package proxier

import (
	"slices"
	"testing"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// TestRegistrationGrace guards against dropping all servers after a store outage:
// their registrations expire during it, and live servers register again within 2 s.
func TestRegistrationGrace(t *testing.T) {
	type read struct {
		at  timekeeper.Millis
		ids []string
	}
	tests := map[string]struct {
		reads []read
		want  []string
	}{
		"all expired":            {[]read{{0, []string{"a", "b"}}, {4500, nil}}, []string{"a", "b"}},
		"one registers again":    {[]read{{0, []string{"a", "b"}}, {4500, nil}, {6000, []string{"a"}}}, []string{"a", "b"}},
		"one stays missing":      {[]read{{0, []string{"a", "b"}}, {4500, nil}, {6000, []string{"a"}}, {7100, []string{"a"}}}, []string{"a"}},
		"missing twice, briefly": {[]read{{0, []string{"a"}}, {2000, nil}, {4000, []string{"a"}}, {6000, nil}}, []string{"a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var g registrationGrace
			var got []string
			for _, read := range test.reads {
				var registrations []cataloger.Server
				for _, id := range read.ids {
					registrations = append(registrations, cataloger.Server{ID: id})
				}
				got = nil
				for _, s := range g.merge(read.at, registrations, 2500) {
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
