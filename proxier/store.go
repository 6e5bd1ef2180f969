package proxier

import (
	"context"
	"time"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/detourer"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/multiplexer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// directShare is the part of a call's time, as one in so many, that the own
	// path to the store has before other daemons are asked too.
	directShare = 2
	// lostTime is how long after a failure of the own path other daemons are
	// asked first for changes and at once for readings.
	lostTime timekeeper.Millis = 3000
)

// direct is the daemon's own path to the store, for other daemons.
func (p *Proxy) direct() detourer.Handler {
	return detourer.Handler{
		Scan: func(ctx context.Context, table int) (detourer.Rows, error) {
			rows, err := p.seams.Scan(ctx, Table(table))
			return detourer.Rows(rows), err
		},
		FetchCached: p.cache.share,
		Connect:     p.connectFor,
		Transact: func(ctx context.Context, change detourer.TransactionRequest) elector.Result {
			result, _ := p.seams.Transact(ctx, Table(change.Table), change.Transaction)
			return result
		},
	}
}

// connectFor opens a connection to a backend server for another daemon, unless
// the server does not answer this one either.
func (p *Proxy) connectFor(ctx context.Context, server cataloger.Server) (detourer.ServerConn, multiplexer.Answer, error) {
	p.mu.Lock()
	reached := p.mux.ReachesDirectly(server)
	p.mu.Unlock()
	if !reached {
		return detourer.ServerConn{}, multiplexer.Answer{}, &Error{Op: "connect for another daemon", Kind: KindUnresponsive, Text: server.ID}
	}
	return p.seams.Connect(ctx, server)
}

// lost reports whether the own path to the store failed of late.
func (p *Proxy) lost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failedAt > 0 && p.clock.Now()-p.failedAt < lostTime
}

func (p *Proxy) setLost(failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failedAt = 0
	if failed {
		p.failedAt = p.clock.Now()
	}
}

// outcome is what a path to the store gave.
type outcome struct {
	rows Rows
	err  error
}

// read reads a table on the own path, and through another daemon where that
// fails or takes long.
func (p *Proxy) read(ctx context.Context, table Table) (Rows, error) {
	own, other := make(chan outcome, 1), make(chan outcome, 1)
	go func() {
		rows, err := p.seams.Scan(ctx, table)
		own <- outcome{rows, err}
	}()
	wait := p.settings.Intervals.CallTimeout.Duration() / directShare
	if p.lost() {
		wait = 0
	}
	patience := time.NewTimer(wait)
	defer patience.Stop()
	detour := func() {
		go func() {
			rows, err := p.detourer.Scan(ctx, int(table))
			other <- outcome{Rows(rows), err}
		}()
	}
	asked, failed := false, 0
	for {
		select {
		case r := <-own:
			p.setLost(r.err != nil)
			if r.err == nil || asked && failed > 0 {
				return r.rows, r.err
			}
			failed++
			if !asked {
				asked = true
				detour()
			}
		case r := <-other:
			if failed++; r.err == nil || failed > 1 {
				return r.rows, r.err
			}
		case <-patience.C:
			if !asked {
				asked = true
				detour()
			}
		}
	}
}

// transact changes rows on the own path, or through another daemon where that is
// known to fail or did nothing. It returns the store's version after the change,
// or 0.
func (p *Proxy) transact(ctx context.Context, table Table, tx elector.Transaction) (elector.Result, int64) {
	change := detourer.TransactionRequest{Table: int(table), Transaction: tx}
	if p.lost() {
		if result := p.detourer.Transact(ctx, change); result == elector.Applied || result == elector.Conflict || len(tx.Expect) > 0 {
			return result, 0
		}
	}
	sent := p.clock.Now()
	result, version := p.seams.Transact(ctx, table, tx)
	if result == elector.Applied {
		p.proofs.add(sent, version)
	}
	p.setLost(result == elector.Refused || result == elector.Indeterminate)
	if result == elector.Refused {
		return p.detourer.Transact(ctx, change), 0
	}
	return result, version
}
