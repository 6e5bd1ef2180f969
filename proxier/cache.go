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

// cache holds the last snapshot of each table of the store. The domain reader, which
// reads the store for its failure domain, serves the domain's other daemons from its
// cache, so that few daemons read the store.
type cache struct {
	clock timekeeper.Clock
	// maxAge is the maximum age of a snapshot that is sent to other daemons.
	maxAge timekeeper.Millis

	mu     sync.Mutex
	tables map[Table]*cachedTable
}

// cachedTable is the last snapshot of one table.
type cachedTable struct {
	rows     map[string]elector.Row
	revision elector.Revision
	// generation rises with each change of the rows.
	generation int64
	// digest is a hash of the era and the rows' keys and versions.
	digest uint64
	// size is the size of the rows' keys and values in bytes.
	size int
	// readAt is the time as of which the snapshot is current: when the store was last
	// asked for all rows, or for changes of tables other than TableCoordination. It is
	// earlier if the watermarks guarantee only an earlier time.
	readAt timekeeper.Millis
	// changed is closed at the next change of the rows.
	changed chan struct{}
}

func newCache(clock timekeeper.Clock, maxAge timekeeper.Millis) *cache {
	return &cache{clock: clock, maxAge: maxAge, tables: map[Table]*cachedTable{}}
}

// getOrCreate returns the entry of a table. The lock must be held.
func (c *cache) getOrCreate(table Table) *cachedTable {
	t := c.tables[table]
	if t == nil {
		// Start above the generations of earlier runs of the daemon.
		t = &cachedTable{generation: int64(c.clock.Now()) << generationBits, changed: make(chan struct{})}
		c.tables[table] = t
	}
	return t
}

// generationBits is how many bits the start time is shifted by to get the first
// generation. They leave room for the changes within a millisecond of the start.
const generationBits = 16

// set replaces a table by a full read that is current as of readAt. It ignores rows of
// an earlier revision than the cached ones.
func (c *cache) set(table Table, rows Rows, readAt timekeeper.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.getOrCreate(table)
	if rows.Before(t.revision) {
		return
	}
	byKey := make(map[string]elector.Row, len(rows.Rows))
	for _, row := range rows.Rows {
		byKey[row.Key] = row
	}
	// A restored store may give a row's version to another value.
	same := rows.Era == t.revision.Era && maps.EqualFunc(t.rows, byKey, func(a, b elector.Row) bool { return a.Version == b.Version && bytes.Equal(a.Value, b.Value) })
	t.revision, t.readAt = rows.Revision, max(t.readAt, readAt)
	if t.rows == nil || !same {
		t.replace(byKey)
	}
}

// apply updates the rows that changed since the last snapshot; readAt is when the
// store was asked for them. It ignores changes of another era than the snapshot's.
// Changes of TableCoordination do not advance the age of its snapshot, because primary
// leases are based on full reads alone.
func (c *cache) apply(table Table, rows Rows, readAt timekeeper.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.getOrCreate(table)
	if t.rows == nil || rows.Era != t.revision.Era {
		return
	}
	if table != TableCoordination {
		t.readAt = max(t.readAt, readAt)
	}
	if len(rows.Rows) == 0 {
		return
	}
	next := maps.Clone(t.rows)
	for _, row := range rows.Rows {
		if row.Version <= next[row.Key].Version {
			continue
		}
		next[row.Key] = row
		if row.Deleted {
			delete(next, row.Key)
		}
	}
	t.revision.Version = max(t.revision.Version, rows.Version)
	t.replace(next)
}

// confirm records that the snapshot of a table was still current as of readAt.
func (c *cache) confirm(table Table, readAt timekeeper.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.getOrCreate(table)
	t.readAt = max(t.readAt, readAt)
}

// readAt returns the time as of which the snapshot of a table is current, or 0 if there
// is none.
func (c *cache) readAt(table Table) timekeeper.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.getOrCreate(table).readAt
}

// era returns the store's era of the snapshot of a table, or 0 if there is none.
func (c *cache) era(table Table) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.getOrCreate(table).revision.Era
}

// replace sets the rows and ends the waits of other daemons' long polls.
func (t *cachedTable) replace(rows map[string]elector.Row) {
	t.rows = rows
	t.generation++
	t.size = 0
	hash := xxhash.New()
	// Writes to the hash never fail, by its documentation.
	_, _ = fmt.Fprintf(hash, "%d\n", t.revision.Era)
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		t.size += len(key) + len(rows[key].Value)
		_, _ = fmt.Fprintf(hash, "%q %d\n", key, rows[key].Version)
	}
	t.digest = hash.Sum64()
	close(t.changed)
	t.changed = make(chan struct{})
}

// snapshot returns the cached rows of a table, sorted by key, and their digest.
func (c *cache) snapshot(table Table) (Rows, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.getOrCreate(table)
	rows := Rows{Revision: t.revision}
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		rows.Rows = append(rows.Rows, t.rows[key])
	}
	return rows, t.digest
}

// knownTo reports whether the requester already has the rows.
func (t *cachedTable) knownTo(request detourer.RowsRequest) bool {
	return request.KnownGeneration == t.generation || request.KnownDigest != 0 && request.KnownDigest == t.digest
}

// maxSharedSize is the maximum size in bytes of a table that is sent to other daemons.
// A 10 Mbit/s link carries seven tables of this size in a second.
const maxSharedSize = 128 << 10

// fetch answers another daemon's request for a table. If the requester already has the
// rows, it waits for a change, for request.MaxWait or maxShareWait, whichever is less.
// It returns an error of KindStale if the snapshot is missing or older than maxAge or
// request.MaxAge, also when it becomes so during the wait.
func (c *cache) fetch(ctx context.Context, request detourer.RowsRequest) (detourer.CachedRows, error) {
	startedAt := c.clock.Now()
	limit := c.maxAge
	if request.MaxAge > 0 {
		limit = min(limit, request.MaxAge)
	}
	deadline := time.NewTimer(min(request.MaxWait, maxShareWait).Duration())
	defer deadline.Stop()
	for waited := request.MaxWait <= 0; ; {
		shared, changed, err := c.share(request, limit)
		if err != nil || waited || !shared.Unchanged {
			shared.Waited = c.clock.Now() - startedAt
			return shared, err
		}
		select {
		case <-ctx.Done():
			return detourer.CachedRows{}, ctx.Err()
		case <-changed:
		case <-deadline.C:
			waited = true
		case <-time.After((limit - shared.Age + 1).Duration()):
		}
	}
}

// share returns the answer to a request as of now, and a channel that is closed at the
// next change of the rows. It returns an error of KindStale if the snapshot is missing
// or older than limit.
func (c *cache) share(request detourer.RowsRequest, limit timekeeper.Millis) (detourer.CachedRows, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.getOrCreate(Table(request.Table))
	age := c.clock.Now() - t.readAt
	if t.rows == nil || age > limit {
		return detourer.CachedRows{}, nil, &Error{Op: "share", Kind: KindStale, Text: "the last reading is too old"}
	}
	shared := detourer.CachedRows{Revision: t.revision, Generation: t.generation, Age: age, Unchanged: t.knownTo(request)}
	shared.TooLarge = !shared.Unchanged && t.size > maxSharedSize
	if !shared.Unchanged && !shared.TooLarge {
		for _, key := range slices.Sorted(maps.Keys(t.rows)) {
			shared.Rows = append(shared.Rows, t.rows[key])
		}
	}
	return shared, t.changed, nil
}

// maxShareWait is the maximum time of another daemon's long poll.
const maxShareWait timekeeper.Millis = 10_000
