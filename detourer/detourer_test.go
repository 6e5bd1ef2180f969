package detourer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/multiplexer"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var errDown = errors.New("the store is down")

// peer is a daemon that answers for a store.
type peer struct {
	address string
	asked   atomic.Int64
	// open is how many connections to backend servers are open.
	open atomic.Int64
}

func startPeer(t *testing.T, down bool) *peer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{address: listener.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go Serve(ctx, listener, Handler{
		Scan: func(context.Context, int) (Rows, error) {
			p.asked.Add(1)
			if down {
				return Rows{}, errDown
			}
			return Rows{Rows: []elector.Row{{Key: "k", Value: []byte("v"), Version: 4}}, Version: 9}, nil
		},
		Transact: func(_ context.Context, c TransactionRequest) elector.Result {
			p.asked.Add(1)
			if down {
				return elector.Refused
			}
			if len(c.Transaction.Expect) > 0 {
				return elector.Conflict
			}
			return elector.Applied
		},
		FetchCached: func(_ context.Context, q RowsRequest) (CachedRows, error) {
			return CachedRows{Version: 9, Generation: 7, Age: 40, Unchanged: q.KnownGeneration == 7}, nil
		},
		Connect: func(_ context.Context, server cataloger.Server) (ServerConn, multiplexer.Answer, error) {
			if down {
				return ServerConn{}, multiplexer.Answer{}, errDown
			}
			if server.ID == "full" {
				return ServerConn{}, multiplexer.Answer{Code: multiplexer.CodeTooManyConnections}, nil
			}
			p.open.Add(1)
			return ServerConn{Run: func(statements []multiplexer.Statement) ([]multiplexer.Answer, error) {
				var out []multiplexer.Answer
				for _, st := range statements {
					if st.Args == "break" {
						return nil, errDown
					}
					out = append(out, multiplexer.Answer{Rows: []string{server.ID + " " + st.Args}})
				}
				return out, nil
			}, Close: func() { p.open.Add(-1) }}, multiplexer.Answer{Signature: "s"}, nil
		},
	}, done)
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return p
}

func TestDetour(t *testing.T) {
	tests := map[string]struct {
		down []bool
		ok   bool
	}{
		"first daemon reaches the store":  {[]bool{false}, true},
		"second daemon reaches the store": {[]bool{true, false}, true},
		"the store is away for all":       {[]bool{true, true}, false},
		"no other daemon":                 {nil, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := New("127.0.0.1:1", net.Dialer{})
			d.AddPeers([]string{"127.0.0.1:1"})
			for _, down := range test.down {
				d.AddPeers([]string{startPeer(t, down).address})
			}
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			rows, err := d.Scan(ctx, 2)
			if (err == nil) != test.ok || test.ok && (rows.Version != 9 || len(rows.Rows) != 1 || string(rows.Rows[0].Value) != "v") {
				t.Errorf("got %+v, %v", rows, err)
			}
		})
	}
}

// TestRest is about many daemons that lost the store at once: their questions to
// each other must not multiply.
func TestRest(t *testing.T) {
	p := startPeer(t, true)
	d := New("", net.Dialer{})
	d.AddPeers([]string{p.address})
	for range 20 {
		if _, err := d.Scan(context.Background(), 2); err == nil {
			t.Fatal("got rows of a store that is down")
		}
	}
	if asked := p.asked.Load(); asked > 2 {
		t.Errorf("asked %d times in a row, want 2 at most", asked)
	}
}

func TestTransact(t *testing.T) {
	p := startPeer(t, false)
	d := New("", net.Dialer{})
	d.AddPeers([]string{p.address})
	ctx := context.Background()
	if got := d.Transact(ctx, TransactionRequest{Transaction: elector.Transaction{Set: []elector.Row{{Key: "k"}}}}); got != elector.Applied {
		t.Errorf("got %v, want applied", got)
	}
	if got := d.Transact(ctx, TransactionRequest{Transaction: elector.Transaction{Expect: []elector.Row{{Key: "k", Version: 1}}}}); got != elector.Conflict {
		t.Errorf("got %v, want conflict", got)
	}
}

func TestSharedAge(t *testing.T) {
	p := startPeer(t, false)
	d := New("", net.Dialer{})
	shared, err := d.FetchCached(context.Background(), p.address, RowsRequest{KnownGeneration: 7})
	if err != nil || !shared.Unchanged {
		t.Fatalf("got %+v, %v", shared, err)
	}
	if got := (CachedRows{Age: 40, Waited: 15}).ReadAt(1000); got != 975 {
		t.Errorf("read at %d, want 975: the store was asked 40 ms before an answer that came 15 ms after the question", got)
	}
}

// TestRelay is about a backend server that this daemon does not reach.
func TestRelay(t *testing.T) {
	far, near := startPeer(t, true), startPeer(t, false)
	d := New("127.0.0.1:1", net.Dialer{})
	d.AddPeers([]string{far.address, near.address})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, answer, err := d.Relay(ctx, cataloger.Server{ID: "full"}); err != nil || answer.Code != multiplexer.CodeTooManyConnections {
		t.Errorf("got %v, %v, want the server's refusal", answer.Code, err)
	}
	link, answer, err := d.Relay(ctx, cataloger.Server{ID: "s0"})
	if err != nil || answer.Signature != "s" {
		t.Fatalf("got %+v, %v", answer, err)
	}
	answers, err := link.Run([]multiplexer.Statement{{Kind: multiplexer.KindRead, Args: "x"}, {Kind: multiplexer.KindRead, Args: "y"}})
	if err != nil || len(answers) != 2 || answers[1].Rows[0] != "s0 y" {
		t.Errorf("got %+v, %v", answers, err)
	}
	if _, err := link.Run([]multiplexer.Statement{{Args: "break"}}); err == nil {
		t.Error("a broken connection gave an answer")
	}
	if open := near.open.Load(); open != 1 {
		t.Errorf("%d connections are open, want 1", open)
	}
	link.Close()
	for range 500 {
		if near.open.Load() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the connection is still open 5 s after the relay was closed")
}
