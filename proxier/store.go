package proxier

import (
	"context"
	"time"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/detourer"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/multiplexer"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// hedgeDivisor sets when a read is hedged: it is also sent to a peer if the
	// direct path gives no answer within CallTimeout / hedgeDivisor.
	hedgeDivisor = 2
	// storeFailureWindow is how long after a failure of the direct path writes are
	// sent to a peer first and reads are hedged at once.
	storeFailureWindow timekeeper.Millis = 3000
)

// peerHandler returns the handler that serves other daemons' requests from the store,
// the cache and the backend servers that this daemon reaches.
func (p *Proxy) peerHandler() detourer.Handler {
	return detourer.Handler{
		Scan: func(ctx context.Context, table int) (detourer.Rows, error) {
			rows, err := p.deps.Scan(ctx, Table(table))
			return detourer.Rows(rows), err
		},
		FetchCached: p.serveCached,
		Connect:     p.connectFor,
		Forward:     p.forwardHandler(),
		Limits:      p.limitHandler(),
		Transact: func(ctx context.Context, request detourer.TransactionRequest) elector.Result {
			result, _ := p.deps.Transact(ctx, Table(request.Table), request.Transaction)
			return result
		},
	}
}

// connectFor opens a connection to a backend server for another daemon. It fails with
// KindUnresponsive if this daemon does not reach the server directly either.
func (p *Proxy) connectFor(ctx context.Context, server cataloger.Server, account string) (detourer.ServerConn, multiplexer.Answer, error) {
	p.mu.Lock()
	reachable := p.mux.ReachesDirectly(server)
	p.mu.Unlock()
	if !reachable {
		return detourer.ServerConn{}, multiplexer.Answer{}, &Error{Op: "connect for another daemon", Kind: KindUnresponsive, Text: server.ID}
	}
	return p.deps.Connect(ctx, server, account)
}

// storeRecentlyFailed reports whether the direct path to the store failed within
// storeFailureWindow.
func (p *Proxy) storeRecentlyFailed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.storeFailedAt > 0 && p.clock.Now()-p.storeFailedAt < storeFailureWindow
}

// setStoreFailed records whether the last call on the direct path to the store failed.
func (p *Proxy) setStoreFailed(failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeFailedAt = 0
	if failed {
		p.storeFailedAt = p.clock.Now()
	}
}

// recordRevision records a revision of the store and logs the first one of an era: the
// store was then restored from a copy, or this daemon has just started.
func (p *Proxy) recordRevision(revision elector.Revision) {
	p.mu.Lock()
	before := p.storeRevision
	if before.Before(revision) {
		p.storeRevision = revision
	}
	p.mu.Unlock()
	if before.Era < revision.Era {
		p.log.LogDecision(observer.Decision{Part: "store", Outcome: "era begins", Inputs: []observer.Field{
			observer.F("era", revision.Era), observer.F("version", revision.Version), observer.F("before", before.Era), observer.F("have", before.Version),
		}})
	}
}

// readResult is the result of a read on one path to the store.
type readResult struct {
	rows Rows
	err  error
}

// scanHedged reads a table with a hedged read: on the direct path first, and via a
// peer as well once that fails or is slow. It returns the first success, or an error
// once both paths have failed.
func (p *Proxy) scanHedged(ctx context.Context, table Table) (Rows, error) {
	direct, viaPeer := make(chan readResult, 1), make(chan readResult, 1)
	go func() {
		rows, err := p.deps.Scan(ctx, table)
		direct <- readResult{rows, err}
	}()
	wait := p.settings.Intervals.CallTimeout.Duration() / hedgeDivisor
	if p.storeRecentlyFailed() {
		wait = 0
	}
	hedgeTimer := time.NewTimer(wait)
	defer hedgeTimer.Stop()
	scanViaPeer := func() {
		go func() {
			rows, err := p.peerClient.Scan(ctx, int(table))
			viaPeer <- readResult{Rows(rows), err}
		}()
	}
	hedged, failed := false, 0
	for {
		select {
		case r := <-direct:
			p.setStoreFailed(r.err != nil)
			if r.err == nil || hedged && failed > 0 {
				return r.rows, r.err
			}
			failed++
			if !hedged {
				hedged = true
				scanViaPeer()
			}
		case r := <-viaPeer:
			if failed++; r.err == nil || failed > 1 {
				return r.rows, r.err
			}
		case <-hedgeTimer.C:
			if !hedged {
				hedged = true
				scanViaPeer()
			}
		}
	}
}

// transact runs a transaction on the direct path, and via a peer if the store refused
// it without doing anything. If the direct path failed recently, it tries a peer first;
// the peer's result is final if it is elector.Applied or elector.Conflict, or if tx has
// conditions. It also returns the revision of the store after the transaction, or the zero
// revision if unknown.
func (p *Proxy) transact(ctx context.Context, table Table, tx elector.Transaction) (elector.Result, elector.Revision) {
	request := detourer.TransactionRequest{Table: int(table), Transaction: tx}
	if p.storeRecentlyFailed() {
		if result := p.peerClient.Transact(ctx, request); result == elector.Applied || result == elector.Conflict || len(tx.Expect) > 0 {
			return result, elector.Revision{}
		}
	}
	sentAt := p.clock.Now()
	result, revision := p.deps.Transact(ctx, table, tx)
	p.recordRevision(revision)
	if result == elector.Applied {
		p.watermarks.add(sentAt, revision)
	}
	p.setStoreFailed(result == elector.Refused || result == elector.Indeterminate)
	if result == elector.Refused {
		return p.peerClient.Transact(ctx, request), elector.Revision{}
	}
	return result, revision
}
