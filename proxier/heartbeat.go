package proxier

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/heatherhall/heatherhall/detourer"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// maxHeartbeatRows is how many heartbeats one transaction writes. The store limits the
// entries of a transaction.
const maxHeartbeatRows = 90

// heartbeatRelay lets the domain reader write the heartbeats of the daemons that request
// rows from it, so that the number of writes does not grow with the number of daemons.
// It is safe for concurrent use.
type heartbeatRelay struct {
	mu sync.Mutex
	// heard holds the heartbeats, without a count, of the daemons that were heard since
	// the last write.
	heard map[string]elector.Heartbeat
	// writtenAt is when this daemon's last write of heartbeats succeeded.
	writtenAt timekeeper.Millis
	// coveredAt is when the domain reader last said that it writes this daemon's
	// heartbeats.
	coveredAt timekeeper.Millis
}

// record records a sign of life of another daemon and reports whether this daemon
// writes heartbeats for it.
func (r *heartbeatRelay) record(now timekeeper.Millis, name string, heartbeat elector.Heartbeat, interval timekeeper.Millis) bool {
	if name == "" {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heard == nil {
		r.heard = map[string]elector.Heartbeat{}
	}
	r.heard[name] = heartbeat
	return r.writtenAt > 0 && now-r.writtenAt <= interval
}

// take returns the daemons that were heard since the last call.
func (r *heartbeatRelay) take() map[string]elector.Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	heard := r.heard
	r.heard = nil
	return heard
}

// written records that a write of heartbeats succeeded.
func (r *heartbeatRelay) written(now timekeeper.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writtenAt = now
}

// setCovered records whether the domain reader writes this daemon's heartbeats.
func (r *heartbeatRelay) setCovered(now timekeeper.Millis, covered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if covered {
		r.coveredAt = now
	}
}

// due reports whether this daemon has to write its own heartbeat: the domain reader did
// not say of late that it does.
func (r *heartbeatRelay) due(now, interval timekeeper.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coveredAt == 0 || now-r.coveredAt >= interval
}

// fetchCached requests rows from the domain reader. The request also is a sign of life.
func (p *Proxy) fetchCached(ctx context.Context, reader string, request detourer.RowsRequest) (detourer.CachedRows, error) {
	own := p.ownHeartbeat(p.clock.Now())
	request.From, request.Incarnation, request.Shedding = p.settings.Host.Name, own.Incarnation, own.Shedding
	rows, err := p.peerClient.FetchCached(ctx, reader, request)
	p.recordDependency("domain reader", err)
	if err == nil {
		p.heartbeats.setCovered(p.clock.Now(), rows.Covered)
	}
	return rows, err
}

// serveCached answers another daemon's request for rows and records its sign of life.
func (p *Proxy) serveCached(ctx context.Context, request detourer.RowsRequest) (detourer.CachedRows, error) {
	interval := p.settings.Elector.HeartbeatInterval
	heartbeat := elector.Heartbeat{Incarnation: request.Incarnation, Shedding: request.Shedding}
	p.heartbeats.record(p.clock.Now(), request.From, heartbeat, interval)
	rows, err := p.cache.fetch(ctx, request)
	if err == nil && ctx.Err() == nil {
		rows.Covered = p.heartbeats.record(p.clock.Now(), request.From, heartbeat, interval)
	}
	return rows, err
}

// heartbeat writes this daemon's heartbeats, unless the domain reader does, and those of
// the daemons that it heard. It also reads the heartbeats of all daemons.
func (p *Proxy) heartbeat(ctx context.Context) {
	interval := p.settings.Elector.HeartbeatInterval
	writtenAt, readAt := timekeeper.Millis(0), timekeeper.Millis(0)
	p.poll(ctx, interval/2, func() error {
		now, result := p.clock.Now(), elector.Applied
		heard := p.heartbeats.take()
		reads := p.domainReader() == "" || now-readAt >= interval-interval/8
		if p.heartbeats.due(now, interval) && (len(heard) > 0 || now-writtenAt >= interval-interval/8) {
			if result = p.writeHeartbeats(ctx, now, heard); result == elector.Applied {
				writtenAt = now
			}
		}
		if reads {
			readAt = now
			if err := p.readHeartbeats(ctx); err != nil {
				return err
			}
		}
		if result != elector.Applied {
			return &Error{Op: "heartbeat", Kind: KindUnconfirmed, Text: result.String()}
		}
		return nil
	})
}

// writeHeartbeats writes the heartbeats of this daemon and of others by name.
func (p *Proxy) writeHeartbeats(ctx context.Context, now timekeeper.Millis, others map[string]elector.Heartbeat) elector.Result {
	var rows []elector.Row
	add := func(name string, heartbeat elector.Heartbeat) {
		heartbeat.Count = int64(now)
		// A struct of integers and booleans always encodes.
		value, _ := json.Marshal(heartbeat)
		rows = append(rows, elector.Row{Key: name, Value: value})
	}
	add(p.settings.Host.Name, p.ownHeartbeat(now))
	for name, heartbeat := range others {
		if name != p.settings.Host.Name {
			add(name, heartbeat)
		}
	}
	result := elector.Applied
	for len(rows) > 0 && result == elector.Applied {
		n := min(len(rows), maxHeartbeatRows)
		call, cancel := p.callContext(ctx)
		result, _ = p.transact(call, TableHeartbeats, elector.Transaction{Set: rows[:n]})
		cancel()
		rows = rows[n:]
	}
	if result == elector.Applied {
		p.heartbeats.written(now)
	}
	return result
}

// readHeartbeats reads the heartbeats of all daemons.
func (p *Proxy) readHeartbeats(ctx context.Context) error {
	snapshot, err := p.scan(ctx, TableHeartbeats, "store: beats")
	if err != nil {
		return err
	}
	heartbeats := map[string]elector.Heartbeat{}
	for _, row := range snapshot.Rows.Rows {
		var heartbeat elector.Heartbeat
		if json.Unmarshal(row.Value, &heartbeat) == nil { // skip rows of other programs
			heartbeats[row.Key] = heartbeat
		}
	}
	p.withElector(func(now timekeeper.Millis) []elector.Command {
		p.elector.SetHeartbeats(now, snapshot.readAt, snapshot.Era, heartbeats)
		return nil
	})
	return nil
}
