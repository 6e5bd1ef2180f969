package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/heatherhall/heatherhall/decider"
)

// statusTimeout limits a request for a daemon's status.
const statusTimeout = 3 * time.Second

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "print a daemon's hosts, homes, terms, positions, lists' version and queues",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "daemon", Usage: "the daemon's metrics address, `IP:PORT`", Required: true},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			status, err := fetchStatus(ctx, c.String("daemon"))
			if err != nil {
				return err
			}
			if c.Bool("json") {
				return printJSON(c, status)
			}
			return printStatus(c.Root().Writer, status)
		},
	}
}

// fetchStatus requests the status of the daemon at a metrics address, IP:PORT.
func fetchStatus(ctx context.Context, address string) (decider.Status, error) {
	var status decider.Status
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return status, &Error{Op: "status", Kind: KindUsage, Err: err}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, &Error{Op: "status", Kind: KindState, Err: errors.Wrap(err, "the daemon does not answer at its metrics address")}
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return status, &Error{Op: "status", Kind: KindState, Err: err}
	}
	return status, nil
}

func printStatus(out io.Writer, status decider.Status) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "host %s in %s, ready %v, lists version %d, %d requests\n\n", status.Host, status.Domain, status.Ready, status.ListsVersion, status.PendingRequests)
	_, _ = fmt.Fprintln(w, "HOST\tDOMAIN\tADDRESS\tSTATE")
	for _, m := range status.Hosts {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", m.Name, m.Domain, m.Address, m.State)
	}
	_, _ = fmt.Fprintln(w, "\nDATABASE\tHOME\tTERM\tPRIMARY\tURGENT\tSTANDARD\tBROWSE")
	for _, d := range status.Databases {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\t%d\t%d\n", d.Name, d.Home, d.Term, d.Primary, d.Queued[0], d.Queued[1], d.Queued[2])
	}
	_, _ = fmt.Fprintln(w, "\nDATABASE\tSERVER\tROLE\tPROMISED\tHELD\tAPPLIED")
	for _, d := range status.Databases {
		for _, name := range slices.Sorted(maps.Keys(d.Reports)) {
			r := d.Reports[name]
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%v\t%v\n", d.Name, name, r.Role, r.PromisedTerm, r.Received, r.Applied)
		}
	}
	return w.Flush()
}
