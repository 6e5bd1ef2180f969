package proxier

import (
	"context"
	"testing"

	"github.com/heatherhall/heatherhall/detourer"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/timekeeper"
)

func rowsOf(version int64, keys ...string) Rows {
	out := Rows{Version: version}
	for _, key := range keys {
		out.Rows = append(out.Rows, elector.Row{Key: key, Version: version})
	}
	return out
}

func TestCacheShares(t *testing.T) {
	clock := timekeeper.NewVirtual(1000)
	c := newCache(clock.Clock(), 4500)
	ctx := context.Background()
	question := detourer.Question{Table: int(TableOwn)}
	if _, err := c.share(ctx, question); err == nil {
		t.Error("shared before any reading")
	}
	c.set(TableOwn, rowsOf(5, "a", "b"), 1000)
	clock.Advance(300)
	first, err := c.share(ctx, question)
	if err != nil || len(first.Rows) != 2 || first.Age != 300 || first.Same {
		t.Fatalf("got %+v, %v", first, err)
	}
	question.After = first.Number
	if again, err := c.share(ctx, question); err != nil || !again.Same || again.Rows != nil {
		t.Errorf("got %+v, %v, want the same reading without rows", again, err)
	}
	c.apply(TableOwn, Rows{Version: 8, Rows: []elector.Row{{Key: "a", Version: 8, Deleted: true}, {Key: "b", Version: 4}}}, 1300)
	changed, err := c.share(ctx, question)
	if err != nil || changed.Same || len(changed.Rows) != 1 || changed.Rows[0].Key != "b" || changed.Rows[0].Version != 5 {
		t.Errorf("got %+v, %v, want row b of version 5 alone", changed, err)
	}
	if changed.Age != 300 {
		t.Errorf("a change made the reading %d ms old, want 300: changes are no reading of the whole table", changed.Age)
	}
	c.set(TableOwn, rowsOf(6, "old"), 1400)
	if late, _ := c.share(ctx, question); len(late.Rows) != 1 || late.Rows[0].Key != "b" {
		t.Errorf("an older reading replaced a newer one: %+v", late)
	}
	clock.Advance(5000)
	if old, err := c.share(ctx, question); err == nil {
		t.Errorf("shared a reading of %d ms", old.Age)
	}
}
