// Package detourer reaches the store and backend servers via other daemons,
// called peers. A daemon's direct path is its own connection to them. While the
// direct path fails, the daemon calls any peer, which uses its own direct path.
// The package also fetches cached tables, with their age, from the domain
// reader: the daemon that reads the store for its failure domain.
package detourer

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Methods of the JSON-RPC protocol between daemons.
const (
	// methodScan and methodTransact call the store on the other daemon's direct path.
	methodScan     = "scan"
	methodTransact = "transact"
	// methodShare requests a table from the other daemon's cache.
	methodShare = "share"
)

// serveTimeout is the timeout of one call that is served for another daemon. The
// request's MaxWait is added to it.
const serveTimeout = peerTimeout

// maxConnectionAge is the maximum lifetime of another daemon's connection that is not
// a relay.
const maxConnectionAge = 15 * time.Second

// Rows holds the rows of a table as of one revision of the store.
type Rows struct {
	Rows []elector.Row `json:"rows"`
	elector.Revision
}

// TransactionRequest asks another daemon to run a transaction on a table.
type TransactionRequest struct {
	Table       int                 `json:"table"`
	Transaction elector.Transaction `json:"transaction"`
}

// RowsRequest asks another daemon for the rows of a table. Scan uses only Table.
type RowsRequest struct {
	Table int `json:"table"`
	// KnownGeneration is the generation of the rows that the requester last got from
	// the daemon it calls. KnownDigest is the digest of the requester's rows, whatever
	// their source. 0 means none.
	KnownGeneration int64  `json:"after,omitempty"`
	KnownDigest     uint64 `json:"digest,omitempty"`
	// MaxWait is how long the answer may wait for rows that differ from the known ones.
	MaxWait timekeeper.Millis `json:"wait,omitempty"`
	// MaxAge is how old the rows may be that the requester accepts. The answer does not
	// wait for longer than they are younger. 0 leaves the limit to the other daemon.
	MaxAge timekeeper.Millis `json:"fresh,omitempty"`
	// From and Incarnation are the requester's name and run. The request shows that it
	// is live.
	From        string `json:"from,omitempty"`
	Incarnation int64  `json:"incarnation,omitempty"`
	// Shedding is set if the requester sheds its roles.
	Shedding bool `json:"shedding,omitempty"`
}

// CachedRows is a snapshot of a table from another daemon's cache.
type CachedRows struct {
	Rows []elector.Row `json:"rows,omitempty"`
	elector.Revision
	// Generation identifies the rows in the cache of the daemon that answered. It has
	// no meaning for other daemons.
	Generation int64 `json:"number"`
	// Age is how long before the answer the store was asked for the rows.
	Age timekeeper.Millis `json:"age"`
	// Waited is how long the answer waited for other rows.
	Waited timekeeper.Millis `json:"held,omitempty"`
	// Unchanged is set if the requester already has the rows, which are left
	// out.
	Unchanged bool `json:"same,omitempty"`
	// TooLarge is set if the rows are left out because they are too large for the
	// narrow links between hosts. The requester reads the store instead.
	TooLarge bool `json:"large,omitempty"`
	// Covered is set if the daemon that answered writes the requester's heartbeats.
	Covered bool `json:"covered,omitempty"`
}

// ReadAt returns the earliest time, by the requester's clock, at which the store may
// have been asked for the rows. requestedAt is when the requester sent its request.
func (r CachedRows) ReadAt(requestedAt timekeeper.Millis) timekeeper.Millis {
	return requestedAt + r.Waited - r.Age
}

// Handler holds the functions that serve other daemons' requests.
type Handler struct {
	// Scan reads all rows of a table on the direct path.
	Scan func(ctx context.Context, table int) (Rows, error)
	// Transact runs a transaction on the direct path.
	Transact func(ctx context.Context, tx TransactionRequest) elector.Result
	// FetchCached answers from the cache.
	FetchCached func(ctx context.Context, request RowsRequest) (CachedRows, error)
	// Connect opens a connection to a backend server that this daemon reaches.
	Connect ConnectFunc
	// Forward runs the statements that other daemons forward.
	Forward ForwardHandler
	// Limits serves messages about rate limits.
	Limits LimitHandler
}

// discardLog makes the JSON-RPC library log nothing, such as that a requester did
// not wait for the answer. The requester logs the failure itself.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// Serve serves other daemons' requests on listener until ctx ends. It closes done once
// all connections are closed.
func Serve(ctx context.Context, listener net.Listener, handler Handler, done chan<- struct{}) {
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
			peer := &peerConn{Handler: handler, expiry: time.AfterFunc(maxConnectionAge, cancel), id: lastPeerConn.Add(1)}
			defer peer.close()
			defer peer.expiry.Stop()
			rpcHandler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(peer.handle))
			rpc := jsonrpc2.NewConn(call, jsonrpc2.NewPlainObjectStream(conn), rpcHandler, discardLog)
			select {
			case <-call.Done():
			case <-rpc.DisconnectNotify():
			}
			_ = rpc.Close() // it may have ended already
		}()
	}
}

// lastPeerConn numbers the connections of other daemons.
var lastPeerConn atomic.Uint64

// handle serves one request.
func (c *peerConn) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	switch r.Method {
	case methodScan, methodShare:
		var request RowsRequest
		if err := json.Unmarshal(*r.Params, &request); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		call, cancel := context.WithTimeout(ctx, serveTimeout+request.MaxWait.Duration())
		defer cancel()
		if r.Method == methodShare {
			return c.FetchCached(call, request)
		}
		return c.Scan(call, request.Table)
	case methodForward, methodEnd, methodPing:
		return c.handleForward(ctx, r)
	case methodTokens, methodDemand:
		return c.handleLimits(r)
	case methodConnect, methodConnectAs:
		return c.connect(ctx, r)
	case methodRun:
		return c.run(r)
	case methodTransact:
		var request TransactionRequest
		if err := json.Unmarshal(*r.Params, &request); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		call, cancel := context.WithTimeout(ctx, serveTimeout)
		defer cancel()
		return c.Transact(call, request), nil
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
}

// PeerClient calls other daemons. It is safe for concurrent use.
type PeerClient struct {
	dialer net.Dialer
	// self is the address of this daemon, which is never called.
	self string

	mu    sync.Mutex
	peers []string
	// nextPeer is the index, modulo the number of peers, of the peer to call first.
	nextPeer int
	// nextRelay is the index, modulo the number of peers, of the peer to try first for
	// a relay.
	nextRelay int
	// backoffUntil is the time before which no daemon is called. It is set when the
	// calls to all daemons that were tried have failed.
	backoffUntil time.Time
}

// New returns a client of the daemon whose address is self. It knows no peers yet.
func New(self string, dialer net.Dialer) *PeerClient {
	return &PeerClient{dialer: dialer, self: self}
}

// AddPeers adds addresses of other daemons. It ignores known and empty addresses and
// the daemon's own.
func (c *PeerClient) AddPeers(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range addresses {
		if address != "" && address != c.self && !slices.Contains(c.peers, address) {
			c.peers = append(c.peers, address)
		}
	}
}

// peerTimeout is the timeout of a call to one daemon; maxAttempts is how many daemons
// are tried for one call.
const (
	peerTimeout = 300 * time.Millisecond
	maxAttempts = 3
	// backoffTime is how long no daemon is called after the calls to all daemons that
	// were tried have failed: the store is then unavailable to all daemons, and their
	// calls to each other would multiply.
	backoffTime = 500 * time.Millisecond
)

// Scan reads all rows of a table via a peer. It fails if no peer answers, and at once
// during backoff.
func (c *PeerClient) Scan(ctx context.Context, table int) (Rows, error) {
	var rows Rows
	err := c.callAny(ctx, methodScan, RowsRequest{Table: table}, &rows)
	return rows, err
}

// Transact runs a transaction via a peer. It returns elector.Indeterminate if no peer
// answers. A transaction that was sent and not answered is not sent to another peer.
func (c *PeerClient) Transact(ctx context.Context, request TransactionRequest) elector.Result {
	result := elector.Indeterminate
	if c.callAny(ctx, methodTransact, request, &result) != nil || !result.Valid() {
		return elector.Indeterminate
	}
	return result
}

// FetchCached requests a table from the cache of one daemon. It fails if the daemon
// does not answer in time or its snapshot is too old.
func (c *PeerClient) FetchCached(ctx context.Context, peer string, request RowsRequest) (CachedRows, error) {
	var cached CachedRows
	_, err := c.callPeer(ctx, peer, methodShare, peerTimeout+request.MaxWait.Duration(), request, &cached)
	return cached, err
}

// callAny calls peers one after the other until one answers, at most maxAttempts. If
// all fail, later calls fail at once for backoffTime.
func (c *PeerClient) callAny(ctx context.Context, method string, params, result any) error {
	c.mu.Lock()
	peers, first, backingOff := slices.Clone(c.peers), c.nextPeer, time.Now().Before(c.backoffUntil)
	c.mu.Unlock()
	if backingOff {
		return &Error{Op: method, Kind: KindConnection, Text: "other daemons did not reach the store either"}
	}
	err := error(&Error{Op: method, Kind: KindNoPeers, Text: "no other daemon is known"})
	for i := range min(len(peers), maxAttempts) {
		peer := peers[(first+i)%len(peers)]
		var sent bool
		if sent, err = c.callPeer(ctx, peer, method, peerTimeout, params, result); err == nil {
			return nil
		}
		c.mu.Lock()
		c.nextPeer = first + i + 1
		c.mu.Unlock()
		if sent && method == methodTransact || ctx.Err() != nil {
			break
		}
	}
	c.mu.Lock()
	c.backoffUntil = time.Now().Add(backoffTime)
	c.mu.Unlock()
	return err
}

// callPeer calls one daemon. It also reports whether the request may have been sent.
func (c *PeerClient) callPeer(ctx context.Context, peer, method string, timeout time.Duration, params, result any) (bool, error) {
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	dial, done := context.WithTimeout(call, peerTimeout)
	defer done()
	conn, err := c.dialer.DialContext(dial, "tcp", peer)
	if err != nil {
		return false, &Error{Op: method, Kind: KindConnection, Text: err.Error()}
	}
	rpc := jsonrpc2.NewConn(call, jsonrpc2.NewPlainObjectStream(conn), jsonrpc2.HandlerWithError(rejectRequest), discardLog)
	defer func() { _ = rpc.Close() }()
	if err := rpc.Call(call, method, params, result); err != nil {
		return true, &Error{Op: method, Kind: KindConnection, Text: err.Error()}
	}
	return true, nil
}

// rejectRequest rejects every request that a called daemon sends back on the
// connection: only the daemon that opened the connection sends requests on it.
func rejectRequest(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side only asks"}
}
