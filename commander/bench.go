package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/heatherhall/heatherhall/loader"
)

// gcPercent is the garbage collection target percentage, see
// debug.SetGCPercent. It is above the default because the load's sessions, the
// daemons and the stand-ins share one heap.
const gcPercent = 400

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:      "bench",
		Usage:     "run an experiment and print its table, or compare two saved runs",
		ArgsUsage: "FILE, or OLD NEW with --compare",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "policy", Usage: "run under a `BASELINE`: fifo, strict, static, primary or unacknowledged"},
			&cli.StringFlag{Name: "save", Usage: "write the report as JSON to `FILE`"},
			&cli.StringFlag{Name: "plot", Usage: "write the throughput over time to `FILE`, .svg or .png"},
			&cli.StringFlag{Name: "log", Usage: "write the daemons' logs to `FILE`"},
			&cli.StringSliceFlag{Name: "target", Usage: "load the daemon at `IP:PORT` instead of an emulation; may be repeated"},
			&cli.BoolFlag{Name: "compare", Usage: "set two saved reports side by side"},
			&cli.BoolFlag{Name: "keep", Usage: "leave running browse reads alone when urgent work waits"},
			&cli.BoolFlag{Name: "decisions", Usage: "log each routing and placement decision"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Bool("compare") {
				return compareReports(c)
			}
			return runExperiment(ctx, c)
		},
	}
}

func compareReports(c *cli.Command) error {
	if c.Args().Len() != 2 {
		return &Error{Op: "bench", Kind: KindUsage, Err: errors.New("--compare wants two saved reports, OLD and NEW")}
	}
	before, err := loader.ReadReport(c.Args().Get(0))
	if err != nil {
		return err
	}
	after, err := loader.ReadReport(c.Args().Get(1))
	if err != nil {
		return err
	}
	return loader.WriteComparison(c.Root().Writer, before, after)
}

func runExperiment(ctx context.Context, c *cli.Command) error {
	path, err := onlyArgument(c, "bench", "FILE")
	if err != nil {
		return err
	}
	experiment, err := loader.Read(path)
	if err != nil {
		return err
	}
	if c.IsSet("policy") {
		experiment.Policy = c.String("policy")
	}
	experiment.NoPreempt = experiment.NoPreempt || c.Bool("keep")
	experiment.Decisions = experiment.Decisions || c.Bool("decisions")
	experiment.Targets = append(experiment.Targets, c.StringSlice("target")...)
	log := io.Discard
	if name := c.String("log"); name != "" {
		file, err := os.Create(name)
		if err != nil {
			return &Error{Op: "bench", Kind: KindUsage, Err: err}
		}
		defer func() { _ = file.Close() }()
		log = file
	}
	debug.SetGCPercent(gcPercent)
	report, err := loader.Run(ctx, experiment, log)
	if err != nil {
		return err
	}
	return outputReport(c, report)
}

// outputReport prints a report and writes the files named by the flags save and
// plot.
func outputReport(c *cli.Command, report loader.Report) error {
	if err := report.Print(c.Root().Writer); err != nil {
		return err
	}
	if name := c.String("save"); name != "" {
		if err := report.Save(name); err != nil {
			return err
		}
	}
	name := c.String("plot")
	if name == "" {
		return nil
	}
	if err := report.Plot(name); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.Root().Writer, "plot written to %s\n", name)
	return err
}
