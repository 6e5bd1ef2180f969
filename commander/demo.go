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
	demoNetwork  = 21
	demoPassword = "market-day"
	demoCustomer = "member"
	demoVisitor  = "visitor"
	demoLimit    = 20 * time.Second
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

// demo is a walk through a deployment.
type demo struct {
	out       io.Writer
	emulation *emulator.Emulation
	token     string
}

func runDemo(ctx context.Context, c *cli.Command, size emulator.Size) error {
	lists, err := demoLists()
	if err != nil {
		return err
	}
	started, err := emulator.New(ctx, size, emulator.Options{Network: demoNetwork, Log: io.Discard, Lists: lists})
	if err != nil {
		return err
	}
	defer started.Stop()
	d := &demo{out: c.Root().Writer, emulation: started}
	d.introduce(size)
	for _, step := range []func(context.Context) error{d.readYourWrites, d.atMostOnce, d.failover, d.changeLists} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.say("Done: nothing was lost, doubled or served stale.")
	if c.Bool("stay") {
		d.say("The deployment stays up until SIGTERM or SIGINT.")
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

func (d *demo) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}

func (d *demo) introduce(size emulator.Size) {
	d.say("%d daemons in %d failure domains serve %d databases of 3 backend servers each.", size.Daemons, len(size.Domains), size.Databases)
	for _, daemon := range d.emulation.Daemons {
		host, port, err := net.SplitHostPort(daemon.Address)
		if err == nil {
			d.say("  PGPASSWORD=%s psql -h %s -p %s -U %s db0", demoPassword, host, port, demoCustomer)
		}
	}
}

// run runs a statement through a daemon and returns its first value. The
// session's token travels along.
func (d *demo) run(ctx context.Context, customer string, daemon int, sql string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, demoLimit)
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

// expect runs a statement and compares its value.
func (d *demo) expect(ctx context.Context, daemon int, sql, want string) error {
	got, err := d.run(ctx, demoCustomer, daemon, sql)
	if err != nil {
		return err
	}
	d.say("  %s: %s -> %s", d.emulation.Daemons[daemon].Name, sql, got)
	if got != want {
		return &Error{Op: "demo", Kind: KindState, Err: errors.Errorf("%s returned %q, want %q", sql, got, want)}
	}
	return nil
}

func (d *demo) readYourWrites(ctx context.Context) error {
	d.say("\n1. A write through one daemon is read back through another.")
	if err := d.expect(ctx, 0, "CREATE TABLE coins (id text PRIMARY KEY, owner text)", "CREATE TABLE"); err != nil {
		return err
	}
	if err := d.expect(ctx, 0, "/*rank='settlement',request='s-1'*/ INSERT INTO coins VALUES ('bronze', 'parish')", "INSERT 0 1"); err != nil {
		return err
	}
	return d.expect(ctx, 1, "SELECT owner FROM coins WHERE id = 'bronze'", "parish")
}

func (d *demo) atMostOnce(ctx context.Context) error {
	d.say("\n2. A repeat with the same request key returns the first outcome and runs nothing.")
	if err := d.expect(ctx, 2, "/*rank='settlement',request='s-1'*/ INSERT INTO coins VALUES ('bronze', 'parish')", "INSERT 0 1"); err != nil {
		return err
	}
	return d.expect(ctx, 3, "SELECT count(*) FROM coins", "1")
}

func (d *demo) failover(ctx context.Context) error {
	primary := emulator.ServerName(0, 0)
	d.say("\n3. The primary %s dies without notice.", primary)
	if err := d.emulation.KillServer(primary); err != nil {
		return err
	}
	start := time.Now()
	if err := d.expect(ctx, 1, "/*rank='settlement',request='s-2'*/ UPDATE coins SET owner = 'member' WHERE id = 'bronze'", "UPDATE 1"); err != nil {
		return err
	}
	d.say("  written %d ms after the death, to the new primary", time.Since(start).Milliseconds())
	return d.expect(ctx, 2, "SELECT owner FROM coins WHERE id = 'bronze'", "member")
}

func (d *demo) changeLists(ctx context.Context) error {
	d.say("\n4. An edit of the lists takes %s out of the customers.", demoVisitor)
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
			if _, err := d.run(ctx, demoVisitor, i, "SELECT 1"); err != nil {
				break
			}
			if time.Since(start) > demoLimit {
				return &Error{Op: "demo", Kind: KindState, Err: errors.Errorf("the edit is not in force on %s", daemon.Name)}
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	d.say("  in force on all daemons after %d ms", time.Since(start).Milliseconds())
	return nil
}
