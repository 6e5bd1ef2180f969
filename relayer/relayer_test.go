package relayer_test

import (
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/heatherhall/heatherhall/decider"
	"github.com/heatherhall/heatherhall/relayer"
	"github.com/heatherhall/heatherhall/watcher"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// end is one daemon's end with what it has received.
type end struct {
	relayer *relayer.Relayer
	member  watcher.Member
	mail    chan decider.Message
	probes  chan watcher.Message
	lost    chan string
}

func newEnd(t *testing.T, name, address, secret string) *end {
	t.Helper()
	e := &end{
		member: watcher.Member{Name: name, Address: address, State: watcher.StateLive},
		mail:   make(chan decider.Message, 1000),
		probes: make(chan watcher.Message, 10),
		lost:   make(chan string, 10),
	}
	r, err := relayer.New(name, address, []byte(secret), relayer.Handlers{
		MessageReceived: func(_ string, m decider.Message) { e.mail <- m },
		PacketReceived:  func(m watcher.Message) { e.probes <- m },
		PeerLost:        func(peer string) { e.lost <- peer },
	})
	if err != nil {
		t.Fatal(err)
	}
	e.relayer = r
	ctx, cancel := context.WithCancel(context.Background())
	done := r.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return e
}

// receive waits for a value.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(20 * time.Second):
		t.Fatal("nothing came")
	}
	panic("unreachable")
}

func fetch(after int64) decider.Message {
	return decider.Message{Fetch: &decider.FetchMessage{After: after}}
}

func TestMailKeepsItsOrder(t *testing.T) {
	a := newEnd(t, "a", "127.26.0.1:7100", "secret")
	b := newEnd(t, "b", "127.26.0.2:7100", "secret")
	for i := range int64(500) {
		a.relayer.Send(context.Background(), b.member, fetch(i))
	}
	for i := range int64(500) {
		if got := receive(t, b.mail).Fetch.After; got != i {
			t.Fatalf("message %d came as number %d", got, i)
		}
	}
}

func TestStrangersAreRefused(t *testing.T) {
	a := newEnd(t, "a", "127.26.0.3:7100", "secret")
	b := newEnd(t, "b", "127.26.0.4:7100", "another secret")
	a.relayer.Send(context.Background(), b.member, fetch(1))
	if got := receive(t, a.lost); got != "b" {
		t.Errorf("lost %q, want b", got)
	}
	a.relayer.SendPacket(watcher.Envelope{To: b.member, Message: watcher.Message{Type: watcher.TypePing, From: a.member}})
	b.relayer.SendPacket(watcher.Envelope{To: b.member, Message: watcher.Message{Type: watcher.TypePing, From: b.member}})
	if got := receive(t, b.probes).From.Name; got != "b" {
		t.Errorf("a probe signed with another secret was taken, from %s", got)
	}
	if len(b.mail) > 0 {
		t.Error("mail of a stranger was taken")
	}
}

func TestWrongNameIsRefused(t *testing.T) {
	a := newEnd(t, "a", "127.26.0.5:7100", "secret")
	b := newEnd(t, "b", "127.26.0.6:7100", "secret")
	wrong := b.member
	wrong.Name = "c"
	a.relayer.Send(context.Background(), wrong, fetch(1))
	if got := receive(t, a.lost); got != "c" {
		t.Errorf("lost %q, want c", got)
	}
}

func TestOversizedFrameClosesTheConnection(t *testing.T) {
	b := newEnd(t, "b", "127.26.0.7:7100", "secret")
	conn, err := net.Dial("tcp", b.member.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(binary.BigEndian.AppendUint32(nil, 1<<31)); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("the connection answered")
	}
}

func TestSilentPeerIsLost(t *testing.T) {
	a := newEnd(t, "a", "127.26.0.8:7100", "secret")
	a.relayer.Send(context.Background(), watcher.Member{Name: "x", Address: "127.26.0.9:7100"}, fetch(1))
	if got := receive(t, a.lost); got != "x" {
		t.Errorf("lost %q, want x", got)
	}
}
