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
	question := detourer.RowsRequest{Table: int(TableCoordination)}
	if _, err := c.share(ctx, question); err == nil {
		t.Error("shared before any reading")
	}
	c.set(TableCoordination, rowsOf(5, "a", "b"), 1000)
	clock.Advance(300)
	first, err := c.share(ctx, question)
	if err != nil || len(first.Rows) != 2 || first.Age != 300 || first.Unchanged {
		t.Fatalf("got %+v, %v", first, err)
	}
	question.KnownGeneration = first.Generation
	if again, err := c.share(ctx, question); err != nil || !again.Unchanged || again.Rows != nil {
		t.Errorf("got %+v, %v, want the same reading without rows", again, err)
	}
	c.apply(TableCoordination, Rows{Version: 8, Rows: []elector.Row{{Key: "a", Version: 8, Deleted: true}, {Key: "b", Version: 4}}}, 1300)
	changed, err := c.share(ctx, question)
	if err != nil || changed.Unchanged || len(changed.Rows) != 1 || changed.Rows[0].Key != "b" || changed.Rows[0].Version != 5 {
		t.Errorf("got %+v, %v, want row b of version 5 alone", changed, err)
	}
	if changed.Age != 300 {
		t.Errorf("a change made the reading %d ms old, want 300: changes are no reading of the whole table", changed.Age)
	}
	c.set(TableCoordination, rowsOf(6, "old"), 1400)
	if late, _ := c.share(ctx, question); len(late.Rows) != 1 || late.Rows[0].Key != "b" {
		t.Errorf("an older reading replaced a newer one: %+v", late)
	}
	clock.Advance(5000)
	if old, err := c.share(ctx, question); err == nil {
		t.Errorf("shared a reading of %d ms", old.Age)
	}
}

// TestCacheSparesLinks answers the pattern of a large catalog and many daemons with
// narrow links: rows that an asker has are not sent again, and large ones not at
// all.
func TestCacheSparesLinks(t *testing.T) {
	small, large := rowsOf(5, "a", "b"), Rows{Version: 6, Rows: []elector.Row{{Key: "a", Version: 6, Value: make([]byte, largeSize)}}}
	tests := map[string]struct {
		held, asked Rows
		same, large bool
		rows        int
	}{
		"the same rows from elsewhere": {held: small, asked: small, same: true},
		"other rows":                   {held: rowsOf(4, "a"), asked: small, rows: 2},
		"a row less":                   {held: rowsOf(5, "a", "b", "c"), asked: small, rows: 2},
		"nothing held":                 {asked: small, rows: 2},
		"large rows":                   {held: small, asked: large, large: true},
		"the same large rows":          {held: large, asked: large, same: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := timekeeper.NewVirtual(1000)
			asker, reader := newCache(clock.Clock(), 4500), newCache(clock.Clock(), 4500)
			if test.held.Rows != nil {
				asker.set(TableCatalog, test.held, 900)
			}
			reader.set(TableCatalog, test.asked, 950)
			_, digest := asker.held(TableCatalog)
			got, err := reader.share(context.Background(), detourer.RowsRequest{Table: int(TableCatalog), KnownDigest: digest})
			if err != nil || got.Unchanged != test.same || got.TooLarge != test.large || len(got.Rows) != test.rows {
				t.Errorf("got same %v, large %v, %d rows, %v", got.Unchanged, got.TooLarge, len(got.Rows), err)
			}
		})
	}
}
