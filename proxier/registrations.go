package proxier

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// registrationTable holds the last known registrations of the backend servers. It is
// safe for concurrent use.
type registrationTable struct {
	mu       sync.Mutex
	rows     map[string]elector.Row
	revision elector.Revision
	// decoded holds the rows as they were last decoded, by key.
	decoded map[string]decodedServer
}

// decodedServer is the result of decoding a row with a value.
type decodedServer struct {
	value  []byte
	server cataloger.Server
	err    error
}

// replace sets all rows from a full read. It ignores rows older than the known ones.
func (t *registrationTable) replace(rows Rows) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rows.Before(t.revision) {
		return
	}
	t.rows, t.revision = make(map[string]elector.Row, len(rows.Rows)), rows.Revision
	for _, row := range rows.Rows {
		t.rows[row.Key] = row
	}
}

// apply updates the rows that changed. It ignores changes of another era than that of
// the last full read.
func (t *registrationTable) apply(rows Rows) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rows.Era != t.revision.Era {
		return
	}
	for _, row := range rows.Rows {
		if row.Version <= t.rows[row.Key].Version {
			continue
		}
		if row.Deleted {
			delete(t.rows, row.Key)
			continue
		}
		if t.rows == nil {
			t.rows = map[string]elector.Row{}
		}
		t.rows[row.Key] = row
	}
	t.revision.Version = max(t.revision.Version, rows.Version)
}

// servers returns the decoded registrations, in the order of their keys. It decodes only
// the rows that have changed. It skips rows that can't be decoded, which another program may
// write, and logs each value of such a row once.
func (t *registrationTable) servers(decode func(elector.Row) (cataloger.Server, error), log func(observer.Decision)) []cataloger.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]cataloger.Server, 0, len(t.rows))
	decoded := make(map[string]decodedServer, len(t.rows))
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		row := t.rows[key]
		d, known := t.decoded[key]
		if !known || !bytes.Equal(d.value, row.Value) {
			server, err := decode(row)
			d = decodedServer{value: row.Value, server: server, err: err}
			if err != nil {
				log(observer.Decision{Part: "servers", Outcome: "registration skipped", Inputs: []observer.Field{
					observer.F("key", key), observer.F("version", row.Version), observer.F("error", err.Error()),
				}})
			}
		}
		decoded[key] = d
		if d.err == nil {
			out = append(out, d.server)
		}
	}
	t.decoded = decoded
	return out
}

// applyServers passes the known registrations to the multiplexer and the elector.
func (p *Proxy) applyServers() {
	servers := p.registrations.servers(p.deps.DecodeServer, p.log.LogDecision)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.executeAll(p.setServers(p.clock.Now(), servers))
}

// registrationPause is the time between two polls for changed registrations. Each
// server writes its own about once a second, mostly as a heartbeat.
const registrationPause timekeeper.Millis = 1000

// watchServers follows the change feed of the registrations.
func (p *Proxy) watchServers(ctx context.Context) {
	p.watchTable(ctx, tableWatch{
		table: TableServers, name: "store: servers", pause: registrationPause,
		feedWait: p.settings.Intervals.FeedWait, followWait: p.settings.Intervals.FeedWait,
		onSnapshot: func(r reading) {
			p.registrations.replace(r.Rows)
			p.applyServers()
		},
		onChange: func(r reading) {
			p.registrations.apply(r.Rows)
			p.applyServers()
		},
		onUnchanged: func(timekeeper.Millis) {},
	})
}

// rescanServers periodically reads all registrations to find changes that the change
// feed missed.
func (p *Proxy) rescanServers(ctx context.Context) {
	p.poll(ctx, p.settings.Intervals.ServerRescan, func() error {
		snapshot, err := p.scan(ctx, TableServers, "store: servers")
		if err != nil {
			return err
		}
		p.registrations.replace(snapshot.Rows)
		p.applyServers()
		return nil
	})
}

// expireServers removes servers whose registrations have been missing for longer
// than the grace period, and ends the time for which a server is kept leaving.
func (p *Proxy) expireServers(ctx context.Context) {
	for sleep(ctx, expiryInterval.Duration()) {
		p.mu.Lock()
		pending := p.grace.pending()
		p.mu.Unlock()
		if pending {
			p.applyServers()
		}
	}
}

// expiryInterval is the time between two checks for missing registrations. A server
// is removed up to this long after Settings.RegistrationGrace.
const expiryInterval timekeeper.Millis = 250
