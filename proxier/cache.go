package proxier

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherhall/heatherhall/detourer"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// cache holds a daemon's last readings of the store for the other daemons of its
// failure domain, so that few daemons ask the store itself.
type cache struct {
	clock timekeeper.Clock
	// limit is the greatest age of a reading that is shared.
	limit timekeeper.Millis

	mu     sync.Mutex
	tables map[Table]*reading
}

// reading is the last reading of one table.
type reading struct {
	rows    map[string]elector.Row
	version int64
	// number rises with each change of the rows, which digest names and which have
	// size bytes.
	number int64
	digest uint64
	size   int
	// readAt is when the table was last asked for whole.
	readAt timekeeper.Millis
	// changed is closed at the next change.
	changed chan struct{}
}

func newCache(clock timekeeper.Clock, limit timekeeper.Millis) *cache {
	return &cache{clock: clock, limit: limit, tables: map[Table]*reading{}}
}

func (c *cache) reading(table Table) *reading {
	r := c.tables[table]
	if r == nil {
		// Numbers of an earlier run of the daemon are lower.
		r = &reading{number: int64(c.clock.Now()) << numberBits, changed: make(chan struct{})}
		c.tables[table] = r
	}
	return r
}

// numberBits leaves room for changes within a millisecond of the start.
const numberBits = 16

// set takes a whole reading that was asked for at a time.
func (c *cache) set(table Table, rows Rows, asked timekeeper.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.reading(table)
	if rows.Version < r.version {
		return
	}
	fresh := make(map[string]elector.Row, len(rows.Rows))
	for _, row := range rows.Rows {
		fresh[row.Key] = row
	}
	same := maps.EqualFunc(r.rows, fresh, func(a, b elector.Row) bool { return a.Version == b.Version && bytes.Equal(a.Value, b.Value) })
	r.version, r.readAt = rows.Version, max(r.readAt, asked)
	if r.rows == nil || !same {
		r.replace(fresh)
	}
}

// apply takes rows that changed since the last reading, as asked for at a time.
// Leases rest on whole readings of TableOwn alone, so that changes of it make the
// reading no younger.
func (c *cache) apply(table Table, rows Rows, asked timekeeper.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.reading(table)
	if r.rows == nil {
		return
	}
	if table != TableCoordination {
		r.readAt = max(r.readAt, asked)
	}
	if len(rows.Rows) == 0 {
		return
	}
	next := maps.Clone(r.rows)
	for _, row := range rows.Rows {
		if row.Version <= next[row.Key].Version {
			continue
		}
		next[row.Key] = row
		if row.Deleted {
			delete(next, row.Key)
		}
	}
	r.version = max(r.version, rows.Version)
	r.replace(next)
}

func (r *reading) replace(rows map[string]elector.Row) {
	r.rows = rows
	r.number++
	r.size = 0
	hash := xxhash.New()
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		r.size += len(key) + len(rows[key].Value)
		_, _ = fmt.Fprintf(hash, "%q %d\n", key, rows[key].Version) // never fails, by its documentation
	}
	r.digest = hash.Sum64()
	close(r.changed)
	r.changed = make(chan struct{})
}

// held returns the rows of a table that were read last, and their digest.
func (c *cache) held(table Table) (Rows, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.reading(table)
	rows := Rows{Version: r.version}
	for _, key := range slices.Sorted(maps.Keys(r.rows)) {
		rows.Rows = append(rows.Rows, r.rows[key])
	}
	return rows, r.digest
}

// has reports whether the asker of a question has the rows.
func (r *reading) has(q detourer.RowsRequest) bool {
	return q.KnownGeneration == r.number || q.KnownDigest != 0 && q.KnownDigest == r.digest
}

// largeSize is the size of a table in bytes from which its rows are not sent to
// other daemons: a second of a 10 Mbit/s link carries seven of that size.
const largeSize = 128 << 10

// share answers another daemon: at once, or when the rows are not those that it
// has any more.
func (c *cache) share(ctx context.Context, q detourer.RowsRequest) (detourer.CachedRows, error) {
	begun := c.clock.Now()
	c.mu.Lock()
	r := c.reading(Table(q.Table))
	changed, wait := r.changed, r.has(q) && q.MaxWait > 0
	c.mu.Unlock()
	if wait {
		select {
		case <-ctx.Done():
			return detourer.CachedRows{}, ctx.Err()
		case <-changed:
		case <-time.After(min(q.MaxWait, shareWait).Duration()):
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	age := now - r.readAt
	if r.rows == nil || age > c.limit {
		return detourer.CachedRows{}, &Error{Op: "share", Kind: KindStale, Text: "the last reading is too old"}
	}
	shared := detourer.CachedRows{Version: r.version, Generation: r.number, Age: age, Waited: now - begun, Unchanged: r.has(q)}
	shared.TooLarge = !shared.Unchanged && r.size > largeSize
	if !shared.Unchanged && !shared.TooLarge {
		for _, key := range slices.Sorted(maps.Keys(r.rows)) {
			shared.Rows = append(shared.Rows, r.rows[key])
		}
	}
	return shared, nil
}

// shareWait is the longest that another daemon's question is held.
const shareWait timekeeper.Millis = 10_000
