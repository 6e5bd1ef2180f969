package commander

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/heatherhall/heatherhall/planner"
	"github.com/heatherhall/heatherhall/storer"
)

func listsCommand() *cli.Command {
	return &cli.Command{
		Name:  "lists",
		Usage: "check, compare and apply the operators' two lists",
		Commands: []*cli.Command{
			listsCheck(),
			listsDiff(),
			listsApply(),
			listsShow(),
			listsHistory(),
			listsVerifier(),
		},
	}
}

func platformFlag() *cli.StringFlag {
	return &cli.StringFlag{
		Name:     "platform",
		Usage:    "the platform's service at `IP:PORT`",
		Sources:  cli.EnvVars("HEATHERHALL_PLATFORM"),
		Required: true,
	}
}

// readLists reads a file of lists and checks it. An error for an invalid file
// names every fault.
func readLists(path string) (planner.Lists, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return planner.Lists{}, &Error{Op: "lists", Kind: KindUsage, Err: err}
	}
	var file planner.File
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		return planner.Lists{}, &Error{Op: "lists", Kind: KindUsage, Err: errors.Wrap(err, path)}
	}
	if faults := file.Validate(); len(faults) > 0 {
		return planner.Lists{}, &Error{Op: "lists", Kind: KindUsage, Err: errors.Errorf("%s has %d faults:\n  %s", path, len(faults), strings.Join(faults, "\n  "))}
	}
	return file.Lists()
}

func listsCheck() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a file of lists and report every fault with its place",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, c *cli.Command) error {
			path, err := onlyArgument(c, "lists check", "FILE")
			if err != nil {
				return err
			}
			lists, err := readLists(path)
			if err != nil {
				return err
			}
			file := lists.File()
			_, err = fmt.Fprintf(c.Root().Writer, "%s is good: %d customers, %d plans\n", path, len(file.Customers), len(file.Plans))
			return err
		},
	}
}

func listsDiff() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show how a file differs from the lists in force",
		ArgsUsage: "FILE",
		Flags:     []cli.Flag{platformFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			_, current, edit, err := prepareEdit(ctx, c, "lists diff")
			if err != nil {
				return err
			}
			return printEdit(c, current, edit)
		},
	}
}

// prepareEdit reads the file named by the only argument. It returns the client
// of the platform's service, the current lists, and the edit that changes them
// into the file's lists.
func prepareEdit(ctx context.Context, c *cli.Command, op string) (*storer.Client, planner.Lists, planner.Edit, error) {
	path, err := onlyArgument(c, op, "FILE")
	if err != nil {
		return nil, planner.Lists{}, planner.Edit{}, err
	}
	wanted, err := readLists(path)
	if err != nil {
		return nil, planner.Lists{}, planner.Edit{}, err
	}
	client := storer.New(c.String("platform"), "")
	current, err := client.Lists(ctx)
	if err != nil {
		return nil, planner.Lists{}, planner.Edit{}, err
	}
	return client, current, current.Diff(rand.Text(), os.Getenv("USER"), wanted), nil
}

func printEdit(c *cli.Command, current planner.Lists, edit planner.Edit) error {
	out := c.Root().Writer
	if edit.Empty() {
		_, err := fmt.Fprintf(out, "no difference from version %d\n", current.Version())
		return err
	}
	for _, line := range edit.Summary() {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	return nil
}

func listsApply() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "put a file of lists in force",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			platformFlag(),
			&cli.Int64Flag{Name: "from", Usage: "the `VERSION` that the file was edited from; -1 takes the file's own version", Value: -1},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			client, current, edit, err := prepareEdit(ctx, c, "lists apply")
			if err != nil {
				return err
			}
			base, err := baseVersion(c)
			if err != nil {
				return err
			}
			if base != current.Version() {
				return conflictError(ctx, client, base, current.Version())
			}
			if edit.Empty() {
				return printEdit(c, current, edit)
			}
			next, err := client.Apply(ctx, current, edit)
			if storer.Is(err, storer.KindConflict) {
				return errors.WithMessage(conflictError(ctx, client, base, base+1), err.Error())
			}
			if err != nil {
				return err
			}
			if err := printEdit(c, current, edit); err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.Root().Writer, "version %d is accepted\n", next.Version())
			return err
		},
	}
}

// baseVersion returns the version that the file was edited from: the one of the
// flag from, or else the one in the file.
func baseVersion(c *cli.Command) (int64, error) {
	if from := c.Int64("from"); from >= 0 {
		return from, nil
	}
	lists, err := readLists(c.Args().First())
	return lists.Version(), err
}

// conflictError returns the error for an edit of version base that is rejected
// because the lists are already at version current. Its text lists the edits
// made after base, if they can be read.
func conflictError(ctx context.Context, client *storer.Client, base, current int64) error {
	text := fmt.Sprintf("the file was edited from version %d, the lists are at %d; nothing of yours is in force", base, current)
	_, edits, err := client.EditsAfter(ctx, base)
	if err == nil {
		for _, e := range edits {
			text += fmt.Sprintf("\nversion %d by %s:\n  %s", e.BaseVersion+1, e.Author, strings.Join(e.Summary(), "\n  "))
		}
	}
	text += "\nrun `heatherhall lists show`, put your change into it, and apply again"
	return &Error{Op: "lists apply", Kind: KindState, Err: errors.New(text)}
}

func listsShow() *cli.Command {
	return &cli.Command{
		Name:  "show",
		Usage: "print the lists in force as a file that can be edited and applied",
		Flags: []cli.Flag{platformFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			lists, err := storer.New(c.String("platform"), "").Lists(ctx)
			if err != nil {
				return err
			}
			return printJSON(c, lists.File())
		},
	}
}

func printJSON(c *cli.Command, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return &Error{Op: "print", Kind: KindState, Err: err}
	}
	_, err = fmt.Fprintln(c.Root().Writer, string(data))
	return err
}

func listsHistory() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "print the accepted edits, oldest first",
		Flags: []cli.Flag{
			platformFlag(),
			&cli.Int64Flag{Name: "after", Usage: "print the edits after `VERSION`"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			client := storer.New(c.String("platform"), "")
			after := c.Int64("after")
			for {
				_, edits, err := client.EditsAfter(ctx, after)
				if err != nil || len(edits) == 0 {
					return err
				}
				for _, e := range edits {
					if _, err := fmt.Fprintf(c.Root().Writer, "%d %s: %s\n", e.BaseVersion+1, e.Author, strings.Join(e.Summary(), ", ")); err != nil {
						return err
					}
				}
				after = edits[len(edits)-1].BaseVersion + 1
			}
		},
	}
}

func listsVerifier() *cli.Command {
	return &cli.Command{
		Name:      "verifier",
		Usage:     "print the verifier for a customer's password, read from the environment variable HEATHERHALL_PASSWORD",
		ArgsUsage: "CUSTOMER",
		Action: func(_ context.Context, c *cli.Command) error {
			name, err := onlyArgument(c, "lists verifier", "CUSTOMER")
			if err != nil {
				return err
			}
			password, found := os.LookupEnv("HEATHERHALL_PASSWORD")
			if !found {
				return &Error{Op: "lists verifier", Kind: KindUsage, Err: errors.New("set HEATHERHALL_PASSWORD to the password")}
			}
			verifier, err := planner.NewVerifier(name, password, rand.Text())
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.Root().Writer, verifier)
			return err
		},
	}
}
