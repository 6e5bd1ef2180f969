package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/heatherhall/heatherhall/checker"
	"github.com/heatherhall/heatherhall/platform"
)

// Exit statuses of the command check.
const (
	exitWarnings = 1
	exitErrors   = 2
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check the operators' catalog in a file before it is sent",
		ArgsUsage: "FILE",
		Description: "The exit status is 0, 1 if there are warnings and --strict is given, or 2 if there are errors.\n" +
			"Codes: " + joinCodes(),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "against", Usage: "also report differences from the version in force, in `FILE`"},
			&cli.BoolFlag{Name: "strict", Usage: "exit with status 1 if there are warnings"},
			&cli.BoolFlag{Name: "json", Usage: "print the findings as JSON"},
			&cli.StringFlag{Name: "explain", Usage: "print what the findings with `CODE` mean and what to do"},
		},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return cli.Exit(err.Error(), exitErrors)
		},
		Action: check,
	}
}

// checkReport is the output of check --json.
type checkReport struct {
	Errors   int               `json:"errors"`
	Warnings int               `json:"warnings"`
	Findings []checker.Finding `json:"findings"`
}

func check(_ context.Context, c *cli.Command) error {
	out := c.Root().Writer
	if c.IsSet("explain") {
		return explainCode(out, checker.Code(c.String("explain")))
	}
	if c.Args().Len() != 1 {
		return cli.Exit("want FILE, see `heatherhall-edge check --help`", exitErrors)
	}
	findings := platform.CheckCatalog(c.Args().First(), c.String("against"))
	report := checkReport{
		Errors: checker.Count(findings, checker.SeverityError), Warnings: checker.Count(findings, checker.SeverityWarning),
		Findings: append([]checker.Finding{}, findings...), // never null in JSON
	}
	if err := printReport(out, report, c.Bool("json")); err != nil {
		return cli.Exit(err.Error(), exitErrors)
	}
	switch {
	case report.Errors > 0:
		return cli.Exit(fmt.Sprintf("check: %d errors", report.Errors), exitErrors)
	case report.Warnings > 0 && c.Bool("strict"):
		return cli.Exit(fmt.Sprintf("check: %d warnings", report.Warnings), exitWarnings)
	}
	return nil
}

func printReport(out io.Writer, report checkReport, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	for _, f := range report.Findings {
		place := f.File
		if f.Line > 0 {
			place = fmt.Sprintf("%s:%d", f.File, f.Line)
		}
		if f.Path != "" {
			place += ": " + f.Path
		}
		if _, err := fmt.Fprintf(out, "%s: %s %s: %s\n", place, f.Severity, f.Code, f.Text); err != nil {
			return err
		}
		if f.Severity != checker.SeverityNote {
			if _, err := fmt.Fprintf(out, "    %s\n", f.Action); err != nil {
				return err
			}
		}
	}
	_, err := fmt.Fprintf(out, "%d errors, %d warnings\n", report.Errors, report.Warnings)
	return err
}

func explainCode(out io.Writer, code checker.Code) error {
	e, found := checker.Explain(code)
	if !found {
		return cli.Exit(fmt.Sprintf("there is no code %q; codes: %s", code, joinCodes()), exitErrors)
	}
	_, err := fmt.Fprintf(out, "%s (%s)\n%s\n%s\n", code, e.Severity, e.Meaning, e.Action)
	return err
}

func joinCodes() string {
	codes := checker.Codes()
	texts := make([]string, 0, len(codes))
	for _, code := range codes {
		texts = append(texts, string(code))
	}
	return strings.Join(texts, " ")
}
