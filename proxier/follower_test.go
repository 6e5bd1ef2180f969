package proxier

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// memoryStore is a store in memory. Each daemon uses it through a storePath.
type memoryStore struct {
	mu       sync.Mutex
	revision elector.Revision
	// rows are the rows of all tables, deleted ones included, by table and key.
	rows map[Table]map[string]elector.Row
	// changed is closed at the next change.
	changed chan struct{}
}

func newMemoryStore() *memoryStore {
	return &memoryStore{revision: elector.Revision{Era: 1}, rows: map[Table]map[string]elector.Row{}, changed: make(chan struct{})}
}

// copyRows returns a copy of the store's content.
func (s *memoryStore) copyRows() (map[Table]map[string]elector.Row, elector.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := map[Table]map[string]elector.Row{}
	for table, byKey := range s.rows {
		rows[table] = maps.Clone(byKey)
	}
	return rows, s.revision
}

// restore replaces the store's content by a copy, which begins an era.
func (s *memoryStore) restore(rows map[Table]map[string]elector.Row, revision elector.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.revision = rows, elector.Revision{Era: s.revision.Era + 1, Version: revision.Version}
	close(s.changed)
	s.changed = make(chan struct{})
}

// putLocked sets a row. The lock must be held.
func (s *memoryStore) putLocked(table Table, row elector.Row) {
	s.revision.Version++
	row.Version = s.revision.Version
	if s.rows[table] == nil {
		s.rows[table] = map[string]elector.Row{}
	}
	s.rows[table][row.Key] = row
	close(s.changed)
	s.changed = make(chan struct{})
}

// setCatalog writes a catalog with the given version.
func (s *memoryStore) setCatalog(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(TableCatalog, elector.Row{Key: "config", Value: []byte(strconv.FormatInt(version, 10))})
}

// changesLocked returns the rows of a table that changed after a version.
func (s *memoryStore) changesLocked(table Table, after int64) []elector.Row {
	var out []elector.Row
	for _, row := range s.rows[table] {
		if row.Version > after {
			out = append(out, row)
		}
	}
	return out
}

// storePath is one daemon's path to a memoryStore.
type storePath struct {
	*memoryStore
	mu sync.Mutex
	// cut is closed while the path gives no answers.
	cut chan struct{}
	// restored is closed once the path works again.
	restored chan struct{}
}

func newStorePath(store *memoryStore) *storePath {
	path := &storePath{memoryStore: store, cut: make(chan struct{}), restored: make(chan struct{})}
	close(path.restored)
	return path
}

// disconnect ends the path for good, also for calls that wait for an answer.
func (p *storePath) disconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.restored = make(chan struct{})
	close(p.cut)
}

// connected blocks until ctx ends if the path is cut.
func (p *storePath) connected(ctx context.Context) error {
	p.mu.Lock()
	restored := p.restored
	p.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-restored:
		return nil
	}
}

func (p *storePath) scan(ctx context.Context, table Table) (Rows, error) {
	if err := p.connected(ctx); err != nil {
		return Rows{}, err
	}
	p.memoryStore.mu.Lock()
	defer p.memoryStore.mu.Unlock()
	rows := slices.DeleteFunc(p.changesLocked(table, 0), func(row elector.Row) bool { return row.Deleted })
	return Rows{Rows: rows, Revision: p.revision}, nil
}

func (p *storePath) feed(ctx context.Context, table Table, after int64, wait timekeeper.Millis) (Rows, error) {
	deadline := time.After(wait.Duration())
	era := int64(0)
	for waiting := true; waiting; {
		if err := p.connected(ctx); err != nil {
			return Rows{}, err
		}
		p.memoryStore.mu.Lock()
		rows, changed := Rows{Rows: p.changesLocked(table, after), Revision: p.revision}, p.changed
		p.memoryStore.mu.Unlock()
		if era = rows.Era; rows.Version < after {
			return Rows{}, &Error{Op: "feed", Kind: KindStale, Text: "the store does not have the version"}
		}
		if len(rows.Rows) > 0 {
			return rows, nil
		}
		select {
		case <-ctx.Done():
			return Rows{}, ctx.Err()
		case <-p.cut:
		case <-changed:
		case <-deadline:
			waiting = false
		}
	}
	return Rows{Revision: elector.Revision{Era: era, Version: after}}, p.connected(ctx)
}

func (p *storePath) transact(ctx context.Context, table Table, tx elector.Transaction) (elector.Result, elector.Revision) {
	if p.connected(ctx) != nil {
		return elector.Indeterminate, elector.Revision{}
	}
	p.memoryStore.mu.Lock()
	defer p.memoryStore.mu.Unlock()
	for _, row := range tx.Expect {
		have := p.rows[table][row.Key]
		if have.Deleted && row.Version != 0 || !have.Deleted && have.Version != row.Version {
			return elector.Conflict, elector.Revision{}
		}
	}
	for _, row := range tx.Set {
		p.putLocked(table, row)
	}
	for _, key := range tx.Delete {
		p.putLocked(table, elector.Row{Key: key, Deleted: true})
	}
	return elector.Applied, p.revision
}

// decodeCatalog decodes a row of memoryStore.setCatalog.
func decodeCatalog(row elector.Row) (cataloger.Catalog, error) {
	version, err := strconv.ParseInt(string(row.Value), 10, 64)
	return cataloger.New(version, nil, nil), err
}

// freezableListener can stop to serve connections, as a frozen host does.
type freezableListener struct {
	net.Listener
	frozen chan struct{}
}

// Accept returns the next connection, and none once the listener is frozen: the
// kernel still opens them.
func (l freezableListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case <-l.frozen:
		default:
			return conn, nil
		}
	}
}

// storeDaemon is a daemon that runs against a memoryStore.
type storeDaemon struct {
	*Proxy
	path   *storePath
	frozen chan struct{}
}

// unusedAddress is an address at which no daemon can be reached.
const unusedAddress = "127.0.0.1:1"

// startStoreDaemon runs a daemon of the failure domain "a" until the test ends. Other
// daemons try to reach it at address, or at its real one if that is empty.
func startStoreDaemon(t *testing.T, name, address string, store *memoryStore) *storeDaemon {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if address == "" {
		address = listener.Addr().String()
	}
	return startHostDaemon(t, elector.Host{Name: name, Domain: "a", Incarnation: 1, Address: address}, listener, store)
}

// startHostDaemon starts a daemon on a host that accepts other daemons on a listener.
func startHostDaemon(t *testing.T, host elector.Host, listener net.Listener, store *memoryStore) *storeDaemon {
	settings := DefaultSettings(host)
	settings.Elector.HeartbeatInterval = 300
	d := &storeDaemon{path: newStorePath(store), frozen: make(chan struct{})}
	d.Proxy = New(settings, Deps{
		Scan: d.path.scan, Feed: d.path.feed, Transact: d.path.transact, DecodeCatalog: decodeCatalog,
		DecodeServer: func(elector.Row) (cataloger.Server, error) { return cataloger.Server{}, nil },
	}, timekeeper.BootTime(), observer.NewLogger(io.Discard, "error", host.Name), NewMetrics())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.Run(ctx, freezableListener{Listener: listener, frozen: d.frozen})
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return d
}

// catalogVersion returns the version of the catalog in force.
func (d *storeDaemon) catalogVersion() int64 {
	d.Proxy.mu.Lock()
	defer d.Proxy.mu.Unlock()
	return d.mux.CatalogVersion()
}

// waitFor polls a condition and fails the test if it is not met within 10 s.
func waitFor(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not met within 10 s", condition)
		}
	}
}

// maxCatalogDelay is how long after the store's acknowledgement a daemon in touch may
// work by an older catalog, as the smallest deployments state it.
const maxCatalogDelay = 3 * time.Second

// TestFollowersOfFailedDomainReader guards against a failure domain that works by old
// catalogs although it reaches the store, because its domain reader does not.
func TestFollowersOfFailedDomainReader(t *testing.T) {
	tests := map[string]func(reader *storeDaemon){
		"cut off from the store and from other daemons": func(reader *storeDaemon) { reader.path.disconnect() },
		"frozen": func(reader *storeDaemon) {
			reader.path.disconnect()
			close(reader.frozen)
		},
	}
	for name, fail := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := newMemoryStore()
			store.setCatalog(1)
			reader, follower := startStoreDaemon(t, "d0", "", store), startStoreDaemon(t, "d1", unusedAddress, store)
			waitFor(t, "the follower knows its domain reader", func() bool {
				return follower.domainReader() == reader.settings.Host.Address && follower.catalogVersion() == 1
			})
			fail(reader)
			acked := []time.Time{{}, time.Now()}
			var late []string
			for started := time.Now(); time.Since(started) < 9*time.Second; time.Sleep(50 * time.Millisecond) {
				acked = append(acked, time.Now())
				store.setCatalog(int64(len(acked) - 1))
				// The newest version that must be in force by now.
				required := int64(1)
				for version, at := range acked {
					if version > 0 && time.Since(at) > maxCatalogDelay {
						required = int64(version)
					}
				}
				if got := follower.catalogVersion(); got < required {
					late = append(late, fmt.Sprintf("%.1f s after the failure: version %d, want %d", time.Since(started).Seconds(), got, required))
				}
			}
			if len(late) > 0 {
				t.Errorf("%d times an older version in force:\n%s", len(late), strings.Join(late[:min(len(late), 5)], "\n"))
			}
		})
	}
}

// TestCatalogAfterRestore guards against daemons that take what is written to a restored
// store for old, because the store gives out lower versions than before.
func TestCatalogAfterRestore(t *testing.T) {
	tests := map[string]struct {
		// lost and rewritten are how many catalogs are written after the copy was
		// made and after it was restored. They exceed the versions of the store.
		lost, rewritten int
		restores        int
	}{
		"the store reaches the old version again": {lost: 5, rewritten: 30, restores: 1},
		"the store stays below the old version":   {lost: 200, rewritten: 1, restores: 1},
		"two restores":                            {lost: 200, rewritten: 1, restores: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := newMemoryStore()
			store.setCatalog(1)
			daemons := []*storeDaemon{startStoreDaemon(t, "d0", "", store), startStoreDaemon(t, "d1", "", store)}
			inForce := func(version int64) func() bool {
				return func() bool {
					return !slices.ContainsFunc(daemons, func(d *storeDaemon) bool { return d.catalogVersion() != version })
				}
			}
			waitFor(t, "the follower knows its domain reader", func() bool {
				return daemons[1].domainReader() != "" && inForce(1)()
			})
			version := int64(1)
			write := func(n int) {
				for range n {
					version++
					store.setCatalog(version)
				}
			}
			rows, revision := store.copyRows()
			for range test.restores {
				write(test.lost)
				waitFor(t, "the last catalog before the restore is in force", inForce(version))
				copied := map[Table]map[string]elector.Row{}
				for table, byKey := range rows {
					copied[table] = maps.Clone(byKey)
				}
				store.restore(copied, revision)
				write(test.rewritten)
				restored := time.Now()
				waitFor(t, "the last catalog after the restore is in force", inForce(version))
				if delay := time.Since(restored); delay > maxCatalogDelay {
					t.Errorf("in force after %v, want %v at most", delay, maxCatalogDelay)
				}
			}
		})
	}
}
