package planner_test

import (
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"github.com/heatherhall/heatherhall/planner"
	"github.com/heatherhall/heatherhall/scheduler"
)

var verifier = "SCRAM-SHA-256$4096:c2FsdA==$c3RvcmVk:c2VydmVy"

func validFile() planner.File {
	return planner.File{
		Plans:     []planner.Plan{{Name: "gold", Databases: []string{"*"}}},
		Customers: []planner.Customer{{Name: "coop", Plan: "gold", Verifier: verifier}},
	}
}

func TestValidate(t *testing.T) {
	tests := map[string]struct {
		change func(*planner.File)
		want   string
	}{
		"valid":              {func(*planner.File) {}, ""},
		"negative rate":      {func(f *planner.File) { f.Plans[0].RateLimit = -1 }, "plans[0].rate: want 0 or more"},
		"no database":        {func(f *planner.File) { f.Plans[0].Databases = nil }, "plans[0].databases: want at least one"},
		"unknown plan":       {func(f *planner.File) { f.Customers[0].Plan = "x" }, `customers[0].plan: there is no plan "x"`},
		"too few iterations": {func(f *planner.File) { f.Customers[0].Verifier = strings.Replace(verifier, "4096", "1", 1) }, "at least 4096"},
		"customer twice":     {func(f *planner.File) { f.Customers = append(f.Customers, f.Customers[0]) }, `customers[1].name: "coop" is listed twice`},
		"plan of customer":   {func(f *planner.File) { f.Plans = nil }, "customers[0].plan"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			file := validFile()
			test.change(&file)
			_, err := file.Lists()
			switch {
			case test.want == "" && err != nil:
				t.Error(err)
			case test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)):
				t.Errorf("got error %v, want one with %q", err, test.want)
			}
		})
	}
}

func ExampleLists_Diff() {
	lists, _ := validFile().Lists()
	wanted := validFile()
	wanted.Plans = append(wanted.Plans, planner.Plan{Name: "browse", Databases: []string{"catalogue"}, Rank: scheduler.RankBrowse})
	wanted.Customers = append(wanted.Customers, planner.Customer{Name: "visitor", Plan: "browse", Verifier: verifier})
	target, _ := wanted.Lists()
	edit := lists.Diff("e1", "ana", target)
	for _, line := range edit.Summary() {
		fmt.Println(line)
	}
	next, _ := lists.Apply(edit)
	fmt.Println(next.Version())
	// Output:
	// plan browse set
	// customer visitor set, plan browse
	// 1
}

// TestRacingEdits guards against lost or reordered edits: 8 operators, often with
// old lists, make 10,000 edits in a table that inserts if absent. The accepted
// edits must be the history, in order, and all readers must get equal lists.
func TestRacingEdits(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	table := map[string]planner.Edit{}
	insert := func(key string, e planner.Edit) planner.Edit {
		if existing, found := table[key]; found {
			return existing
		}
		table[key] = e
		return e
	}
	operators := make([]planner.Lists, 8)
	for i := range operators {
		operators[i] = planner.Empty()
	}
	var accepted []string
	for i := range 10_000 {
		operator := random.Intn(len(operators))
		lists := operators[operator]
		if random.Intn(2) == 0 {
			lists = catchUp(t, table, lists)
		}
		edit := planner.Edit{
			ID:          fmt.Sprint(i),
			BaseVersion: lists.Version(),
			Plans:       []planner.Plan{{Name: fmt.Sprint("p", random.Intn(5)), Databases: []string{"*"}, RateLimit: i}},
		}
		next, err := lists.Apply(edit)
		if err != nil {
			t.Fatal(err)
		}
		// The id of the stored edit shows whether the insert took effect, even if
		// its response is lost.
		if stored := insert(planner.EditKey(next.Version()), edit); stored.ID == edit.ID {
			accepted = append(accepted, edit.ID)
			lists = next
		}
		operators[operator] = lists
	}
	reader := catchUp(t, table, planner.Empty())
	if int(reader.Version()) != len(accepted) {
		t.Fatalf("versions in the history: got %d, want one for each of %d accepted edits", reader.Version(), len(accepted))
	}
	for version, id := range accepted {
		if stored := table[planner.EditKey(int64(version+1))]; stored.ID != id {
			t.Fatalf("version %d: got edit %s, want %s", version+1, stored.ID, id)
		}
	}
	for i, lists := range operators {
		if got := catchUp(t, table, lists); fmt.Sprint(got.File()) != fmt.Sprint(reader.File()) {
			t.Errorf("lists of operator %d differ from those of a reader of the whole history", i)
		}
	}
}

func catchUp(t *testing.T, table map[string]planner.Edit, lists planner.Lists) planner.Lists {
	t.Helper()
	for {
		e, found := table[planner.EditKey(lists.Version()+1)]
		if !found {
			return lists
		}
		next, err := lists.Apply(e)
		if err != nil {
			t.Fatal(err)
		}
		lists = next
	}
}

func TestApplyRejected(t *testing.T) {
	lists, err := validFile().Lists()
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		edit planner.Edit
		want planner.Kind
	}{
		"other base":                 {planner.Edit{ID: "a", BaseVersion: 7}, planner.KindConflict},
		"plan still in use":          {planner.Edit{ID: "a", Removed: planner.Removals{Plans: []string{"gold"}}}, planner.KindInvalid},
		"customer with unknown plan": {planner.Edit{ID: "a", Customers: []planner.Customer{{Name: "x", Plan: "y", Verifier: verifier}}}, planner.KindInvalid},
		"plan without databases":     {planner.Edit{ID: "a", Plans: []planner.Plan{{Name: "x"}}}, planner.KindInvalid},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := lists.Apply(test.edit)
			var e *planner.Error
			if !errors.As(err, &e) || e.Kind != test.want {
				t.Errorf("got error %v, want one of kind %s", err, test.want)
			}
		})
	}
}

func FuzzParseVerifier(f *testing.F) {
	f.Add(verifier)
	f.Fuzz(func(t *testing.T, text string) {
		v, err := planner.ParseVerifier(text)
		if err != nil {
			return
		}
		if _, err := planner.ParseVerifier(v.String()); err != nil {
			t.Errorf("parsing %q again after formatting: %v", text, err)
		}
	})
}
