// Package detourer reaches the store and backend servers through other daemons: any
// of them while a daemon's own path fails, which then uses its own path, and one of
// its failure domain for readings from memory, which come with their age.
package detourer

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Methods of the protocol between daemons.
const (
	methodScan     = "scan"
	methodTransact = "transact"
	methodShare    = "share"
)

// callLimit limits one call that is served for another daemon, beyond what the
// call itself asks to wait.
const callLimit = askLimit

// connectionLimit limits the life of another daemon's connection that is no relay.
const connectionLimit = 15 * time.Second

// Rows are rows of a table as of one version of the store.
type Rows struct {
	Rows    []elector.Row `json:"rows"`
	Version int64         `json:"version"`
}

// TransactionRequest is a transaction on a table.
type TransactionRequest struct {
	Table       int                 `json:"table"`
	Transaction elector.Transaction `json:"transaction"`
}

// RowsRequest asks for a table's rows.
type RowsRequest struct {
	Table int `json:"table"`
	// KnownGeneration is the number of the reading that the asker has, and Digest that of its
	// rows, wherever it has them from; 0 stands for none.
	KnownGeneration int64  `json:"after,omitempty"`
	KnownDigest     uint64 `json:"digest,omitempty"`
	// MaxWait is how long the answer may wait for other rows than those.
	MaxWait timekeeper.Millis `json:"wait,omitempty"`
}

// CachedRows is a reading from another daemon's memory.
type CachedRows struct {
	Rows    []elector.Row `json:"rows,omitempty"`
	Version int64         `json:"version"`
	// Generation names the rows; it means nothing to other daemons.
	Generation int64 `json:"number"`
	// Age is how long ago the table was read whole.
	Age timekeeper.Millis `json:"age"`
	// Waited is how long the answer waited for another reading.
	Waited timekeeper.Millis `json:"held,omitempty"`
	// Unchanged says that the rows are those that the asker has.
	Unchanged bool `json:"same,omitempty"`
	// TooLarge says that the rows are not among the answer, since hosts' links are
	// narrow: the asker reads the store.
	TooLarge bool `json:"large,omitempty"`
}

// ReadAt returns when the store was asked at the earliest, by the clock of a
// daemon that asked for the reading at a time.
func (s CachedRows) ReadAt(asked timekeeper.Millis) timekeeper.Millis {
	return asked + s.Waited - s.Age
}

// Handler is the daemon's own path to the store. Its fields are seams.
type Handler struct {
	Scan     func(ctx context.Context, table int) (Rows, error)
	Transact func(ctx context.Context, change TransactionRequest) elector.Result
	// FetchCached answers from memory.
	FetchCached func(ctx context.Context, question RowsRequest) (CachedRows, error)
	// Connect opens a connection to a backend server that this daemon reaches.
	Connect ConnectFunc
}

// quiet keeps the library from logging that an asker did not wait for its answer;
// the asker logs what it lost.
var quiet = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// Serve answers other daemons until ctx ends, and closes done after that.
func Serve(ctx context.Context, listener net.Listener, store Handler, done chan<- struct{}) {
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
			call, cancel := context.WithCancel(ctx)
			defer cancel()
			s := &served{Handler: store, life: time.AfterFunc(connectionLimit, cancel)}
			defer s.close()
			defer s.life.Stop()
			handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle))
			rpc := jsonrpc2.NewConn(call, jsonrpc2.NewPlainObjectStream(conn), handler, quiet)
			select {
			case <-call.Done():
			case <-rpc.DisconnectNotify():
			}
			_ = rpc.Close() // it may have ended already
		}()
	}
}

func (s *served) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	switch r.Method {
	case methodScan, methodShare:
		var question RowsRequest
		if err := json.Unmarshal(*r.Params, &question); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		call, cancel := context.WithTimeout(ctx, callLimit+question.MaxWait.Duration())
		defer cancel()
		if r.Method == methodShare {
			return s.FetchCached(call, question)
		}
		return s.Scan(call, question.Table)
	case methodConnect:
		return s.connect(ctx, r)
	case methodRun:
		return s.run(r)
	case methodTransact:
		var change TransactionRequest
		if err := json.Unmarshal(*r.Params, &change); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		call, cancel := context.WithTimeout(ctx, callLimit)
		defer cancel()
		return s.Transact(call, change), nil
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
}

// PeerClient asks other daemons. It is safe for concurrent use.
type PeerClient struct {
	dialer net.Dialer
	self   string

	mu    sync.Mutex
	peers []string
	next  int
	// relay is the index of the daemon that is asked first for a relay.
	relay int
	// rested is until when nobody is asked after all that were asked failed.
	rested time.Time
}

// New returns a detourer of the daemon whose address is self.
func New(self string, dialer net.Dialer) *PeerClient {
	return &PeerClient{dialer: dialer, self: self}
}

// AddPeers adds addresses of other daemons.
func (d *PeerClient) AddPeers(addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, address := range addresses {
		if address != "" && address != d.self && !slices.Contains(d.peers, address) {
			d.peers = append(d.peers, address)
		}
	}
}

// askLimit limits how long one daemon is waited for; tryLimit is how many are
// asked for one call.
const (
	askLimit = 300 * time.Millisecond
	tryLimit = 3
	// restTime is how long nobody is asked after all that were asked failed: the
	// store is away for all then, and questions would multiply.
	restTime = 500 * time.Millisecond
)

// Scan reads a table through another daemon.
func (d *PeerClient) Scan(ctx context.Context, table int) (Rows, error) {
	var rows Rows
	err := d.ask(ctx, methodScan, RowsRequest{Table: table}, &rows)
	return rows, err
}

// Transact changes rows through another daemon. A transaction of which no answer
// came is not sent again.
func (d *PeerClient) Transact(ctx context.Context, change TransactionRequest) elector.Result {
	result := elector.Indeterminate
	if d.ask(ctx, methodTransact, change, &result) != nil {
		return elector.Indeterminate
	}
	return result
}

// FetchCached asks one daemon for a reading from its memory.
func (d *PeerClient) FetchCached(ctx context.Context, peer string, question RowsRequest) (CachedRows, error) {
	var shared CachedRows
	_, err := d.askOne(ctx, peer, methodShare, askLimit+question.MaxWait.Duration(), question, &shared)
	return shared, err
}

// ask calls daemons one after the other until one answers.
func (d *PeerClient) ask(ctx context.Context, method string, params, result any) error {
	d.mu.Lock()
	peers, first, resting := slices.Clone(d.peers), d.next, time.Now().Before(d.rested)
	d.mu.Unlock()
	if resting {
		return &Error{Op: method, Kind: KindConnection, Text: "other daemons did not reach the store either"}
	}
	err := error(&Error{Op: method, Kind: KindNoPeers, Text: "no other daemon is known"})
	for i := range min(len(peers), tryLimit) {
		peer := peers[(first+i)%len(peers)]
		var sent bool
		if sent, err = d.askOne(ctx, peer, method, askLimit, params, result); err == nil {
			return nil
		}
		d.mu.Lock()
		d.next = first + i + 1
		d.mu.Unlock()
		if sent && method == methodTransact || ctx.Err() != nil {
			break
		}
	}
	d.mu.Lock()
	d.rested = time.Now().Add(restTime)
	d.mu.Unlock()
	return err
}

// askOne calls one daemon. It tells whether the call was sent.
func (d *PeerClient) askOne(ctx context.Context, peer, method string, limit time.Duration, params, result any) (bool, error) {
	call, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	dial, done := context.WithTimeout(call, askLimit)
	defer done()
	conn, err := d.dialer.DialContext(dial, "tcp", peer)
	if err != nil {
		return false, &Error{Op: method, Kind: KindConnection, Text: err.Error()}
	}
	rpc := jsonrpc2.NewConn(call, jsonrpc2.NewPlainObjectStream(conn), jsonrpc2.HandlerWithError(refuse), quiet)
	defer func() { _ = rpc.Close() }()
	if err := rpc.Call(call, method, params, result); err != nil {
		return true, &Error{Op: method, Kind: KindConnection, Text: err.Error()}
	}
	return true, nil
}

func refuse(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side only asks"}
}
