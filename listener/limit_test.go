package listener

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/heatherhall/heatherhall/guarder"
	"github.com/heatherhall/heatherhall/rationer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// startLimited serves a listener that admits two connections and 200 ms for a session's
// start, and returns its address.
func startLimited(t *testing.T) string {
	guard := guarder.New(rationer.Settings{Memory: 1 << 20, ConnMemory: 1 << 20, Connections: 2, Patience: 1000, MaxWait: 1000}, timekeeper.Real(), guarder.Deps{})
	l, err := New("127.0.0.1:0", Deps{Guard: guard, Timeouts: guarder.Timeouts{Startup: 200, Message: 200, Unread: 200}, Log: func(string, ...any) {}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := l.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return l.Address()
}

// wantFatal reads the error that ends a connection.
func wantFatal(t *testing.T, conn net.Conn, code string) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	msg, err := pgproto3.NewFrontend(conn, conn).Receive()
	if e, ok := msg.(*pgproto3.ErrorResponse); !ok || e.Code != code {
		t.Errorf("got %+v, %v, want the code %s", msg, err, code)
	}
}

func dial(t *testing.T, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Guards against connections that never start a session, with or without a part of its
// first message.
func TestStartupDeadline(t *testing.T) {
	address := startLimited(t)
	silent, half := dial(t, address), dial(t, address)
	if _, err := io.WriteString(half, "\x00\x00\x01"); err != nil {
		t.Fatal(err)
	}
	wantFatal(t, silent, codeTooSlow)
	wantFatal(t, half, codeTooSlow)
}

// Guards against silent connections that keep others out.
func TestDisplacedConnection(t *testing.T) {
	address := startLimited(t)
	oldest := dial(t, address)
	time.Sleep(20 * time.Millisecond)
	for range 2 {
		dial(t, address)
	}
	wantFatal(t, oldest, codeConnections)
}

// Guards against a part of a message that is kept for as long as the client likes.
func TestMessageDeadline(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	c := newTestClient(t, near, 1<<30)
	c.raw, c.conn = near, near
	c.listener.deps.Timeouts.Message = 100
	go func() { _, _ = io.WriteString(far, "Q\x00\x00\x10\x00SELECT") }()
	received := make(chan error, 1)
	go func() {
		_, err := c.receive()
		received <- err
	}()
	wantFatal(t, far, codeTooSlow)
	if err := <-received; err == nil {
		t.Error("a part of a message was received")
	}
}

// Guards against a connection whose message size is no longer limited once it has changed
// to TLS.
func TestSizeLimitOfEachConnection(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	c := newTestClient(t, near, 1<<30)
	c.setConn(near)
	c.frames.typed = true
	go func() { _, _ = io.WriteString(far, "Q\x7f\xff\xff\xff") }()
	_, err := c.backend.Receive()
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	if !errors.As(err, &tooLarge) {
		t.Errorf("got %v, want a message that is too large", err)
	}
}
