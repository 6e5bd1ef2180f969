package detourer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/goleak"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/multiplexer"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var errStoreDown = errors.New("the store is down")

// fakePeer is a daemon that serves requests from a fake store.
type fakePeer struct {
	address string
	// requests counts the requests for scans and transactions.
	requests atomic.Int64
	// openConns is the number of open connections to backend servers.
	openConns atomic.Int64
	// account is the account of the last connection.
	account atomic.Value
}

// startPeer starts a peer, whose requests all fail if down is set.
func startPeer(t *testing.T, down bool) *fakePeer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &fakePeer{address: listener.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go Serve(ctx, listener, Handler{
		Scan: func(context.Context, int) (Rows, error) {
			p.requests.Add(1)
			if down {
				return Rows{}, errStoreDown
			}
			return Rows{Rows: []elector.Row{{Key: "k", Value: []byte("v"), Version: 4}}, Revision: elector.Revision{Version: 9}}, nil
		},
		Transact: func(_ context.Context, tx TransactionRequest) elector.Result {
			p.requests.Add(1)
			if down {
				return elector.Refused
			}
			if len(tx.Transaction.Expect) > 0 {
				return elector.Conflict
			}
			return elector.Applied
		},
		FetchCached: func(_ context.Context, request RowsRequest) (CachedRows, error) {
			return CachedRows{Revision: elector.Revision{Version: 9}, Generation: 7, Age: 40, Unchanged: request.KnownGeneration == 7}, nil
		},
		Connect: func(_ context.Context, server cataloger.Server, account string) (ServerConn, multiplexer.Answer, error) {
			if down {
				return ServerConn{}, multiplexer.Answer{}, errStoreDown
			}
			if server.ID == "full" {
				return ServerConn{}, multiplexer.Answer{Code: multiplexer.CodeTooManyConnections}, nil
			}
			p.openConns.Add(1)
			p.account.Store(account)
			return ServerConn{Run: func(statements []multiplexer.Statement) ([]multiplexer.Answer, error) {
				var out []multiplexer.Answer
				for _, st := range statements {
					if st.Args == "break" {
						return nil, errStoreDown
					}
					out = append(out, multiplexer.Answer{Rows: []string{server.ID + " " + st.Args}})
				}
				return out, nil
			}, Close: func() { p.openConns.Add(-1) }}, multiplexer.Answer{Signature: "s"}, nil
		},
	}, done)
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return p
}

func TestScan(t *testing.T) {
	tests := map[string]struct {
		down []bool
		ok   bool
	}{
		"first daemon reaches the store":  {[]bool{false}, true},
		"second daemon reaches the store": {[]bool{true, false}, true},
		"no daemon reaches the store":     {[]bool{true, true}, false},
		"no other daemon known":           {nil, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			client := New("127.0.0.1:1", net.Dialer{})
			client.AddPeers([]string{"127.0.0.1:1"})
			for _, down := range test.down {
				client.AddPeers([]string{startPeer(t, down).address})
			}
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			rows, err := client.Scan(ctx, 2)
			if (err == nil) != test.ok || test.ok && (rows.Version != 9 || len(rows.Rows) != 1 || string(rows.Rows[0].Value) != "v") {
				t.Errorf("got %+v, %v, want one row of version 9, or an error if no daemon reaches the store", rows, err)
			}
		})
	}
}

// TestBackoff guards against requests that multiply: during an outage of the store all
// daemons call each other.
func TestBackoff(t *testing.T) {
	p := startPeer(t, true)
	client := New("", net.Dialer{})
	client.AddPeers([]string{p.address})
	for range 20 {
		if _, err := client.Scan(context.Background(), 2); err == nil {
			t.Fatal("got rows although the store is down")
		}
	}
	if requests := p.requests.Load(); requests > 2 {
		t.Errorf("the peer got %d requests, want at most 2", requests)
	}
}

func TestTransact(t *testing.T) {
	p := startPeer(t, false)
	client := New("", net.Dialer{})
	client.AddPeers([]string{p.address})
	ctx := context.Background()
	if got := client.Transact(ctx, TransactionRequest{Transaction: elector.Transaction{Set: []elector.Row{{Key: "k"}}}}); got != elector.Applied {
		t.Errorf("got %v, want applied", got)
	}
	if got := client.Transact(ctx, TransactionRequest{Transaction: elector.Transaction{Expect: []elector.Row{{Key: "k", Version: 1}}}}); got != elector.Conflict {
		t.Errorf("got %v, want conflict", got)
	}
}

// TestCachedRowsReadAt guards against rows that count as fresher than they are: their
// age and the time that the answer waited are taken into account.
func TestCachedRowsReadAt(t *testing.T) {
	p := startPeer(t, false)
	client := New("", net.Dialer{})
	cached, err := client.FetchCached(context.Background(), p.address, RowsRequest{KnownGeneration: 7})
	if err != nil || !cached.Unchanged {
		t.Fatalf("got %+v, %v, want an unchanged answer", cached, err)
	}
	if got := (CachedRows{Age: 40, Waited: 15}).ReadAt(1000); got != 975 {
		t.Errorf("read at %d, want 975: the store was read 40 ms before an answer that was sent 15 ms after the request", got)
	}
}

// TestRelay checks that a backend server that neither this daemon nor the first peer
// reaches is used via the second peer, and that closing the relay closes its connection.
func TestRelay(t *testing.T) {
	unreachable, reachable := startPeer(t, true), startPeer(t, false)
	client := New("127.0.0.1:1", net.Dialer{})
	client.AddPeers([]string{unreachable.address, reachable.address})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, answer, err := client.Relay(ctx, cataloger.Server{ID: "full"}, ""); err != nil || answer.Code != multiplexer.CodeTooManyConnections {
		t.Errorf("got %v, %v, want the server's refusal", answer.Code, err)
	}
	conn, answer, err := client.Relay(ctx, cataloger.Server{ID: "s0"}, "")
	if err != nil || answer.Signature != "s" {
		t.Fatalf("got %+v, %v, want an answer with signature s", answer, err)
	}
	answers, err := conn.Run([]multiplexer.Statement{{Kind: multiplexer.KindRead, Args: "x"}, {Kind: multiplexer.KindRead, Args: "y"}})
	if err != nil || len(answers) != 2 || answers[1].Rows[0] != "s0 y" {
		t.Errorf("got %+v, %v, want two answers, the second with the row 's0 y'", answers, err)
	}
	if account := reachable.account.Load(); account != "" {
		t.Errorf("the connection has the account %q, want none", account)
	}
	if _, err := conn.Run([]multiplexer.Statement{{Args: "break"}}); err == nil {
		t.Error("got an answer on a failed connection")
	}
	if openConns := reachable.openConns.Load(); openConns != 1 {
		t.Errorf("%d connections are open, want 1", openConns)
	}
	conn.Close()
	for range 500 {
		if reachable.openConns.Load() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the connection is still open 5 s after the relay was closed")
}

// TestRelayAccount guards against a relay that runs an account's statements on the
// daemon's own connection: the other daemon must get the account and reject a request
// without one.
func TestRelayAccount(t *testing.T) {
	p := startPeer(t, false)
	client := New("127.0.0.1:1", net.Dialer{})
	client.AddPeers([]string{p.address})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, _, err := client.Relay(ctx, cataloger.Server{ID: "s0"}, "a1")
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
	if account := p.account.Load(); account != "a1" {
		t.Errorf("the connection has the account %q, want a1", account)
	}
	params := json.RawMessage(`{"server":{"ID":"s0"}}`)
	if _, err := (&peerConn{}).connect(ctx, &jsonrpc2.Request{Method: methodConnectAs, Params: &params}); err == nil {
		t.Error("a request without an account is accepted, want an error")
	}
}
