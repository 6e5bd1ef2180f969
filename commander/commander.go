// Package commander implements the command line of heatherhall.
package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/heatherhall/heatherhall/configurer"
	"github.com/heatherhall/heatherhall/runner"
)

// Version is the program's version, as the version command prints it.
const Version = "0.1.0"

// Run executes the command given by args, of which the first is the program's
// name. It prints an error to errOut and returns the exit code: 0, or 1 after
// an error.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := &cli.Command{
		Name:                  "heatherhall",
		Usage:                 "a database proxy with session consistency",
		Writer:                out,
		ErrWriter:             errOut,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			serveCommand(),
			checkCommand(),
			listsCommand(),
			statusCommand(),
			benchCommand(),
			demoCommand(),
			versionCommand(),
		},
	}
	if err := root.Run(ctx, args); err != nil {
		_, _ = fmt.Fprintln(errOut, "heatherhall:", err)
		return 1
	}
	return 0
}

func settingsFlag() *cli.StringFlag {
	return &cli.StringFlag{
		Name:    "settings",
		Usage:   "the daemon's settings in `FILE`",
		Value:   "heatherhall.json",
		Sources: cli.EnvVars("HEATHERHALL_SETTINGS"),
	}
}

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run a daemon until SIGTERM or SIGINT, then shut it down gracefully",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			settings, err := configurer.Read(c.String("settings"))
			if err != nil {
				return err
			}
			daemon, err := runner.New(settings, c.Root().ErrWriter, nil)
			if err != nil {
				return err
			}
			runner.SetGCLimits(settings)
			return daemon.Run(stopSignal())
		},
	}
}

// stopSignal returns a channel that is closed at SIGTERM or SIGINT.
func stopSignal() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
	}()
	return stop
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a settings file and report every fault with its place",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, c *cli.Command) error {
			path, err := onlyArgument(c, "check", "FILE")
			if err != nil {
				return err
			}
			settings, err := configurer.Read(path)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.Root().Writer, "%s is good: host %s, %d databases\n", path, settings.Host.Name, len(settings.Databases))
			return err
		},
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, "heatherhall", Version)
			return err
		},
	}
}

// onlyArgument returns the only argument of the command op. It fails with
// KindUsage if there are none or several; name is the argument's name in the
// error message.
func onlyArgument(c *cli.Command, op, name string) (string, error) {
	if c.Args().Len() != 1 {
		return "", &Error{Op: op, Kind: KindUsage, Err: fmt.Errorf("want %s, see `heatherhall %s --help`", name, op)}
	}
	return c.Args().First(), nil
}
