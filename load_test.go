package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// ledger is what the callers of a load know of their keyed writes.
type ledger struct {
	mu      sync.Mutex
	acked   map[string]bool
	refused map[string]bool
	unknown map[string]bool
	faults  []string
	gap     time.Duration
	last    time.Time
}

func (l *ledger) note(set map[string]bool, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	set[key] = true
}

func (l *ledger) acknowledge(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acked[key] = true
	now := time.Now()
	if !l.last.IsZero() && now.Sub(l.last) > l.gap {
		l.gap = now.Sub(l.last)
	}
	l.last = now
}

func (l *ledger) fault(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

// loads holds the running load of each script.
var loads sync.Map

// load is a set of callers that write with request keys, roam between daemons,
// and check that they read their own writes.
type load struct {
	fleet  *fleet
	ledger *ledger
	stop   chan struct{}
	done   sync.WaitGroup
}

// cmdLoad runs callers in the background: load start CALLERS, then load check.
// The check stops them and compares what they know with the database.
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	f := scriptFleet(ts)
	if args[0] == "start" {
		callers, err := strconv.Atoi(args[1])
		ts.Check(err)
		l := &load{
			fleet:  f,
			ledger: &ledger{acked: map[string]bool{}, refused: map[string]bool{}, unknown: map[string]bool{}},
			stop:   make(chan struct{}),
		}
		loads.Store(f, l)
		for i := range callers {
			l.done.Add(1)
			go func() {
				defer l.done.Done()
				l.call(i)
			}()
		}
		return
	}
	value, _ := loads.Load(f)
	l := value.(*load)
	if args[0] == "acks" {
		count, err := strconv.Atoi(args[1])
		ts.Check(err)
		ts.Check(l.awaitAcks(count))
		return
	}
	close(l.stop)
	l.done.Wait()
	ts.Check(l.check(ts))
}

// awaitAcks waits until so many more writes are acknowledged.
func (l *load) awaitAcks(more int) error {
	start := l.ackCount()
	return await("acknowledged writes", func() error {
		if l.ackCount() < start+more {
			return errors.Errorf("%d of %d", l.ackCount()-start, more)
		}
		return nil
	})
}

func (l *load) ackCount() int {
	l.ledger.mu.Lock()
	defer l.ledger.mu.Unlock()
	return len(l.ledger.acked)
}

// call is one caller: each round connects to another daemon, writes one row with
// a key, and reads it back with the session's token through a third.
func (l *load) call(caller int) {
	token := ""
	for round := 0; ; round++ {
		select {
		case <-l.stop:
			return
		default:
		}
		key := fmt.Sprintf("c%d-%d", caller, round)
		host := "h" + strconv.Itoa(1+(caller+round)%daemons)
		reader := "h" + strconv.Itoa(1+(caller+round+1)%daemons)
		var written bool
		token, written = l.write(host, key, token)
		if written {
			token = l.readBack(reader, key, token)
		}
	}
}

func (l *load) open(host, token string) (*pgx.Conn, error) {
	private := &fleet{network: l.fleet.network, token: token}
	return private.connect("coop", host, "db0", token != "")
}

func (l *load) write(host, key, token string) (string, bool) {
	conn, err := l.open(host, token)
	if err != nil {
		return token, false
	}
	defer func() { _ = conn.Close(context.Background()) }()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	sql := fmt.Sprintf("/*rank='settlement',request='%s'*/ INSERT INTO settlements (id, count) VALUES ('%s', 1)", key, key)
	_, err = conn.PgConn().Exec(ctx, sql).ReadAll()
	var e *pgconn.PgError
	switch {
	case err == nil:
		l.ledger.acknowledge(key)
		if status := conn.PgConn().ParameterStatus("heatherhall.session"); status != "" {
			return status, true
		}
		return token, true
	case errors.As(err, &e) && strings.Contains(e.Detail, "not run"):
		l.ledger.note(l.ledger.refused, key)
	default:
		l.ledger.note(l.ledger.unknown, key)
	}
	return token, false
}

// readBack checks that an acknowledged write is seen through another daemon.
func (l *load) readBack(host, key, token string) string {
	conn, err := l.open(host, token)
	if err != nil {
		return token
	}
	defer func() { _ = conn.Close(context.Background()) }()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	results, err := conn.PgConn().Exec(ctx, "SELECT id FROM settlements WHERE id = '"+key+"'").ReadAll()
	if err == nil && len(results[0].Rows) != 1 {
		l.ledger.fault("%s was acknowledged but not read back through %s", key, host)
	}
	return token
}

// check compares the callers' knowledge with the rows of the database.
func (l *load) check(ts *testscript.TestScript) error {
	rows := map[string]bool{}
	tries := 0
	err := await("the final read", func() error {
		tries++
		out, err := l.fleet.sql([]string{"h" + strconv.Itoa(1+tries%daemons), "db0", "SELECT id FROM settlements"})
		for _, id := range strings.Fields(out) {
			rows[id] = true
		}
		return err
	})
	if err != nil {
		return err
	}
	for key := range l.ledger.acked {
		if !rows[key] {
			l.ledger.fault("%s was acknowledged and is lost", key)
		}
	}
	for key := range l.ledger.refused {
		if rows[key] {
			l.ledger.fault("%s was refused as not run and ran", key)
		}
	}
	_, _ = fmt.Fprintf(ts.Stdout(), "acknowledged %d, refused %d, unknown %d, longest gap %d ms\n",
		len(l.ledger.acked), len(l.ledger.refused), len(l.ledger.unknown), l.ledger.gap.Milliseconds())
	ts.Logf("acknowledged %d, refused %d, unknown %d, longest gap %d ms",
		len(l.ledger.acked), len(l.ledger.refused), len(l.ledger.unknown), l.ledger.gap.Milliseconds())
	if len(l.ledger.faults) > 0 {
		return errors.New(strings.Join(l.ledger.faults, "\n"))
	}
	return nil
}
