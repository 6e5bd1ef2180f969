package proxier

import (
	"slices"
	"testing"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// TestLeavingServerStaysLeaving guards against new work for a server that leaves, because
// a restored store shows an older registration of it, and against a server that is never
// used again although its registration says for long that it is ready.
func TestLeavingServerStaysLeaving(t *testing.T) {
	leaving, ready := cataloger.Server{Started: 5, Leaving: true}, cataloger.Server{Started: 5}
	tests := map[string]struct {
		// reads are the registrations that are read, one each second.
		reads []cataloger.Server
		want  bool
	}{
		"ready again in a restored store": {[]cataloger.Server{leaving, ready, ready}, true},
		"ready for a while, then leaving": {[]cataloger.Server{leaving, ready, ready, ready, leaving, ready, ready, ready}, true},
		"the server no longer leaves":     {[]cataloger.Server{leaving, ready, ready, ready, ready, ready, ready}, false},
		"started again under its ID":      {[]cataloger.Server{leaving, {Started: 6}}, false},
		"its start is unknown":            {[]cataloger.Server{{Leaving: true}, {}}, false},
		"never leaving":                   {[]cataloger.Server{ready, ready}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var g registrationGrace
			var got []cataloger.Server
			for i, server := range test.reads {
				server.ID = "a"
				got = g.merge(timekeeper.Millis(1000*i), []cataloger.Server{server}, 2500)
			}
			if len(got) != 1 || got[0].Leaving != test.want {
				t.Errorf("got %+v, want leaving: %v", got, test.want)
			}
		})
	}
	t.Run("gone in between", func(t *testing.T) {
		var g registrationGrace
		g.merge(0, []cataloger.Server{{ID: "a", Started: 5, Leaving: true}}, 2500)
		g.merge(4000, nil, 2500)
		g.merge(8000, nil, 2500)
		if got := g.merge(9000, []cataloger.Server{{ID: "a", Started: 5}}, 2500); !got[0].Leaving {
			t.Errorf("got %+v, want a leaving server", got)
		}
	})
}

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
