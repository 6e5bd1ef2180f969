package proxier

import (
	"context"
	"sync"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// roster holds the backend servers' registrations as they were read last. It is
// safe for concurrent use.
type roster struct {
	mu      sync.Mutex
	rows    map[string]elector.Row
	version int64
	// passed holds the versions of rows that name no server, so that each is logged
	// once.
	passed map[string]int64
}

// replace takes a whole reading, unless it is older than what is known.
func (r *roster) replace(rows Rows) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rows.Version < r.version {
		return
	}
	r.rows, r.version = make(map[string]elector.Row, len(rows.Rows)), rows.Version
	for _, row := range rows.Rows {
		r.rows[row.Key] = row
	}
}

// apply takes rows that changed.
func (r *roster) apply(rows Rows) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows.Rows {
		if row.Version <= r.rows[row.Key].Version {
			continue
		}
		if row.Deleted {
			delete(r.rows, row.Key)
			continue
		}
		if r.rows == nil {
			r.rows = map[string]elector.Row{}
		}
		r.rows[row.Key] = row
	}
	r.version = max(r.version, rows.Version)
}

// servers decodes the registrations. One of another writer names no server; log
// tells of it once.
func (r *roster) servers(decode func(elector.Row) (cataloger.Server, error), log func(observer.Decision)) []cataloger.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]cataloger.Server, 0, len(r.rows))
	passed := map[string]int64{}
	for key, row := range r.rows {
		server, err := decode(row)
		if err == nil {
			out = append(out, server)
			continue
		}
		passed[key] = row.Version
		if r.passed[key] != row.Version {
			log(observer.Decision{Part: "servers", Outcome: "registration passed over", Inputs: []observer.Field{
				observer.F("key", key), observer.F("version", row.Version), observer.F("error", err.Error()),
			}})
		}
	}
	r.passed = passed
	return out
}

// takeServers tells the decisions of the registrations that are known.
func (p *Proxy) takeServers() {
	servers := p.roster.servers(p.seams.DecodeServer, p.log.LogDecision)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.carryBoth(p.setServers(p.clock.Now(), servers))
}

// serversPause is the time between two questions for changed registrations. Each
// server writes its own about once a second, mostly to say that it lives.
const serversPause timekeeper.Millis = 1000

// feedServers follows the registrations' changes.
func (p *Proxy) feedServers(ctx context.Context) {
	p.feed(ctx, follower{
		table: TableServers, name: "store: servers", pause: serversPause,
		whole: func(rows Rows, _ timekeeper.Millis) {
			p.roster.replace(rows)
			p.takeServers()
		},
		changed: func(rows Rows) {
			p.roster.apply(rows)
			p.takeServers()
		},
		confirmed: func(timekeeper.Millis) {},
	})
}

// scanServers reads the registrations whole from time to time, for changes that no
// feed told of.
func (p *Proxy) scanServers(ctx context.Context) {
	p.every(ctx, p.settings.Intervals.ServerRescan, func() error {
		rows, _, err := p.scan(ctx, TableServers, "store: servers")
		if err != nil {
			return err
		}
		p.roster.replace(rows)
		p.takeServers()
		return nil
	})
}

// ageServers drops servers whose registrations stay missing.
func (p *Proxy) ageServers(ctx context.Context) {
	for sleep(ctx, ageInterval.Duration()) {
		p.mu.Lock()
		missing := len(p.registry.missing) > 0
		p.mu.Unlock()
		if missing {
			p.takeServers()
		}
	}
}

// ageInterval is the time between two looks for registrations that are missing;
// it adds to Settings.Silence.
const ageInterval timekeeper.Millis = 250
