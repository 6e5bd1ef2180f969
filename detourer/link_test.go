package detourer

import (
	"context"
	"encoding/json"
	"net"
	"testing"

	"github.com/heatherhall/heatherhall/multiplexer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// fakeCarrier serves forwarded statements. A statement with the text "wait" gets no answer
// before its link closes.
type fakeCarrier struct {
	address string
	// received gets the link of each statement, ended and closed what a requester ended.
	received, ended, closed chan uint64
	stop                    context.CancelFunc
	done                    chan struct{}
}

// loadReports are the reports of a fakeCarrier by group.
var loadReports = map[string]multiplexer.LoadReport{
	"busy": {Waits: []timekeeper.Millis{0, 70, 0}}, "invalid": {Waits: []timekeeper.Millis{0, -7, 0}},
}

// TestAskLoad guards against reports that get lost on the way, and against invalid
// ones that are believed. A daemon that reports nothing, as an older one does, is no
// error.
func TestAskLoad(t *testing.T) {
	c := startCarrier(t)
	links := NewLinks(net.Dialer{})
	defer links.Close()
	if report, err := links.AskLoad(t.Context(), c.address, "busy", "d"); err != nil || len(report.Waits) != 3 || report.Waits[1] != 70 {
		t.Errorf("report %+v, %v; want a wait of 70 ms of the second rank", report, err)
	}
	if report, err := links.AskLoad(t.Context(), c.address, "unknown", "d"); err != nil || len(report.Waits) != 0 {
		t.Errorf("report %+v, %v of an unknown group, want an empty one", report, err)
	}
	if _, err := links.AskLoad(t.Context(), c.address, "invalid", "d"); err == nil {
		t.Error("an invalid report is accepted, want an error")
	}
}

func startCarrier(t *testing.T) *fakeCarrier {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &fakeCarrier{address: listener.Addr().String(), received: make(chan uint64, 8), ended: make(chan uint64, 8), closed: make(chan uint64, 32), done: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	go Serve(ctx, listener, Handler{Forward: ForwardHandler{
		Run: func(ctx context.Context, link uint64, request multiplexer.ForwardRequest) (multiplexer.ForwardAnswer, error) {
			c.received <- link
			if request.Statement.Args == "wait" {
				<-ctx.Done()
				return multiplexer.ForwardAnswer{}, ctx.Err()
			}
			return multiplexer.ForwardAnswer{Answer: multiplexer.Answer{Signature: request.Statement.Args}}, nil
		},
		End:        func(_, work uint64) { c.ended <- work },
		LinkClosed: func(link uint64) { c.closed <- link },
		Load:       func(group, _ string) multiplexer.LoadReport { return loadReports[group] },
	}}, c.done)
	t.Cleanup(func() {
		cancel()
		<-c.done
	})
	return c
}

func request(work uint64, text string) multiplexer.ForwardRequest {
	return multiplexer.ForwardRequest{Work: work, Left: 2000, Statement: multiplexer.Statement{Kind: multiplexer.KindRead, ID: "r", Args: text}}
}

// TestLink checks that statements share one link, that both ends learn when it breaks,
// and that a lost statement is not reported as one that was never sent.
func TestLink(t *testing.T) {
	c := startCarrier(t)
	links := NewLinks(net.Dialer{})
	defer links.Close()
	ctx := t.Context()
	answer, sent, err := links.Forward(ctx, c.address, request(1, "a"))
	if err != nil || !sent || answer.Answer.Signature != "a" {
		t.Fatalf("got %+v, sent %v, %v; want the carrier's answer", answer, sent, err)
	}
	first := <-c.received
	lost := make(chan bool, 1)
	go func() {
		_, sent, err := links.Forward(ctx, c.address, request(2, "wait"))
		lost <- sent && err != nil
	}()
	if second := <-c.received; second != first {
		t.Errorf("the second statement came over link %d, want %d", second, first)
	}
	if err := links.Ping(ctx, c.address); err != nil {
		t.Errorf("ping beside a statement that waits: %v", err)
	}
	links.End(ctx, c.address, 2)
	if work := <-c.ended; work != 2 {
		t.Errorf("work %d ended, want 2", work)
	}
	c.stop()
	if !<-lost {
		t.Error("a statement whose carrier ended: want an error that says it may have been received")
	}
	if link := <-c.closed; link != first {
		t.Errorf("link %d closed, want %d", link, first)
	}
	<-c.done
	// Wait until the link has noticed that the carrier has ended.
	for err := error(nil); err == nil; {
		err = links.Ping(ctx, c.address)
	}
	if _, sent, err := links.Forward(ctx, c.address, request(3, "a")); sent || err == nil {
		t.Errorf("a statement for a carrier that is gone: sent %v, error %v; want an error that says it was not sent", sent, err)
	}
}

// TestRenewedLink checks that a renewed link lets the old one's answers arrive.
func TestRenewedLink(t *testing.T) {
	c := startCarrier(t)
	links := NewLinks(net.Dialer{})
	ctx := t.Context()
	if _, _, err := links.Forward(ctx, c.address, request(1, "a")); err != nil {
		t.Fatal(err)
	}
	first := <-c.received
	links.Renew(c.address)
	if _, _, err := links.Forward(ctx, c.address, request(2, "a")); err != nil {
		t.Fatal(err)
	}
	if second := <-c.received; second == first {
		t.Error("a statement after the renewal came over the old link")
	}
	links.Close()
	c.stop()
	for range 2 {
		<-c.closed
	}
}

// TestOlderCarrier checks that a daemon without the method counts as one that ran
// nothing, so that an update of one daemon after the other loses no statement.
func TestOlderCarrier(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		var call struct {
			ID json.RawMessage `json:"id"`
		}
		if json.NewDecoder(conn).Decode(&call) == nil {
			_, _ = conn.Write([]byte(`{"jsonrpc":"2.0","id":` + string(call.ID) + `,"error":{"code":-32601,"message":"forward"}}`))
		}
	}()
	links := NewLinks(net.Dialer{})
	answer, _, err := links.Forward(t.Context(), listener.Addr().String(), request(1, "a"))
	if err != nil || !answer.Unavailable {
		t.Errorf("got %+v, %v; want unavailable", answer, err)
	}
	links.Close()
	_ = listener.Close()
	<-answered
}

// TestMalformedMessagesOnALink checks that a malformed message costs its connection or its
// request, and not the process.
func TestMalformedMessagesOnALink(t *testing.T) {
	c := startCarrier(t)
	tests := map[string]string{
		"not JSON":             "]]]]\n",
		"no parameters":        `{"jsonrpc":"2.0","id":1,"method":"forward"}` + "\n",
		"null":                 `{"jsonrpc":"2.0","id":1,"method":"forward","params":null}` + "\n",
		"wrong type":           `{"jsonrpc":"2.0","id":1,"method":"forward","params":{"work":"x"}}` + "\n",
		"end without number":   `{"jsonrpc":"2.0","id":1,"method":"end","params":[]}` + "\n",
		"tokens of no account": `{"jsonrpc":"2.0","id":1,"method":"tokens","params":{"items":[{"need":1}]}}` + "\n",
		"negative need":        `{"jsonrpc":"2.0","id":1,"method":"tokens","params":{"items":[{"account":"a","need":-1}]}}` + "\n",
		"too large a gift":     `{"jsonrpc":"2.0","id":1,"method":"demand","params":{"from":"d","entries":[{"account":"a","gift":2}]}}` + "\n",
		"demand of nobody":     `{"jsonrpc":"2.0","id":1,"method":"demand","params":{}}` + "\n",
		"unknown method":       `{"jsonrpc":"2.0","id":1,"method":"jump","params":{}}` + "\n",
		"an answer to no one":  `{"jsonrpc":"2.0","id":99,"result":{}}` + "\n",
	}
	for name, message := range tests {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", c.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := conn.Write([]byte(message)); err != nil {
				t.Fatal(err)
			}
			links := NewLinks(net.Dialer{})
			defer links.Close()
			if _, _, err := links.Forward(t.Context(), c.address, request(1, "a")); err != nil {
				t.Errorf("a statement after the message: %v", err)
			}
			<-c.received
		})
	}
	c.stop()
	<-c.done
	for len(c.closed) > 0 {
		<-c.closed
	}
}

// TestLinkKeepsBytes guards against a statement that a carrier gets with other bytes than its
// client sent, because they are not UTF-8.
func TestLinkKeepsBytes(t *testing.T) {
	c := startCarrier(t)
	links := NewLinks(net.Dialer{})
	defer links.Close()
	answer, _, err := links.Forward(t.Context(), c.address, request(1, "k A\xf1o"))
	if err != nil || answer.Answer.Signature != "k A\xf1o" {
		t.Errorf("got %q, %v, want the text that was sent", answer.Answer.Signature, err)
	}
}
