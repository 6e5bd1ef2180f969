package emulator_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/goleak"

	"github.com/heatherhall/heatherhall/configurer"
	"github.com/heatherhall/heatherhall/emulator"
	"github.com/heatherhall/heatherhall/planner"
	"github.com/heatherhall/heatherhall/scheduler"
)

const password = "market-day"

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// start runs a deployment of the co-op's size until the end of the test. The
// network is the one of emulator.Options; each test has its own.
func start(t testing.TB, network int, configure ...func(*emulator.Options)) *emulator.Emulation {
	t.Helper()
	verifier, err := planner.NewVerifier("coop", password, "salt")
	if err != nil {
		t.Fatal(err)
	}
	options := emulator.Options{
		Network: network,
		Log:     io.Discard,
		Lists: planner.File{
			Plans: []planner.Plan{
				{Name: "gold", Databases: []string{"*"}},
				{Name: "visit", Databases: []string{"db1"}, Rank: scheduler.RankBrowse, MaxConnections: 1},
			},
			Customers: []planner.Customer{
				{Name: "coop", Plan: "gold", Verifier: verifier.String()},
				{Name: "visitor", Plan: "visit", Verifier: verifier.String()},
			},
		},
	}
	for _, c := range configure {
		c(&options)
	}
	e, err := emulator.New(context.Background(), emulator.Coop(), options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	return e
}

func connect(t *testing.T, e *emulator.Emulation, daemon int, customer, database, secret, token string) (*pgx.Conn, error) {
	t.Helper()
	config, err := pgx.ParseConfig("postgres://" + customer + ":" + secret + "@" + e.Daemons[daemon].Address + "/" + database + "?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	if token != "" {
		config.RuntimeParams["heatherhall.session"] = token
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	conn, err := pgx.ConnectConfig(ctx, config)
	if err == nil {
		t.Cleanup(func() { _ = conn.Close(context.Background()) })
	}
	return conn, err
}

func mustConnect(t *testing.T, e *emulator.Emulation, daemon int) *pgx.Conn {
	t.Helper()
	conn, err := connect(t, e, daemon, "coop", "db0", password, "")
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// codeOf returns the SQLSTATE of an error, or an empty string if it has none.
func codeOf(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// TestExtendedProtocol checks that prepared statements, transactions and batches
// of the extended query protocol work although successive batches may run on
// different pooled connections, and that the session token continues the session
// on another daemon.
func TestExtendedProtocol(t *testing.T) {
	e := start(t, 22)
	ctx := context.Background()
	conn := mustConnect(t, e, 0)
	exec := func(sql string, args ...any) {
		t.Helper()
		if _, err := conn.Exec(ctx, sql, args...); err != nil {
			t.Fatalf("%s: %v", sql, err)
		}
	}
	exec("CREATE TABLE coins (id text PRIMARY KEY, owner text)")
	// The statement is prepared once and runs on several pooled connections.
	for _, id := range []string{"a", "b", "c"} {
		exec("/*rank='settlement'*/ INSERT INTO coins (id, owner) VALUES ($1, $2)", id, "member")
	}
	var owner string
	if err := conn.QueryRow(ctx, "SELECT owner FROM coins WHERE id = $1", "b").Scan(&owner); err != nil || owner != "member" {
		t.Errorf("prepared statement: got %q, %v, want member", owner, err)
	}
	tx, err := conn.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "UPDATE coins SET owner = $1 WHERE id = $2", "parish", "a"); err != nil {
		t.Fatal(err)
	}
	if err := tx.Commit(ctx); err != nil {
		t.Fatal(err)
	}
	batch := &pgx.Batch{}
	batch.Queue("SELECT owner FROM coins WHERE id = $1", "a")
	batch.Queue("SELECT id FROM coins WHERE owner = $1", "parish")
	results := conn.SendBatch(ctx, batch)
	for range 2 {
		var value string
		if err := results.QueryRow().Scan(&value); err != nil || value == "" {
			t.Errorf("batch: got %q, %v, want a value", value, err)
		}
	}
	if err := results.Close(); err != nil {
		t.Error(err)
	}
	other, err := connect(t, e, 2, "coop", "db0", password, conn.PgConn().ParameterStatus("heatherhall.session"))
	if err != nil {
		t.Fatal(err)
	}
	if err := other.QueryRow(ctx, "SELECT owner FROM coins WHERE id = $1", "a").Scan(&owner); err != nil || owner != "parish" {
		t.Errorf("through another daemon: got %q, %v, want parish", owner, err)
	}
}

// TestErrorCodes checks the SQLSTATEs of rejected statements and connections, and
// that these do not affect other connections.
func TestErrorCodes(t *testing.T) {
	e := start(t, 23)
	ctx := context.Background()
	otherClient := mustConnect(t, e, 0)
	if _, err := otherClient.Exec(ctx, "CREATE TABLE coins (id text PRIMARY KEY)"); err != nil {
		t.Fatal(err)
	}
	statements := map[string]struct{ sql, code string }{
		"unknown rank":           {"/*rank='first'*/ SELECT 1", "22023"},
		"listen":                 {"LISTEN x", "0A000"},
		"copy":                   {"COPY coins FROM STDIN", "0A000"},
		"session setting":        {"SET work_mem = '1GB'", "0A000"},
		"invalid token in SET":   {"SET heatherhall.session = 'a.b.c'", "HH010"},
		"syntax":                 {"SELEC 1", "42601"},
		"no such table":          {"SELECT * FROM nothing", "42P01"},
		"request key on a batch": {"/*request='x'*/ BEGIN; INSERT INTO coins VALUES ('x'); COMMIT", "HH004"},
		"statement too large":    {"SELECT '" + strings.Repeat("x", 17<<20) + "'", "54000"},
	}
	for name, test := range statements {
		t.Run(name, func(t *testing.T) {
			conn := mustConnect(t, e, 1)
			_, err := conn.PgConn().Exec(ctx, test.sql).ReadAll()
			if codeOf(err) != test.code && (test.code != "54000" || err == nil) {
				t.Errorf("got %v, want %s", err, test.code)
			}
		})
	}
	connections := map[string]struct{ customer, database, secret, token, code string }{
		"wrong password":       {"coop", "db0", "x", "", "28P01"},
		"unknown customer":     {"nobody", "db0", password, "", "28P01"},
		"unknown database":     {"coop", "db9", password, "", "3D000"},
		"database not in plan": {"visitor", "db0", password, "", "42501"},
		"invalid token":        {"coop", "db0", password, "a.b.c", "HH010"},
	}
	for name, test := range connections {
		t.Run(name, func(t *testing.T) {
			_, err := connect(t, e, 1, test.customer, test.database, test.secret, test.token)
			if codeOf(err) != test.code {
				t.Errorf("got %v, want %s", err, test.code)
			}
		})
	}
	t.Run("connections of a plan", func(t *testing.T) {
		if _, err := connect(t, e, 1, "visitor", "db1", password, ""); err != nil {
			t.Fatal(err)
		}
		if _, err := connect(t, e, 1, "visitor", "db1", password, ""); codeOf(err) != "53300" {
			t.Errorf("got %v, want 53300", err)
		}
	})
	// The errors of one client do not affect the connections of others.
	if _, err := otherClient.Exec(ctx, "SELECT id FROM coins"); err != nil {
		t.Errorf("connection of another client: %v", err)
	}
}

// TestCancelThroughAnyDaemon checks that a daemon passes a cancel request on to
// the daemon that the cancel key names.
func TestCancelThroughAnyDaemon(t *testing.T) {
	e := start(t, 24)
	for _, daemon := range []int{0, 1, 2, 3} {
		conn := mustConnect(t, e, daemon)
		failed := make(chan error, 1)
		go func() {
			_, err := conn.PgConn().Exec(context.Background(), "SELECT pg_sleep(20)").ReadAll()
			failed <- err
		}()
		cancelled := false
		for !cancelled {
			// Behind a load balancer, a cancel request may reach any daemon, not
			// only the one that runs the statement.
			other, err := pgconn.ParseConfig("postgres://coop:x@" + e.Daemons[(daemon+1)%4].Address + "/db0?sslmode=disable")
			if err != nil {
				t.Fatal(err)
			}
			sendCancel(t, other, conn.PgConn())
			select {
			case err := <-failed:
				if codeOf(err) != "57014" {
					t.Errorf("got %v, want 57014", err)
				}
				cancelled = true
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
}

// sendCancel connects to the address in config, sends a cancel request for the
// statement of target's session, and waits until the daemon closes the new
// connection.
func sendCancel(t *testing.T, config *pgconn.Config, target *pgconn.PgConn) {
	t.Helper()
	request, err := (&pgproto3.CancelRequest{ProcessID: target.PID(), SecretKey: target.SecretKey()}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", net.JoinHostPort(config.Host, strconv.Itoa(int(config.Port))))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(request); err != nil {
		t.Fatal(err)
	}
	_, _ = conn.Read(make([]byte, 1))
}

// TestShutdownTimeout guards against a daemon that does not end, or reports a
// graceful shutdown, when a statement still runs after the drain time.
func TestShutdownTimeout(t *testing.T) {
	e := start(t, 28, func(o *emulator.Options) {
		o.ChangeSettings = func(s *configurer.Settings) { s.Times.DrainTimeout = 300 }
	})
	conn := mustConnect(t, e, 0)
	failed := make(chan error, 1)
	go func() {
		_, err := conn.PgConn().Exec(context.Background(), "SELECT pg_sleep(3)").ReadAll()
		failed <- err
	}()
	for e.Daemons[0].Runner.Status().PendingRequests == 0 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- e.StopDaemon(e.Daemons[0]) }()
	select {
	case err := <-stopped:
		if err == nil {
			t.Error("the daemon reported a graceful shutdown, want an error")
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the daemon did not stop")
	}
	if err := <-failed; err == nil {
		t.Error("the statement succeeded, want an error")
	}
}
