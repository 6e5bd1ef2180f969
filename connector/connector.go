// Package connector executes work on backend servers over the PostgreSQL
// protocol, and requests status reports from them.
package connector

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/heatherhall/heatherhall/timekeeper"
)

// Target is the address of a backend server and the credentials to connect to it.
type Target struct {
	// Address is the server's IP address and port.
	Address  string
	Database string
	User     string
	Password string
	// MaxResult is the maximum size of a response in bytes; 0 is 16 MiB.
	MaxResult int
	// Local is the IP address to connect from; empty lets the system choose.
	Local string
}

// dialTimeout is the timeout of opening a connection, including its
// authentication, and of each step of a CancelRequest.
const dialTimeout = time.Second

// open opens a connection as the given user, without TLS. The error is of
// KindConnect.
func (t Target) open(ctx context.Context, user string) (*pgconn.PgConn, error) {
	host, port, err := net.SplitHostPort(t.Address)
	if err != nil {
		return nil, &Error{Op: "open", Kind: KindConnect, Err: err}
	}
	config, err := pgconn.ParseConfig(fmt.Sprintf("host=%s port=%s sslmode=disable", host, port))
	if err != nil {
		return nil, &Error{Op: "open", Kind: KindConnect, Err: err}
	}
	config.User = user
	config.Password = t.Password
	config.Database = t.Database
	config.ConnectTimeout = dialTimeout
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}
	if t.Local != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(t.Local)}
	}
	config.DialFunc = dialer.DialContext
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, &Error{Op: "open", Kind: KindConnect, Err: err}
	}
	return conn, nil
}

// millisecondsSince returns the time since start in milliseconds, with fraction.
func millisecondsSince(start time.Time) float64 {
	return float64(time.Since(start)) / float64(timekeeper.Millis(1).Duration())
}
