package faker

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/heatherhall/heatherhall/timekeeper"
)

// Program returns the command heatherhall-fake, which runs one stand-in as a
// process: a backend server or the platform.
func Program() *cli.Command {
	return &cli.Command{
		Name:     "heatherhall-fake",
		Usage:    "stand-ins for backend servers and the platform",
		Commands: []*cli.Command{platformCommand(), backendCommand()},
	}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve a table, an object store and a list of hosts",
		Flags: []cli.Flag{&cli.StringFlag{Name: "address", Usage: "`IP:PORT`", Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error {
			p, err := NewPlatform(c.String("address"))
			if err != nil {
				return err
			}
			<-p.Run(ctx)
			return nil
		},
	}
}

func backendCommand() *cli.Command {
	return &cli.Command{
		Name:  "backend",
		Usage: "serve one backend server of a database group",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Required: true},
			&cli.StringFlag{Name: "address", Usage: "`IP:PORT`", Required: true},
			&cli.StringFlag{Name: "primary", Usage: "follow the primary at `IP:PORT`; empty for the primary itself"},
			&cli.IntFlag{Name: "slots", Value: 2},
			&cli.IntFlag{Name: "connections", Value: 16},
			&cli.Int64Flag{Name: "connect", Usage: "time to open a connection in `MS`", Value: 12},
			&cli.Int64Flag{Name: "service", Usage: "time of a statement in `MS`"},
			&cli.Int64Flag{Name: "ship", Usage: "time until a replica receives an entry in `MS`"},
			&cli.Int64Flag{Name: "lag", Usage: "further time until a replica applies the entry in `MS`"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			b, err := NewBackend(BackendSettings{
				Name:         c.String("name"),
				Address:      c.String("address"),
				Primary:      c.String("primary"),
				Slots:        c.Int("slots"),
				Connections:  c.Int("connections"),
				ConnectDelay: timekeeper.Millis(c.Int64("connect")),
				ServiceTime:  timekeeper.Millis(c.Int64("service")),
				ShipDelay:    timekeeper.Millis(c.Int64("ship")),
				ApplyLag:     timekeeper.Millis(c.Int64("lag")),
			})
			if err != nil {
				return err
			}
			<-b.Run(ctx)
			return nil
		},
	}
}
