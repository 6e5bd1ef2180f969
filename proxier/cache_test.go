package proxier

import (
	"context"
	"testing"

	"github.com/heatherhall/heatherhall/detourer"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/timekeeper"
)

func rowsOf(version int64, keys ...string) Rows {
	out := Rows{Revision: elector.Revision{Version: version}}
	for _, key := range keys {
		out.Rows = append(out.Rows, elector.Row{Key: key, Version: version})
	}
	return out
}

func TestCacheFetch(t *testing.T) {
	clock := timekeeper.NewVirtual(1000)
	c := newCache(clock.Clock(), 4500)
	ctx := context.Background()
	request := detourer.RowsRequest{Table: int(TableCoordination)}
	if _, err := c.fetch(ctx, request); err == nil {
		t.Error("got a snapshot before any read")
	}
	c.set(TableCoordination, rowsOf(5, "a", "b"), 1000)
	clock.Advance(300)
	first, err := c.fetch(ctx, request)
	if err != nil || len(first.Rows) != 2 || first.Age != 300 || first.Unchanged {
		t.Fatalf("got %+v, %v, want 2 rows that are 300 ms old", first, err)
	}
	request.KnownGeneration = first.Generation
	if again, err := c.fetch(ctx, request); err != nil || !again.Unchanged || again.Rows != nil {
		t.Errorf("got %+v, %v, want an unchanged answer without rows", again, err)
	}
	c.apply(TableCoordination, Rows{Revision: elector.Revision{Version: 8}, Rows: []elector.Row{{Key: "a", Version: 8, Deleted: true}, {Key: "b", Version: 4}}}, 1300)
	changed, err := c.fetch(ctx, request)
	if err != nil || changed.Unchanged || len(changed.Rows) != 1 || changed.Rows[0].Key != "b" || changed.Rows[0].Version != 5 {
		t.Errorf("got %+v, %v, want row b of version 5 alone", changed, err)
	}
	if changed.Age != 300 {
		t.Errorf("the snapshot is %d ms old after a change, want 300: changes are not a full read", changed.Age)
	}
	c.set(TableCoordination, rowsOf(6, "old"), 1400)
	if late, _ := c.fetch(ctx, request); len(late.Rows) != 1 || late.Rows[0].Key != "b" {
		t.Errorf("older rows replaced newer ones: %+v", late)
	}
	clock.Advance(5000)
	if old, err := c.fetch(ctx, request); err == nil {
		t.Errorf("got a snapshot that is %d ms old, want an error above 4500 ms", old.Age)
	}
}

// TestFetchRejectsOldSnapshot guards against a daemon that waits for changes at a domain
// reader whose snapshot becomes older than the daemon accepts.
func TestFetchRejectsOldSnapshot(t *testing.T) {
	const limit timekeeper.Millis = 200
	tests := map[string]struct {
		// confirmEvery is the time between two readings of the domain reader; 0 for
		// none after the first.
		confirmEvery timekeeper.Millis
		wantErr      bool
	}{
		"no reading during the wait":   {wantErr: true},
		"readings during the wait":     {confirmEvery: 50},
		"too few readings in the wait": {confirmEvery: 350, wantErr: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := timekeeper.BootTime()
			c := newCache(clock, maxSharedAge)
			c.set(TableCatalog, rowsOf(5, "a"), clock.Now())
			_, digest := c.snapshot(TableCatalog)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				for test.confirmEvery > 0 && sleep(ctx, test.confirmEvery.Duration()) {
					c.confirm(TableCatalog, clock.Now())
				}
			}()
			got, err := c.fetch(ctx, detourer.RowsRequest{Table: int(TableCatalog), KnownDigest: digest, MaxWait: 600, MaxAge: limit})
			cancel()
			<-done
			if test.wantErr != (err != nil) || err == nil && (!got.Unchanged || got.Age > limit || got.Waited < 600) {
				t.Errorf("got %+v, %v, want an error: %v", got, err, test.wantErr)
			}
		})
	}
}

// TestCacheLimitsTransfers guards against overloading narrow links when many daemons
// request a large catalog. Rows that the requester has are not sent again, and large
// tables are not sent at all.
func TestCacheLimitsTransfers(t *testing.T) {
	small, large := rowsOf(5, "a", "b"), Rows{Revision: elector.Revision{Version: 6}, Rows: []elector.Row{{Key: "a", Version: 6, Value: make([]byte, maxSharedSize)}}}
	tests := map[string]struct {
		known, cached       Rows
		unchanged, tooLarge bool
		rows                int
	}{
		"the same rows from another source": {known: small, cached: small, unchanged: true},
		"other rows":                        {known: rowsOf(4, "a"), cached: small, rows: 2},
		"a deleted row":                     {known: rowsOf(5, "a", "b", "c"), cached: small, rows: 2},
		"no known rows":                     {cached: small, rows: 2},
		"large rows":                        {known: small, cached: large, tooLarge: true},
		"the same large rows":               {known: large, cached: large, unchanged: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := timekeeper.NewVirtual(1000)
			requester, reader := newCache(clock.Clock(), 4500), newCache(clock.Clock(), 4500)
			if test.known.Rows != nil {
				requester.set(TableCatalog, test.known, 900)
			}
			reader.set(TableCatalog, test.cached, 950)
			_, digest := requester.snapshot(TableCatalog)
			got, err := reader.fetch(context.Background(), detourer.RowsRequest{Table: int(TableCatalog), KnownDigest: digest})
			if err != nil || got.Unchanged != test.unchanged || got.TooLarge != test.tooLarge || len(got.Rows) != test.rows {
				t.Errorf("got unchanged %v, too large %v, %d rows, %v", got.Unchanged, got.TooLarge, len(got.Rows), err)
			}
		})
	}
}

// TestCacheOfAnotherEra guards against versions of different eras of the store that are
// taken for the same state.
func TestCacheOfAnotherEra(t *testing.T) {
	clock := timekeeper.NewVirtual(1000)
	c := newCache(clock.Clock(), 4500)
	snapshot := func(era int64, value string) Rows {
		return Rows{Revision: elector.Revision{Era: era, Version: 5}, Rows: []elector.Row{{Key: "a", Version: 5, Value: []byte(value)}}}
	}
	c.set(TableCatalog, snapshot(1, "x"), 1000)
	_, before := c.snapshot(TableCatalog)
	c.apply(TableCatalog, Rows{Revision: elector.Revision{Era: 2, Version: 9}, Rows: []elector.Row{{Key: "a", Version: 9, Value: []byte("y")}}}, 1000)
	if rows, _ := c.snapshot(TableCatalog); string(rows.Rows[0].Value) != "x" {
		t.Errorf("rows %v after a change of another era, want those of the full read", rows)
	}
	c.set(TableCatalog, snapshot(2, "x"), 1000)
	rows, after := c.snapshot(TableCatalog)
	if rows.Era != 2 || after == before {
		t.Errorf("era %d, digest changed: %v, want another digest in era 2", rows.Era, after != before)
	}
	c.set(TableCatalog, snapshot(1, "z"), 1000)
	if rows, _ := c.snapshot(TableCatalog); string(rows.Rows[0].Value) != "x" {
		t.Errorf("rows %v after a full read of the earlier era, want those of the later one", rows)
	}
}
