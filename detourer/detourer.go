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

// Change is a transaction on a table.
type Change struct {
	Table       int                 `json:"table"`
	Transaction elector.Transaction `json:"transaction"`
}

// Question asks for a table's rows.
type Question struct {
	Table int `json:"table"`
	// After is the number of the reading that the asker has, and Digest that of its
	// rows, wherever it has them from; 0 stands for none.
	After  int64  `json:"after,omitempty"`
	Digest uint64 `json:"digest,omitempty"`
	// Wait is how long the answer may wait for other rows than those.
	Wait timekeeper.Millis `json:"wait,omitempty"`
}

// Shared is a reading from another daemon's memory.
type Shared struct {
	Rows    []elector.Row `json:"rows,omitempty"`
	Version int64         `json:"version"`
	// Number names the rows; it means nothing to other daemons.
	Number int64 `json:"number"`
	// Age is how long ago the table was read whole.
	Age timekeeper.Millis `json:"age"`
	// Held is how long the answer waited for another reading.
	Held timekeeper.Millis `json:"held,omitempty"`
	// Same says that the rows are those that the asker has.
	Same bool `json:"same,omitempty"`
	// Large says that the rows are not among the answer, since hosts' links are
	// narrow: the asker reads the store.
	Large bool `json:"large,omitempty"`
}

// ReadAt returns when the store was asked at the earliest, by the clock of a
// daemon that asked for the reading at a time.
func (s Shared) ReadAt(asked timekeeper.Millis) timekeeper.Millis {
	return asked + s.Held - s.Age
}

// Store is the daemon's own path to the store. Its fields are seams.
type Store struct {
	Scan     func(ctx context.Context, table int) (Rows, error)
	Transact func(ctx context.Context, change Change) elector.Result
	// Share answers from memory.
	Share func(ctx context.Context, question Question) (Shared, error)
	// Connect opens a connection to a backend server that this daemon reaches.
	Connect Connect
}

// quiet keeps the library from logging that an asker did not wait for its answer;
// the asker logs what it lost.
var quiet = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

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
			call, cancel := context.WithCancel(ctx)
			defer cancel()
			s := &served{Store: store, life: time.AfterFunc(connectionLimit, cancel)}
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
		var question Question
		if err := json.Unmarshal(*r.Params, &question); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		call, cancel := context.WithTimeout(ctx, callLimit+question.Wait.Duration())
		defer cancel()
		if r.Method == methodShare {
			return s.Share(call, question)
		}
		return s.Scan(call, question.Table)
	case methodConnect:
		return s.connect(ctx, r)
	case methodRun:
		return s.run(r)
	case methodTransact:
		var change Change
		if err := json.Unmarshal(*r.Params, &change); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		call, cancel := context.WithTimeout(ctx, callLimit)
		defer cancel()
		return s.Transact(call, change), nil
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
	// relay is the index of the daemon that is asked first for a relay.
	relay int
	// rested is until when nobody is asked after all that were asked failed.
	rested time.Time
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
func (d *Detourer) Scan(ctx context.Context, table int) (Rows, error) {
	var rows Rows
	err := d.ask(ctx, methodScan, Question{Table: table}, &rows)
	return rows, err
}

// Transact changes rows through another daemon. A transaction of which no answer
// came is not sent again.
func (d *Detourer) Transact(ctx context.Context, change Change) elector.Result {
	result := elector.Indeterminate
	if d.ask(ctx, methodTransact, change, &result) != nil {
		return elector.Indeterminate
	}
	return result
}

// Share asks one daemon for a reading from its memory.
func (d *Detourer) Share(ctx context.Context, peer string, question Question) (Shared, error) {
	var shared Shared
	_, err := d.askOne(ctx, peer, methodShare, askLimit+question.Wait.Duration(), question, &shared)
	return shared, err
}

// ask calls daemons one after the other until one answers.
func (d *Detourer) ask(ctx context.Context, method string, params, result any) error {
	d.mu.Lock()
	peers, first, resting := slices.Clone(d.peers), d.next, time.Now().Before(d.rested)
	d.mu.Unlock()
	if resting {
		return &Error{Op: method, Kind: KindConnection, Text: "other daemons did not reach the store either"}
	}
	err := error(&Error{Op: method, Kind: KindNone, Text: "no other daemon is known"})
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
func (d *Detourer) askOne(ctx context.Context, peer, method string, limit time.Duration, params, result any) (bool, error) {
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
