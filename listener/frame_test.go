package listener

import (
	"bytes"
	"errors"
	"io"
	"net"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/heatherhall/heatherhall/classifier"
	"github.com/heatherhall/heatherhall/guarder"
	"github.com/heatherhall/heatherhall/rationer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// newTestClient returns a client with a session that reads from r, of which one
// connection may hold connMemory bytes.
func newTestClient(t testing.TB, r io.Reader, connMemory int64) *client {
	near, far := net.Pipe()
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	guard := guarder.New(rationer.Settings{Memory: 1 << 30, ConnMemory: connMemory, Connections: 10, Patience: 1000, MaxWait: 1000}, timekeeper.Real(), guarder.Deps{})
	l := &Listener{deps: Deps{Guard: guard, Timeouts: guarder.Timeouts{Startup: 1000, Message: 60_000, Unread: 1000}, Classifier: classifier.New(), Log: func(string, ...any) {}}}
	c := newClient(l, near, 1)
	c.started = true
	c.frames = newFrameReader(c, r)
	c.frames.typed = true
	c.backend = pgproto3.NewBackend(c.frames, c)
	c.backend.SetMaxBodyLen(maxMessageSize)
	return c
}

// receiveAll returns the encoded messages that a Backend receives, with nil in place of
// one that was refused.
func receiveAll(backend *pgproto3.Backend) [][]byte {
	var out [][]byte
	for {
		msg, err := backend.Receive()
		if errors.Is(err, errRefused) {
			out = append(out, nil)
			continue
		}
		if err != nil {
			return out
		}
		encoded, _ := msg.Encode(nil)
		out = append(out, encoded)
	}
}

func encode(messages ...pgproto3.FrontendMessage) []byte {
	var out []byte
	for _, m := range messages {
		out, _ = m.Encode(out)
	}
	return out
}

// Guards against a message that a client's reader passes on in another way than it was
// sent, and against memory that stays reserved.
func FuzzFrames(f *testing.F) {
	f.Add(encode(&pgproto3.Query{String: "SELECT 1"}, &pgproto3.Sync{}))
	f.Add(encode(&pgproto3.Parse{Name: "s", Query: strings.Repeat("x", 20_000)}, &pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{}, &pgproto3.Terminate{}))
	f.Add([]byte("Q\x00\x00\x00\x03"))
	f.Add([]byte("Q\x7f\xff\xff\xff"))
	f.Add([]byte("S\x00\x00\x00\x04Q\x00\x00\x00\x05"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		direct := pgproto3.NewBackend(bytes.NewReader(stream), io.Discard)
		direct.SetMaxBodyLen(maxMessageSize)
		want := receiveAll(direct)
		for name, r := range map[string]io.Reader{"at once": bytes.NewReader(stream), "by bytes": iotest.OneByteReader(bytes.NewReader(stream))} {
			c := newTestClient(t, r, 1<<30)
			if got := receiveAll(c.backend); !reflect.DeepEqual(got, want) {
				t.Errorf("%s: got %q, want %q", name, got, want)
			}
			c.releaseBatch()
			if held := c.guard.Held(); held != 0 {
				t.Errorf("%s: %d bytes are held", name, held)
			}
		}
	})
}

// Guards against a refused message that takes the next ones with it, or is passed on in
// part.
func TestRefusedFrames(t *testing.T) {
	large := &pgproto3.Query{String: strings.Repeat("x", 100_000)}
	small := &pgproto3.Query{String: "SELECT 1"}
	stream := encode(small, large, small, &pgproto3.Parse{Query: large.String}, &pgproto3.Bind{}, &pgproto3.Sync{}, small)
	c := newTestClient(t, iotest.HalfReader(bytes.NewReader(stream)), 100_000)
	var got []string
	for {
		b, err := c.receive()
		if err != nil {
			break
		}
		text := "runs"
		if b.failure != nil {
			text = b.failure.Code
		}
		got = append(got, text)
		c.releaseBatch()
	}
	if want := []string{"runs", codeOutOfMemory, "runs", codeOutOfMemory, "runs"}; !reflect.DeepEqual(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// Guards against a batch of small messages that is never complete and is not accounted
// for.
func TestEndlessBatch(t *testing.T) {
	stream := bytes.Repeat(encode(&pgproto3.Bind{Parameters: [][]byte{make([]byte, 1000)}}), 1000)
	c := newTestClient(t, bytes.NewReader(stream), 300_000)
	b, err := c.receive()
	if err == nil || c.guard.Held() > 300_000 || !c.refused {
		t.Errorf("got %v, %v, %d bytes held, want a refusal within the limit", b, err, c.guard.Held())
	}
}
