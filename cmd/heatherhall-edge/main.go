// Command heatherhall-edge runs a heatherhall daemon on the users' platform,
// explains requests from the daemons' logs and checks the operators' catalog.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/heatherhall/heatherhall/explainer"
	"github.com/heatherhall/heatherhall/platform"
)

// sighups receives SIGHUP from before main on, since the signal would end the process.
var sighups = notifySIGHUP()

func notifySIGHUP() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

func main() {
	runtime.GOMAXPROCS(1) // a host has only a share of one core
	root := &cli.Command{
		Name:           "heatherhall-edge",
		Usage:          "a database proxy with session consistency, on the users' platform",
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{{
			Name:  "serve",
			Usage: "run a daemon until SIGTERM or SIGINT, then shut it down gracefully",
			Flags: []cli.Flag{&cli.StringFlag{
				Name: "settings", Usage: "the daemon's settings in `FILE`", Value: "heatherhall.json", Sources: cli.EnvVars("HEATHERHALL_CONFIG"),
			}},
			Action: serve,
		}, {
			Name:      "explain",
			Usage:     "print the log lines that explain a request, from daemons' logs in files or standard input",
			ArgsUsage: "REQUEST [FILE...]",
			Action:    explain,
		}, checkCommand()},
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "heatherhall-edge:", err)
		var exit cli.ExitCoder
		if errors.As(err, &exit) {
			os.Exit(exit.ExitCode())
		}
		os.Exit(1)
	}
}

// serve runs a daemon. SIGHUP makes it read its settings file again, to log whether
// the file is valid.
func serve(ctx context.Context, c *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan struct{})
	go func() {
		for range sighups {
			reload <- struct{}{}
		}
	}()
	return platform.Serve(ctx, c.String("settings"), reload, os.Stdout)
}

// explain prints the log lines that explain the request with the given id. It fails
// if there are none.
func explain(_ context.Context, c *cli.Command) error {
	request := c.Args().First()
	if request == "" {
		return cli.Exit("want a request's id, see `heatherhall-edge explain --help`", 1)
	}
	logs := []io.Reader{os.Stdin}
	if paths := c.Args().Slice()[1:]; len(paths) > 0 {
		logs = nil
		for _, path := range paths {
			file, err := os.Open(path)
			if err != nil {
				return err
			}
			defer func() { _ = file.Close() }() // read only, no data can be lost
			logs = append(logs, file)
		}
	}
	found, err := explainer.Explain(os.Stdout, request, logs...)
	if err == nil && found == 0 {
		return fmt.Errorf("no log line has the request id %s: another daemon may have handled the request, or log lines were dropped", request)
	}
	return err
}
