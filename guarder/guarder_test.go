package guarder

import (
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/heatherhall/heatherhall/rationer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recorder collects what a Guard reports.
type recorder struct {
	mu      sync.Mutex
	counted []Reason
	logged  int
}

func newTestGuard(patience timekeeper.Millis) (*Guard, *recorder) {
	r := &recorder{}
	return New(rationer.Settings{Memory: 100, ConnMemory: 60, Connections: 4, Patience: patience, MaxWait: 4 * patience}, timekeeper.Real(), Deps{
		Count: func(reason Reason) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.counted = append(r.counted, reason)
		},
		Log: func(Reason, string, int64, int64, int) { r.logged++ },
	}), r
}

// open opens a session; its stop function closes the channel.
func open(t *testing.T, g *Guard) (*Conn, chan struct{}) {
	stopped := make(chan struct{})
	c := g.Open("client", func() { close(stopped) })
	if c == nil || !c.Started() {
		t.Fatal("the connection was refused")
	}
	return c, stopped
}

// Guards against a connection that goes on reading while memory is short, or that is
// never told that there is some again.
func TestReserveWaits(t *testing.T) {
	g, _ := newTestGuard(60_000)
	a, _ := open(t, g)
	b, _ := open(t, g)
	if verdict := a.Reserve(rationer.PhaseReceiving, 60); verdict != rationer.Granted {
		t.Fatalf("got %v below the budget", verdict)
	}
	verdicts := make(chan rationer.Verdict, 1)
	go func() { verdicts <- b.Reserve(rationer.PhaseReceiving, 40) }()
	for waiting := false; !waiting; {
		g.mu.Lock()
		waiting = b.verdicts != nil
		g.mu.Unlock()
	}
	select {
	case verdict := <-verdicts:
		t.Fatalf("got %v beyond the budget", verdict)
	default:
	}
	a.Close()
	if verdict := <-verdicts; verdict != rationer.Granted || b.Held() != 40 || g.Used() != 40 {
		t.Errorf("got %v, %d held, %d used, want 40 granted", verdict, b.Held(), g.Used())
	}
	b.Close()
}

// Guards against memory that stays with a client that does not send the rest.
func TestBiggestHolderIsStopped(t *testing.T) {
	g, r := newTestGuard(20)
	a, stopped := open(t, g)
	b, _ := open(t, g)
	a.Reserve(rationer.PhaseReceiving, 60)
	verdicts := make(chan rationer.Verdict, 1)
	go func() { verdicts <- b.Reserve(rationer.PhaseReceiving, 40) }()
	<-stopped
	if a.Stopped() != ReasonMemory || a.SetPhase(rationer.PhaseRunning) {
		t.Errorf("stopped for %q, want memory, and no statement runs after that", a.Stopped())
	}
	a.Close()
	if verdict := <-verdicts; verdict != rationer.Granted {
		t.Errorf("got %v after the biggest holder was closed, want a grant", verdict)
	}
	b.Close()
	if !slices.Equal(r.counted, []Reason{ReasonMemory}) || r.logged != 1 {
		t.Errorf("counted %v and logged %d lines, want one", r.counted, r.logged)
	}
}

// Guards against a statement in progress whose connection is closed, and against a wait
// without an end.
func TestRunningIsNotStopped(t *testing.T) {
	g, r := newTestGuard(5)
	a, stopped := open(t, g)
	b, _ := open(t, g)
	a.Reserve(rationer.PhaseReceiving, 60)
	a.SetPhase(rationer.PhaseRunning)
	if verdict := b.Reserve(rationer.PhaseReceiving, 40); verdict != rationer.Refused {
		t.Errorf("got %v, want a refusal", verdict)
	}
	select {
	case <-stopped:
		t.Error("the connection of a statement in progress was stopped")
	default:
	}
	if !slices.Equal(r.counted, []Reason{ReasonMemory}) {
		t.Errorf("counted %v, want one for memory", r.counted)
	}
}

// Guards against answers that pile up beyond the budget for clients that don't read.
func TestUnreadAnswersAreStopped(t *testing.T) {
	g, _ := newTestGuard(60_000)
	a, stopped := open(t, g)
	b, _ := open(t, g)
	a.Charge(rationer.PhaseSending, 70)
	b.Charge(rationer.PhaseSending, 50)
	<-stopped
	if b.Stopped() != "" {
		t.Error("the smaller holder was stopped too")
	}
	b.Release(50)
	if g.Used() != 70 {
		t.Errorf("%d bytes are used, want 70", g.Used())
	}
}

// Guards against connections beyond the limit, and silent ones that keep others out.
func TestConnectionLimit(t *testing.T) {
	g, r := newTestGuard(60_000)
	displaced := make(chan struct{})
	silent := g.Open("silent", func() { close(displaced) })
	for range 4 {
		open(t, g)
	}
	<-displaced
	if silent.Stopped() != ReasonDisplaced || silent.Started() {
		t.Errorf("the silent connection was stopped for %q", silent.Stopped())
	}
	silent.Close()
	if g.Open("one more", func() {}) != nil || g.Connections() != 4 {
		t.Errorf("%d connections at a limit of 4", g.Connections())
	}
	if !slices.Equal(r.counted, []Reason{ReasonDisplaced, ReasonConnections}) {
		t.Errorf("counted %v", r.counted)
	}
}

// Guards against other daemons' statements that are kept beyond the budget, and against
// memory that is lost when they are not.
func TestHold(t *testing.T) {
	g, _ := newTestGuard(60_000)
	release, held := g.Hold("another daemon", 80)
	if _, again := g.Hold("another daemon", 30); !held || again || g.Used() != 80 {
		t.Errorf("held %v, then %v, %d bytes used", held, again, g.Used())
	}
	release()
	if g.Used() != 0 {
		t.Errorf("%d bytes are used after the release", g.Used())
	}
}

// Guards against log lines without a bound.
func TestLogIsLimited(t *testing.T) {
	g, r := newTestGuard(60_000)
	c, _ := open(t, g)
	for range 1000 {
		c.Report(ReasonUnread)
	}
	if r.logged > 10 || len(r.counted) != 1000 {
		t.Errorf("%d lines and %d counts for 1000 reports", r.logged, len(r.counted))
	}
}

// Guards against grants that are lost or given twice when many wait at once.
func TestManyWait(t *testing.T) {
	g := New(rationer.Settings{Memory: 100, ConnMemory: 60, Connections: 64, Patience: 60_000, MaxWait: 240_000}, timekeeper.Real(), Deps{})
	var clients sync.WaitGroup
	for i := range 32 {
		c, _ := open(t, g)
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := range int64(50) {
				size := 1 + (n+int64(i))%30
				if verdict := c.Reserve(rationer.PhaseReceiving, size); verdict != rationer.Granted {
					t.Errorf("got %v", verdict)
				}
				if g.Used() > 100 {
					t.Errorf("%d bytes are used of 100", g.Used())
				}
				time.Sleep(time.Microsecond)
				c.Release(size)
			}
			c.Close()
		}()
	}
	clients.Wait()
	if g.Used() != 0 || g.Connections() != 0 {
		t.Errorf("%d bytes and %d connections are left", g.Used(), g.Connections())
	}
}

// BenchmarkReserve measures a reservation and a release without contention.
func BenchmarkReserve(b *testing.B) {
	g := New(rationer.Settings{Memory: 1 << 30, ConnMemory: 1 << 20, Connections: 64}, timekeeper.Real(), Deps{})
	c := g.Open("client", func() {})
	for b.Loop() {
		c.Reserve(rationer.PhaseReceiving, 1000)
		c.Release(1000)
	}
}
