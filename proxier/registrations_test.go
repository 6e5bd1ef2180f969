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

// TestRegistrationTable checks the servers that remain after a sequence of full reads
// and changes, and that a row that can't be decoded is logged once.
func TestRegistrationTable(t *testing.T) {
	row := func(key string, version int64, value string) elector.Row {
		return elector.Row{Key: key, Version: version, Value: []byte(value)}
	}
	deleted := func(key string, version int64) elector.Row {
		return elector.Row{Key: key, Version: version, Deleted: true}
	}
	tests := map[string]struct {
		steps  []func(r *registrationTable)
		want   []string
		logged int
	}{
		"no rows": {},
		"changes before the first full read": {
			steps: []func(r *registrationTable){func(r *registrationTable) {
				r.apply(Rows{Revision: elector.Revision{Version: 3}, Rows: []elector.Row{row("a", 3, "")}})
			}},
			want: []string{"a"},
		},
		"one added and one deleted": {
			steps: []func(r *registrationTable){
				func(r *registrationTable) {
					r.replace(Rows{Revision: elector.Revision{Version: 3}, Rows: []elector.Row{row("a", 1, ""), row("b", 3, "")}})
				},
				func(r *registrationTable) {
					r.apply(Rows{Revision: elector.Revision{Version: 6}, Rows: []elector.Row{deleted("a", 5), row("c", 6, "")}})
				},
			},
			want: []string{"b", "c"},
		},
		"an older full read after a change": {
			steps: []func(r *registrationTable){
				func(r *registrationTable) {
					r.replace(Rows{Revision: elector.Revision{Version: 3}, Rows: []elector.Row{row("a", 1, "")}})
				},
				func(r *registrationTable) {
					r.apply(Rows{Revision: elector.Revision{Version: 6}, Rows: []elector.Row{deleted("a", 5)}})
				},
				func(r *registrationTable) {
					r.replace(Rows{Revision: elector.Revision{Version: 4}, Rows: []elector.Row{row("a", 1, "")}})
				},
			},
		},
		"a row of another program": {
			steps: []func(r *registrationTable){
				func(r *registrationTable) {
					r.replace(Rows{Revision: elector.Revision{Version: 3}, Rows: []elector.Row{row("a", 1, ""), row("x", 2, "bad")}})
				},
				func(r *registrationTable) {
					r.apply(Rows{Revision: elector.Revision{Version: 4}, Rows: []elector.Row{row("b", 4, "")}})
				},
			},
			want:   []string{"a", "b"},
			logged: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var table registrationTable
			logged := 0
			names := func() []string {
				servers := table.servers(func(row elector.Row) (cataloger.Server, error) {
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
				step(&table)
				names()
			}
			if got := names(); !slices.Equal(got, test.want) || logged != test.logged {
				t.Errorf("got %v and %d log lines, want %v and %d", got, logged, test.want, test.logged)
			}
		})
	}
}
