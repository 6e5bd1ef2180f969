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

// outcomes holds the outcomes that a load's clients received for their writes,
// by request key, and the violations found.
type outcomes struct {
	mu           sync.Mutex
	acknowledged map[string]bool
	// refused are the writes answered as not run.
	refused map[string]bool
	// unknown are the writes of which it is not known whether they ran.
	unknown    map[string]bool
	violations []string
	// longestGap is the longest time between two consecutive acknowledgements.
	longestGap       time.Duration
	lastAcknowledged time.Time
}

func (o *outcomes) record(keys map[string]bool, key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	keys[key] = true
}

func (o *outcomes) acknowledge(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acknowledged[key] = true
	now := time.Now()
	if !o.lastAcknowledged.IsZero() && now.Sub(o.lastAcknowledged) > o.longestGap {
		o.longestGap = now.Sub(o.lastAcknowledged)
	}
	o.lastAcknowledged = now
}

func (o *outcomes) addViolation(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// loads maps each script's fleet to its running load.
var loads sync.Map

// load is a set of clients that write with request keys, connect to a different
// daemon each round, and check that they read their own writes.
type load struct {
	fleet    *fleet
	outcomes *outcomes
	stop     chan struct{}
	done     sync.WaitGroup
}

// cmdLoad runs clients in the background: load start CLIENTS starts them, load
// acks COUNT waits until COUNT more writes are acknowledged, and load check
// stops the clients and compares their outcomes with the database.
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	f := scriptFleet(ts)
	if args[0] == "start" {
		clients, err := strconv.Atoi(args[1])
		ts.Check(err)
		l := &load{
			fleet:    f,
			outcomes: &outcomes{acknowledged: map[string]bool{}, refused: map[string]bool{}, unknown: map[string]bool{}},
			stop:     make(chan struct{}),
		}
		loads.Store(f, l)
		for i := range clients {
			l.done.Add(1)
			go func() {
				defer l.done.Done()
				l.runClient(i)
			}()
		}
		return
	}
	value, _ := loads.Load(f)
	l := value.(*load)
	if args[0] == "acks" {
		count, err := strconv.Atoi(args[1])
		ts.Check(err)
		ts.Check(l.awaitAcknowledged(count))
		return
	}
	close(l.stop)
	l.done.Wait()
	ts.Check(l.check(ts))
}

// awaitAcknowledged waits until as many further writes as given are
// acknowledged.
func (l *load) awaitAcknowledged(more int) error {
	start := l.acknowledgedCount()
	return await("acknowledged writes", func() error {
		if l.acknowledgedCount() < start+more {
			return errors.Errorf("%d of %d writes are acknowledged", l.acknowledgedCount()-start, more)
		}
		return nil
	})
}

func (l *load) acknowledgedCount() int {
	l.outcomes.mu.Lock()
	defer l.outcomes.mu.Unlock()
	return len(l.outcomes.acknowledged)
}

// runClient runs one client until the load stops. In each round it writes a row
// with a request key through the next daemon and, if the write is acknowledged,
// reads the row with the session's token through the daemon after that.
func (l *load) runClient(client int) {
	token := ""
	for round := 0; ; round++ {
		select {
		case <-l.stop:
			return
		default:
		}
		key := fmt.Sprintf("c%d-%d", client, round)
		host := "h" + strconv.Itoa(1+(client+round)%daemons)
		reader := "h" + strconv.Itoa(1+(client+round+1)%daemons)
		var written bool
		token, written = l.write(host, key, token)
		if written {
			token = l.readBack(reader, key, token)
		}
	}
}

func (l *load) openConn(host, token string) (*pgx.Conn, error) {
	clientFleet := &fleet{network: l.fleet.network, token: token}
	return clientFleet.connect("coop", host, "db0", token != "")
}

func (l *load) write(host, key, token string) (string, bool) {
	conn, err := l.openConn(host, token)
	if err != nil {
		return token, false
	}
	defer func() { _ = conn.Close(context.Background()) }()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	sql := fmt.Sprintf("/*rank='settlement',request='%s'*/ INSERT INTO settlements (id, count) VALUES ('%s', 1)", key, key)
	_, err = conn.PgConn().Exec(ctx, sql).ReadAll()
	var e *pgconn.PgError
	switch {
	case err == nil:
		l.outcomes.acknowledge(key)
		if status := conn.PgConn().ParameterStatus("heatherhall.session"); status != "" {
			return status, true
		}
		return token, true
	case errors.As(err, &e) && strings.Contains(e.Detail, "not run"):
		l.outcomes.record(l.outcomes.refused, key)
	default:
		l.outcomes.record(l.outcomes.unknown, key)
	}
	return token, false
}

// readBack checks that an acknowledged write is visible through another daemon.
// A read that fails is not a violation. It returns the token unchanged.
func (l *load) readBack(host, key, token string) string {
	conn, err := l.openConn(host, token)
	if err != nil {
		return token
	}
	defer func() { _ = conn.Close(context.Background()) }()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	results, err := conn.PgConn().Exec(ctx, "SELECT id FROM settlements WHERE id = '"+key+"'").ReadAll()
	if err == nil && len(results[0].Rows) != 1 {
		l.outcomes.addViolation("%s was acknowledged but not read back through %s", key, host)
	}
	return token
}

// check compares the clients' outcomes with the rows of the database and prints
// their numbers. It fails if an acknowledged write is missing, a refused write
// has run, or a client did not read its own write.
func (l *load) check(ts *testscript.TestScript) error {
	found := map[string]bool{}
	attempts := 0
	err := await("the final read", func() error {
		attempts++
		out, err := l.fleet.runSQL([]string{"h" + strconv.Itoa(1+attempts%daemons), "db0", "SELECT id FROM settlements"})
		for _, id := range strings.Fields(out) {
			found[id] = true
		}
		return err
	})
	if err != nil {
		return err
	}
	for key := range l.outcomes.acknowledged {
		if !found[key] {
			l.outcomes.addViolation("%s was acknowledged but is missing", key)
		}
	}
	for key := range l.outcomes.refused {
		if found[key] {
			l.outcomes.addViolation("%s was refused as not run but ran", key)
		}
	}
	_, _ = fmt.Fprintf(ts.Stdout(), "acknowledged %d, refused %d, unknown %d, longest gap %d ms\n",
		len(l.outcomes.acknowledged), len(l.outcomes.refused), len(l.outcomes.unknown), l.outcomes.longestGap.Milliseconds())
	ts.Logf("acknowledged %d, refused %d, unknown %d, longest gap %d ms",
		len(l.outcomes.acknowledged), len(l.outcomes.refused), len(l.outcomes.unknown), l.outcomes.longestGap.Milliseconds())
	if len(l.outcomes.violations) > 0 {
		return errors.New(strings.Join(l.outcomes.violations, "\n"))
	}
	return nil
}
