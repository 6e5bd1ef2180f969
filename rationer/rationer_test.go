package rationer

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/heatherhall/heatherhall/timekeeper"
)

// testSettings gives newcomers 75 of 100 bytes.
var testSettings = Settings{Memory: 100, ConnMemory: 60, Connections: 4, Patience: 10, MaxWait: 40}

// fixture drives a Rationer and names its connections.
type fixture struct {
	r     *Rationer
	conns map[string]*Conn
	log   []string
}

func newFixture() *fixture { return &fixture{r: New(testSettings), conns: map[string]*Conn{}} }

func (f *fixture) name(c *Conn) string {
	for name, conn := range f.conns {
		if conn == c {
			return name
		}
	}
	return "?"
}

func (f *fixture) changes(changes []Change) {
	for _, change := range changes {
		f.log = append(f.log, fmt.Sprint(f.name(change.Conn), " ", [...]string{"granted", "queued", "too large", "refused", "stopped"}[change.Verdict]))
	}
}

// open opens a session.
func (f *fixture) open(names ...string) {
	for _, name := range names {
		f.conns[name], _ = f.r.Open()
		f.r.Started(f.conns[name])
	}
}

func (f *fixture) reserve(now timekeeper.Millis, name string, n int64) {
	f.r.SetPhase(f.conns[name], PhaseReceiving)
	f.changes([]Change{{Conn: f.conns[name], Verdict: f.r.Reserve(now, f.conns[name], n)}})
}

func (f *fixture) release(name string, n int64) { f.changes(f.r.Release(f.conns[name], n)) }

func (f *fixture) relieve(now timekeeper.Millis) { f.changes(f.r.Relieve(now)) }

// memoryTests are sequences of calls with the verdicts that are due.
var memoryTests = map[string]struct {
	run  func(f *fixture)
	want []string
}{
	"within the budget": {func(f *fixture) {
		f.open("a", "b")
		f.reserve(1, "a", 40)
		f.reserve(1, "b", 35)
	}, []string{"a granted", "b granted"}},
	"more than one connection may hold": {func(f *fixture) {
		f.open("a")
		f.reserve(1, "a", 40)
		f.reserve(1, "a", 21)
	}, []string{"a granted", "a too large"}},
	"newcomers leave room to complete": {func(f *fixture) {
		f.open("a", "b", "c")
		f.reserve(1, "a", 40)
		f.reserve(1, "b", 35)
		f.reserve(1, "c", 1)
		f.reserve(1, "a", 20)
		f.release("a", 60)
	}, []string{"a granted", "b granted", "c queued", "a granted", "c granted"}},
	"in order of arrival": {func(f *fixture) {
		f.open("a", "b", "c")
		f.reserve(1, "a", 60)
		f.reserve(2, "b", 30)
		f.reserve(3, "c", 5)
		f.release("a", 30)
		f.release("a", 30)
	}, []string{"a granted", "b queued", "c queued", "b granted", "c granted"}},
	"patience": {func(f *fixture) {
		f.open("a", "b")
		f.reserve(1, "a", 60)
		f.reserve(2, "b", 30)
		f.relieve(11)
	}, []string{"a granted", "b queued"}},
	"the biggest holder is stopped once": {func(f *fixture) {
		f.open("a", "b", "c")
		f.reserve(1, "a", 20)
		f.reserve(1, "b", 50)
		f.reserve(2, "c", 30)
		f.relieve(12)
		f.relieve(13)
		f.changes(f.r.Close(f.conns["b"]))
	}, []string{"a granted", "b granted", "c queued", "b stopped", "c granted"}},
	"one that waits is refused, not closed": {func(f *fixture) {
		f.open("a", "b")
		f.reserve(1, "a", 55)
		f.reserve(1, "b", 20)
		f.reserve(2, "b", 25)
		f.reserve(2, "a", 5)
		f.relieve(12)
	}, []string{"a granted", "b granted", "b granted", "a queued", "a refused"}},
	"a statement that runs is not stopped": {func(f *fixture) {
		f.open("a", "b", "c")
		f.reserve(1, "a", 50)
		f.reserve(1, "b", 20)
		f.r.SetPhase(f.conns["a"], PhaseRunning)
		f.reserve(2, "c", 30)
		f.relieve(12)
	}, []string{"a granted", "b granted", "c queued", "b stopped"}},
	"all run, the one that waits is refused": {func(f *fixture) {
		f.open("a", "c")
		f.reserve(1, "a", 60)
		f.r.SetPhase(f.conns["a"], PhaseRunning)
		f.reserve(2, "c", 30)
		f.relieve(12)
		f.relieve(42)
	}, []string{"a granted", "c queued", "c refused"}},
	"answers over the budget": {func(f *fixture) {
		f.open("a", "b")
		f.r.Charge(f.conns["a"], 70)
		f.r.Charge(f.conns["b"], 40)
		f.relieve(1)
		f.relieve(1)
	}, []string{"a stopped"}},
	"memory of no connection": {func(f *fixture) {
		f.open("a")
		f.conns["s"] = f.r.OpenSystem()
		f.changes([]Change{{Conn: f.conns["s"], Verdict: f.r.Reserve(1, f.conns["s"], 90)}})
		f.reserve(2, "a", 30)
		f.relieve(12)
		f.changes(f.r.Close(f.conns["s"]))
	}, []string{"s granted", "a queued", "a granted"}},
	"a connection that gives up": {func(f *fixture) {
		f.open("a", "b", "c")
		f.reserve(1, "a", 60)
		f.reserve(2, "b", 30)
		f.reserve(3, "c", 5)
		f.changes(f.r.Close(f.conns["b"]))
	}, []string{"a granted", "b queued", "c queued", "c granted"}},
}

// Guards against a connection that is stopped, refused or kept waiting although
// another one is to be.
func TestMemory(t *testing.T) {
	for name, test := range memoryTests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			test.run(f)
			if !slices.Equal(f.log, test.want) {
				t.Errorf("got %q, want %q", f.log, test.want)
			}
		})
	}
}

// Guards against connections without a session that keep others out, and against a
// session that is closed for a newcomer.
func TestConnections(t *testing.T) {
	r := New(testSettings)
	var conns []*Conn
	for range 4 {
		c, evicted := r.Open()
		if c == nil || evicted != nil {
			t.Fatalf("got %v, %v below the limit", c, evicted)
		}
		conns = append(conns, c)
	}
	r.Started(conns[0])
	c, evicted := r.Open()
	if c == nil || evicted != conns[1] {
		t.Errorf("got %v, %v, want the oldest without a session evicted", c, evicted)
	}
	if r.Started(conns[1]) {
		t.Error("an evicted connection started a session")
	}
	for _, c := range append(conns[2:], c) {
		r.Started(c)
	}
	if c, evicted := r.Open(); c != nil || evicted != nil {
		t.Errorf("got %v, %v, want a refusal while all have sessions", c, evicted)
	}
	r.Close(conns[1])
	if r.Connections() != 4 {
		t.Errorf("got %d connections after the evicted one was closed, want 4", r.Connections())
	}
	r.Close(conns[0])
	if c, _ := r.Open(); c == nil {
		t.Error("a connection was refused below the limit")
	}
}

// Guards against evicted connections that use up the descriptors because they are closed
// more slowly than new ones arrive.
func TestEvictions(t *testing.T) {
	r := New(testSettings)
	var evicted []*Conn
	for range 100 {
		if _, e := r.Open(); e != nil {
			evicted = append(evicted, e)
		}
	}
	if len(evicted) != 1 {
		t.Fatalf("%d connections were evicted before one was closed, want 1", len(evicted))
	}
	r.Close(evicted[0])
	if c, e := r.Open(); c == nil || e == nil {
		t.Error("no connection was evicted after the first was closed")
	}
}

// Guards against memory that is lost or granted twice, and against grants beyond the
// budget, in any order of calls.
func TestAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(testSettings)
		now := timekeeper.Millis(1)
		var conns []*Conn
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += timekeeper.Millis(rapid.IntRange(0, 8).Draw(t, "pause"))
			if len(conns) == 0 || rapid.IntRange(0, 5).Draw(t, "open") == 0 {
				if c, evicted := r.Open(); c != nil {
					conns = append(conns, c)
					if evicted != nil {
						r.Close(evicted)
						conns = slices.DeleteFunc(conns, func(c *Conn) bool { return c == evicted })
					}
				}
				continue
			}
			i := rapid.IntRange(0, len(conns)-1).Draw(t, "conn")
			c, n := conns[i], int64(rapid.IntRange(1, 70).Draw(t, "size"))
			before, charged := r.Used(), false
			switch rapid.IntRange(0, 6).Draw(t, "call") {
			case 0, 1:
				if c.waiting == nil {
					r.SetPhase(c, PhaseReceiving)
					r.Reserve(now, c, n)
				}
			case 2:
				r.Release(c, n)
			case 3:
				r.Close(c)
				conns = slices.Delete(conns, i, i+1)
			case 4:
				r.Started(c)
			case 5:
				r.Charge(c, n)
				charged = true
			case 6:
				for _, change := range r.Relieve(now) {
					if change.Verdict == Stopped {
						r.Close(change.Conn)
						conns = slices.DeleteFunc(conns, func(c *Conn) bool { return c == change.Conn })
					}
				}
			}
			sum, counted := int64(0), 0
			for _, c := range conns {
				sum += c.held
				if c.counted {
					counted++
				}
			}
			if sum != r.Used() || counted != r.Connections() || counted > testSettings.Connections {
				t.Fatalf("used %d of %d held, %d of %d connections", r.Used(), sum, r.Connections(), counted)
			}
			if r.Used() > max(testSettings.Memory, before) && !charged {
				t.Fatalf("%d bytes were granted", r.Used())
			}
		}
		for _, c := range conns {
			r.Close(c)
		}
		if r.Used() != 0 || r.Connections() != 0 || r.stopping != 0 || r.holders.Len()+r.partial.Len()+r.newcomers.Len()+r.starting.Len() != 0 {
			t.Fatalf("left %+v", r)
		}
	})
}

// Guards against defaults that refuse a legal message or use up the descriptors.
func TestDefaults(t *testing.T) {
	tests := map[string]struct {
		limits Limits
		host   Host
		want   Limits
	}{
		"smallest host": {
			Limits{},
			Host{Memory: 136, Descriptors: 3010, MemoryDivisor: 4, MessageCost: 4 << 20, State: 1088},
			Limits{Memory: 34, Connection: 8, Connections: 1450, Result: 4, State: 1088, Startup: 10_000, Message: 20_000, Unread: 5000, Patience: 2000},
		},
		"large host": {
			Limits{},
			Host{Memory: 536, Descriptors: 11_180, MemoryDivisor: 4, MessageCost: 4 << 20, State: 1088},
			Limits{Memory: 134, Connection: 33, Connections: 5717, Result: 16, State: 1088, Startup: 10_000, Message: 20_000, Unread: 5000, Patience: 2000},
		},
		"few descriptors": {
			Limits{Memory: 10, Message: 5},
			Host{Memory: 136, Descriptors: 64, MemoryDivisor: 4, MessageCost: 4 << 20, State: 64, Result: 7},
			Limits{Memory: 10, Connection: 5, Connections: 16, Result: 7, State: 64, Startup: 10_000, Message: 5, Unread: 5000, Patience: 2000},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.limits.WithDefaults(test.host); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
	if faults := (Limits{Result: -1}).Check(); len(faults) != 1 || (Limits{}).Check() != nil {
		t.Errorf("got the faults %q, want one", faults)
	}
}

// BenchmarkReserve measures a reservation and a release while other connections hold
// memory.
func BenchmarkReserve(b *testing.B) {
	for _, holders := range []int{10, 100, 4000} {
		b.Run(fmt.Sprint(holders), func(b *testing.B) {
			r := New(Settings{Memory: 1 << 30, ConnMemory: 1 << 20, Connections: 1 << 20, Patience: 10, MaxWait: 40})
			for range holders {
				c, _ := r.Open()
				r.Started(c)
				r.Charge(c, 1000)
			}
			c, _ := r.Open()
			for b.Loop() {
				r.Reserve(1, c, 1000)
				r.Release(c, 1000)
			}
		})
	}
}

// BenchmarkRelieve measures the choice of the biggest holder.
func BenchmarkRelieve(b *testing.B) {
	r := New(Settings{Memory: 1, ConnMemory: 1 << 20, Connections: 1 << 20, Patience: 10, MaxWait: 40})
	for i := range 4000 {
		c, _ := r.Open()
		r.Charge(c, int64(i))
	}
	for b.Loop() {
		r.biggest()
	}
}
