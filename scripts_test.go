package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/heatherhall/heatherhall/decider"
	"github.com/heatherhall/heatherhall/faker"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"heatherhall": main,
		"heatherhall-fake": func() {
			ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer cancel()
			if err := faker.Program().Run(ctx, os.Args); err != nil {
				_, _ = fmt.Fprintln(os.Stderr, err)
				os.Exit(1)
			}
		},
	})
}

// TestScripts runs each script of testscripts against a deployment of separate
// processes, on loopback addresses of its own.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                "testscripts",
		RequireUniqueNames: true,
		Setup: func(env *testscript.Env) error {
			env.Values[fleetKey{}] = newFleet(env)
			env.Setenv("NET", "127."+strconv.Itoa(fleetFromValues(env.Values).network))
			env.Setenv("HEATHERHALL_PASSWORD", password)
			env.Setenv("HEATHERHALL_PLATFORM", fleetFromValues(env.Values).platformAddress())
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":   cmdFleet,
			"send":    cmdSend,
			"sql":     cmdSQL,
			"fault":   cmdFault,
			"outage":  cmdOutage,
			"hosts":   cmdHosts,
			"within":  cmdWithin,
			"load":    cmdLoad,
			"restart": cmdRestart,
		},
	})
}

// cmdFleet implements the script command fleet, which starts the deployment.
func cmdFleet(ts *testscript.TestScript, _ bool, _ []string) {
	ts.Check(scriptFleet(ts).startAll(ts))
}

// cmdSend sends a signal to a process: send SIGNAL NAME. SIGNAL is TERM, KILL,
// STOP or CONT. The name home:DATABASE is the daemon that is the home of a
// database, and stopped is the process that last got STOP. After TERM and KILL
// the command waits for the process to exit; after TERM the exit code must be 0.
func cmdSend(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]os.Signal{"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}
	name := args[1]
	if name == "stopped" {
		name = scriptFleet(ts).lastStopped
	}
	if database, found := strings.CutPrefix(name, "home:"); found {
		home, _, err := scriptFleet(ts).homeOf(database)
		ts.Check(err)
		name = home
	}
	if args[0] == "STOP" {
		scriptFleet(ts).lastStopped = name
	}
	ts.Check(scriptFleet(ts).signal(name, signals[args[0]]))
}

// cmdRestart shuts a daemon down gracefully, starts it again and waits until it
// serves all databases: restart HOST.
func cmdRestart(ts *testscript.TestScript, _ bool, args []string) {
	f := scriptFleet(ts)
	ts.Check(f.signal(args[0], syscall.SIGTERM))
	number, err := strconv.Atoi(strings.TrimPrefix(args[0], "h"))
	ts.Check(err)
	ts.Check(f.startDaemon(number - 1))
	ts.Check(await(args[0], func() error { return f.checkServes(args[0]) }))
}

// cmdSQL runs a statement through a daemon: sql [-as CUSTOMER] [-token] HOST
// DATABASE SQL. With -token it continues the session of the last such command by
// its token. It prints the values, or the SQLSTATE and message.
func cmdSQL(ts *testscript.TestScript, neg bool, args []string) {
	out, err := scriptFleet(ts).runSQL(args)
	_, _ = fmt.Fprint(ts.Stdout(), out)
	if err != nil {
		_, _ = fmt.Fprintln(ts.Stderr(), errorText(err))
	}
	switch {
	case err != nil && !neg:
		ts.Fatalf("%s", errorText(err))
	case err == nil && neg:
		ts.Fatalf("the statement succeeded, want an error")
	}
}

// cmdWithin repeats a query until its output contains a text, and fails after
// the time limit: within 10s TEXT sql HOST DATABASE SQL, or within 10s TEXT
// status DATABASE for the name of the database's primary. With !TEXT the query
// must succeed with output that does not contain the text.
func cmdWithin(ts *testscript.TestScript, _ bool, args []string) {
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	deadline := time.Now().Add(limit)
	for {
		query := scriptFleet(ts).runSQL
		if args[2] == "status" {
			query = scriptFleet(ts).primary
		}
		out, err := query(args[3:])
		if err != nil {
			out = errorText(err)
		}
		unwanted, negated := strings.CutPrefix(args[1], "!")
		if !negated && strings.Contains(out, args[1]) || negated && err == nil && out != "" && !strings.Contains(out, unwanted) {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("want %q within %s, last: %s", args[1], limit, out)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// cmdFault changes a fault of a backend server: fault SERVER NAME=VALUE.
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(scriptFleet(ts).setFault(args[0], args[1]))
}

// cmdOutage replaces the faults of the platform: outage JSON, with the fields of
// faker.PlatformFaults.
func cmdOutage(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(scriptFleet(ts).putPlatform("/fault", args[0]))
}

// cmdHosts replaces the platform's list of hosts: hosts JSON.
func cmdHosts(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(scriptFleet(ts).putPlatform("/hosts", args[0]))
}

// primary returns the name of a database's primary, as its home reports it.
func (f *fleet) primary(args []string) (string, error) {
	_, primary, err := f.homeOf(args[0])
	return primary, err
}

// homeOf returns the home of a database and the primary that it reports.
func (f *fleet) homeOf(database string) (home, primary string, err error) {
	for i := range daemons {
		var status decider.Status
		response, err := http.Get("http://" + f.ip(1, i+1) + ":9100/status")
		if err != nil {
			continue
		}
		err = json.NewDecoder(response.Body).Decode(&status)
		_ = response.Body.Close()
		if err != nil {
			return "", "", err
		}
		for _, d := range status.Databases {
			if d.Name == database && d.Home == status.Host {
				return d.Home, d.Primary, nil
			}
		}
	}
	return "", "", errors.New("no daemon is the home of " + database)
}

// runSQL runs SQL on a new connection; args are those of cmdSQL. For each
// statement it returns a line with the values of each row, or the command tag if
// there are no rows. It also returns the output of statements before one that
// fails.
func (f *fleet) runSQL(args []string) (string, error) {
	customer := "coop"
	token := false
	for strings.HasPrefix(args[0], "-") {
		if args[0] == "-as" {
			customer = args[1]
			args = args[1:]
		} else {
			token = true
		}
		args = args[1:]
	}
	conn, err := f.connect(customer, args[0], args[1], token)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close(context.Background()) }()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	results, err := conn.PgConn().Exec(ctx, args[2]).ReadAll()
	if token {
		f.token = conn.PgConn().ParameterStatus("heatherhall.session")
	}
	return formatResults(results), err
}

func (f *fleet) connect(customer, host, database string, token bool) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", customer, password, f.clientAddress(host), database))
	if err != nil {
		return nil, err
	}
	if token && f.token != "" {
		config.RuntimeParams["heatherhall.session"] = f.token
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return pgx.ConnectConfig(ctx, config)
}

func formatResults(results []*pgconn.Result) string {
	var b strings.Builder
	for _, result := range results {
		for _, row := range result.Rows {
			for i, value := range row {
				if i > 0 {
					b.WriteByte('|')
				}
				b.Write(value)
			}
			b.WriteByte('\n')
		}
		if len(result.Rows) == 0 {
			b.WriteString(result.CommandTag.String() + "\n")
		}
	}
	return b.String()
}

func errorText(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code + " " + e.Message + " " + e.Detail + " " + e.Hint
	}
	return err.Error()
}
