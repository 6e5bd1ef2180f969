package connector

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// WatchTimeout is how long a server waits for a change of its report before it
	// answers a watch without one.
	WatchTimeout timekeeper.Millis = 300
	// controlTimeout is the timeout of a status request or command, in addition to
	// the time that a watch waits.
	controlTimeout = 400 * time.Millisecond
	// controlUserPrefix is the prefix of the user names of control connections,
	// which do not count against the server's connection limit.
	controlUserPrefix = "control_"
)

// Control is a connection to a backend server for status requests and commands.
// It is opened by the first of them and closed after a failure, so that the next
// one opens a new connection. It is not safe for concurrent use.
type Control struct {
	target Target
	conn   *pgconn.PgConn
}

// NewControl returns a control connection to a server that is not open yet.
func NewControl(target Target) *Control {
	return &Control{target: target}
}

// Close closes the connection if it is open. Control can be used again
// afterwards.
func (c *Control) Close() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// Watch returns the server's status report as soon as it differs from the last
// one, or after the given wait; a wait of 0 returns it at once. The error is of
// KindConnect, KindServer or KindProtocol, here and in the other methods.
func (c *Control) Watch(ctx context.Context, last sequencer.Report, wait timekeeper.Millis) (sequencer.Report, error) {
	sql := fmt.Sprintf("SELECT heatherhall_watch('%v', '%v', %d, %d)", last.Received, last.Applied, last.PromisedTerm, wait)
	return c.report(ctx, sql, wait.Duration()+controlTimeout)
}

// Fence asks the server to promise a term. It returns the server's report and
// whether it promised; a refusal is not an error.
func (c *Control) Fence(ctx context.Context, term int64) (sequencer.Report, bool, error) {
	return c.command(ctx, fmt.Sprintf("SELECT heatherhall_fence(%d)", term))
}

// Promote makes the server the primary of a term that it has promised. It returns
// the server's report and whether it was promoted; a refusal is not an error.
func (c *Control) Promote(ctx context.Context, term int64) (sequencer.Report, bool, error) {
	return c.command(ctx, fmt.Sprintf("SELECT heatherhall_promote(%d)", term))
}

// Follow makes the server a replica of the primary of a term at an address. It
// returns the server's report and whether it follows; a refusal is not an error.
func (c *Control) Follow(ctx context.Context, term int64, address string) (sequencer.Report, bool, error) {
	return c.command(ctx, fmt.Sprintf("SELECT heatherhall_follow(%d, '%s')", term, address))
}

// command sends a command and returns the server's report and whether it executed
// the command. If the server refuses it, the report is requested separately.
func (c *Control) command(ctx context.Context, sql string) (sequencer.Report, bool, error) {
	report, err := c.report(ctx, sql, controlTimeout)
	if err == nil {
		return report, true, nil
	}
	var refused *pgconn.PgError
	if !errors.As(err, &refused) {
		return report, false, err
	}
	report, err = c.Watch(ctx, sequencer.Report{}, 0)
	return report, false, err
}

// Running reports whether the server's session with a process ID is running a
// statement.
func (c *Control) Running(ctx context.Context, pid uint32) (bool, error) {
	value, err := c.query(ctx, "SELECT heatherhall_session("+strconv.FormatUint(uint64(pid), 10)+")", controlTimeout)
	return value == "running", err
}

// report returns the status report that a statement returns as JSON.
func (c *Control) report(ctx context.Context, sql string, timeout time.Duration) (sequencer.Report, error) {
	var report sequencer.Report
	value, err := c.query(ctx, sql, timeout)
	if err != nil {
		return report, err
	}
	if err := json.Unmarshal([]byte(value), &report); err != nil {
		return report, &Error{Op: "report", Kind: KindProtocol, Err: err}
	}
	return report, nil
}

// query runs a statement and returns its only value. It opens the connection if
// needed, and closes it if the server does not answer.
func (c *Control) query(ctx context.Context, sql string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if c.conn == nil {
		conn, err := c.target.open(ctx, controlUserPrefix+c.target.User)
		if err != nil {
			return "", err
		}
		c.conn = conn
	}
	results, err := c.conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		var refused *pgconn.PgError
		if !errors.As(err, &refused) {
			c.Close()
		}
		return "", &Error{Op: "query", Kind: KindServer, Err: err}
	}
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != 1 {
		return "", &Error{Op: "query", Kind: KindProtocol, Err: errors.New("want one value")}
	}
	return string(results[0].Rows[0][0]), nil
}
