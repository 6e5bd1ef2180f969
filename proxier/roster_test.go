package proxier

import (
	"errors"
	"maps"
	"slices"
	"testing"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/observer"
)

func TestRoster(t *testing.T) {
	row := func(key string, version int64, value string) elector.Row {
		return elector.Row{Key: key, Version: version, Value: []byte(value)}
	}
	gone := func(key string, version int64) elector.Row {
		return elector.Row{Key: key, Version: version, Deleted: true}
	}
	tests := map[string]struct {
		steps  []func(r *roster)
		want   []string
		logged int
	}{
		"nothing read": {},
		"changes before any reading": {
			steps: []func(r *roster){func(r *roster) { r.apply(Rows{Version: 3, Rows: []elector.Row{row("a", 3, "")}}) }},
			want:  []string{"a"},
		},
		"one comes and one goes": {
			steps: []func(r *roster){
				func(r *roster) { r.replace(Rows{Version: 3, Rows: []elector.Row{row("a", 1, ""), row("b", 3, "")}}) },
				func(r *roster) {
					r.apply(Rows{Version: 6, Rows: []elector.Row{gone("a", 5), row("c", 6, "")}})
				},
			},
			want: []string{"b", "c"},
		},
		"an older reading after a change": {
			steps: []func(r *roster){
				func(r *roster) { r.replace(Rows{Version: 3, Rows: []elector.Row{row("a", 1, "")}}) },
				func(r *roster) { r.apply(Rows{Version: 6, Rows: []elector.Row{gone("a", 5)}}) },
				func(r *roster) { r.replace(Rows{Version: 4, Rows: []elector.Row{row("a", 1, "")}}) },
			},
		},
		"a row of another writer": {
			steps: []func(r *roster){
				func(r *roster) {
					r.replace(Rows{Version: 3, Rows: []elector.Row{row("a", 1, ""), row("x", 2, "bad")}})
				},
				func(r *roster) { r.apply(Rows{Version: 4, Rows: []elector.Row{row("b", 4, "")}}) },
			},
			want:   []string{"a", "b"},
			logged: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var r roster
			logged := 0
			names := func() []string {
				servers := r.servers(func(row elector.Row) (cataloger.Server, error) {
					if string(row.Value) == "bad" {
						return cataloger.Server{}, errors.New("bad")
					}
					return cataloger.Server{ID: row.Key}, nil
				}, func(observer.Decision) { logged++ })
				found := map[string]bool{}
				for _, s := range servers {
					found[s.ID] = true
				}
				return slices.Sorted(maps.Keys(found))
			}
			for _, step := range test.steps {
				step(&r)
				names()
			}
			if got := names(); !slices.Equal(got, test.want) || logged != test.logged {
				t.Errorf("got %v and %d lines, want %v and %d", got, logged, test.want, test.logged)
			}
		})
	}
}
