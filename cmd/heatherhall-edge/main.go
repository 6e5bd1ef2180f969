// Command heatherhall-edge runs a heatherhall daemon on the users' platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/heatherhall/heatherhall/platform"
)

func main() {
	runtime.GOMAXPROCS(1) // hosts have a share of one core
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
		}},
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "heatherhall-edge:", err)
		os.Exit(1)
	}
}

func serve(ctx context.Context, c *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	reload := make(chan struct{})
	go func() {
		for range hangups {
			reload <- struct{}{}
		}
	}()
	return platform.Serve(ctx, c.String("settings"), reload, os.Stdout)
}
