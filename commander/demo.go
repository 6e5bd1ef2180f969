package commander

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/heatherhall/heatherhall/emulator"
	"github.com/heatherhall/heatherhall/planner"
)

const (
	// demoNetwork is the second byte of the demo's loopback addresses.
	demoNetwork  = 21
	demoPassword = "market-day"
	demoCustomer = "member"
	// demoVisitor is the customer that the last step removes from the lists.
	demoVisitor = "visitor"
	// demoTimeout limits each statement, and the wait until an edit applies on
	// all daemons.
	demoTimeout = 20 * time.Second
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole deployment on embedded stand-ins and walk once through what it promises",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "stay", Usage: "keep the deployment running until SIGTERM or SIGINT"},
			&cli.StringFlag{Name: "size", Usage: "`DEPLOYMENT` to emulate: coop or naidu", Value: "coop"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			size := emulator.Coop()
			if c.String("size") == "naidu" {
				size = emulator.Naidu()
			}
			return runDemo(ctx, c, size)
		},
	}
}

// demo runs the demo's steps against an emulated deployment.
type demo struct {
	out       io.Writer
	emulation *emulator.Emulation
	// token is the latest session token of demoCustomer.
	token string
}

func runDemo(ctx context.Context, c *cli.Command, size emulator.Size) error {
	lists, err := demoLists()
	if err != nil {
		return err
	}
	deployment, err := emulator.New(ctx, size, emulator.Options{Network: demoNetwork, Log: io.Discard, Lists: lists})
	if err != nil {
		return err
	}
	defer deployment.Stop()
	d := &demo{out: c.Root().Writer, emulation: deployment}
	d.printDaemons(size)
	for _, step := range []func(context.Context) error{d.readYourWrites, d.atMostOnce, d.failover, d.changeLists} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.printf("Done: nothing was lost, doubled or served stale.")
	if c.Bool("stay") {
		d.printf("The deployment stays up until SIGTERM or SIGINT.")
		<-stopSignal()
	}
	return nil
}

func demoLists() (planner.File, error) {
	verifier, err := planner.NewVerifier(demoCustomer, demoPassword, "the salt of the demo")
	if err != nil {
		return planner.File{}, err
	}
	return planner.File{
		Plans: []planner.Plan{{Name: "trade", Databases: []string{"*"}}},
		Customers: []planner.Customer{
			{Name: demoCustomer, Plan: "trade", Verifier: verifier.String()},
			{Name: demoVisitor, Plan: "trade", Verifier: verifier.String()},
		},
	}, nil
}

func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}

func (d *demo) printDaemons(size emulator.Size) {
	d.printf("%d daemons in %d failure domains serve %d databases of 3 backend servers each.", size.Daemons, len(size.Domains), size.Databases)
	for _, daemon := range d.emulation.Daemons {
		host, port, err := net.SplitHostPort(daemon.Address)
		if err == nil {
			d.printf("  PGPASSWORD=%s psql -h %s -p %s -U %s db0", demoPassword, host, port, demoCustomer)
		}
	}
}

// query runs SQL on a new connection to a daemon. It returns the first value of
// the last result, or its command tag if it has no rows. The connections of
// demoCustomer pass the session token on from one to the next.
func (d *demo) query(ctx context.Context, customer string, daemon int, sql string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	address := d.emulation.Daemons[daemon].Address
	config, err := pgconn.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/db0?sslmode=disable", customer, demoPassword, address))
	if err != nil {
		return "", &Error{Op: "demo", Kind: KindState, Err: err}
	}
	if d.token != "" && customer == demoCustomer {
		config.RuntimeParams["heatherhall.session"] = d.token
	}
	conn, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return "", &Error{Op: "demo", Kind: KindState, Err: err}
	}
	defer func() { _ = conn.Close(ctx) }()
	results, err := conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return "", &Error{Op: "demo", Kind: KindState, Err: errors.Wrap(err, sql)}
	}
	if token := conn.ParameterStatus("heatherhall.session"); token != "" && customer == demoCustomer {
		d.token = token
	}
	last := results[len(results)-1]
	if len(last.Rows) == 0 {
		return last.CommandTag.String(), nil
	}
	return string(last.Rows[0][0]), nil
}

// expectResult runs and prints a statement of demoCustomer. It fails if the
// result of query is not want.
func (d *demo) expectResult(ctx context.Context, daemon int, sql, want string) error {
	got, err := d.query(ctx, demoCustomer, daemon, sql)
	if err != nil {
		return err
	}
	d.printf("  %s: %s -> %s", d.emulation.Daemons[daemon].Name, sql, got)
	if got != want {
		return &Error{Op: "demo", Kind: KindState, Err: errors.Errorf("%s returned %q, want %q", sql, got, want)}
	}
	return nil
}

func (d *demo) readYourWrites(ctx context.Context) error {
	d.printf("\n1. A write through one daemon is read back through another.")
	if err := d.expectResult(ctx, 0, "CREATE TABLE coins (id text PRIMARY KEY, owner text)", "CREATE TABLE"); err != nil {
		return err
	}
	if err := d.expectResult(ctx, 0, "/*rank='settlement',request='s-1'*/ INSERT INTO coins VALUES ('bronze', 'parish')", "INSERT 0 1"); err != nil {
		return err
	}
	return d.expectResult(ctx, 1, "SELECT owner FROM coins WHERE id = 'bronze'", "parish")
}

func (d *demo) atMostOnce(ctx context.Context) error {
	d.printf("\n2. A repeat with the same request key returns the first outcome and runs nothing.")
	if err := d.expectResult(ctx, 2, "/*rank='settlement',request='s-1'*/ INSERT INTO coins VALUES ('bronze', 'parish')", "INSERT 0 1"); err != nil {
		return err
	}
	return d.expectResult(ctx, 3, "SELECT count(*) FROM coins", "1")
}

func (d *demo) failover(ctx context.Context) error {
	primary := emulator.ServerName(0, 0)
	d.printf("\n3. The primary %s is killed.", primary)
	if err := d.emulation.KillServer(primary); err != nil {
		return err
	}
	start := time.Now()
	if err := d.expectResult(ctx, 1, "/*rank='settlement',request='s-2'*/ UPDATE coins SET owner = 'member' WHERE id = 'bronze'", "UPDATE 1"); err != nil {
		return err
	}
	d.printf("  written to the new primary %d ms after the kill", time.Since(start).Milliseconds())
	return d.expectResult(ctx, 2, "SELECT owner FROM coins WHERE id = 'bronze'", "member")
}

func (d *demo) changeLists(ctx context.Context) error {
	d.printf("\n4. An edit of the lists removes customer %s.", demoVisitor)
	lists, err := d.emulation.Client.Lists(ctx)
	if err != nil {
		return err
	}
	edit := planner.Edit{ID: "demo", BaseVersion: lists.Version(), Author: "demo", Removed: planner.Removals{Customers: []string{demoVisitor}}}
	if _, err := d.emulation.Client.Apply(ctx, lists, edit); err != nil {
		return err
	}
	start := time.Now()
	for i, daemon := range d.emulation.Daemons {
		for {
			if _, err := d.query(ctx, demoVisitor, i, "SELECT 1"); err != nil {
				break
			}
			if time.Since(start) > demoTimeout {
				return &Error{Op: "demo", Kind: KindState, Err: errors.Errorf("the edit is not in force on %s", daemon.Name)}
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	d.printf("  in force on all daemons after %d ms", time.Since(start).Milliseconds())
	return nil
}
