// Package detourer reaches the store through another daemon while a daemon's own
// path to it fails. A daemon answers such questions from the store itself, never
// through a further daemon and never from memory, so that an answer is as fresh
// as one of the store.
package detourer

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/heatherhall/heatherhall/elector"
)

// Methods of the protocol between daemons.
const (
	methodScan     = "scan"
	methodTransact = "transact"
)

// callLimit limits one call that is served for another daemon.
const callLimit = time.Second

// Rows are rows of a table as of one version of the store.
type Rows struct {
	Rows    []elector.Row `json:"rows"`
	Version int64         `json:"version"`
}

// Change is a transaction on a table.
type Change struct {
	Table       int                 `json:"table"`
	Transaction elector.Transaction `json:"transaction"`
}

// Question asks for a table's rows.
type Question struct {
	Table int `json:"table"`
}

// Store is the daemon's own path to the store. Its fields are seams.
type Store struct {
	Scan     func(ctx context.Context, table int) (Rows, error)
	Transact func(ctx context.Context, change Change) elector.Result
}

// Serve answers other daemons until ctx ends, and closes done after that.
func Serve(ctx context.Context, listener net.Listener, store Store, done chan<- struct{}) {
	defer close(done)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var conns sync.WaitGroup
	defer conns.Wait()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
			continue
		}
		conns.Add(1)
		go func() {
			defer conns.Done()
			call, cancel := context.WithTimeout(ctx, callLimit)
			defer cancel()
			rpc := jsonrpc2.NewConn(call, jsonrpc2.NewPlainObjectStream(conn), jsonrpc2.HandlerWithError(store.handle))
			select {
			case <-call.Done():
			case <-rpc.DisconnectNotify():
			}
			_ = rpc.Close() // it may have ended already
		}()
	}
}

func (s Store) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	switch r.Method {
	case methodScan:
		var question Question
		if err := json.Unmarshal(*r.Params, &question); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return s.Scan(ctx, question.Table)
	case methodTransact:
		var change Change
		if err := json.Unmarshal(*r.Params, &change); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return s.Transact(ctx, change), nil
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
}

// Detourer asks other daemons. It is safe for concurrent use.
type Detourer struct {
	dialer net.Dialer
	self   string

	mu    sync.Mutex
	peers []string
	next  int
}

// New returns a detourer of the daemon whose address is self.
func New(self string, dialer net.Dialer) *Detourer {
	return &Detourer{dialer: dialer, self: self}
}

// AddPeers adds addresses of other daemons.
func (d *Detourer) AddPeers(addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, address := range addresses {
		if address != "" && address != d.self && !slices.Contains(d.peers, address) {
			d.peers = append(d.peers, address)
		}
	}
}

// SetPeers replaces the addresses of other daemons.
func (d *Detourer) SetPeers(addresses []string) {
	d.mu.Lock()
	d.peers = nil
	d.mu.Unlock()
	d.AddPeers(addresses)
}

// askLimit limits how long one daemon is waited for; tryLimit is how many are
// asked for one call.
const (
	askLimit = 300 * time.Millisecond
	tryLimit = 3
)

// Scan reads a table through another daemon.
func (d *Detourer) Scan(ctx context.Context, table int) (Rows, error) {
	var rows Rows
	err := d.ask(ctx, methodScan, Question{Table: table}, &rows)
	return rows, err
}

// Transact changes rows through another daemon. A transaction of which no answer
// came is not sent again.
func (d *Detourer) Transact(ctx context.Context, change Change) elector.Result {
	result := elector.Unsure
	if d.ask(ctx, methodTransact, change, &result) != nil {
		return elector.Unsure
	}
	return result
}

// ask calls daemons one after the other until one answers.
func (d *Detourer) ask(ctx context.Context, method string, params, result any) error {
	d.mu.Lock()
	peers, first := slices.Clone(d.peers), d.next
	d.mu.Unlock()
	err := error(&Error{Op: method, Kind: KindNone, Text: "no other daemon is known"})
	for i := range min(len(peers), tryLimit) {
		peer := peers[(first+i)%len(peers)]
		var sent bool
		if sent, err = d.askOne(ctx, peer, method, params, result); err == nil {
			return nil
		}
		d.mu.Lock()
		d.next = first + i + 1
		d.mu.Unlock()
		if sent && method == methodTransact || ctx.Err() != nil {
			break
		}
	}
	return err
}

// askOne calls one daemon. It tells whether the call was sent.
func (d *Detourer) askOne(ctx context.Context, peer, method string, params, result any) (bool, error) {
	call, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	conn, err := d.dialer.DialContext(call, "tcp", peer)
	if err != nil {
		return false, &Error{Op: method, Kind: KindConnection, Text: err.Error()}
	}
	rpc := jsonrpc2.NewConn(call, jsonrpc2.NewPlainObjectStream(conn), jsonrpc2.HandlerWithError(refuse))
	defer func() { _ = rpc.Close() }()
	if err := rpc.Call(call, method, params, result); err != nil {
		return true, &Error{Op: method, Kind: KindConnection, Text: err.Error()}
	}
	return true, nil
}

func refuse(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side only asks"}
}
